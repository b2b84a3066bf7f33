package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/quota"
)

// Guards against a router that admits more than its share: at any time, it may have
// admitted at most rate*time plus one second's allowance since the start, and never has
// more in flight than its share.
func TestShareIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		live := rapid.IntRange(1, 12).Draw(t, "live")
		w := amaranthtide.Workspace{
			MaxInFlight:       rapid.IntRange(0, 30).Draw(t, "maxInFlight"),
			RequestsPerSecond: float64(rapid.IntRange(0, 60).Draw(t, "requestsPerSecond")),
		}
		var l quota.Limiter
		admitted, inFlight := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "millis")) * time.Millisecond)
			},
			"release": func(*rapid.T) {
				if inFlight > 0 {
					inFlight--
					l.Release()
				}
			},
			"admit": func(t *rapid.T) {
				for range 5 {
					err := l.Admit(now, w, live)
					if err == nil {
						admitted++
						inFlight++
					} else if !amaranthtide.IsKind(err, amaranthtide.KindLimitReached) || amaranthtide.RetryAfterOf(err) <= 0 {
						t.Fatalf("got: %v, want: KindLimitReached with a hint", err)
					}
				}
				share := max(w.RequestsPerSecond/float64(live), 1)
				if maxAdmitted := share*now.Sub(start).Seconds() + share + 1; w.RequestsPerSecond > 0 && float64(admitted) > maxAdmitted {
					t.Fatalf("got: %d admitted, want: at most %.1f", admitted, maxAdmitted)
				}
				if w.MaxInFlight > 0 && inFlight > max(w.MaxInFlight/live, 1) || l.InFlight() != inFlight {
					t.Fatalf("got: %d in flight, want: at most %d", inFlight, max(w.MaxInFlight/live, 1))
				}
			},
		})
	})
}

// Guards against an initial burst that differs from one second's allowance, and against
// refused requests that consume the allowance of later ones.
func TestAllowance(t *testing.T) {
	var l quota.Limiter
	now := time.Unix(1000, 0)
	for second := range 3 {
		n := 0
		for range 100 {
			if l.Admit(now, amaranthtide.Workspace{RequestsPerSecond: 40}, 4) == nil {
				n++
			}
		}
		if n != 10 {
			t.Errorf("second %d got: %d, want: 10", second, n)
		}
		now = now.Add(time.Second)
	}
}
