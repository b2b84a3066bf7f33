// Package lease decides which router may give orders to the engines of a zone: the
// holder of a lease in the table service.
//
// The lease is one row with the holder, its fencing number, the duration of the lease
// and the longest order that the holder gives. The fencing number increases with each
// new holder. Every write is conditional on the version of the row, so that only one
// of two concurrent writes succeeds.
//
// The clocks of routers cannot be compared. A holder counts its lease from the moment
// before it issued the write. Another router counts from the moment at which it first
// saw that version of the row, which is later than the write, and takes over only
// after the full duration has passed without a new version. Clocks may run up to 1%
// too fast or too slow: the holder shortens its lease by that margin, and the other
// router lengthens its wait by it.
//
// Engines that ignore fencing are protected by time alone. They receive an order only
// if the lease lasts longer than the order may take, and a new holder first waits for
// the longest order of the previous holder, with the margin. Engines that check
// fencing are protected by the fencing number.
//
// # Usage
//
// A Lease is a state machine that runs as long as its router. Its driver waits for
// Step.Wait, makes the call and passes the result to Next:
//
//	l := lease.New(lease.Config{
//		Zone: "north-a", Holder: "vm-3/17", NewToken: amaranthtide.NewWriteToken,
//	})
//	step := l.Start(now)
//	for {
//		sleep(step.Wait)
//		step = l.Next(now, run(l.BeginCall(now, step)))
//	}
//
// BeginCall must be called right before the call is made, because the lease is counted
// from that time. The driver checks MayOrder or Holds right before it sends each
// order. A Lease does no I/O and holds no lock.
package lease

import (
	"encoding/json"
	"time"

	"amaranthtide"
)

const (
	// DefaultDuration is longer than DefaultLongestOrder and leaves time for renewals.
	DefaultDuration = 5 * time.Minute
	// DefaultLongestOrder is enough for an engine to load weights.
	DefaultLongestOrder = 2 * time.Minute

	// clockMarginDivisor is the inverse of the maximum rate error of a clock (1%).
	clockMarginDivisor = 100
	// renewalsPerDuration is the number of renewals within one duration of the lease.
	renewalsPerDuration = 4
	backoffMin          = 100 * time.Millisecond
	backoffMax          = 2 * time.Second
)

// Prefix is the key prefix of all leases.
const Prefix amaranthtide.StoredKey = "lease/"

// Config configures a router's Lease of its zone.
type Config struct {
	Zone amaranthtide.ZoneName
	// Holder identifies this run of the router; a restarted router is another holder.
	Holder string
	// Duration is how long the lease lasts without renewal; 0 means DefaultDuration.
	Duration time.Duration
	// LongestOrder is the longest time that any order of this holder may take; 0 means
	// DefaultLongestOrder.
	LongestOrder time.Duration
	// NewToken returns a unique token, such as amaranthtide.NewWriteToken.
	NewToken func() amaranthtide.WriteToken
}

// Step is the next operation for the driver: wait, then make the call.
type Step struct {
	Wait time.Duration
	Call amaranthtide.TableCall
}

// record is the value of the lease's row.
type record struct {
	Holder       string                     `json:"holder"`
	Fencing      amaranthtide.FencingNumber `json:"fencing"`
	Duration     amaranthtide.Duration      `json:"duration"`
	LongestOrder amaranthtide.Duration      `json:"longestOrder"`
}

type phase uint8

const (
	reading phase = iota
	committing
	readingBack
)

// Lease is the state machine with which one router acquires and renews the lease of its
// zone. Create one with New.
type Lease struct {
	cfg   Config
	key   amaranthtide.StoredKey
	phase phase
	// tx is the write whose outcome is not known yet, and pending the record that it
	// stores. issued is when tx was first issued.
	tx      amaranthtide.Transaction
	pending record
	issued  time.Time

	// version and stored describe the row that the next write replaces. firstSeen is
	// when this version was first read.
	version   amaranthtide.RowVersion
	stored    record
	firstSeen time.Time

	// held and own describe the lease while this router holds it. ownSince is the time
	// right before the write of own was issued. The orders of the previous holder have
	// ended by ordersAllowed.
	held          bool
	own           record
	ownSince      time.Time
	ordersAllowed time.Time
	backoff       time.Duration
}

// New returns a Lease that is not held.
func New(cfg Config) *Lease {
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.LongestOrder <= 0 {
		cfg.LongestOrder = DefaultLongestOrder
	}
	return &Lease{cfg: cfg, key: Prefix + amaranthtide.StoredKey(cfg.Zone), backoff: backoffMin}
}

// Start returns the first step.
func (l *Lease) Start(time.Time) Step { return l.read(0) }

// BeginCall returns the call of a step and records the time before it is made.
func (l *Lease) BeginCall(now time.Time, s Step) amaranthtide.TableCall {
	if _, ok := s.Call.Transaction.Get(); ok && l.issued.IsZero() {
		l.issued = now
	}
	return s.Call
}

// Next processes the result of the last step's call and returns the next step.
func (l *Lease) Next(now time.Time, r amaranthtide.TableResult) Step {
	switch l.phase {
	case committing:
		if r.Err == nil && len(r.Versions) == 1 {
			return l.confirmWrite(now, r.Versions[0])
		}
		l.phase = readingBack
		return l.read(l.nextBackoff())
	case readingBack:
		return l.handleReadBack(now, r)
	default:
		return l.handleRow(now, r)
	}
}

// Holds reports whether this router holds the lease. This is sufficient for orders to
// engines that check fencing.
func (l *Lease) Holds(now time.Time) bool { return l.held && now.Before(l.expiry()) }

// MayOrder reports whether an order that takes up to longest may be sent to an engine
// that ignores fencing: the lease lasts longer than the order, with the margin, and the
// orders of the previous holder have ended. It is false for an order that takes longer
// than Config.LongestOrder, which the row announces to the next holder.
func (l *Lease) MayOrder(now time.Time, longest time.Duration) bool {
	return l.Holds(now) && longest <= l.cfg.LongestOrder && !now.Before(l.ordersAllowed) && now.Add(withClockMargin(longest)).Before(l.expiry())
}

// Fencing returns the fencing number of the lease if this router holds it, else 0.
func (l *Lease) Fencing(now time.Time) amaranthtide.FencingNumber {
	if !l.Holds(now) {
		return 0
	}
	return l.own.Fencing
}

// expiry returns the time at which the lease ends by this router's clock.
func (l *Lease) expiry() time.Time {
	d := time.Duration(l.own.Duration)
	return l.ownSince.Add(d - d/clockMarginDivisor)
}

// withClockMargin adds the margins for one clock that is too slow and another one that
// is too fast. The ratio of their rates is at most 1.01/0.99, slightly more than 2%.
func withClockMargin(d time.Duration) time.Duration { return d + 3*(d/clockMarginDivisor+1) }

func (l *Lease) handleRow(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return l.read(l.nextBackoff())
	}
	stored, ok := r.Row.Get()
	if !ok {
		l.version, l.stored, l.held = 0, record{}, false
		return l.write(1)
	}
	if stored.Version != l.version {
		if err := l.observeRow(now, stored); err != nil {
			return l.read(backoffMax)
		}
	}
	if l.stored.Holder == l.cfg.Holder {
		return l.renew()
	}
	l.held = false
	// The wait starts when the result of the read has arrived, which is later than the
	// read itself.
	expired := l.firstSeen.Add(withClockMargin(time.Duration(l.stored.Duration)))
	if now.Before(expired) {
		return l.read(min(expired.Sub(now), backoffMax))
	}
	return l.write(l.stored.Fencing + 1)
}

// observeRow records a version of the row that was not seen before.
func (l *Lease) observeRow(now time.Time, stored amaranthtide.StoredRow) error {
	var rec record
	if err := json.Unmarshal(stored.Value, &rec); err != nil {
		return err
	}
	l.version, l.stored, l.firstSeen = stored.Version, rec, now
	return nil
}

// renew extends the lease whose row names this router as holder. It keeps the fencing
// number.
func (l *Lease) renew() Step {
	step := l.write(l.stored.Fencing)
	if l.held {
		step.Wait = l.cfg.Duration / renewalsPerDuration
	}
	return step
}

// write starts a write that replaces the row of version l.version.
func (l *Lease) write(fencing amaranthtide.FencingNumber) Step {
	l.pending = record{
		Holder:       l.cfg.Holder,
		Fencing:      fencing,
		Duration:     amaranthtide.Duration(l.cfg.Duration),
		LongestOrder: amaranthtide.Duration(l.cfg.LongestOrder),
	}
	value, err := json.Marshal(l.pending)
	if err != nil {
		return l.read(backoffMax)
	}
	l.tx = amaranthtide.Transaction{
		Token:      l.cfg.NewToken(),
		Conditions: []amaranthtide.Condition{{Key: l.key, Version: l.version}},
		Writes:     []amaranthtide.Write{{Key: l.key, Value: value}},
	}
	l.issued = time.Time{}
	return l.commit()
}

// handleReadBack resolves a write with an unknown outcome from the row that was read
// back. While the row is unchanged, the write may still take effect and is retried; the
// lease is counted from the first try.
func (l *Lease) handleReadBack(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return l.read(l.nextBackoff())
	}
	stored, _ := r.Row.Get()
	switch {
	case stored.Version == l.version:
		return l.commit()
	case stored.Token == l.tx.Token:
		return l.confirmWrite(now, stored.Version)
	default:
		l.phase = reading
		return l.handleRow(now, r)
	}
}

// confirmWrite continues once the pending write is known to have taken effect.
func (l *Lease) confirmWrite(now time.Time, version amaranthtide.RowVersion) Step {
	if l.pending.Fencing != l.own.Fencing {
		l.ordersAllowed = now.Add(withClockMargin(time.Duration(l.stored.LongestOrder)))
	}
	l.held, l.own, l.ownSince = true, l.pending, l.issued
	l.version, l.stored, l.firstSeen = version, l.pending, now
	l.backoff, l.phase = backoffMin, reading
	return l.renew()
}

func (l *Lease) commit() Step {
	l.phase = committing
	return Step{Call: amaranthtide.TableCall{Key: l.key, Transaction: amaranthtide.Some(l.tx)}}
}

func (l *Lease) read(wait time.Duration) Step {
	return Step{Wait: wait, Call: amaranthtide.TableCall{Key: l.key}}
}

func (l *Lease) nextBackoff() time.Duration {
	d := l.backoff
	l.backoff = min(2*l.backoff, backoffMax)
	return d
}
