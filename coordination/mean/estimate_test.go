package mean_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/mean"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a cap that is rounded in the wrong direction.
func TestCap(t *testing.T) {
	tests := []struct {
		total, servers int
		multiple       float64
		floor, want    int
	}{
		{0, 4, 1.25, 0, 0},
		{1, 4, 1.25, 0, 1},
		{8, 4, 1.25, 0, 2},
		{9, 4, 1.25, 0, 3},
		{16, 4, 1.25, 0, 5},
		{15, 4, 1.25, 0, 4},
		{16, 4, 0, 0, 5},
		{16, 4, math.NaN(), 0, 5},
		{16, 4, 1, 0, 4},
		{5, 4, 1.25, 6, 6},
		{30, 10, 1.1, 0, 3},
		{100, 10, 1.1, 0, 11},
		{5, 0, 1.25, 0, mean.Unlimited},
	}
	for _, tt := range tests {
		if got := mean.Cap(tt.total, tt.servers, tt.multiple, tt.floor); got != tt.want {
			t.Errorf("Cap(%d, %d, %v, %d) got: %d, want: %d", tt.total, tt.servers, tt.multiple, tt.floor, got, tt.want)
		}
	}
}

// Guards against an estimate that does not subtract the requests that may have finished.
func TestEstimate(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration
		inFlight int
		rate     float64
		want     int
	}{
		{"fresh", 0, 10, 5, 13},
		{"one may have finished", time.Millisecond, 10, 0, 12},
		{"twice the rate", time.Second, 10, 2.5, 7},
		{"everything may have finished", time.Second, 10, 50, 3},
		{"just not stale", 2 * time.Second, 10, 1, 8},
		{"stale", 2*time.Second + 1, 10, 0, 3},
		{"no rate", time.Second, 10, math.NaN(), 3},
	}
	for _, tt := range tests {
		e := mean.Estimate{Own: 3, Servers: 2}
		e.Add(start.Add(tt.age), start, amaranthtide.ServerLoad{InFlight: tt.inFlight, CompletionsPerSecond: tt.rate})
		if got := e.Total(); got != tt.want {
			t.Errorf("%s got: %d, want: %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a cap that refuses at all servers although the sums are exact: the
// least loaded server must always be below the cap.
func TestFreshSumsNeverRefuseEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make([]int, rapid.IntRange(1, 9).Draw(t, "servers"))
		multiple := rapid.Float64Range(1, 3).Draw(t, "multiple")
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				e := mean.Estimate{Servers: len(loads)}
				for i, n := range loads {
					if i == 0 {
						e.Own = n
						continue
					}
					e.Add(start, start, amaranthtide.ServerLoad{InFlight: n, CompletionsPerSecond: 9})
				}
				limit := mean.Cap(e.Total()+1, e.Servers, multiple, 0)
				first := rapid.IntRange(0, len(loads)-1).Draw(t, "first")
				for i := range loads {
					if s := (first + i) % len(loads); loads[s]+1 <= limit {
						loads[s]++
						return
					}
				}
				t.Fatalf("loads %v got: all refused by cap %d", loads, limit)
			},
			"finish": func(t *rapid.T) {
				if s := rapid.IntRange(0, len(loads)-1).Draw(t, "server"); loads[s] > 0 {
					loads[s]--
				}
			},
		})
	})
}
