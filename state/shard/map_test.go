package shard_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide/state/shard"
)

// Guards against keys that are lost, duplicated or not removed across the shards.
func TestMapMatchesPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := shard.New[int, int]()
		want := map[int]int{}
		key := rapid.IntRange(0, 40)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.Int().Draw(t, "value")
				m.Set(k, v)
				want[k] = v
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				_, had := want[k]
				if got := m.Delete(k); got != had {
					t.Fatalf("Delete(%d) got: %v, want: %v", k, got, had)
				}
				delete(want, k)
			},
			"update": func(t *rapid.T) {
				k, keep := key.Draw(t, "key"), rapid.Bool().Draw(t, "keep")
				m.Update(k, func(v int, _ bool) (int, bool) { return v + 1, keep })
				want[k]++
				if !keep {
					delete(want, k)
				}
			},
			"": func(t *rapid.T) {
				if got := m.Len(); got != len(want) {
					t.Fatalf("Len got: %d, want: %d", got, len(want))
				}
				m.Range(func(k, v int) bool {
					if w, ok := want[k]; !ok || v != w {
						t.Fatalf("key %d got: %d, want: %d", k, v, w)
					}
					return true
				})
			},
		})
	})
}

// Guards against lost updates when several goroutines update one key.
func TestMapUpdateIsAtomic(t *testing.T) {
	const workers, rounds = 8, 500
	m := shard.New[string, int]()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				m.Update("key", func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	wg.Wait()
	got, _ := m.Get("key")
	is.New(t).Equal(got, workers*rounds)
}
