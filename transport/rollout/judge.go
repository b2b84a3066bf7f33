package rollout

import (
	"slices"
	"time"

	"amaranthtide"
	decision "amaranthtide/coordination/rollout"
)

// step is a state that should be recorded for a service next.
type step struct {
	state amaranthtide.RolloutState
	// isVerdict is set for rollbacks that the outcomes demand. They take effect before they are
	// recorded. The others follow from the time or the order. This router may have been suspended or
	// cut off and not know the newest state, so they take effect when they are recorded.
	isVerdict bool
}

// judge determines on a hub which steps are due: rollbacks that the outcomes demand take effect at
// once, and the steps that are this hub's turn are passed to loop for recording.
func (r *Runner) judge(now time.Time) {
	if !r.network.IsHub(now) {
		return
	}
	position := r.network.Position(now).Zone
	age := r.reportAge(now)
	isRolledBack := false
	for _, name := range r.names() {
		r.services.With(name, func(s *service, ok bool) {
			if !ok {
				return
			}
			next, due := r.next(now, s, age)
			if due && next.isVerdict && s.setRollback(next.state) {
				isRolledBack = true
				r.publish(now, s)
			}
			r.propose(now, s, next.state, due, position)
		})
	}
	if isRolledBack {
		r.network.SendRollbacks(now)
	}
}

// next returns the step that is due for a service, and false if none is. The caller holds the lock
// of the service.
func (r *Runner) next(now time.Time, s *service, age time.Duration) (step, bool) {
	if s.unrecorded() || s.lost {
		state, _ := s.current()
		return step{state: state}, true
	}
	state, isRunning := s.running()
	var running step
	isDue := false
	if isRunning {
		running, isDue = r.nextOfRunning(now, s, state, age)
	}
	if isDue && running.isVerdict {
		return running, true
	}
	if order, ok := s.ordered(); ok {
		first, err := r.first(s, order)
		if err == nil {
			return step{state: first}, true
		}
		if !s.rejected {
			s.rejected = true
			r.opts.Logger.Warn("order of a rollout ignored", "service", string(s.name), "to", string(order.To), "order", s.orderVersion.String(), "error", err)
		}
	}
	return running, isDue
}

// nextOfRunning returns the step that is due for the running rollout with the given state.
func (r *Runner) nextOfRunning(now time.Time, s *service, state amaranthtide.RolloutState, age time.Duration) (step, bool) {
	s.observe(now, state, r.counter.Totals(s.name))
	e := r.evidence(now, s, state)
	e.Age, e.OrderStands = age, true
	isWithdrawn := s.withdrawn(now, state, r.opts.Rows.Version(r.opts.DeclaredTable).Or(amaranthtide.StoreVersion{}))
	if !isWithdrawn || r.demandsRollback(state, e) {
		next, due := decision.Next(now, state, e, r.opts.Limits)
		isRollback := next.Stage == amaranthtide.RolloutRolledBack
		isPromotion := next.Share > state.Share || next.Stage == amaranthtide.RolloutSucceeded
		if due && isPromotion && now.Sub(s.observedFrom) < minObservation {
			// A router that has just started takes itself for a hub until it knows the others.
			return step{}, false
		}
		return step{next, due && isRollback && r.demandsRollback(state, e)}, due
	}
	state.Stage, state.Share, state.Reason = amaranthtide.RolloutRolledBack, 0, "order withdrawn"
	return step{state: state}, true
}

// demandsRollback reports whether the outcomes alone require a rollback. It decides as of the start of the
// rollout, when nothing is due by the time.
func (r *Runner) demandsRollback(state amaranthtide.RolloutState, e decision.Evidence) bool {
	e.NewServers = max(e.NewServers, 1)
	next, due := decision.Next(state.StartedAt, state, e, r.opts.Limits)
	return due && next.Stage == amaranthtide.RolloutRolledBack
}

// first returns the first state of the rollout that an order asks for, whose time runs since the
// order was received. An error tells why there is none.
func (r *Runner) first(s *service, order amaranthtide.RolloutOrder) (amaranthtide.RolloutState, error) {
	if !r.isKnown(s) {
		return amaranthtide.RolloutState{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "unknown service %q", s.name)
	}
	if previous, ok := s.current(); ok {
		return decision.Replace(s.orderAt, previous, order, s.orderVersion, r.opts.Limits)
	}
	return decision.Start(s.orderAt, order, s.orderVersion, r.opts.Limits)
}

// isKnown reports whether the configuration declares the service or servers of it are listed.
func (r *Runner) isKnown(s *service) bool {
	if len(s.instances) > 0 {
		return true
	}
	snapshot, ok := r.opts.Configuration.Current()
	if !ok {
		return false
	}
	_, declared := snapshot.Service(s.name)
	return declared
}

// evidence returns what this router knows of the servers and their answers, for the decision on
// the given state.
func (r *Runner) evidence(now time.Time, s *service, state amaranthtide.RolloutState) decision.Evidence {
	e := decision.Evidence{Windows: s.history.Windows(), StateAge: now.Sub(s.stateAt)}
	for _, in := range s.instances {
		switch {
		case slices.Contains(state.Barred, in.Version): // gets no requests, whatever becomes of this rollout
		case in.Version != state.To:
			e.InFlightOld += r.opts.Traffic.Load(now, in.Name)
			if !in.Leaving {
				e.OldServers++
			}
		case !in.Leaving:
			e.NewServers++
		}
	}
	if state.Share >= 1 && now.Sub(s.stateAt) < loadDelay {
		e.InFlightOld = max(e.InFlightOld, 1)
	}
	return e
}

// reportAge returns the age of the oldest outcomes among the routers that report.
func (r *Runner) reportAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Duration(0)
	for vm, at := range r.reports {
		age := now.Sub(at)
		if age > reportingAge {
			delete(r.reports, vm)
			continue
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// propose passes a step to loop if it is this hub's turn to record it. The caller holds the lock of
// the service.
func (r *Runner) propose(now time.Time, s *service, state amaranthtide.RolloutState, due bool, position int) {
	if !due {
		s.dueSince = time.Time{}
		return
	}
	if s.dueSince.IsZero() || s.dueAfter != s.recordedVersion {
		s.dueSince, s.dueAfter = now, s.recordedVersion
	}
	if s.leads {
		position = 0
	}
	if s.writing || now.Before(s.retryAt) || now.Sub(s.dueSince) < turn(position) {
		return
	}
	select {
	case r.writes <- write{previous: s.recordedVersion, state: state}:
		s.writing = true
	default: // tried again at the next tick
	}
}

// turn returns how long a step must have been due until the hub of the zone at the given position
// records it.
func turn(position int) time.Duration {
	if position <= 0 {
		return 0
	}
	return takeoverDelay + takeoverStep*time.Duration(position-1)
}
