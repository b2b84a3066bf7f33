package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/overload"
	"amaranthtide/coordination/quarantine"
	"amaranthtide/coordination/ratelimit"
	"amaranthtide/coordination/reuse"
)

const (
	// startTimeoutObjectives is the start timeout of an attempt as a multiple of the
	// request's objective. An answer that starts later has missed the objective anyway.
	startTimeoutObjectives = 2
	// minStartTimeout keeps short objectives from timing out during the ordinary pauses of
	// a busy server.
	minStartTimeout = 250 * time.Millisecond
)

var errStartTimeout = errors.New("answer not started in time")

// maxDials limits the failed connections of one request, so that the request is refused
// quickly if no server can be reached. mayRedirect limits the servers that were reached to
// the same number.
const maxDials = 4

// maxRefusedDials limits the refused connections of one request. A VM without a server refuses within
// a round trip, so more of them may be tried: when many servers crash at once, a router learns of each
// by a connection of its own.
const maxRefusedDials = 16

// requestRun is the state of one request while it is being served.
type requestRun struct {
	dispatcher *Dispatcher
	req        *amaranthtide.Request
	spec       amaranthtide.ServiceSpec
	w          amaranthtide.AnswerWriter
	// subject is what the quarantine needs to know of the request.
	subject quarantine.Subject
	// tried holds the servers of all attempts so far.
	tried amaranthtide.Set[amaranthtide.BackendServerName]
	// unreachableZones are the zones with servers that could not be reached.
	unreachableZones amaranthtide.Set[amaranthtide.ZoneName]
	// possibleRuns counts the servers that may have run the request, refusedDials those whose VM
	// refused the connection, failedDials those that could not be reached for another reason.
	possibleRuns, failedDials, refusedDials int
	// timedOut holds the servers to which no connection could be opened in time, and that may be
	// tried once more if there is no other one.
	timedOut amaranthtide.Set[amaranthtide.BackendServerName]
	redialed bool
	// possibleRunErr is the error of the first attempt that may have run the request.
	possibleRunErr error
	answer         answer
	// capacity is what the admission control knew of the engines; the zero value without it.
	capacity overload.Capacity
	// attemptSentAt is when the current attempt was sent.
	attemptSentAt time.Time
	selection     selection
	// began is the version that began the stream, absent for a stream without an event.
	began amaranthtide.Option[amaranthtide.VersionName]
	// limitWaitBegan is when the request first waited for a server with a limit; zero if it has not.
	limitWaitBegan time.Time
	// heldBack is set once the request has waited or was rejected because of a limit, rejectedByLimit once
	// it was rejected.
	heldBack, rejectedByLimit bool
	// bodyBytes is the size of the body, which an explained request comes without.
	bodyBytes int
	// preview is set if the request is only explained: nothing is counted for it.
	preview bool
}

func (r *requestRun) serve(ctx context.Context) error {
	r.answer.w, r.answer.resumable, r.answer.stream = r.w, r.req.Resumable, r.req.Stream
	r.answer.onSound = func(now time.Time) { r.dispatcher.opts.Crashes.Answered(now, r.answer.begunAt, r.subject) }
	for {
		if err := r.dispatcher.opts.Crashes.Check(time.Now(), r.subject); err != nil {
			return r.finishFailed(err)
		}
		in, err := r.pickServer(time.Now())
		if err != nil && (r.selectAgain() || r.redial() || r.awaitReturn(ctx)) {
			continue
		}
		if err != nil {
			return r.finishFailed(r.withReturn(time.Now(), err))
		}
		r.tried.Add(in.Name)
		r.answer.deferFailure = r.mayRepeat(1)
		err = r.sendAttempt(ctx, in)
		if err == nil {
			return nil
		}
		if r.possibleRunErr == nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
			r.possibleRunErr = err
		}
		if isDialTimeout(err) {
			r.timedOut.Add(in.Name)
		}
		if !r.mayTryAnother(ctx, err) {
			return r.finishFailed(err)
		}
	}
}

// redial makes the servers to which no connection could be opened in time candidates again, once,
// and reports whether there are any. A lost packet, or a router that is short of processor time,
// looks the same as a server that is gone.
func (r *requestRun) redial() bool {
	if r.redialed || len(r.timedOut) == 0 {
		return false
	}
	r.redialed = true
	for name := range r.timedOut {
		delete(r.tried, name)
	}
	return true
}

// isDialTimeout reports whether err says that no connection to the server could be opened in time.
func isDialTimeout(err error) bool {
	var timeout net.Error
	return amaranthtide.IsKind(err, amaranthtide.KindNoBackend) && errors.As(err, &timeout) && timeout.Timeout()
}

// isRefused reports whether the VM of the server refused the connection: no server runs there, but its
// zone can be reached.
func isRefused(err error) bool {
	return amaranthtide.IsKind(err, amaranthtide.KindNoBackend) && errors.Is(err, syscall.ECONNREFUSED)
}

// pickServer returns the server for the next attempt.
func (r *requestRun) pickServer(now time.Time) (amaranthtide.Instance, error) {
	d, req := r.dispatcher, r.req
	list, err := r.shortlist(now, r.selectServers(now))
	if err != nil {
		return amaranthtide.Instance{}, err
	}
	p, ok := r.place(now, &list, rand.Uint64)
	if !ok {
		return amaranthtide.Instance{}, r.noServer()
	}
	in := p.Instance
	fields := r.withVersion(in, "request", string(req.ID), "attempt", len(r.tried)+1, "server", string(in.Name),
		"prompt", promptText(r.subject.Suspects), "zone", string(in.Zone), "load", p.Load, "avoided", p.Avoid, "cold", now.Before(in.ColdUntil),
		"candidates", p.candidates, "revision", uint64(d.opts.Configuration.Revision()))
	d.opts.Logger.Info("request placed", append(fields, paceFields(p.Candidate, p.expected)...)...)
	return in, nil
}

func (r *requestRun) noServer() error {
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "service %s: no server may take the request, %d were tried", r.req.Service, len(r.tried))
}

// sendAttempt sends one attempt and records its outcome.
func (r *requestRun) sendAttempt(ctx context.Context, in amaranthtide.Instance) error {
	r.dispatcher.opts.Traffic.Begin(in.Name)
	defer r.dispatcher.opts.Traffic.End(in.Name)
	r.req.Attempt = amaranthtide.NewAttemptID()
	attempt := amaranthtide.Attempt{
		Request: r.req, Server: in.Name, Address: in.Address, Started: in.Started, Deadline: r.req.Deadline, ResumeAfter: r.answer.lastEventID(),
	}
	attempt.KeepIdle = reuse.KeepCount(r.spec.Connections, int(r.dispatcher.routerCount.Load()))
	attempt.Rank = r.rank()
	if r.spec.Engine {
		attempt.FetchFrom = r.dispatcher.promptSource(time.Now(), r.req, in)
	}
	r.answer.begunAt, r.answer.sound = time.Time{}, false
	r.attemptSentAt = time.Now()
	r.answer.onEvent = func(now time.Time) { r.streamBegan(ctx, now, in) }
	work := r.beginWork(in)
	err := r.sendWithStartTimeout(ctx, in.Name, attempt)
	work.end()
	if err == nil {
		r.answer.markSound(time.Now())
	}
	if err == nil && r.answer.deferring {
		err = amaranthtide.Errorf(amaranthtide.KindBackendFailed, "server %s answered status %d", in.Name, r.answer.deferred.head.Status)
	}
	if err == nil && r.answer.endsWithinEvent() {
		err = amaranthtide.Errorf(amaranthtide.KindTruncated, "stream of server %s ends within an event", in.Name)
	}
	now := time.Now()
	kind := amaranthtide.KindOf(err)
	r.recordVersion(ctx, now, in, err)
	// A missing answer, or one that stalled, does not show whether the zone can be reached.
	if kind != amaranthtide.KindNoBackend && kind != amaranthtide.KindOutcomeUnknown && kind != amaranthtide.KindCanceled && !errors.Is(err, errStalled) {
		r.dispatcher.recordZone(in.Zone, func(rec *outlier.Record) { rec.Succeeded(now) })
	}
	switch {
	case err == nil && r.answer.serverFailed: // the failure was passed on because no other server may run the request
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	case err == nil, kind == amaranthtide.KindCanceled && ctx.Err() == context.Canceled:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Succeeded(now) })
	case kind == amaranthtide.KindNoBackend:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Unreachable(now) })
		if !isRefused(err) {
			r.dispatcher.recordZone(in.Zone, func(rec *outlier.Record) { rec.Failed(now) })
			r.unreachableZones.Add(in.Zone)
		}
	case kind == amaranthtide.KindFull:
	case errors.Is(err, errStalled):
		r.recordStall(now, in)
	default:
		r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	}
	r.dispatcher.opts.Observe(r.req, err)
	r.observeCrash(ctx, in, err)
	if err != nil {
		r.dispatcher.opts.Logger.Warn("attempt failed", "request", string(r.req.ID), "server", string(in.Name), "address", in.Address, "kind", kind.String(),
			"ran", kind.Reply().Ran.String(), "ageMillis", now.Sub(r.req.Arrived).Milliseconds(), "shown", r.answer.headSent, "error", err.Error())
	}
	return err
}

// sendWithStartTimeout sends the attempt. An answer that does not start in time counts as a
// failure of the server; the attempt is canceled only if another server may be tried.
func (r *requestRun) sendWithStartTimeout(ctx context.Context, server amaranthtide.BackendServerName, a amaranthtide.Attempt) error {
	timeout := r.startTimeout(time.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hasAlternative := r.mayRepeat(1) && r.hasAlternative(time.Now())
	timeoutPhase := phaseTimedOut
	if hasAlternative {
		timeoutPhase = phaseAbandoned
	}
	phase := new(atomic.Int32)
	r.answer.phase = phase
	startTimer := time.AfterFunc(timeout, func() {
		if !phase.CompareAndSwap(phaseWaiting, timeoutPhase) {
			return
		}
		r.dispatcher.recordServer(server, func(rec *outlier.Record) { rec.Failed(time.Now()) })
		if hasAlternative {
			cancel(errStartTimeout)
		}
	})
	r.answer.stalls = r.watchStalls(cancel)
	err := r.dispatcher.opts.AttemptSender.Send(ctx, a, &r.answer)
	startTimer.Stop()
	r.answer.stalls.stop()
	if err != nil && errors.Is(context.Cause(ctx), errStartTimeout) {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "server %s: %w (start timeout %s)", server, errStartTimeout, timeout)
	}
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return amaranthtide.Errorf(amaranthtide.KindTruncated, "server %s: %w", server, errStalled)
	}
	return err
}

// hasAlternative reports whether another attempt would have a server. One with a limit doesn't count: another
// request may take what is left of it.
func (r *requestRun) hasAlternative(now time.Time) bool {
	candidates := r.dispatcher.candidates(now, r.alternatives(now), r.tried)
	return slices.ContainsFunc(candidates, func(c choice.Candidate) bool { return c.Preference == ratelimit.Ordinary })
}

// mayTryAnother reports whether the request may be sent to another server after err. It
// takes a retry from the budget if one is needed.
func (r *requestRun) mayTryAnother(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, errStalled) {
		r.possibleRuns++
		return true // the retry was taken before the attempt was ended
	}
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindNoBackend:
		if isRefused(err) {
			r.refusedDials++
			return r.refusedDials < maxRefusedDials
		}
		r.failedDials++
		return r.failedDials < maxDials
	case amaranthtide.KindFull, amaranthtide.KindLeaving, amaranthtide.KindNotOwner:
		// The server did not run the request, but the additional attempt counts as a retry.
		return r.mayRedirect() && r.dispatcher.takeRetry(time.Now(), r.req.Service)
	case amaranthtide.KindTruncated, amaranthtide.KindBackendFailed, amaranthtide.KindOutcomeUnknown:
		r.possibleRuns++
		return r.mayRepeat(0) && r.dispatcher.takeRetry(time.Now(), r.req.Service)
	default:
		return false
	}
}

// mayRedirect reports whether a request that a server refused may be sent to another one.
func (r *requestRun) mayRedirect() bool {
	return len(r.tried)-r.failedDials-r.refusedDials < maxDials
}

// mayRepeat reports whether the request may run once more after extraRuns runs in addition
// to possibleRuns.
func (r *requestRun) mayRepeat(extraRuns int) bool {
	if !r.req.Repeatable() && !r.req.Resumable {
		return false
	}
	if r.answer.headSent && !r.answer.hasEvents {
		return false
	}
	return r.req.MaxAttempts == 0 || r.possibleRuns+extraRuns < r.req.MaxAttempts
}

// finishFailed ends the request with the deferred failure of a server if there is one.
// Otherwise it returns err if the caller has received a part of the answer, else the error
// of the first attempt that may have run the request, if any.
func (r *requestRun) finishFailed(err error) error {
	if r.answer.deferred != nil {
		return r.answer.writeDeferred()
	}
	if r.possibleRunErr != nil && !r.answer.headSent {
		return r.possibleRunErr
	}
	return err
}
