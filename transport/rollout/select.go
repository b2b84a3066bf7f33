package rollout

import (
	"time"

	"amaranthtide"
	decision "amaranthtide/coordination/rollout"
	"amaranthtide/state/outcomes"
)

// view is what requests need to know of a service that has a rollout. It is immutable except for the
// meter.
type view struct {
	state     amaranthtide.Option[amaranthtide.RolloutState]
	order     amaranthtide.Option[amaranthtide.RolloutOrder]
	held      amaranthtide.Set[amaranthtide.VersionName]
	instances []amaranthtide.Instance
	pools     *decision.Pools
	meter     *decision.Meter
}

// Select implements direct.Versions.
func (r *Runner) Select(now time.Time, req *amaranthtide.Request, repeated bool) ([]amaranthtide.Instance, bool) {
	v, ok := r.views.Get(req.Service)
	if !ok {
		return nil, false
	}
	return v.pools.Select(r.request(now, req, repeated), v.meter), true
}

// Preview implements direct.Previewer.
func (r *Runner) Preview(now time.Time, req *amaranthtide.Request) ([]amaranthtide.Instance, bool) {
	v, ok := r.views.Get(req.Service)
	if !ok {
		return nil, false
	}
	return v.pools.Preview(r.request(now, req, false), v.meter), true
}

// request returns what the selection needs to know of req.
func (r *Runner) request(now time.Time, req *amaranthtide.Request, repeated bool) decision.Request {
	return decision.Request{Chat: req.Chat, ID: req.ID, Route: req.Route, Repeated: repeated, InContact: r.inContact(now)}
}

// PromptSources implements direct.Versions. While chats move, only the old servers have their
// prompts.
func (r *Runner) PromptSources(to amaranthtide.Instance) ([]amaranthtide.Instance, bool) {
	v, ok := r.views.Get(to.Service)
	if !ok {
		return nil, false
	}
	state, known := v.state.Get()
	isMoving := known && !state.Stage.Final()
	var sources []amaranthtide.Instance
	for _, in := range v.instances {
		if v.pools.Allows(in.Version) && (!isMoving || in.Version != state.To) {
			sources = append(sources, in)
		}
	}
	return sources, true
}

// Stage implements direct.Versions.
func (r *Runner) Stage(service amaranthtide.ServiceName) string {
	v, ok := r.views.Get(service)
	if !ok {
		return amaranthtide.RolloutStage(0).String()
	}
	state, _ := v.state.Get()
	return state.Stage.String()
}

// Record implements direct.Versions.
func (r *Runner) Record(in amaranthtide.Instance, route amaranthtide.RouteName, o outcomes.Outcome) {
	r.counter.Record(in.Service, in.Version, route, o)
	r.opts.Observe(in, o)
}

// Shares returns the part of the requests that the new version of each service with a rollout gets.
func (r *Runner) Shares() map[amaranthtide.ServiceName]float64 {
	shares := make(map[amaranthtide.ServiceName]float64)
	r.views.Range(func(name amaranthtide.ServiceName, v *view) bool {
		if state, ok := v.state.Get(); ok {
			shares[name] = state.Share
		}
		return true
	})
	return shares
}
