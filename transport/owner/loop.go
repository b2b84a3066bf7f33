package owner

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/state/load"
)

// sweepInterval is the time between two sweeps while requests wait. Reports of other
// routers, ramp steps and deadlines free slots without a call to this Owner.
const sweepInterval = 20 * time.Millisecond

func (o *Owner) wakeLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sweeps the queues while requests wait, and blocks otherwise.
func (o *Owner) run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		}
		for o.sweep(time.Now()) {
			select {
			case <-o.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// sweep starts or refuses queued requests of all servers where possible, and reports
// whether any are still waiting.
func (o *Owner) sweep(now time.Time) bool {
	var waiting []amaranthtide.BackendServerName
	o.servers.Range(func(server amaranthtide.BackendServerName, s *serverState) bool {
		if s.gate.Waiting() > 0 {
			waiting = append(waiting, server)
		}
		return true
	})
	stillWaiting := false
	for _, server := range waiting {
		o.updateServer(now, server, func(_ time.Time, s *serverState) { stillWaiting = stillWaiting || s.gate.Waiting() > 0 })
		if row, ok := o.opts.Table.BackendServer(server); ok {
			o.rebalance(now, member{server, row})
		}
	}
	return stillWaiting
}

// updateServer starts the queued requests of a server that can start, then runs f. It
// reports whether this router keeps a state of the server.
func (o *Owner) updateServer(now time.Time, server amaranthtide.BackendServerName, f func(now time.Time, s *serverState)) bool {
	row, inTable := o.opts.Table.BackendServer(server)
	owns, settled := o.opts.Control.Owns(now, server)
	owns = owns && inTable
	found, inMeanChanged := false, false
	var modelName amaranthtide.ModelName
	o.servers.Update(server, func(s *serverState, ok bool) (*serverState, bool) {
		if !ok {
			return nil, false
		}
		found, modelName = true, s.model
		o.endOldNotice(now, s)
		leaving := o.isLeaving(now, s, server, row)
		s.gate.SetOwned(now, owns)
		s.gate.SetLeaving(leaving)
		model, _ := o.opts.Table.Model(s.model)
		o.opts.LoadTracker.Update(now, s.model, server, func(v load.View) int {
			if !s.downUntil.IsZero() && s.model == "" && now.After(s.downUntil) {
				s.setDown(false)
				s.downUntil = time.Time{}
			}
			s.startNext(now, o.limits(now, s, v, model, settled))
			f(now, s)
			return s.gate.InFlight()
		})
		inMeanChanged = s.setInMean(owns && !leaving && !s.gate.SaysLeaving())
		// The state of a server that is no longer owned is removed after its last request, unless
		// the server's notice must be kept in case that ownership returns.
		return s, owns || s.gate.InFlight() > 0 || s.gate.Waiting() > 0 || inTable && s.gate.HasNotice(now)
	})
	if inMeanChanged {
		o.updateTracker(modelName)
	}
	return found
}

// Loads returns the loads of the servers that this router owns or that still run its
// requests.
func (o *Owner) Loads(now time.Time) []amaranthtide.ServerLoad {
	var loads []amaranthtide.ServerLoad
	o.servers.Range(func(_ amaranthtide.BackendServerName, s *serverState) bool {
		if s.gate.Owned() || s.gate.InFlight() > 0 || s.gate.Waiting() > 0 {
			loads = append(loads, s.gate.Load(now))
		}
		return true
	})
	return loads
}

// Status is the state of one server as seen by its owner.
type Status struct {
	Load    amaranthtide.ServerLoad
	Waiting int
	Limit   int
	Owned   bool
	Settled bool
	// Down is set if the server does not respond, Leaving if it accepts no new requests.
	Down    bool
	Leaving bool
}

// Statuses returns the status of each server of which this router keeps a state.
func (o *Owner) Statuses(now time.Time) []Status {
	var all []Status
	for _, l := range o.Loads(now) {
		st := Status{Load: l, Limit: l.Allowance}
		st.Owned, st.Settled = o.opts.Control.Owns(now, l.Server)
		o.servers.With(l.Server, func(s *serverState, ok bool) {
			if ok {
				st.Waiting, st.Down, st.Leaving = s.gate.Waiting(), s.gate.Down(), s.gate.Leaving()
			}
		})
		all = append(all, st)
	}
	return all
}

// ProbeTargets creates the state of each owned server, so that its load is probed and
// reported before its first request, and removes the states of servers that are no longer
// owned once they are idle. It returns the owned servers that report their load.
func (o *Owner) ProbeTargets(now time.Time) []amaranthtide.BackendServerName {
	var probed []amaranthtide.BackendServerName
	for _, row := range o.opts.Table.Rows(amaranthtide.RowBackendServer) {
		server := amaranthtide.BackendServerName(row.Key.Name)
		value, ok := row.Value.(amaranthtide.BackendServer)
		if !ok || value.Zone != o.opts.Zone {
			continue
		}
		if owns, _ := o.opts.Control.Owns(now, server); !owns {
			continue
		}
		_ = o.decide(now, server, value, func(time.Time, *serverState, admission.Limits) error { return nil })
		if value.Model != "" {
			probed = append(probed, server)
		}
	}
	var present []amaranthtide.BackendServerName
	o.servers.Range(func(server amaranthtide.BackendServerName, _ *serverState) bool {
		present = append(present, server)
		return true
	})
	for _, server := range present {
		o.updateServer(now, server, func(time.Time, *serverState) {})
	}
	return probed
}

// ObserveProbe handles the result of a load probe that was sent at sentAt.
func (o *Owner) ObserveProbe(sentAt time.Time, server amaranthtide.BackendServerName, r amaranthtide.EngineReport, err error) {
	o.updateServer(time.Now(), server, func(now time.Time, s *serverState) {
		if err != nil {
			s.setDown(true)
			return
		}
		s.setDown(false)
		s.gate.Observe(now, sentAt, r)
	})
	o.wakeLoop()
}
