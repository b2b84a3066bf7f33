package direct

import (
	"context"
	"errors"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/continuation"
	"amaranthtide/state/outcomes"
)

// Versions tells which servers requests may use while a service moves to servers of another
// version, and counts how the attempts end.
type Versions interface {
	// Select returns the servers that a request may use, and false if it may use all servers of
	// its service. Repeated is set for all selections but the first one of a request.
	Select(now time.Time, req *amaranthtide.Request, repeated bool) ([]amaranthtide.Instance, bool)
	// PromptSources returns the servers from which the given one may fetch cached prompts, and
	// false if these are all servers of the service.
	PromptSources(to amaranthtide.Instance) ([]amaranthtide.Instance, bool)
	// Stage returns the stage of the service's rollout for the log.
	Stage(service amaranthtide.ServiceName) string
	// Record counts the outcome of an attempt at a server.
	Record(in amaranthtide.Instance, route amaranthtide.RouteName, o outcomes.Outcome)
}

// Previewer is implemented by Versions that can tell which servers a request would get.
type Previewer interface {
	// Preview returns what Select would for the first selection of a request, but doesn't count it.
	Preview(now time.Time, req *amaranthtide.Request) ([]amaranthtide.Instance, bool)
}

// selection counts the selections of servers of one request.
type selection struct {
	count int
	// again is set once the request has got another selection without an attempt.
	again bool
}

// selectServers returns the servers that the next attempt may use.
func (r *requestRun) selectServers(now time.Time) []amaranthtide.Instance {
	repeated := r.selection.count > 0
	r.selection.count++
	return r.allowed(now, repeated)
}

// alternatives returns the servers that another attempt of the request could use.
func (r *requestRun) alternatives(now time.Time) []amaranthtide.Instance { return r.allowed(now, true) }

// allowed returns the servers that the request may use. The list of servers is read first: a
// server of a new version is held back before it is listed there.
func (r *requestRun) allowed(now time.Time, repeated bool) []amaranthtide.Instance {
	all := r.dispatcher.opts.Servers.ByService(r.req.Service)
	if r.dispatcher.opts.Versions == nil {
		return r.ofStream(all)
	}
	if servers, ok := r.selectVersions(now, repeated); ok {
		return r.ofStream(servers)
	}
	return r.ofStream(all)
}

// selectVersions returns the servers that the request may use by their versions, and false if it may
// use all.
func (r *requestRun) selectVersions(now time.Time, repeated bool) ([]amaranthtide.Instance, bool) {
	versions := r.dispatcher.opts.Versions
	if r.preview && !repeated {
		// A Versions that has no preview selects as for a repeated request, which it doesn't count.
		if previewer, ok := versions.(Previewer); ok {
			return previewer.Preview(now, r.req)
		}
		repeated = true
	}
	return versions.Select(now, r.req, repeated)
}

// selectAgain reports whether a request for which the first selection had no usable server gets
// another one, as if it were repeated.
func (r *requestRun) selectAgain() bool {
	if r.dispatcher.opts.Versions == nil || r.selection.again || r.selection.count != 1 {
		return false
	}
	r.selection.again = true
	return true
}

// meanLoad returns the mean load by which the load of an engine is limited, and the number of
// engines. Engines of a version that gets few requests don't raise the limit of the others, nor do
// they get more than the service as a whole allows: operators define the limit by the mean of the
// service.
func (r *requestRun) meanLoad(now time.Time, servers []amaranthtide.Instance) (mean float64, n int) {
	mean, n = r.dispatcher.meanLoad(now, servers)
	all := r.dispatcher.opts.Servers.ByService(r.req.Service)
	if len(all) == len(servers) {
		return mean, n
	}
	meanOfAll, _ := r.dispatcher.meanLoad(now, all)
	return min(mean, meanOfAll), n
}

// promptSources returns the engines from which the given one may fetch a prompt: those of its version, since what
// two versions write doesn't fit together.
func (d *Dispatcher) promptSources(to amaranthtide.Instance) []amaranthtide.Instance {
	if d.opts.Versions != nil {
		if sources, ok := d.opts.Versions.PromptSources(to); ok {
			return sources
		}
	}
	return continuation.Servers(d.opts.Servers.ByService(to.Service), to.Version)
}

// withVersion adds the version of the server and the stage of its service to the fields of a log
// line, if the deployment has rollouts.
func (r *requestRun) withVersion(in amaranthtide.Instance, fields ...any) []any {
	if r.dispatcher.opts.Versions == nil {
		return fields
	}
	return append(fields, "version", string(in.Version), "stage", r.dispatcher.opts.Versions.Stage(in.Service))
}

// recordVersion counts the outcome of an attempt, unless it says nothing of the server.
func (r *requestRun) recordVersion(ctx context.Context, now time.Time, in amaranthtide.Instance, err error) {
	if r.dispatcher.opts.Versions == nil || !concernsServer(ctx, err) {
		return
	}
	answered := now
	if !r.answer.begunAt.IsZero() {
		// The first event of a stream, or the end of another answer, which is passed on once it is
		// complete. The time in which the caller reads doesn't count.
		answered = r.answer.begunAt
	}
	r.dispatcher.opts.Versions.Record(in, r.req.Route, outcomes.Outcome{
		Zone: in.Zone, Failed: err != nil || r.answer.serverFailed, Duration: answered.Sub(r.attemptSentAt), Cold: r.attemptSentAt.Before(in.ColdUntil),
	})
}

// concernsServer reports whether the end of an attempt says something of the software of the
// server: not if the caller left, if no connection could be opened, or if the server leaves or has
// been replaced at its address, or if the fault is the router's own.
func concernsServer(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindNoBackend, amaranthtide.KindLeaving, amaranthtide.KindNotOwner, amaranthtide.KindInternal:
		return false
	case amaranthtide.KindCanceled:
		return ctx.Err() != nil // the time limit of the route ended
	default:
		return true
	}
}
