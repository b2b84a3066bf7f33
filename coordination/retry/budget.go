// Package retry limits the retries of a workspace, so that retries don't add to the
// load of failing engines.
//
// Each request earns a tenth of a retry. At most ten retries are saved, and the budget
// is empty at the start. The number of retries is therefore at most a tenth of the
// number of requests at any time, including just after a start.
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
	// Balances are integers in tenths of a retry, because sums of 0.1 have rounding
	// errors.
	costPerRetry     = 10
	earnedPerRequest = 1
	maxBalance       = 10 * costPerRetry
)

// Budget is the retry budget of one workspace. The zero value is an empty budget that
// is ready to use. It is not safe for concurrent use.
type Budget struct{ balance int }

// Earn credits the budget for one request.
func (b *Budget) Earn() { b.balance = min(b.balance+earnedPerRequest, maxBalance) }

// Take spends one retry and returns true, or returns false if the balance is too low.
func (b *Budget) Take() bool {
	if b.balance < costPerRetry {
		return false
	}
	b.balance -= costPerRetry
	return true
}
