// Package order decides which orders the engines of a zone get, and when.
//
// The wanted placement of an engine (model, version, adapters, role) is part of its
// row in the table. The holder of the zone's lease compares it with what the engine
// reports. Orders state the wanted end state, so that repeating one is harmless. A new
// holder orders each engine once even if the engine reports the wanted state: an
// engine that checks fencing then knows the new number and refuses delayed orders of
// the old holder. After that, any difference leads to another order, which also undoes
// the effect of a delayed order.
//
// An order whose outcome is unknown may take effect until its deadline. The same order
// is repeated, but a different order waits until the deadline plus a margin for clock
// drift has passed, since both carry the same fencing number and the engine could not
// tell which one is newer.
//
// Orders that load weights first need a reservation from the weight store, and wait as
// long as it asks for. At most MaxInFlight orders are in flight at a time.
//
// # Usage
//
//	p := order.New(order.Config{})
//	timeout := time.Duration(model.OrderTimeout)
//	p.Declare(server, row, timeout)       // for each engine, on each change
//	p.Observe(requestedAt, server, state) // for each report
//	step := p.Next(now, l)
//	switch step.Do {
//	case order.Reserve:
//		wait, err := weights.Reserve(ctx, step.Order.Model)
//		p.Reserved(now, step.Order.Server, wait, err)
//	case order.Send:
//		err := amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "order not sent")
//		if p.MaySend(now, l, step.Order) {
//			err = control.Order(ctx, step.Address, step.Order)
//		}
//		p.Ordered(now, step.Order.Server, err)
//	case order.Wait: // until step.Until or a change
//	}
//
// The driver calls MaySend right before it sends an order. A Planner does no I/O and
// holds no lock.
package order

import (
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/lease"
)

const (
	// DefaultTimeout limits the orders of models that don't set their own limit.
	DefaultTimeout = lease.DefaultLongestOrder
	// DefaultMaxInFlight limits how many engines of a zone change at the same time,
	// since an engine serves no requests while it loads weights.
	DefaultMaxInFlight = 4

	backoffMin   = time.Second
	backoffMax   = time.Minute
	idleInterval = time.Second
	// clockDriftDivisor is the inverse of the relative drift that is allowed between
	// two clocks, 3% including a safety margin.
	clockDriftDivisor = 33
)

// Config holds the limits of a Planner.
type Config struct {
	// MaxInFlight limits the orders in flight; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// State is the placement that an engine reports or should have.
type State struct {
	Model    amaranthtide.ModelName
	Version  string
	Adapters []string
	Role     string
}

// Action is what the driver of a Planner does next.
type Action uint8

// The actions of a Planner's driver.
const (
	// Wait means that there is nothing to do before Step.Until.
	Wait Action = iota
	// Reserve requests a reservation from the weight store; the driver calls Reserved
	// with the answer.
	Reserve
	// Send sends Step.Order to Step.Address; the driver calls Ordered with the outcome.
	Send
)

// Step is what the driver does next.
type Step struct {
	Do      Action
	Order   amaranthtide.Order
	Address netip.AddrPort
	Until   time.Time
}

// Pending explains why an engine does not have its wanted state yet.
type Pending struct {
	Server amaranthtide.BackendServerName
	Reason string
	// Since is when the reason began to apply.
	Since time.Time
	// Until is the earliest time of the next attempt. It is zero if the attempt doesn't
	// depend on the time.
	Until time.Time
}

type stage uint8

const (
	idle stage = iota
	// reserving means that the driver is waiting for the weight store.
	reserving
	// reserved means that the weight store has allowed the load.
	reserved
	// ordering means that the driver has an order whose outcome is not known yet.
	ordering
)

type engine struct {
	row      amaranthtide.BackendServer
	timeout  time.Duration
	observed amaranthtide.Option[State]
	stage    stage
	// confirmedFencing is the fencing number of the last order that the engine confirmed.
	confirmedFencing amaranthtide.FencingNumber
	// refusedFencing is the fencing number of the last order that the engine refused as
	// fenced.
	refusedFencing amaranthtide.FencingNumber
	// uncertainState is the state that the last order with an unknown outcome asked
	// for. The order may take effect until uncertainUntil.
	uncertainState State
	uncertainUntil time.Time
	// confirmedAt is when the last order was confirmed.
	confirmedAt time.Time
	// order is the order that Next returned last.
	order amaranthtide.Order
	// notBefore is the earliest time of the next order.
	notBefore   time.Time
	backoff     time.Duration
	reason      string
	reasonSince time.Time
}

// Planner decides the orders to the engines of one zone. Create one with New.
type Planner struct {
	cfg     Config
	engines map[amaranthtide.BackendServerName]*engine
	// names is sorted. Next starts at nextIndex, behind the engine of the last step, so
	// that an engine that keeps failing does not delay the others.
	names     []amaranthtide.BackendServerName
	nextIndex int
}

// New returns a Planner without engines.
func New(cfg Config) *Planner {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return &Planner{cfg: cfg, engines: make(map[amaranthtide.BackendServerName]*engine)}
}

// Declare sets the wanted placement of an engine and the maximum duration of an order
// to it; 0 means DefaultTimeout. The row of a plain service removes the engine.
func (p *Planner) Declare(name amaranthtide.BackendServerName, row amaranthtide.BackendServer, timeout time.Duration) {
	if row.Model == "" {
		p.Remove(name)
		return
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	e, ok := p.engines[name]
	if !ok {
		e = &engine{backoff: backoffMin}
		p.engines[name] = e
		i, _ := slices.BinarySearch(p.names, name)
		p.names = slices.Insert(p.names, i, name)
	}
	if ok && !wantedState(e.row).equal(wantedState(row)) && e.stage != ordering {
		// A reservation for one model doesn't apply to another.
		e.stage, e.notBefore, e.backoff = idle, time.Time{}, backoffMin
	}
	e.row, e.timeout = row, timeout
}

// Remove removes an engine. Its orders in flight are neither awaited nor withdrawn.
func (p *Planner) Remove(name amaranthtide.BackendServerName) {
	if _, ok := p.engines[name]; !ok {
		return
	}
	delete(p.engines, name)
	i, _ := slices.BinarySearch(p.names, name)
	p.names = slices.Delete(p.names, i, i+1)
}

// Observe records the state that an engine reported. Reports that were requested before
// the last order was confirmed are outdated and ignored, as are reports of engines that
// are not declared.
func (p *Planner) Observe(requestedAt time.Time, name amaranthtide.BackendServerName, s State) {
	if e, ok := p.engines[name]; ok && !requestedAt.Before(e.confirmedAt) {
		e.observed = amaranthtide.Some(s)
	}
}

// Next returns the next step, given the lease of this router.
func (p *Planner) Next(now time.Time, l *lease.Lease) Step {
	until := now.Add(idleInterval)
	inFlight := 0
	for _, e := range p.engines {
		if e.stage == ordering {
			inFlight++
		}
	}
	for i := range p.names {
		index := (p.nextIndex + i) % len(p.names)
		e := p.engines[p.names[index]]
		step, ok := p.nextForEngine(now, l, p.names[index], e, inFlight)
		if ok {
			p.nextIndex = (index + 1) % len(p.names)
			return step
		}
		if e.notBefore.After(now) && e.notBefore.Before(until) {
			until = e.notBefore
		}
	}
	return Step{Do: Wait, Until: until}
}

func (p *Planner) nextForEngine(now time.Time, l *lease.Lease, name amaranthtide.BackendServerName, e *engine, inFlight int) (Step, bool) {
	if e.stage == ordering || e.stage == reserving {
		return Step{}, false
	}
	fencing := l.Fencing(now)
	if reason := p.blockedReason(now, l, e, fencing, inFlight); reason != "" {
		e.setReason(now, reason)
		return Step{}, false
	}
	if e.isSatisfied(fencing) {
		e.setReason(now, "")
		return Step{}, false
	}
	if e.notBefore.After(now) {
		// The code that set notBefore has set the reason as well.
		return Step{}, false
	}
	want := wantedState(e.row)
	e.order = amaranthtide.Order{Server: name, Fencing: fencing, Model: want.Model, Version: want.Version,
		Adapters: want.Adapters, Role: want.Role, Deadline: now.Add(e.timeout)}
	if e.loadsWeights() && e.stage != reserved {
		e.stage = reserving
		e.setReason(now, "requesting a reservation from the weight store")
		return Step{Do: Reserve, Order: e.order}, true
	}
	e.stage = ordering
	e.setReason(now, "order in flight")
	return Step{Do: Send, Order: e.order, Address: e.row.Address}, true
}

// blockedReason returns why an engine that needs an order doesn't get one now, or an
// empty string.
func (p *Planner) blockedReason(now time.Time, l *lease.Lease, e *engine, fencing amaranthtide.FencingNumber, inFlight int) string {
	switch {
	case e.isSatisfied(fencing) && fencing != 0:
		return ""
	case !p.mayOrder(now, l, e, fencing):
		return "this router does not hold the lease, or the lease expires too soon"
	case e.refusedFencing == fencing:
		return "the engine has seen a higher fencing number"
	case now.Before(e.uncertainUntil) && !e.uncertainState.equal(wantedState(e.row)):
		return "an earlier order may still take effect"
	case inFlight >= p.cfg.MaxInFlight:
		return "the maximum number of orders is in flight"
	}
	return ""
}

func (p *Planner) mayOrder(now time.Time, l *lease.Lease, e *engine, fencing amaranthtide.FencingNumber) bool {
	return fencing != 0 && (e.row.ChecksFencing || l.MayOrder(now, e.timeout))
}

// isSatisfied reports whether the engine has the wanted state and has confirmed an order
// with the given fencing number.
func (e *engine) isSatisfied(fencing amaranthtide.FencingNumber) bool {
	have, ok := e.observed.Get()
	return ok && have.equal(wantedState(e.row)) && e.confirmedFencing == fencing
}

func (e *engine) loadsWeights() bool {
	have, ok := e.observed.Get()
	want := wantedState(e.row)
	return !ok || have.Model != want.Model || have.Version != want.Version || !slices.Equal(have.Adapters, want.Adapters)
}

func (e *engine) setReason(now time.Time, reason string) {
	if reason != e.reason {
		e.reason, e.reasonSince = reason, now
	}
}

func (e *engine) scheduleRetry(now time.Time, reason string) {
	e.notBefore = now.Add(e.backoff)
	e.backoff = min(2*e.backoff, backoffMax)
	e.setReason(now, reason)
}

// MaySend reports whether an order that Next returned may still be sent. The driver may
// have been paused since then.
func (p *Planner) MaySend(now time.Time, l *lease.Lease, o amaranthtide.Order) bool {
	e, ok := p.engines[o.Server]
	if !ok || e.stage != ordering || l.Fencing(now) != o.Fencing || !now.Before(o.Deadline) {
		return false
	}
	return e.row.ChecksFencing || l.MayOrder(now, e.timeout)
}

// Reserved records the answer of the weight store for an engine: how long to wait before
// the load may start, or an error.
func (p *Planner) Reserved(now time.Time, name amaranthtide.BackendServerName, wait time.Duration, err error) {
	e, ok := p.engines[name]
	if !ok || e.stage != reserving {
		return
	}
	if err != nil {
		e.stage = idle
		e.scheduleRetry(now, "the weight store failed: "+err.Error())
		return
	}
	e.stage, e.notBefore = reserved, now.Add(wait)
	e.setReason(now, "waiting until the weight store allows the load")
}

// Ordered records the outcome of an order that was sent or that MaySend refused. If
// MaySend refused it, err must be of KindFenced or another kind that implies that the
// order was not run.
func (p *Planner) Ordered(now time.Time, name amaranthtide.BackendServerName, err error) {
	e, ok := p.engines[name]
	if !ok || e.stage != ordering {
		return
	}
	e.stage = idle
	switch {
	case err == nil:
		e.confirmedFencing, e.backoff = e.order.Fencing, backoffMin
		e.confirmedAt = now
		e.observed = amaranthtide.Some(e.orderedState())
		e.setReason(now, "")
	case amaranthtide.IsKind(err, amaranthtide.KindFenced):
		e.refusedFencing = e.order.Fencing
		e.setReason(now, "the engine has seen a higher fencing number")
	default:
		if amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
			// The time is counted from now, since a driver that was paused may have sent
			// the order long after it called MaySend. The order may take effect until
			// then even if a later attempt is confirmed.
			e.uncertainState, e.uncertainUntil = e.orderedState(), now.Add(e.timeout+e.timeout/clockDriftDivisor)
		}
		e.scheduleRetry(now, "the last order failed: "+err.Error())
	}
}

// Pending returns the engines that do not have their wanted state, sorted by name, with
// the reason.
func (p *Planner) Pending() []Pending {
	var pending []Pending
	for _, name := range p.names {
		e := p.engines[name]
		if e.reason != "" {
			pending = append(pending, Pending{Server: name, Reason: e.reason, Since: e.reasonSince, Until: e.notBefore})
		}
	}
	return pending
}

func (e *engine) orderedState() State {
	return State{e.order.Model, e.order.Version, e.order.Adapters, e.order.Role}
}

func wantedState(row amaranthtide.BackendServer) State {
	return State{row.Model, row.Version, row.Adapters, row.Role}
}

func (s State) equal(o State) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}
