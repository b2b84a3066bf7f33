// Package order decides which order an engine gets next.
//
// The wanted placement of an engine (model, version, adapters, role) stands in
// its row of the table. The holder of the zone's lease compares it with what the
// engine reports and orders the wanted end state, so that a repeat does no harm.
// A new holder orders each engine once even if the engine reports the wanted
// state: an engine that checks fencing then knows the new number and refuses what
// the old holder may still send. Later, any difference leads to another order,
// which also undoes whatever a late order did.
//
// An order whose outcome is unknown may take effect until its deadline. It is
// repeated, but a different order waits until that deadline has passed, margin
// for the clock included, since one number does not tell two orders apart.
//
// Orders that load weights first need leave from the weight store, and wait as
// long as it says. At most MaxInFlight orders are under way.
//
// # Usage
//
//	p := order.New(order.Config{})
//	p.Declare(server, row, model.OrderTimeout) // for each engine, on each change
//	p.Observe(asked, server, state)            // for each report
//	step := p.Next(now, l)
//	switch step.Do {
//	case order.Reserve:
//		wait, err := weights.Reserve(ctx, step.Order.Model)
//		p.Reserved(now, step.Order.Server, wait, err)
//	case order.Send:
//		if p.MaySend(now, l, step.Order) {
//			err = control.Order(ctx, step.Address, step.Order)
//		}
//		p.Ordered(now, step.Order.Server, err)
//	case order.Wait: // until step.Until or a change
//	}
//
// The driver asks MaySend right before it sends. A Planner does no I/O and holds
// no lock.
package order

import (
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/lease"
)

const (
	// DefaultTimeout bounds an order to a model without an own bound.
	DefaultTimeout = lease.DefaultLongestOrder
	// DefaultMaxInFlight bounds the engines of a zone that change at once, since
	// an engine serves nothing while it loads weights.
	DefaultMaxInFlight = 4

	backoffMin   = time.Second
	backoffMax   = time.Minute
	idleInterval = time.Second
	// clockDriftDivisor is the inverse of the difference that two clocks may gather, 3%
	// with reserve.
	clockDriftDivisor = 33
)

// Config holds the bounds of a Planner.
type Config struct {
	// MaxInFlight bounds the orders under way; 0 is DefaultMaxInFlight.
	MaxInFlight int
}

// State is what an engine reports about its placement.
type State struct {
	Model    amaranthtide.ModelName
	Version  string
	Adapters []string
	Role     string
}

// Action is what the driver of a Planner does next.
type Action uint8

// The actions.
const (
	// Wait means that there is nothing to do before Step.Until.
	Wait Action = iota
	// Reserve asks the weight store for leave and answers with Reserved.
	Reserve
	// Send sends Step.Order to Step.Address and answers with Ordered.
	Send
)

// Step is what the driver does next.
type Step struct {
	Do      Action
	Order   amaranthtide.Order
	Address netip.AddrPort
	Until   time.Time
}

// Pending tells why an engine does not have its wanted state yet.
type Pending struct {
	Server amaranthtide.BackendServerName
	Reason string
	// Since is when the reason began to hold.
	Since time.Time
	// Until is when the next try is due; zero if that depends on something else.
	Until time.Time
}

type stage uint8

const (
	idle stage = iota
	reserving
	reserved
	underWay
)

type engine struct {
	row      amaranthtide.BackendServer
	timeout  time.Duration
	observed amaranthtide.Option[State]
	stage    stage
	// confirmedFencing is the fencing number of the last order that the engine confirmed.
	confirmedFencing amaranthtide.FencingNumber
	// refusedFencing is the fencing number with which the engine refusedFencing an order as fenced.
	refusedFencing amaranthtide.FencingNumber
	// uncertainState is what the last order with an unknown outcome asked for; it may take
	// effect until settled.
	uncertainState State
	uncertainUntil time.Time
	// confirmedAt is when the last order was confirmedAt.
	confirmedAt time.Time
	order       amaranthtide.Order
	notBefore   time.Time
	backoff     time.Duration
	reason      string
	reasonSince time.Time
}

// Planner decides the orders to the engines of one zone. Use New.
type Planner struct {
	cfg     Config
	engines map[amaranthtide.BackendServerName]*engine
	// names is sorted and next is where the last step left off, so that an engine
	// that fails does not hold up the others.
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

// Declare sets the wanted placement of an engine and the longest time of an
// order to it; 0 is DefaultTimeout. Rows of plain services are ignored.
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
	if ok && !wantedState(e.row).equal(wantedState(row)) && e.stage != underWay {
		// Leave to load one model says nothing about another.
		e.stage, e.notBefore, e.backoff = idle, time.Time{}, backoffMin
	}
	e.row, e.timeout = row, timeout
}

// Remove forgets an engine. Orders under way are neither awaited nor withdrawn.
func (p *Planner) Remove(name amaranthtide.BackendServerName) {
	if _, ok := p.engines[name]; !ok {
		return
	}
	delete(p.engines, name)
	i, _ := slices.BinarySearch(p.names, name)
	p.names = slices.Delete(p.names, i, i+1)
}

// Observe takes what an engine reports, and when the report was asked for. It
// ignores reports asked for before the last order was confirmed and engines that
// are not declared.
func (p *Planner) Observe(asked time.Time, name amaranthtide.BackendServerName, s State) {
	if e, ok := p.engines[name]; ok && !asked.Before(e.confirmedAt) {
		e.observed = amaranthtide.Some(s)
	}
}

// Next returns the next step under the lease.
func (p *Planner) Next(now time.Time, l *lease.Lease) Step {
	until := now.Add(idleInterval)
	inFlight := 0
	for _, e := range p.engines {
		if e.stage == underWay {
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
	if e.stage == underWay || e.stage == reserving {
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
		// The reason has been given by what set the time.
		return Step{}, false
	}
	want := wantedState(e.row)
	e.order = amaranthtide.Order{Server: name, Fencing: fencing, Model: want.Model, Version: want.Version,
		Adapters: want.Adapters, Role: want.Role, Deadline: now.Add(e.timeout)}
	if e.loadsWeights() && e.stage != reserved {
		e.stage = reserving
		e.setReason(now, "asking the weight store")
		return Step{Do: Reserve, Order: e.order}, true
	}
	e.stage = underWay
	e.setReason(now, "order under way")
	return Step{Do: Send, Order: e.order, Address: e.row.Address}, true
}

// blockedReason explains why the engine gets no order now, if it needs one.
func (p *Planner) blockedReason(now time.Time, l *lease.Lease, e *engine, fencing amaranthtide.FencingNumber, inFlight int) string {
	switch {
	case e.isSatisfied(fencing) && fencing != 0:
		return ""
	case !p.mayOrder(now, l, e, fencing):
		return "this router does not hold the lease, or not for long enough"
	case e.refusedFencing == fencing:
		return "the engine has seen a higher fencing number"
	case now.Before(e.uncertainUntil) && !e.uncertainState.equal(wantedState(e.row)):
		return "an earlier order may still take effect"
	case inFlight >= p.cfg.MaxInFlight:
		return "other engines come first"
	}
	return ""
}

func (p *Planner) mayOrder(now time.Time, l *lease.Lease, e *engine, fencing amaranthtide.FencingNumber) bool {
	return fencing != 0 && (e.row.ChecksFencing || l.MayOrder(now, e.timeout))
}

// isSatisfied reports whether the engine has the wanted state by the word of this holder.
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

// MaySend reports whether the order of the last step for its engine may still be
// sent: the driver may have been paused since Next.
func (p *Planner) MaySend(now time.Time, l *lease.Lease, o amaranthtide.Order) bool {
	e, ok := p.engines[o.Server]
	if !ok || e.stage != underWay || l.Fencing(now) != o.Fencing || !now.Before(o.Deadline) {
		return false
	}
	return e.row.ChecksFencing || l.MayOrder(now, e.timeout)
}

// Reserved takes the weight store's answer for an engine: the time to wait
// before the load may start.
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
	e.setReason(now, "the weight store asks to wait")
}

// Ordered takes the outcome of an order that was sent, or that MaySend refused;
// the error is then KindFenced or any kind that was not run.
func (p *Planner) Ordered(now time.Time, name amaranthtide.BackendServerName, err error) {
	e, ok := p.engines[name]
	if !ok || e.stage != underWay {
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
			// Counted from here, since a paused driver may have sent the order long
			// after it asked MaySend. A later try that is confirmed changes nothing
			// about this one.
			e.uncertainState, e.uncertainUntil = e.orderedState(), now.Add(e.timeout+e.timeout/clockDriftDivisor)
		}
		e.scheduleRetry(now, "the last order failed: "+err.Error())
	}
}

// Pending returns the engines that do not have their wanted state, by name, and why.
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
