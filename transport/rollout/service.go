package rollout

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
	decision "amaranthtide/coordination/rollout"
)

// firstListing stands for the time at which the servers of a router's first list appeared. It is before
// every other time, so that they aren't held back once the router has the operators' table.
var firstListing = time.Unix(0, 1)

// service is what a router knows of one service and its rollout. The lock of its shard guards it.
type service struct {
	name      amaranthtide.ServiceName
	instances []amaranthtide.Instance
	arrivals  *decision.Arrivals
	// held is set while versions are held back.
	held bool
	// order is the operators' order, orderVersion the version of the last change of its row, which
	// was received at orderAt. rejected is set once it has been logged that it can't be carried out.
	order        amaranthtide.Option[amaranthtide.RolloutOrder]
	orderVersion amaranthtide.StoreVersion
	orderAt      time.Time
	// missingSince is when the row of the order was first missing in a complete table, although
	// no change has removed it; zero if it isn't.
	missingSince time.Time
	rejected     bool
	// recorded is the recorded state, in a row of the version recordedVersion; 0 means that there
	// is none. stateVersion is the version of the last change of that row.
	recorded        amaranthtide.Option[amaranthtide.RolloutState]
	recordedVersion amaranthtide.StoreVersion
	stateVersion    amaranthtide.StoreVersion
	stateAt         time.Time
	// rollback is the last rollback that a hub decided.
	rollback amaranthtide.Option[amaranthtide.RolloutState]
	// meter belongs to the rollout of the order metered.
	metered amaranthtide.StoreVersion
	meter   *decision.Meter
	// history belongs to the rollout of the order observed, whose outcomes this router has observed
	// as a hub from observedFrom to observedAt.
	observed     amaranthtide.StoreVersion
	observedFrom time.Time
	observedAt   time.Time
	history      *decision.History
	// dueSince is when a step that follows the state of version dueAfter became due; zero if
	// none is. While one is being written, and until retryAt, no other one is.
	dueSince time.Time
	dueAfter amaranthtide.StoreVersion
	writing  bool
	retryAt  time.Time
	// leads is set if this router has recorded the last step. It then doesn't wait for the hubs before
	// it in the order of readers, which didn't record that step.
	leads bool
	// lost is set if the store has come back without the recorded state, which is to be recorded again.
	lost bool
	// logged is the state that was logged last.
	logged amaranthtide.RolloutState
}

func newService(name amaranthtide.ServiceName) *service {
	return &service{name: name, arrivals: decision.NewArrivals()}
}

// setInstances replaces the listed servers, of which those of a new version appeared at the given
// time.
func (s *service) setInstances(at time.Time, instances []amaranthtide.Instance) {
	s.instances = instances
	s.arrivals.Observe(at, instances)
	s.held = true // until the next call of publish
}

// setState applies the recorded state, or its removal, in a row of the given version. A version
// that was rolled back stays so if the row is removed.
func (s *service) setState(now time.Time, version amaranthtide.StoreVersion, state amaranthtide.Option[amaranthtide.RolloutState]) {
	if !version.After(s.stateVersion) {
		return
	}
	if old, ok := s.recorded.Get(); ok && old.Stage == amaranthtide.RolloutRolledBack {
		s.rollback = s.recorded
	}
	s.recorded, s.stateVersion, s.recordedVersion, s.stateAt, s.leads = state, version, amaranthtide.StoreVersion{}, now, false
	s.lost = false
	if _, ok := state.Get(); ok {
		s.recordedVersion = version
	}
	s.dueSince, s.retryAt = time.Time{}, time.Time{}
}

// lose marks the recorded state for being recorded again, in place of a row of the given version, after the
// store has come back from an older copy.
func (s *service) lose(version amaranthtide.StoreVersion) {
	if _, ok := s.current(); !ok {
		return
	}
	s.lost, s.recordedVersion = true, version
	s.dueSince, s.retryAt = time.Time{}, time.Time{}
}

// continues reports whether a row of a later era has the order that is known: the operator has written it
// again after a restore, or the copy has it.
func (s *service) continues(version amaranthtide.StoreVersion, order amaranthtide.Option[amaranthtide.RolloutOrder]) bool {
	old, known := s.order.Get()
	o, ok := order.Get()
	return known && ok && o == old && s.orderVersion.Era() < version.Era()
}

// adopt makes a rollout go on under the version that its order has in a later era. What was recorded under
// the earlier one is recorded again.
func (s *service) adopt() {
	order, ok := s.order.Get()
	if !ok {
		return
	}
	move := func(state *amaranthtide.Option[amaranthtide.RolloutState]) bool {
		v, ok := state.Get()
		if !ok || v.To != order.To || v.Order.Era() >= s.orderVersion.Era() {
			return false
		}
		if s.metered == v.Order {
			s.metered = s.orderVersion
		}
		if s.observed == v.Order {
			s.observed = s.orderVersion
		}
		v.Order = s.orderVersion
		*state = amaranthtide.Some(v)
		return true
	}
	if move(&s.recorded) {
		s.lost = true
	}
	move(&s.rollback)
}

// setRollback applies a rollback that a hub decided and reports whether it changes the current
// state. The recorded state of a later order replaces it, and so does a recorded success, after
// which the old servers are stopped.
func (s *service) setRollback(rollback amaranthtide.RolloutState) bool {
	if old, ok := s.rollback.Get(); ok && !old.Order.Before(rollback.Order) {
		return false
	}
	if recorded, ok := s.recorded.Get(); ok && (recorded.Order.After(rollback.Order) || recorded.Order == rollback.Order && (recorded.Stage.Final() || recorded.To != rollback.To)) {
		return false
	}
	s.rollback = amaranthtide.Some(rollback)
	return true
}

// current returns the state that is in force, which may be a rollback that isn't recorded, and false
// if none is known.
func (s *service) current() (amaranthtide.RolloutState, bool) {
	state, known := decision.Effective(s.recorded, s.rollback).Get()
	if recorded, ok := s.recorded.Get(); ok {
		state.Barred = recorded.Barred // messages about rollbacks don't have them
	}
	return state, known
}

// unrecorded reports whether a rollback is in force that the recorded state doesn't show.
func (s *service) unrecorded() bool {
	state, known := s.current()
	recorded, isRecorded := s.recorded.Get()
	isShown := isRecorded && recorded.Order == state.Order && recorded.Stage == state.Stage
	return known && state.Stage == amaranthtide.RolloutRolledBack && !isShown
}

// running returns the state of the rollout that runs, and false if none does.
func (s *service) running() (amaranthtide.RolloutState, bool) {
	state, known := s.current()
	return state, known && !state.Stage.Final()
}

// withdrawn reports whether the order of a running rollout no longer stands. tableVersion is the
// version up to which the operators' table is known.
func (s *service) withdrawn(now time.Time, state amaranthtide.RolloutState, tableVersion amaranthtide.StoreVersion) bool {
	_, present := s.order.Get()
	switch {
	case s.orderVersion == state.Order && present:
		s.missingSince = time.Time{}
		return false
	case s.orderVersion.After(state.Order):
		return true
	case tableVersion.Before(state.Order):
		return false // the order may follow
	}
	// The row was removed before this router started, or is just being applied.
	if s.missingSince.IsZero() {
		s.missingSince = now
	}
	return now.Sub(s.missingSince) >= missingDelay
}

// ordered returns the order if a rollout of it is to be started.
func (s *service) ordered() (amaranthtide.RolloutOrder, bool) {
	order, ok := s.order.Get()
	state, known := s.current()
	return order, ok && (!known || state.Order.Before(s.orderVersion))
}

// observe adds the sums over the fleet to the history of the running rollout. It begins a new one
// if this router was no hub a moment ago: the outcomes of others have accumulated since.
func (s *service) observe(now time.Time, state amaranthtide.RolloutState, totals []amaranthtide.VersionOutcomes) {
	if s.observed != state.Order || now.Sub(s.observedAt) > maxObservationGap {
		s.observed, s.observedFrom, s.history = state.Order, now, decision.NewHistory(now, state)
	}
	s.observedAt = now
	s.history.Observe(now, totals)
}

// publish makes the servers that requests may use known to Select, and logs a change of the stage.
// The caller holds the lock of the service.
func (r *Runner) publish(now time.Time, s *service) {
	held, _ := s.arrivals.Held(now, fromUnixNano(r.confirmed.Load()))
	s.held = len(held) > 0
	state, known := s.current()
	_, ordered := s.order.Get()
	if known {
		r.logStage(s, state)
	}
	if !known && !ordered && !s.held {
		r.views.Delete(s.name)
		return
	}
	v := &view{order: s.order, held: held, instances: s.instances}
	if known {
		if s.metered != state.Order {
			s.metered, s.meter = state.Order, decision.NewMeter(rand.Float64(), r.counter.Own(s.name))
		}
		v.state, v.meter = amaranthtide.Some(state), s.meter
	}
	v.pools = decision.NewPools(decision.View{State: v.state, Order: v.order, Held: v.held, Instances: v.instances})
	r.views.Set(s.name, v)
}

// logStage logs the state if its stage or share is new, with the outcomes that this router knows:
// on a hub, those of the fleet.
func (r *Runner) logStage(s *service, state amaranthtide.RolloutState) {
	if s.logged.Order == state.Order && s.logged.Stage == state.Stage && s.logged.Share == state.Share {
		return
	}
	s.logged = state
	log := r.opts.Logger.Info
	if state.Stage == amaranthtide.RolloutRolledBack {
		log = r.opts.Logger.Warn
	}
	log("rollout stage changed", "service", string(s.name), "to", string(state.To), "stage", state.Stage.String(), "share", percent(state.Share), "order", state.Order.String(),
		"reason", state.Reason, "recorded", !s.unrecorded(), "deadline", state.Deadline, "outcomes", outcomesText(r.counter.Totals(s.name)))
	if state.Stage.Final() {
		r.counter.Forget(s.name)
	}
}

// percent returns a share as text for logs.
func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

// outcomesText returns outcomes, summed over the zones, as text for logs. They are ordered by
// version and route.
func outcomesText(totals []amaranthtide.VersionOutcomes) string {
	var sums []amaranthtide.VersionOutcomes
	for _, o := range totals {
		if last := len(sums) - 1; last >= 0 && sums[last].Version == o.Version && sums[last].Route == o.Route {
			sums[last].Answers += o.Answers
			sums[last].Failures += o.Failures
			sums[last].Durations.Merge(o.Durations)
			continue
		}
		sums = append(sums, o)
	}
	texts := make([]string, len(sums))
	for i, o := range sums {
		texts[i] = fmt.Sprintf("%s/%s: %d answers, %d failed, median %s, 95%% %s", o.Version, o.Route, o.Answers, o.Failures,
			o.Durations.Quantile(0.5).Round(time.Millisecond), o.Durations.Quantile(0.95).Round(time.Millisecond))
	}
	return strings.Join(texts, "; ")
}
