package ramp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/ramp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// linearWarmUp returns the number of requests that a server with a linear warm-up can
// handle at an age.
func linearWarmUp(cfg ramp.Config, age time.Duration) float64 {
	if age >= cfg.Duration {
		return float64(cfg.Capacity)
	}
	return float64(cfg.ColdLimit) + float64(cfg.Capacity-cfg.ColdLimit)*float64(age)/float64(cfg.Duration)
}

// Guards against an allowance above the linear warm-up by the true age of the boot (P2),
// and against a step without a completion.
func TestAllowanceStaysBelowLinearWarmUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := ramp.Config{Capacity: rapid.IntRange(1, 300).Draw(t, "capacity"), Duration: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond}
		cfg.ColdLimit = rapid.IntRange(1, cfg.Capacity).Draw(t, "cold")
		now, booted, boot, completions, last := start, start, 0, 0, 0
		r := ramp.New(now, cfg)
		id := func() amaranthtide.BootID { return amaranthtide.BootID(rune('a' + boot)) }
		known := -1
		t.Repeat(map[string]func(*rapid.T){
			"wait":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.Int64Range(0, int64(cfg.Duration)).Draw(t, "d"))) },
			"reboot": func(*rapid.T) { boot, booted = boot+1, now },
			"learn": func(*rapid.T) {
				if r.ObserveBoot(now, id()) != (known != boot) {
					t.Fatalf("ObserveBoot(%s) got: a wrong result, want: true only for a new boot", id())
				}
				if known != boot {
					last, completions = 0, 0
				}
				known = boot
			},
			"complete": func(*rapid.T) { r.Completed(now, ramp.Completion{Started: now}); completions++ },
			"handOver": func(t *rapid.T) {
				if known != boot {
					t.Skip("the boot is not known yet")
				}
				a := r.Allowance(now)
				r = ramp.New(now, cfg)
				r.Resume(now, id(), a)
				if got := r.Allowance(now); got != a {
					t.Fatalf("Resume(%d) got: %d", a, got)
				}
				last, completions = a, 0
			},
			"": func(t *rapid.T) {
				a := r.Allowance(now)
				if known == boot && float64(a) > linearWarmUp(cfg, now.Sub(booted))+1e-9 {
					t.Fatalf("allowance at age %s got: %d, want: <= %v", now.Sub(booted), a, linearWarmUp(cfg, now.Sub(booted)))
				}
				if last > 0 && a > last {
					if completions == 0 {
						t.Fatalf("allowance rose from %d to %d without a completion", last, a)
					}
					completions = 0
				}
				last = a
			},
		})
	})
}

// Guards against a ramp that reaches Capacity late or never.
func TestAllowanceReachesCapacity(t *testing.T) {
	for _, cfg := range []ramp.Config{{1, 1, time.Second}, {3, 7, 2 * time.Second}, {2, 100, time.Minute}, {5, 3, time.Second}, {1, 64, 0}} {
		r := ramp.New(start, cfg)
		r.ObserveBoot(start, "a")
		for now := start; !now.After(start.Add(cfg.Duration)); now = now.Add(time.Millisecond) {
			r.Completed(now, ramp.Completion{Started: now})
		}
		if got := r.Allowance(start.Add(cfg.Duration + 10*time.Millisecond)); got != cfg.Capacity {
			t.Errorf("%+v got: %d, want: %d", cfg, got, cfg.Capacity)
		}
	}
}

// Guards against collapses that are detected wrongly (single slow answers, a larger
// batch, short answers) and against one that is not detected.
func TestCollapse(t *testing.T) {
	tests := []struct {
		name        string
		rates       []int // tokens in one second
		concurrency int
		want        bool
	}{
		{"single slow answers", []int{20, 20, 20, 20, 100, 20, 20, 20, 20}, 4, false},
		{"just above a third", []int{34, 34, 34, 34, 34, 34, 34}, 4, false},
		{"slower at a larger batch", []int{20, 20, 20, 20, 20, 20, 20}, 64, false},
		{"short answers", []int{3, 3, 3, 3, 3, 3}, 4, false},
		{"collapse", []int{30, 30, 30, 30, 30}, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := ramp.New(start, ramp.Config{ColdLimit: 2, Capacity: 4, Duration: time.Second})
			now := start.Add(2 * time.Second)
			for range 10 {
				r.Completed(now, ramp.Completion{Started: start, Tokens: 100, Took: time.Second, Concurrency: 4})
			}
			is.New(t).Equal(r.Allowance(now), 4)
			got := false
			for _, n := range tt.rates {
				got = r.Completed(now, ramp.Completion{Started: now, Tokens: n, Took: time.Second, Concurrency: tt.concurrency})
			}
			if got != tt.want || (r.Allowance(now) == 2) != tt.want {
				t.Errorf("got: collapse %v, allowance %d, want: collapse %v", got, r.Allowance(now), tt.want)
			}
		})
	}
}

// Guards against completions of requests from before a boot that advance its ramp.
func TestEarlierBootDoesNotAdvanceRamp(t *testing.T) {
	r := ramp.New(start, ramp.Config{ColdLimit: 1, Capacity: 8, Duration: 3 * time.Second})
	r.ObserveBoot(start.Add(time.Second), "b")
	r.Completed(start.Add(3*time.Second), ramp.Completion{Started: start})
	is.New(t).Equal(r.Allowance(start.Add(time.Minute)), 1)
}
