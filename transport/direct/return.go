package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/ratelimit"
)

// serverReturn is when a server that takes no request now takes one again.
type serverReturn struct {
	server amaranthtide.BackendServerName
	reason amaranthtide.Exclusion
	at     time.Time
}

// earliestReturn returns when the first of the servers reopens that pauses or has a limit, and false if none
// does.
func (d *Dispatcher) earliestReturn(now time.Time, servers []amaranthtide.Instance, tried amaranthtide.Set[amaranthtide.BackendServerName]) (earliest serverReturn, ok bool) {
	for _, in := range servers {
		if tried.Has(in.Name) {
			continue
		}
		reason, at := d.exclusion(now, in)
		found := reason == amaranthtide.ExclusionPause
		if reason == amaranthtide.ExclusionRate {
			at, found = d.turn(now, in)
		}
		if found && (!ok || at.Before(earliest.at)) {
			earliest, ok = serverReturn{in.Name, reason, at}, true
		}
	}
	return earliest, ok
}

// awaitReturn waits until the first server reopens that pauses or has a limit, if that is soon.
func (r *requestRun) awaitReturn(ctx context.Context) bool {
	now := time.Now()
	next, ok := r.dispatcher.earliestReturn(now, r.alternatives(now), r.tried)
	if !ok || !outlier.ShouldWait(now, next.at, r.req.Deadline) {
		return false
	}
	if next.reason == amaranthtide.ExclusionRate {
		if r.mustEndWait(now, next.at) {
			return false
		}
		r.holdBack()
		r.dispatcher.limits.wait(next.server, 1)
		defer r.dispatcher.limits.wait(next.server, -1)
	}
	timer := time.NewTimer(next.at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mustEndWait reports whether a request that waits until the given time would wait longer for limited servers
// than one wait may last. Another request may have taken what it waited for.
func (r *requestRun) mustEndWait(now, until time.Time) bool {
	if r.limitWaitBegan.IsZero() {
		r.limitWaitBegan = now
	}
	return !outlier.ShouldWait(r.limitWaitBegan, until, r.req.Deadline)
}

// withReturn adds the time after which a server is expected to take the request to the error of
// a request that none takes now.
func (r *requestRun) withReturn(now time.Time, err error) error {
	servers := r.alternatives(now)
	next, ok := r.dispatcher.earliestReturn(now, servers, nil)
	if amaranthtide.IsKind(err, amaranthtide.KindNoBackend) && r.dispatcher.anyLimited(now, servers) {
		return r.limitError(now, next)
	}
	if !ok {
		return err
	}
	return amaranthtide.WithRetryAfter(err, outlier.RetryAfter(now, next.at, rand.Float64()))
}

// anyLimited reports whether one of the servers takes no request now because of its limit.
func (d *Dispatcher) anyLimited(now time.Time, servers []amaranthtide.Instance) bool {
	for _, in := range servers {
		if reason, _ := d.exclusion(now, in); reason == amaranthtide.ExclusionRate {
			return true
		}
	}
	return false
}

// limitError returns the error of a request for which no server has a request left within its limit. next is
// zero if this router sends to none of them.
func (r *requestRun) limitError(now time.Time, next serverReturn) error {
	r.rejectedByLimit = true
	if !r.preview {
		r.holdBack()
	}
	err := amaranthtide.Errorf(amaranthtide.KindFull, "service %s: no server may take the request within its limit, %d were tried", r.req.Service, len(r.tried))
	return amaranthtide.WithRetryAfter(err, ratelimit.RetryAfter(now, next.at, rand.Float64()))
}
