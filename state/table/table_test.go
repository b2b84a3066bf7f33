package table_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/state/table"
)

func workspaces(n int) []amaranthtide.Row {
	rows := make([]amaranthtide.Row, n)
	for i := range rows {
		rows[i] = amaranthtide.Row{
			Key:      amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: fmt.Sprintf("workspace-%05d", i)},
			Revision: amaranthtide.Revision(i + 1),
			Value:    amaranthtide.Workspace{Weight: 1 + i%9, MaxInFlight: i, CallerKeySHA256: fmt.Sprintf("%064x", i)},
		}
	}
	return rows
}

// Guards against a table of the target size that takes too long to load or uses too
// much memory of a small VM. The bounds are those of the design page.
func TestLoadTargetSize(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tab := table.New()
	start := time.Now()
	is.True(tab.Load(workspaces(19_000), 19_000))
	elapsed := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if elapsed > time.Second {
		t.Errorf("load time got: %v, want: under 1s", elapsed)
	}
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 32<<20 {
		t.Errorf("heap got: %d bytes, want: under 32 MB", used)
	}
	w, ok := tab.Workspace("workspace-18999")
	is.True(ok)
	is.Equal(w.MaxInFlight, 18_999)
}

// Guards against rows, groups or a log that differ from the applied changes, for
// batches that arrive repeatedly, late, with gaps or as snapshots.
func TestTableMatchesReplay(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:80")
	rapid.Check(t, func(t *rapid.T) {
		var all []amaranthtide.Change
		state := func(upTo int) map[amaranthtide.RowKey]amaranthtide.Row {
			m := map[amaranthtide.RowKey]amaranthtide.Row{}
			for _, c := range all[:upTo] {
				m[c.Key] = amaranthtide.Row{Key: c.Key, Revision: c.Revision, Value: c.After}
				if c.After == nil {
					delete(m, c.Key)
				}
			}
			return m
		}
		for i := range 30 {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			value := rapid.SampledFrom([]amaranthtide.RowValue{
				amaranthtide.Workspace{Weight: i + 1}, amaranthtide.Zone{}, amaranthtide.VM{Zone: "z", Address: addr},
				amaranthtide.BackendServer{Zone: "z", Model: "m", Address: addr, Capacity: i + 1},
			}).Draw(t, "value")
			c := amaranthtide.Change{Revision: amaranthtide.Revision(i + 1), After: value,
				Key: amaranthtide.RowKey{Kind: value.RowKind(), Name: name}}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				c.After = nil
			}
			all = append(all, c)
		}
		tab, at, base := table.New(), 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				from := rapid.IntRange(0, len(all)).Draw(t, "from")
				to := rapid.IntRange(from, len(all)).Draw(t, "to")
				applied, gap := tab.Apply(all[from:to])
				if wantGap := from > at && to > from; gap != wantGap {
					t.Fatalf("gap got: %v, want: %v", gap, wantGap)
				}
				if from <= at && to > at {
					if applied != to-at {
						t.Fatalf("applied got: %d, want: %d", applied, to-at)
					}
					at = to
				}
			},
			"load": func(t *rapid.T) {
				to := rapid.IntRange(0, len(all)).Draw(t, "to")
				var rows []amaranthtide.Row
				for _, r := range state(to) {
					rows = append(rows, r)
				}
				if got := tab.Load(rows, amaranthtide.Revision(to)); got != (to > at) {
					t.Fatalf("load got: %v, want: %v", got, to > at)
				}
				if to > at {
					at, base = to, to
				}
			},
			"": func(t *rapid.T) {
				want := state(at)
				rows, revision := tab.Snapshot()
				if len(rows) != len(want) || int(revision) != at {
					t.Fatalf("got: %v at %d, want: %v at %d", rows, revision, want, at)
				}
				servers := 0
				for _, r := range rows {
					if fmt.Sprint(want[r.Key]) != fmt.Sprint(r) {
						t.Fatalf("row got: %v, want: %v", r, want[r.Key])
					}
					if r.Key.Kind == amaranthtide.RowBackendServer {
						servers++
					}
				}
				if got := len(tab.ServersOfModel("m", "z")); got != servers {
					t.Fatalf("servers of model got: %d, want: %d", got, servers)
				}
				after := rapid.IntRange(0, len(all)).Draw(t, "after")
				changes, ok := tab.Changes(amaranthtide.Revision(after), 5)
				if ok != (after >= base) || ok && len(changes) != min(5, max(0, at-after)) {
					t.Fatalf("changes after %d got: %d %v, base %d, at %d", after, len(changes), ok, base, at)
				}
				for i, c := range changes {
					if int(c.Revision) != after+1+i {
						t.Fatalf("revision got: %d, want: %d", c.Revision, after+1+i)
					}
				}
			},
		})
	})
}

// Guards against a ring buffer that loses or mixes up entries after it wraps around.
func TestLogWraps(t *testing.T) {
	is := is.New(t)
	tab := table.New()
	tab.Load(nil, 7)
	key := amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "w"}
	for r := amaranthtide.Revision(8); r <= 10_007; r++ {
		tab.Apply([]amaranthtide.Change{{Revision: r, Key: key, After: amaranthtide.Workspace{Weight: int(r)}}})
	}
	_, ok := tab.Changes(10_007-4097, 10)
	is.Equal(ok, false)
	changes, ok := tab.Changes(10_007-4096, 5000)
	is.True(ok)
	is.Equal(len(changes), 4096)
	for i, c := range changes {
		is.Equal(c.Revision, 10_007-4096+1+amaranthtide.Revision(i))
	}
}

// Guards against a reader that sees an older value of a row after a newer one while
// several senders apply changes and snapshots, and against a waiter that is not woken.
func TestReadersNeverSeeRevert(t *testing.T) {
	const last = 2000
	tab := table.New()
	keys := []amaranthtide.RowKey{{Kind: amaranthtide.RowWorkspace, Name: "w"}, {Kind: amaranthtide.RowZone, Name: "z"}}
	change := func(r int) amaranthtide.Change {
		c := amaranthtide.Change{Revision: amaranthtide.Revision(r), Key: keys[r%2], After: amaranthtide.Zone{}}
		if r%2 == 0 {
			c.After = amaranthtide.Workspace{Weight: r}
		}
		return c
	}
	var wg sync.WaitGroup
	for sender := range 3 {
		wg.Go(func() {
			for r := 1; r <= last; r++ {
				if sender == 0 && r%50 == 0 {
					rows := []amaranthtide.Row{{Key: keys[r%2], Revision: amaranthtide.Revision(r), Value: change(r).After},
						{Key: keys[(r-1)%2], Revision: amaranthtide.Revision(r - 1), Value: change(r - 1).After}}
					tab.Load(rows, amaranthtide.Revision(r))
				}
				tab.Apply([]amaranthtide.Change{change(r)})
			}
		})
	}
	for range 3 {
		wg.Go(func() {
			var seen [2]amaranthtide.Revision
			for tab.Revision() < last {
				tableRevision := tab.Revision()
				for i, key := range keys {
					r, _ := tab.Row(key)
					if r.Revision < seen[i] || r.Revision+1 < tableRevision {
						t.Errorf("row %v got: revision %d after %d, table at %d", key, r.Revision, seen[i], tableRevision)
					}
					seen[i] = r.Revision
				}
			}
		})
	}
	if err := tab.Wait(t.Context(), last); err != nil {
		t.Errorf("wait got: %v, want: nil", err)
	}
	wg.Wait()
}

func BenchmarkLoad19000(b *testing.B) {
	rows := workspaces(19_000)
	b.ReportAllocs()
	for b.Loop() {
		table.New().Load(rows, 19_000)
	}
}
