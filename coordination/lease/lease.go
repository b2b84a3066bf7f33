// Package lease decides who may give orders to the engines of a zone: the holder
// of a lease in the table service.
//
// The lease is one row with the holder, its fencing number, the duration and the
// longest order that the holder gives. The fencing number rises with each new
// holder. Every write is conditional on the row's version, so that of two
// routers that write at once one wins.
//
// Routers can't compare clocks. A holder counts its lease from the moment before
// it issued the write. Another router counts from the moment when it first saw
// that version of the row, which is later than the write, and takes over only
// when the whole duration has passed without a new version. Clocks may run up to
// 1% too fast or too slow: the holder shortens its lease by that margin and the
// other lengthens its wait by it.
//
// Engines that ignore fencing are protected by time alone. They get an order only
// while the lease outlasts the longest time that the order may take, and a new
// holder first waits out the longest order of the old holder, margin included.
// Engines that check fencing are protected by the number.
//
// # Usage
//
// A Lease is a state machine that runs for as long as its router does. Its driver
// waits for Wait, runs Call and passes the outcome to Next:
//
//	l := lease.New(lease.Config{Zone: "north-a", Holder: "vm-3/17", NewToken: amaranthtide.NewToken})
//	step := l.Start(now)
//	for {
//		sleep(step.Wait)
//		step = l.Next(now, run(l.Issue(now, step)))
//	}
//
// Issue must be called right before the call is made, since the lease is counted
// from there. The driver asks MayOrder or Holds right before each order is sent.
// A Lease does no I/O and holds no lock.
package lease

import (
	"encoding/json"
	"time"

	"amaranthtide"
)

const (
	// DefaultDuration outlasts the default longest order with time to renew.
	DefaultDuration = 5 * time.Minute
	// DefaultLongestOrder is the time in which engines load weights.
	DefaultLongestOrder = 2 * time.Minute

	// clockMarginDivisor is the inverse of the greatest deviation of a clock's rate (1%).
	clockMarginDivisor = 100
	// renewalsPerDuration is the number of tries to renew in one duration.
	renewalsPerDuration = 4
	backoffMin          = 100 * time.Millisecond
	backoffMax          = 2 * time.Second
)

// Prefix begins the keys of all leases.
const Prefix amaranthtide.StoredKey = "lease/"

// Config describes a router's part in the lease of its zone.
type Config struct {
	Zone amaranthtide.ZoneName
	// Holder names this run of the router; a restarted router is another holder.
	Holder string
	// Duration is how long the lease lasts without renewal; 0 is DefaultDuration.
	Duration time.Duration
	// LongestOrder is the longest time of any order that this holder gives; 0 is
	// DefaultLongestOrder.
	LongestOrder time.Duration
	// NewToken returns unique tokens, as amaranthtide.NewToken does.
	NewToken func() amaranthtide.Token
}

// Step is what the driver does next: wait, then run the call.
type Step struct {
	Wait time.Duration
	Call amaranthtide.TableCall
}

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

// Lease is the state machine of one router's part in the lease. Use New.
type Lease struct {
	cfg Config
	key amaranthtide.StoredKey
	// tx is the write under way, which was issued first at issued.
	phase   phase
	tx      amaranthtide.Transaction
	pending record
	issued  time.Time

	// version and seen describe the row that the next write replaces; since is
	// when this version was first seen.
	version   amaranthtide.RowVersion
	stored    record
	firstSeen time.Time

	// held is the lease as this router has it; start is counted from before the
	// write, and quiet is when the old holder's orders are over.
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

// Issue returns the call of a step and notes the time before it is made.
func (l *Lease) Issue(now time.Time, s Step) amaranthtide.TableCall {
	if _, ok := s.Call.Transaction.Get(); ok && l.issued.IsZero() {
		l.issued = now
	}
	return s.Call
}

// Next takes the outcome of the last step's call and returns the next step.
func (l *Lease) Next(now time.Time, r amaranthtide.TableResult) Step {
	switch l.phase {
	case committing:
		if r.Err == nil && len(r.Versions) == 1 {
			return l.written(now, r.Versions[0])
		}
		l.phase = readingBack
		return l.read(l.nextBackoff())
	case readingBack:
		return l.resolveWrite(now, r)
	default:
		return l.rowRead(now, r)
	}
}

// Holds reports whether this router holds the lease. That is enough for orders
// to engines that check fencing.
func (l *Lease) Holds(now time.Time) bool { return l.held && now.Before(l.expiry()) }

// MayOrder reports whether an order that takes up to longest may be sent to an
// engine that ignores fencing: the lease outlasts it, margin included, and the
// orders of the old holder are over. It is false for an order that is longer
// than what the row announces to the next holder.
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

// expiry is when the lease is over by this router's clock.
func (l *Lease) expiry() time.Time {
	d := time.Duration(l.own.Duration)
	return l.ownSince.Add(d - d/clockMarginDivisor)
}

// withClockMargin adds the margin of a clock that is slow and that of one that is fast.
// Both together come to 1.01/0.99, which is a little more than 2%.
func withClockMargin(d time.Duration) time.Duration { return d + 3*(d/clockMarginDivisor+1) }

func (l *Lease) rowRead(now time.Time, r amaranthtide.TableResult) Step {
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
	// The wait begins when the answer has arrived, which is after the read.
	expired := l.firstSeen.Add(withClockMargin(time.Duration(l.stored.Duration)))
	if now.Before(expired) {
		return l.read(min(expired.Sub(now), backoffMax))
	}
	return l.write(l.stored.Fencing + 1)
}

func (l *Lease) observeRow(now time.Time, stored amaranthtide.StoredRow) error {
	var rec record
	if err := json.Unmarshal(stored.Value, &rec); err != nil {
		return err
	}
	l.version, l.stored, l.firstSeen = stored.Version, rec, now
	return nil
}

// renew extends the lease that names this router as holder. Its number stays.
func (l *Lease) renew() Step {
	step := l.write(l.stored.Fencing)
	if l.held {
		step.Wait = l.cfg.Duration / renewalsPerDuration
	}
	return step
}

// write begins a write in place of the row of version l.version.
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

// resolveWrite reads a write back whose outcome is unknown. While the row is
// unchanged, the write may still be under way and is tried again; the lease is
// counted from the first try.
func (l *Lease) resolveWrite(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return l.read(l.nextBackoff())
	}
	stored, _ := r.Row.Get()
	switch {
	case stored.Version == l.version:
		return l.commit()
	case stored.Token == l.tx.Token:
		return l.written(now, stored.Version)
	default:
		l.phase = reading
		return l.rowRead(now, r)
	}
}

// written is reached when the write under way is known to have taken effect.
func (l *Lease) written(now time.Time, version amaranthtide.RowVersion) Step {
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
