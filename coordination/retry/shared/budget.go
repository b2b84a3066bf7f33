// Package shared bounds the retries of all routers together without an exchange of
// messages: each router has a fixed share of what the fleet may spend.
//
// Operators bound the retries of a service within any window of time by a ratio of
// its requests plus a constant slack. Each router takes its part of the slack, as a
// small stock that is refilled at a steady rate, and earns from its own requests.
// Half of the ratio and most of the slack are used; the rest covers requests of
// other routers' windows and lists of routers that differ.
//
// # Usage
//
//	b := shared.New(now, shared.Limit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, routers)
//	b.Earn(now) // once per request
//	if b.Take(now) {
//		// Try again.
//	}
package shared

import "time"

const (
	// ratioShare is the part of the ratio that is earned.
	ratioShare = 0.5
	// balanceShare and rateShare are the parts of the slack that may be saved and that
	// are refilled within one window.
	balanceShare = 0.4
	rateShare    = 0.3
)

// Limit is what operators allow for one service.
type Limit struct {
	// Ratio is the number of retries per request, Slack what is allowed beyond.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is the share of one router for one service. It is not concurrent-safe. Use
// New.
type Budget struct {
	limit      Limit
	routers    int
	balance    float64
	refilledAt time.Time
}

// New returns a full Budget of one of the given number of routers.
func New(now time.Time, limit Limit, routers int) *Budget {
	b := &Budget{limit: limit, refilledAt: now}
	b.SetRouters(now, routers)
	b.balance = b.maxBalance()
	return b
}

// SetRouters replaces the number of routers.
func (b *Budget) SetRouters(now time.Time, routers int) {
	b.refill(now)
	b.routers = max(1, routers)
	b.balance = min(b.balance, b.maxBalance())
}

// maxBalance returns the most that may be saved; at least one retry, so that a small
// share is of use.
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

// Earn adds what one request earns.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.balance = min(b.maxBalance(), b.balance+ratioShare*b.limit.Ratio)
}

// Left returns the retries that may be spent at once.
func (b *Budget) Left(now time.Time) float64 {
	b.refill(now)
	return b.balance
}

// Take spends one retry and returns true, or returns false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
