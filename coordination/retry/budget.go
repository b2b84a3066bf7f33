// Package retry bounds how many attempts a workspace may spend beyond its requests,
// so that failing engines don't meet a wave of repeated work.
//
// Each request earns a tenth of a retry, a retry costs one, at most ten retries are
// saved and none are there at the start. At any time the retries are therefore at
// most a tenth of the requests, also just after a start.
//
// # Usage
//
//	var b retry.Budget // one per workspace, in a shard.Map
//	b.Earn()           // once per request
//	if b.Take() {
//		// Try again.
//	}
package retry

const (
	costPerRetry     = 10 // in tenths of a retry; whole numbers, as sums of 0.1 round
	earnedPerRequest = 1
	maxBalance       = 10 * costPerRetry
)

// Budget is the retry budget of one workspace. The zero value is empty and ready to
// use. It is not concurrent-safe.
type Budget struct{ balance int }

// Earn adds what one request earns.
func (b *Budget) Earn() { b.balance = min(b.balance+earnedPerRequest, maxBalance) }

// Take spends one retry and returns true, or returns false if the budget doesn't
// hold one.
func (b *Budget) Take() bool {
	if b.balance < costPerRetry {
		return false
	}
	b.balance -= costPerRetry
	return true
}
