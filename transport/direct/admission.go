package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/overload"
	"amaranthtide/state/shard"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests of one service that wait for capacity, and
	// the bytes of their bodies.
	maxWaiting      = 64
	maxWaitingBytes = 4 << 20
	// recheckInterval is the time after which the capacity is checked again for a request that waits.
	// Loads of other routers arrive a few times a second.
	recheckInterval = 50 * time.Millisecond
	// capacityReuseTime is how long a sum over all engines is used.
	capacityReuseTime = 20 * time.Millisecond
)

// crowdedStartShare is the part of the time until a caller gives up after which an attempt is
// abandoned while requests compete for capacity. An engine with a queue isn't failing, and a
// request that leaves it has to queue elsewhere, behind others, and its prompt is read again.
const crowdedStartShare = 0.5

// startTimeout returns the time within which an attempt's answer must start.
func (r *requestRun) startTimeout(now time.Time) time.Duration {
	timeout := max(startTimeoutObjectives*r.req.Objective, minStartTimeout)
	if !r.capacity.Ample() && !r.req.FirstEventBy.IsZero() {
		timeout = max(timeout, time.Duration(crowdedStartShare*float64(r.req.FirstEventBy.Sub(now))))
	}
	return timeout
}

// rank returns the rank of the request among those that wait at an engine, absent if the priority
// alone orders them.
func (r *requestRun) rank() amaranthtide.Option[int] {
	snapshot, ok := r.dispatcher.opts.Configuration.Current()
	if !ok || !r.spec.Engine || !r.dispatcher.opts.LoadShedding {
		return amaranthtide.None[int]()
	}
	return amaranthtide.Some(overload.Rank(r.req.Priority, snapshot.LowestPriority(), r.req.Objective, rand.Uint64()))
}

// crowdedCapMultiple bounds the load of an engine in relation to the mean while all slots are taken
// on average. Twice the mean would then be a queue that less urgent chats don't get through, at
// engines that have many urgent ones.
const crowdedCapMultiple = 1.5

// engineCap returns the cap on the load of an engine for the request.
func (r *requestRun) engineCap(limit choice.Cap) choice.Cap {
	if r.capacity.Load() > 1 {
		limit.Multiple = min(limit.Multiple, crowdedCapMultiple)
	}
	return limit
}

// admissions is the admission control of the services, by service.
type admissions struct {
	services *shard.Map[amaranthtide.ServiceName, *admission]
}

func newAdmissions() *admissions {
	return &admissions{services: shard.New[amaranthtide.ServiceName, *admission]()}
}

// admission is the admission control of one service. The lock of its shard guards it.
type admission struct {
	controller   *overload.Controller
	capacity     overload.Capacity
	measuredAt   time.Time
	waiting      []*waiter
	waitingBytes int
	// tokens is a running mean of the tokens that a request holds in an engine's memory.
	tokens float64
	counts AdmissionCounts
}

// waiter is a request that waits for capacity.
type waiter struct {
	req    overload.Request
	bytes  int
	result chan overload.Decision
}

// AdmissionCounts counts requests by priority. Delayed ones are admitted or rejected afterwards, and
// then count there too.
type AdmissionCounts struct {
	Admitted, Delayed, Rejected map[string]float64
}

func newAdmission() *admission {
	return &admission{controller: overload.New(), counts: newAdmissionCounts()}
}

func newAdmissionCounts() AdmissionCounts {
	return AdmissionCounts{Admitted: make(map[string]float64), Delayed: make(map[string]float64), Rejected: make(map[string]float64)}
}

// serveAdmitted serves a request if the admission control of its service admits it.
func (d *Dispatcher) serveAdmitted(ctx context.Context, run *requestRun) error {
	req := overload.RequestOf(run.req)
	if err := d.awaitAdmission(ctx, run, req); err != nil {
		return err
	}
	writer := &firstEventWriter{AnswerWriter: run.w, onFirst: func(now time.Time) {
		d.admissions.with(run.req.Service, func(a *admission) { a.controller.Started(now, req) })
	}}
	run.w = writer
	err := run.serve(ctx)
	now := time.Now()
	d.admissions.with(run.req.Service, func(a *admission) {
		a.controller.Ended(now, req, writer.begunAt)
		a.release(now, d.capacity(now, a, run))
		if amaranthtide.IsKind(err, amaranthtide.KindFull) && !run.rejectedByLimit {
			err = amaranthtide.WithRetryAfter(err, a.controller.RetryAfter(now, req))
		}
	})
	return err
}

// awaitAdmission returns nil once the request is admitted.
func (d *Dispatcher) awaitAdmission(ctx context.Context, run *requestRun, req overload.Request) error {
	now := time.Now()
	var decision overload.Decision
	var w *waiter
	d.admissions.with(run.req.Service, func(a *admission) { decision, w = d.decide(now, a, run, req) })
	if w != nil {
		var err error
		if decision, err = d.await(ctx, run, w, decision.Until); err != nil {
			return err
		}
	}
	if decision.Verdict == overload.Admit {
		return nil
	}
	return d.rejection(run, req, decision)
}

// decide decides on a request that has just arrived. It returns the waiter of one that has to wait.
func (d *Dispatcher) decide(now time.Time, a *admission, run *requestRun, req overload.Request) (decision overload.Decision, w *waiter) {
	a.observeTokens(run.req)
	capacity := d.capacity(now, a, run)
	a.release(now, capacity)
	decision = a.controller.Decide(now, req, capacity)
	if decision.Verdict == overload.Wait && !a.hasRoom(run.bodyBytes) {
		decision = a.controller.Reconsider(now, req, capacity, true)
	}
	if decision.Verdict == overload.Wait {
		w = &waiter{req: req, bytes: run.bodyBytes, result: make(chan overload.Decision, 1)}
		a.add(w)
	}
	a.count(req, decision)
	run.capacity = capacity
	return decision, w
}

// await waits until the request is admitted, or the given time has come.
func (d *Dispatcher) await(ctx context.Context, run *requestRun, w *waiter, until time.Time) (overload.Decision, error) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case decision := <-w.result:
			return decision, nil
		case <-ctx.Done():
			d.admissions.with(run.req.Service, func(a *admission) { a.remove(w) })
			kind := amaranthtide.KindCanceled
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				kind = amaranthtide.KindDeadlineUnmet
			}
			return overload.Decision{}, amaranthtide.Errorf(kind, "service %s: the request ended while it waited for capacity: %w", run.req.Service, ctx.Err())
		case now := <-ticker.C:
			d.admissions.with(run.req.Service, func(a *admission) {
				capacity := d.capacity(now, a, run)
				a.release(now, capacity)
				if !now.Before(until) && a.remove(w) {
					a.decide(w, a.controller.Reconsider(now, w.req, capacity, true))
				}
			})
		}
	}
}

// rejection returns the error of a rejected request, and logs it.
func (d *Dispatcher) rejection(run *requestRun, req overload.Request, decision overload.Decision) error {
	var capacity overload.Capacity
	var share float64
	d.admissions.with(run.req.Service, func(a *admission) { capacity, share = a.controller.Capacity() })
	d.opts.Logger.Warn("request rejected", "request", string(run.req.ID), "service", string(run.req.Service), "workspace", string(run.req.Workspace),
		"reason", string(decision.Reason), "priority", req.Priority, "work", int(req.Work), "share", share,
		"slots", capacity.Slots, "running", capacity.Running, "waiting", capacity.Waiting, "loadAgeMillis", capacity.Age.Milliseconds(),
		"ageMillis", time.Since(run.req.Arrived).Milliseconds(), "retryAfterMillis", decision.RetryAfter.Milliseconds())
	return rejectionError(run.req.Service, req, decision)
}

func rejectionError(service amaranthtide.ServiceName, req overload.Request, decision overload.Decision) error {
	err := amaranthtide.Errorf(amaranthtide.KindFull, "service %s: no capacity for a request of priority %d (%s)", service, req.Priority, decision.Reason)
	return amaranthtide.WithRetryAfter(err, decision.RetryAfter)
}

// capacity returns what is known of the engines that the requests of a service may use. It reuses a recent
// result.
func (d *Dispatcher) capacity(now time.Time, a *admission, run *requestRun) overload.Capacity {
	if age := now.Sub(a.measuredAt); age >= 0 && age < capacityReuseTime {
		return a.capacity
	}
	spec := run.spec
	// Servers of a version that gets few requests have slots that the others can't use.
	candidates := d.candidates(now, run.alternatives(now), nil)
	reachable := slices.ContainsFunc(candidates, func(c choice.Candidate) bool { return !c.Unreachable })
	a.capacity, a.measuredAt = overload.Capacity{Age: d.opts.Traffic.Age(now)}, now
	for _, c := range candidates {
		if c.Unreachable && reachable {
			continue // its slots can't be used; those of servers that are avoided after failures can
		}
		slots := c.Instance.Slots
		if slots == 0 {
			slots = spec.Slots
		}
		a.capacity.Add(slots, overload.SlotsWithin(slots, spec.CacheTokens, a.tokens), c.Load)
	}
	return a.capacity
}

// AdmissionCounts returns the numbers of requests that were admitted, delayed and rejected, by
// priority.
func (d *Dispatcher) AdmissionCounts() AdmissionCounts {
	sum := newAdmissionCounts()
	d.admissions.services.Range(func(_ amaranthtide.ServiceName, a *admission) bool {
		addCounts(sum.Admitted, a.counts.Admitted)
		addCounts(sum.Delayed, a.counts.Delayed)
		addCounts(sum.Rejected, a.counts.Rejected)
		return true
	})
	return sum
}

// AdmissionLoad returns the load of each service's engines in relation to their slots, as the
// admission control last saw it.
func (d *Dispatcher) AdmissionLoad() map[string]float64 {
	loads := make(map[string]float64)
	d.admissions.services.Range(func(service amaranthtide.ServiceName, a *admission) bool {
		capacity, _ := a.controller.Capacity()
		loads[string(service)] = capacity.Load()
		return true
	})
	return loads
}

func addCounts(sum, counts map[string]float64) {
	for priority, n := range counts {
		sum[priority] += n
	}
}

// with calls f with the admission control of a service, under the lock of its shard.
func (s *admissions) with(service amaranthtide.ServiceName, f func(a *admission)) {
	s.services.Update(service, func(a *admission, ok bool) (*admission, bool) {
		if !ok {
			a = newAdmission()
		}
		f(a)
		return a, true
	})
}

// clone returns a copy of the admission control of a service that shares nothing with it.
func (s *admissions) clone(service amaranthtide.ServiceName) *admission {
	out := newAdmission()
	s.services.With(service, func(a *admission, ok bool) {
		if !ok {
			return
		}
		out.controller, out.capacity, out.measuredAt, out.tokens = a.controller.Clone(), a.capacity, a.measuredAt, a.tokens
		for _, w := range a.waiting {
			out.add(&waiter{req: w.req, bytes: w.bytes, result: make(chan overload.Decision, 1)})
		}
	})
	return out
}

func (a *admission) hasRoom(bytes int) bool {
	return len(a.waiting) < maxWaiting && a.waitingBytes+bytes <= maxWaitingBytes
}

func (a *admission) add(w *waiter) {
	a.waiting = append(a.waiting, w)
	a.waitingBytes += w.bytes
}

// remove removes a waiting request, and returns false if it has been admitted.
func (a *admission) remove(w *waiter) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.waitingBytes -= w.bytes
	return true
}

// release decides again on the waiting requests: it admits those for which there is capacity now, and
// rejects those that would come too late.
func (a *admission) release(now time.Time, capacity overload.Capacity) {
	for _, w := range slices.Clone(a.waiting) {
		decision := a.controller.Reconsider(now, w.req, capacity, false)
		if decision.Verdict == overload.Wait {
			continue
		}
		a.remove(w)
		a.decide(w, decision)
	}
}

// decide ends the wait of a request, which has been removed.
func (a *admission) decide(w *waiter, decision overload.Decision) {
	a.count(w.req, decision)
	w.result <- decision
}

func (a *admission) count(req overload.Request, decision overload.Decision) {
	priority := strconv.Itoa(req.Priority)
	switch decision.Verdict {
	case overload.Admit:
		a.counts.Admitted[priority]++
	case overload.Wait:
		a.counts.Delayed[priority]++
	case overload.Reject:
		a.counts.Rejected[priority]++
	}
}

// observeTokens adds the tokens that the request alone holds in an engine's memory to their mean.
func (a *admission) observeTokens(req *amaranthtide.Request) {
	const weight = 0.02
	tokens := float64(max(0, req.PromptTokens-req.SharedTokens) + req.OutputTokens)
	if a.tokens == 0 {
		a.tokens = tokens
	}
	a.tokens += weight * (tokens - a.tokens)
}

// firstEventWriter calls onFirst with the time of the first bytes of an answer.
type firstEventWriter struct {
	amaranthtide.AnswerWriter
	begunAt time.Time
	onFirst func(now time.Time)
}

// Chunk implements amaranthtide.AnswerWriter.
func (w *firstEventWriter) Chunk(b []byte) error {
	if w.begunAt.IsZero() {
		w.begunAt = time.Now()
		w.onFirst(w.begunAt)
	}
	return w.AnswerWriter.Chunk(b)
}
