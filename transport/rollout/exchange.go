package rollout

import (
	"time"

	"amaranthtide"
	"amaranthtide/state/outcomes"
)

// Outcomes implements peers.Rollouts.
func (r *Runner) Outcomes(_ time.Time, isIncluded func(amaranthtide.VMName) bool) []outcomes.List {
	var lists []outcomes.List
	for _, name := range r.runningServices() {
		for _, l := range r.counter.Lists(name) {
			if isIncluded(l.VM) {
				lists = append(lists, l)
			}
		}
	}
	return lists
}

// runningServices returns the services with a rollout that runs.
func (r *Runner) runningServices() []amaranthtide.ServiceName {
	var names []amaranthtide.ServiceName
	r.services.Range(func(name amaranthtide.ServiceName, s *service) bool {
		if _, ok := s.running(); ok {
			names = append(names, name)
		}
		return true
	})
	return names
}

// MergeOutcomes implements peers.Rollouts. Outcomes of services without a rollout, such as late
// ones, are dropped.
func (r *Runner) MergeOutcomes(now time.Time, lists []outcomes.List) {
	for _, l := range lists {
		if len(l.Outcomes) == 0 {
			continue
		}
		name, isRunning := l.Outcomes[0].Service, false
		r.services.With(name, func(s *service, ok bool) {
			if ok {
				_, isRunning = s.running()
			}
		})
		if !isRunning {
			continue
		}
		r.counter.Merge(name, l)
		if l.VM == r.opts.VM {
			continue // an earlier run of this router
		}
		r.mu.Lock()
		r.reports[l.VM] = now
		r.mu.Unlock()
	}
}

// Rollbacks implements peers.Rollouts.
func (r *Runner) Rollbacks(time.Time) []amaranthtide.RolloutState {
	var out []amaranthtide.RolloutState
	r.services.Range(func(_ amaranthtide.ServiceName, s *service) bool {
		if s.unrecorded() {
			state, _ := s.current()
			out = append(out, state)
		}
		return true
	})
	return out
}

// MergeRollbacks implements peers.Rollouts.
func (r *Runner) MergeRollbacks(now time.Time, rollbacks []amaranthtide.RolloutState) bool {
	isNew := false
	for _, rollback := range rollbacks {
		if r.services.Len() >= maxServices {
			if _, known := r.services.Get(rollback.Service); !known {
				continue
			}
		}
		r.update(now, rollback.Service, func(s *service) { isNew = s.setRollback(rollback) || isNew })
	}
	return isNew
}
