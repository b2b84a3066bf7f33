// Package shared limits the total retries of all routers without exchanging messages:
// each router gets a fixed share of the fleet's retry budget.
//
// Operators limit the retries of a service within any time window to a ratio of its
// requests plus a constant slack. Each router has a token bucket: it is refilled at a
// steady rate from the router's share of the slack, and its own requests add to it.
// The buckets together grant only half of the ratio and most of the slack. The rest
// covers retries that are earned in one window and spent in another, and routers that
// disagree about the number of routers.
//
// # Usage
//
//	limit := shared.Limit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
//	b := shared.New(now, limit, routers)
//	b.Earn(now) // once per request
//	if b.Take(now) {
//		// Try again.
//	}
package shared

import "time"

const (
	// ratioShare is the fraction of the ratio that each request earns.
	ratioShare = 0.5
	// balanceShare is the fraction of the slack that may be saved, rateShare the
	// fraction that is refilled within one window.
	balanceShare = 0.4
	rateShare    = 0.3
)

// Limit is the retry limit that operators set for one service.
type Limit struct {
	// Ratio is the number of retries per request. Slack is the number of retries that
	// are allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one router's share of the retry limit of one service. Create one with New.
// It is not safe for concurrent use.
type Budget struct {
	limit      Limit
	routers    int
	balance    float64
	refilledAt time.Time
}

// New returns a full Budget for one of the given number of routers.
func New(now time.Time, limit Limit, routers int) *Budget {
	b := &Budget{limit: limit, refilledAt: now}
	b.SetRouters(now, routers)
	b.balance = b.maxBalance()
	return b
}

// SetRouters sets the number of routers that share the limit.
func (b *Budget) SetRouters(now time.Time, routers int) {
	b.refill(now)
	b.routers = max(1, routers)
	b.balance = min(b.balance, b.maxBalance())
}

// maxBalance returns the number of retries that may be saved. It is at least 1, since
// with a smaller share no retry could ever be taken.
func (b *Budget) maxBalance() float64 {
	return max(1, balanceShare*b.limit.Slack/float64(b.routers))
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 && b.routers > 0 {
		rate := rateShare * b.limit.Slack / float64(b.routers) / b.limit.Window.Seconds()
		b.balance = min(b.maxBalance(), b.balance+rate*elapsed.Seconds())
	}
	b.refilledAt = now
}

// Earn credits the budget for one request.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.balance = min(b.maxBalance(), b.balance+ratioShare*b.limit.Ratio)
}

// Balance returns the current balance, in retries.
func (b *Budget) Balance(now time.Time) float64 {
	b.refill(now)
	return b.balance
}

// Take spends one retry and returns true, or returns false if the balance is below 1.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
