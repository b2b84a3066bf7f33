package shared_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide/coordination/retry/shared"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a fleet whose retries exceed the operators' limit in some window
// while every router spends its whole budget.
func TestFleetStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(t, "routers")
		limit := shared.Limit{
			Ratio: 0.2, Slack: float64(routers) * rapid.Float64Range(3, 10).Draw(t, "slackPerRouter"), Window: 10 * time.Second,
		}
		perTick := rapid.IntRange(0, 3).Draw(t, "requestsPerTick")
		const tick = 100 * time.Millisecond
		var fleet []*shared.Budget
		for range routers {
			fleet = append(fleet, shared.New(start, limit, routers))
		}
		var retries []int
		for i := range 250 {
			now := start.Add(time.Duration(i) * tick)
			n := 0
			for _, b := range fleet {
				for range perTick {
					b.Earn(now)
				}
				for b.Take(now) {
					n++
				}
			}
			retries = append(retries, n)
		}
		perWindow := int(limit.Window / tick)
		requests := float64(perTick * routers * perWindow)
		for i := 0; i+perWindow <= len(retries); i++ {
			sum := 0
			for _, n := range retries[i : i+perWindow] {
				sum += n
			}
			if bound := limit.Ratio*requests + limit.Slack; float64(sum) > bound {
				t.Fatalf("got: %d retries in a window, want: at most %.1f", sum, bound)
			}
		}
	})
}

// Guards against a router that can't retry right after its start, and against one
// whose balance exceeds its share after routers have joined.
func TestBalanceAfterStartAndScaling(t *testing.T) {
	is := is.New(t)
	b := shared.New(start, shared.Limit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, 10)
	is.True(b.Take(start))
	b.SetRouters(start, 1000)
	n := 0
	for b.Take(start) {
		n++
	}
	is.True(n <= 1)
}
