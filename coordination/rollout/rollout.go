// Package rollout decides how a service moves to servers of another version: which stage
// follows, whether the new version is good, and which servers a request may use.
//
// A rollout is one RolloutState, which routers record in the platform's store under the
// condition that nobody has recorded another one. Next is a function of the state and of what the
// fleet has counted, so any router may propose the next state. In the canary stage a small share
// of the requests goes to a few servers of the new version. Answers are compared side by side,
// by route, with those that the old versions gave at the same time. After the verdict, the chats
// move in steps.
//
// Every version other than the order's To is an old version, except those that earlier rollouts
// have not found good (RolloutState.Barred).
//
// # Usage
//
//	state, err := rollout.Start(now, order, row, limits)
//
//	h := rollout.NewHistory(now, state)
//	h.Observe(now, counter.Totals(state.Service)) // several times per second
//	next, due := rollout.Next(now, state, rollout.Evidence{Windows: h.Windows(), ...}, limits)
//
//	state := rollout.Effective(recorded, announced)
//	p := rollout.NewPools(rollout.View{State: state, Instances: instances}) // on each change
//	instances := p.Select(rollout.Request{Chat: chat, ID: id, InContact: contact}, meter)
//
// The package does no I/O.
package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthtide"
)

// Limits bounds what a bad version may do. The zero value means that rollouts are off.
type Limits struct {
	// ExposureShare is the part of a service's requests that a bad version may get, and
	// ExposureSlack the number of requests that it may get in addition.
	ExposureShare float64
	ExposureSlack int
	// RollbackBound is the time within which a bad version gets no more requests, from its 50th
	// bad answer on.
	RollbackBound time.Duration
}

// Enabled reports whether the deployment has rollouts.
func (l Limits) Enabled() bool { return l.ExposureShare > 0 }

// minDuration is the shortest duration of an order: a shorter one leaves no time to count answers
// and to move the chats.
const minDuration = 2 * time.Second

// maxDuration is the longest duration of an order.
const maxDuration = 24 * time.Hour

// maxBarred is the number of versions in RolloutState.Barred. Servers of earlier ones have
// long been stopped.
const maxBarred = 8

// canaryMargin is the part of the exposure share that the canary requests use. The rest is for the
// additional ones on small routes, and for traffic that falls before the deadline.
const canaryMargin = 0.85

// Start returns the first state of the rollout that the order in the row of the given version asks
// for. An error tells what is wrong with the order.
func Start(now time.Time, order amaranthtide.RolloutOrder, row amaranthtide.StoreVersion, limits Limits) (amaranthtide.RolloutState, error) {
	if err := check(order, row, limits); err != nil {
		return amaranthtide.RolloutState{}, err
	}
	return amaranthtide.RolloutState{
		Service: order.Service, Order: row, To: order.To, Stage: amaranthtide.RolloutCanary, Share: canaryMargin * limits.ExposureShare,
		StartedAt: now, Deadline: now.Add(order.Duration), Reason: "order",
	}, nil
}

// Replace returns the first state of a rollout that follows another one of the same service. A
// version that the earlier one has not found good gets no requests, unless the order names it.
func Replace(now time.Time, previous amaranthtide.RolloutState, order amaranthtide.RolloutOrder, row amaranthtide.StoreVersion, limits Limits) (amaranthtide.RolloutState, error) {
	s, err := Start(now, order, row, limits)
	if err != nil {
		return s, err
	}
	s.Barred = slices.Clone(previous.Barred)
	if previous.Stage != amaranthtide.RolloutSucceeded {
		s.Barred = append(s.Barred, previous.To)
	}
	s.Barred = slices.DeleteFunc(s.Barred, func(v amaranthtide.VersionName) bool { return v == order.To })
	s.Barred = s.Barred[max(0, len(s.Barred)-maxBarred):]
	return s, nil
}

// Effective returns the state by which a router acts, given the recorded one and the last rollback
// that a hub has announced, if there are any. A rollback counts before it is recorded, and whatever
// rows arrive later. Only the end of the rollout that is recorded overrides it: at success the old
// servers are stopped.
func Effective(recorded, announced amaranthtide.Option[amaranthtide.RolloutState]) amaranthtide.Option[amaranthtide.RolloutState] {
	r, ok := recorded.Get()
	a, isAnnounced := announced.Get()
	if !isAnnounced || a.Stage != amaranthtide.RolloutRolledBack || ok && (r.Order.After(a.Order) || r.Order == a.Order && r.Stage.Final()) {
		return recorded
	}
	return announced
}

func check(order amaranthtide.RolloutOrder, row amaranthtide.StoreVersion, limits Limits) error {
	switch {
	case !limits.Enabled():
		return errors.New("rollouts are off")
	case order.Service == "":
		return errors.New("order without a service")
	case order.To == "":
		return errors.New("order without a version")
	case order.Duration < minDuration || order.Duration > maxDuration:
		return fmt.Errorf("order with a duration of %v, allowed: %v to %v", order.Duration, minDuration, maxDuration)
	case row.IsZero():
		return errors.New("order without a row version")
	}
	return nil
}
