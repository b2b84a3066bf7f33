package direct

import (
	"context"
	"errors"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
)

const (
	// silentObjectives is after how many objectives of the request a server counts as
	// silent. An answer that begins later is late anyway.
	silentObjectives = 2
	// minSilence keeps short objectives apart from the pauses of a busy server.
	minSilence = 250 * time.Millisecond
)

var errSilent = errors.New("no answer has begun")

// maxDials bounds the servers that one request tries to reach, so that a request
// with no reachable server is refused soon.
const maxDials = 4

// run is one request on its way.
type run struct {
	d    *Dispatcher
	req  *amaranthtide.Request
	spec amaranthtide.ServiceSpec
	w    amaranthtide.AnswerWriter
	// tried are the servers that the request was offered to.
	tried amaranthtide.Set[amaranthtide.BackendServerName]
	// unreached are the zones of servers that could not be reached.
	unreached amaranthtide.Set[amaranthtide.ZoneName]
	// sent counts the servers that may have run the request, dials those that could
	// not be reached.
	sent, dials int
	// ran is the first error after which a server may have run the request.
	ran    error
	answer answer
}

func (r *run) serve(ctx context.Context) error {
	r.answer.w, r.answer.resumable, r.answer.stream = r.w, r.req.Resumable, r.req.Stream
	for {
		in, err := r.d.pick(time.Now(), r.req, r.spec, r.tried, r.unreached)
		if err != nil {
			return r.giveUp(err)
		}
		r.tried.Add(in.Name)
		r.answer.mayHold = r.mayRepeat(1)
		err = r.send(ctx, in)
		if err == nil {
			return r.answer.flush()
		}
		if r.ran == nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
			r.ran = err
		}
		if !r.again(ctx, err) {
			return r.giveUp(err)
		}
	}
}

// send sends one attempt and records its outcome.
func (r *run) send(ctx context.Context, in amaranthtide.Instance) error {
	r.d.opts.Traffic.Begin(in.Name)
	defer r.d.opts.Traffic.End(in.Name)
	r.req.Attempt = amaranthtide.NewAttemptID()
	attempt := amaranthtide.Attempt{
		Request: r.req, Server: in.Name, Address: in.Address, Deadline: r.req.Deadline, ResumeAfter: r.answer.lastID(),
	}
	if r.spec.Engine {
		attempt.FetchFrom = r.d.source(time.Now(), r.req, in)
	}
	err := r.exchange(ctx, in.Name, attempt)
	if err == nil && r.answer.holding {
		err = amaranthtide.Errorf(amaranthtide.KindBackendFailed, "server %s answered status %d", in.Name, r.answer.held.head.Status)
	}
	now := time.Now()
	kind := amaranthtide.KindOf(err)
	// Silence tells nothing of the path to the zone.
	if kind != amaranthtide.KindNoBackend && kind != amaranthtide.KindOutcomeUnknown && kind != amaranthtide.KindCanceled {
		r.d.noteZone(in.Zone, func(rec *outlier.Record) { rec.Succeeded(now) })
	}
	switch {
	case err == nil && r.answer.failed: // the caller got it, since no other server may run the request
		r.d.note(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	case err == nil, kind == amaranthtide.KindCanceled && ctx.Err() == context.Canceled:
		r.d.note(in.Name, func(rec *outlier.Record) { rec.Succeeded(now) })
	case kind == amaranthtide.KindNoBackend:
		r.d.note(in.Name, func(rec *outlier.Record) { rec.Unreachable(now) })
		r.d.noteZone(in.Zone, func(rec *outlier.Record) { rec.Failed(now) })
		r.unreached.Add(in.Zone)
	case kind == amaranthtide.KindFull:
	default:
		r.d.note(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	}
	r.d.opts.Observe(r.req, err)
	if err != nil {
		r.d.opts.Logger.Warn("attempt failed", "request", string(r.req.ID), "server", string(in.Name), "kind", kind.String(),
			"ran", kind.Reply().Ran.String(), "ageMillis", now.Sub(r.req.Arrived).Milliseconds(), "shown", r.answer.shown, "error", err.Error())
	}
	return err
}

// exchange sends the attempt. An attempt that may be followed by another one ends if
// its answer does not begin in time; any silence counts against the server.
func (r *run) exchange(ctx context.Context, server amaranthtide.BackendServerName, a amaranthtide.Attempt) error {
	timeout := max(silentObjectives*r.req.Objective, minSilence)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	more := r.mayRepeat(1) && len(r.d.candidates(time.Now(), r.req.Service, r.tried)) > 0
	outcome := phaseSilent
	if more {
		outcome = phaseAbandoned
	}
	r.answer.phase.Store(phaseWaiting)
	silence := time.AfterFunc(timeout, func() {
		if !r.answer.phase.CompareAndSwap(phaseWaiting, outcome) {
			return
		}
		r.d.note(server, func(rec *outlier.Record) { rec.Failed(time.Now()) })
		if more {
			cancel(errSilent)
		}
	})
	err := r.d.opts.Courier.Send(ctx, a, &r.answer)
	silence.Stop()
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "server %s: %w for %s", server, errSilent, timeout)
	}
	return err
}

// again reports whether another server may be asked after err.
func (r *run) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindNoBackend:
		r.dials++
		return r.dials < maxDials
	case amaranthtide.KindFull, amaranthtide.KindLeaving, amaranthtide.KindNotOwner:
		// The server did not run it; the send counts against the budget all the same.
		return r.mayRedirect() && r.d.takeRetry(time.Now(), r.req.Service)
	case amaranthtide.KindTruncated, amaranthtide.KindBackendFailed, amaranthtide.KindOutcomeUnknown:
		r.sent++
		return r.mayRepeat(0) && r.d.takeRetry(time.Now(), r.req.Service)
	default:
		return false
	}
}

// mayRedirect reports whether a request that a server refused may go to another one.
func (r *run) mayRedirect() bool { return len(r.tried)-r.dials < maxDials }

// mayRepeat reports whether the request may run once more after it has run on the
// given number of servers beyond those counted.
func (r *run) mayRepeat(more int) bool {
	if !r.req.Repeatable() && !r.req.Resumable {
		return false
	}
	if r.answer.shown && !r.req.Resumable {
		return false
	}
	return r.req.MaxAttempts == 0 || r.sent+more < r.req.MaxAttempts
}

// giveUp ends the request with a held answer if there is one. An answer that has
// begun ends with the error that broke it off; else the error of an attempt that may
// have run goes before that of one that did not.
func (r *run) giveUp(err error) error {
	if r.answer.held != nil {
		return r.answer.release()
	}
	if r.ran != nil && !r.answer.shown {
		return r.ran
	}
	return err
}
