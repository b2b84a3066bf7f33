package retry_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"amaranthtide/coordination/retry"
)

// Guards against 1.2 or more attempts per request while a third of the servers fail,
// including the first requests after a start (P12).
func TestAttemptsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		attempts := 0
		for requests := 1; requests <= 2000; requests++ {
			b.Earn()
			attempts++
			for random.IntN(3) == 0 && b.Take() {
				attempts++
			}
			if float64(attempts) >= 1.2*float64(requests) {
				t.Fatalf("got: %d attempts for %d requests, want: under 1.2 times", attempts, requests)
			}
		}
		if attempts < 2150 {
			t.Fatalf("got: %d attempts, want: retries that use the budget", attempts)
		}
	})
}

// Guards against a budget that grows without bound while there are no retries.
func TestBalanceIsBounded(t *testing.T) {
	var b retry.Budget
	for range 1000 {
		b.Earn()
	}
	n := 0
	for n < 2000 && b.Take() {
		n++
	}
	if n != 10 {
		t.Errorf("got: %d retries, want: 10", n)
	}
}
