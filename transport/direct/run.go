package direct

import (
	"context"
	"errors"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
)

const (
	// startTimeoutObjectives is after how many objectives of the request a server counts as
	// silent. An answer that begins later is late anyway.
	startTimeoutObjectives = 2
	// minStartTimeout keeps short objectives apart from the pauses of a busy server.
	minStartTimeout = 250 * time.Millisecond
)

var errStartTimeout = errors.New("no answer has begun")

// maxDials bounds the servers that one request tries to reach, so that a request
// with no reachable server is refused soon.
const maxDials = 4

// requestRun is one request on its way.
type requestRun struct {
	dispatcher *Dispatcher
	req        *amaranthtide.Request
	spec       amaranthtide.ServiceSpec
	w          amaranthtide.AnswerWriter
	// tried are the servers that the request was offered to.
	tried amaranthtide.Set[amaranthtide.BackendServerName]
	// unreachableZones are the zones of servers that could not be reached.
	unreachableZones amaranthtide.Set[amaranthtide.ZoneName]
	// possibleRuns counts the servers that may have run the request, failedDials those that could
	// not be reached.
	possibleRuns, failedDials int
	// possibleRunErr is the first error after which a server may have run the request.
	possibleRunErr error
	answer         answer
}

func (r *requestRun) serve(ctx context.Context) error {
	r.answer.w, r.answer.resumable, r.answer.stream = r.w, r.req.Resumable, r.req.Stream
	for {
		in, err := r.dispatcher.pickServer(time.Now(), r.req, r.spec, r.tried, r.unreachableZones)
		if err != nil {
			return r.finishFailed(err)
		}
		r.tried.Add(in.Name)
		r.answer.deferFailure = r.mayRepeat(1)
		err = r.sendAttempt(ctx, in)
		if err == nil {
			return r.answer.flush()
		}
		if r.possibleRunErr == nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
			r.possibleRunErr = err
		}
		if !r.mayTryAnother(ctx, err) {
			return r.finishFailed(err)
		}
	}
}

// sendAttempt sends one attempt and records its outcome.
func (r *requestRun) sendAttempt(ctx context.Context, in amaranthtide.Instance) error {
	r.dispatcher.opts.Traffic.Begin(in.Name)
	defer r.dispatcher.opts.Traffic.End(in.Name)
	r.req.Attempt = amaranthtide.NewAttemptID()
	attempt := amaranthtide.Attempt{
		Request: r.req, Server: in.Name, Address: in.Address, Deadline: r.req.Deadline, ResumeAfter: r.answer.lastEventID(),
	}
	if r.spec.Engine {
		attempt.FetchFrom = r.dispatcher.promptSource(time.Now(), r.req, in)
	}
	err := r.sendWithStartTimeout(ctx, in.Name, attempt)
	if err == nil && r.answer.deferring {
		err = amaranthtide.Errorf(amaranthtide.KindBackendFailed, "server %s answered status %d", in.Name, r.answer.deferred.head.Status)
	}
	now := time.Now()
	kind := amaranthtide.KindOf(err)
	// Silence tells nothing of the path to the zone.
	if kind != amaranthtide.KindNoBackend && kind != amaranthtide.KindOutcomeUnknown && kind != amaranthtide.KindCanceled {
		r.dispatcher.recordZone(in.Zone, func(rec *outlier.Record) { rec.Succeeded(now) })
	}
	switch {
	case err == nil && r.answer.serverFailed: // the caller got it, since no other server may run the request
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	case err == nil, kind == amaranthtide.KindCanceled && ctx.Err() == context.Canceled:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Succeeded(now) })
	case kind == amaranthtide.KindNoBackend:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Unreachable(now) })
		r.dispatcher.recordZone(in.Zone, func(rec *outlier.Record) { rec.Failed(now) })
		r.unreachableZones.Add(in.Zone)
	case kind == amaranthtide.KindFull:
	default:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	}
	r.dispatcher.opts.Observe(r.req, err)
	if err != nil {
		r.dispatcher.opts.Logger.Warn("attempt failed", "request", string(r.req.ID), "server", string(in.Name), "kind", kind.String(),
			"ran", kind.Reply().Ran.String(), "ageMillis", now.Sub(r.req.Arrived).Milliseconds(), "shown", r.answer.headSent, "error", err.Error())
	}
	return err
}

// sendWithStartTimeout sends the attempt. An attempt that may be followed by another one ends if
// its answer does not begin in time; any silence counts against the server.
func (r *requestRun) sendWithStartTimeout(ctx context.Context, server amaranthtide.BackendServerName, a amaranthtide.Attempt) error {
	timeout := max(startTimeoutObjectives*r.req.Objective, minStartTimeout)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hasAlternative := r.mayRepeat(1) && len(r.dispatcher.candidates(time.Now(), r.req.Service, r.tried)) > 0
	timeoutPhase := phaseTimedOut
	if hasAlternative {
		timeoutPhase = phaseAbandoned
	}
	r.answer.phase.Store(phaseWaiting)
	startTimer := time.AfterFunc(timeout, func() {
		if !r.answer.phase.CompareAndSwap(phaseWaiting, timeoutPhase) {
			return
		}
		r.dispatcher.recordServer(server, func(rec *outlier.Record) { rec.Failed(time.Now()) })
		if hasAlternative {
			cancel(errStartTimeout)
		}
	})
	err := r.dispatcher.opts.Courier.Send(ctx, a, &r.answer)
	startTimer.Stop()
	if err != nil && errors.Is(context.Cause(ctx), errStartTimeout) {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "server %s: %w for %s", server, errStartTimeout, timeout)
	}
	return err
}

// mayTryAnother reports whether another server may be asked after err.
func (r *requestRun) mayTryAnother(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindNoBackend:
		r.failedDials++
		return r.failedDials < maxDials
	case amaranthtide.KindFull, amaranthtide.KindLeaving, amaranthtide.KindNotOwner:
		// The server did not run it; the send counts against the budget all the same.
		return r.mayRedirect() && r.dispatcher.takeRetry(time.Now(), r.req.Service)
	case amaranthtide.KindTruncated, amaranthtide.KindBackendFailed, amaranthtide.KindOutcomeUnknown:
		r.possibleRuns++
		return r.mayRepeat(0) && r.dispatcher.takeRetry(time.Now(), r.req.Service)
	default:
		return false
	}
}

// mayRedirect reports whether a request that a server refused may go to another one.
func (r *requestRun) mayRedirect() bool { return len(r.tried)-r.failedDials < maxDials }

// mayRepeat reports whether the request may run once more after it has run on the
// given number of servers beyond those counted.
func (r *requestRun) mayRepeat(extraRuns int) bool {
	if !r.req.Repeatable() && !r.req.Resumable {
		return false
	}
	if r.answer.headSent && !r.req.Resumable {
		return false
	}
	return r.req.MaxAttempts == 0 || r.possibleRuns+extraRuns < r.req.MaxAttempts
}

// finishFailed ends the request with a held answer if there is one. An answer that has
// begun ends with the error that broke it off; else the error of an attempt that may
// have run goes before that of one that did not.
func (r *requestRun) finishFailed(err error) error {
	if r.answer.deferred != nil {
		return r.answer.writeDeferred()
	}
	if r.possibleRunErr != nil && !r.answer.headSent {
		return r.possibleRunErr
	}
	return err
}
