// Package admission decides which requests may start at one backend server
// (properties P1, P2 and P10 of the design page). Each server has one Gate, which
// belongs to the router that owns the server.
//
// # Limit and load
//
// The limit of a server is the minimum of
//
//   - the cap derived from the mean load of its model (package mean),
//   - the allowance of its ramp (package ramp), and
//   - the capacity that its engine reports.
//
// While ownership is not settled, the limit is halved and rounded down, so that two
// routers that both consider themselves the owner stay within the limit together.
// The load is the sum of
//
//   - own: requests that this gate started and that have not finished, and
//   - the larger of external, the requests in flight at the server that other routers
//     report, and foreign, what the engine reports beyond own.
//
// A request starts only if load+1 does not exceed the limit. When the limit falls,
// running requests continue, and nothing starts until the load has fallen below it.
//
// # Foreign work
//
// An engine report describes the server at some time between Config.ReportLag before
// it was requested and its arrival. In that window, the gate's own number in flight
// had a minimum and a maximum, so the foreign work was between report-maximum and
// report-minimum. Requests that have finished since are part of the own number of
// that window and are not counted twice. The upper bound never underestimates, but
// own work that rises and falls within the window looks like foreign work. While
// ownership is not settled, the gate uses the upper bound of the last report.
// Otherwise it uses the smallest upper bound of the last three reports, but at least
// the lower bound of the last one: real foreign work, such as that of the other side
// of a partition, appears in all three reports, while a burst of own work rarely
// does. An overestimate leaves slots unused until the next report. A report is used
// for at most 3 s.
//
// # Handover
//
// A new owner admits nothing for Config.TakeoverDelay. During this time, its first
// report reaches the previous owner, which then treats its ownership as unsettled or
// gives it up, and the next report of that router arrives. TakeoverDelay should cover
// two transits and two report intervals.
//
// If it does, the load stays within the limit during a change of owner. If reports
// take longer, the previous owner may still fill its limit while the new one admits
// up to half of its own, so the load reaches at most one and a half times the limit
// until the views agree. In a partition, the owner on each side learns of the work of
// the other side only from engine reports, with their lag.
//
// Until an owner learns that a server has restarted cold, the earlier allowance
// applies. Once it knows and the views agree on the owner, nothing starts above the
// new allowance, counted over the fleet. While two routers both consider themselves
// the owner, this holds as soon as both know the boot and have received what the
// other one started before it knew.
//
// # Queue
//
// A request that cannot start waits in a fair queue (package fairness) until its
// deadline. It is refused at once if its estimated wait extends beyond the deadline. The
// estimate is the queued cost ahead of it, times the mean time that a slot takes per
// token of cost, divided by the limit; before the first request has finished, it is
// 0. No request overtakes the queue: Submit starts a request only if the queue is
// empty.
//
// # Notices
//
// A server that says in a response that it leaves, or asks for a pause, starts no further
// request (package outlier): until another incarnation, or until the pause has ended. Queued
// requests whose deadline is not after the end of the pause are refused at once, and so are new
// ones that may not queue or would start too late. The others wait in the queue. A server that announces
// a rate gets its requests at this rate; the time until the next one counts as a pause.
//
// # Usage
//
// The owner calls Next after every other call, and about every 100 ms while requests
// wait, because reports of other routers, ramp steps and deadlines call no method. It
// starts or refuses what Next returns. Calls that change the number in flight run
// inside load.Tracker.Update.
//
//	g := admission.New(now, admission.Config{Server: "engine-1", Ramp: rampConfig, QueueLimit: 256})
//	decision, err := g.Submit(now, ticket, g.Limits(now, view, model, settled))
//	started, refused := g.Next(now, g.Limits(now, view, model, settled))
//	g.Finish(now, attempt, admission.Outcome{Complete: true, Tokens: 120, Took: took})
//
// A Gate is not safe for concurrent use. Its owner calls it under the lock of its
// shard.
package admission

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/ramp"
)

const (
	// DefaultReportLag is the default of Config.ReportLag.
	DefaultReportLag = time.Second
	// foreignReportMaxAge is how long an engine report is used. Reports are requested
	// about once a second.
	foreignReportMaxAge = 3 * time.Second
	// foreignReports is the number of successive reports that must all show foreign work.
	foreignReports = 3
	// rateTimeConstant is the time constant of the completion rate. It is as long as the
	// staleness of the sums that the rate corrects.
	rateTimeConstant = 2 * time.Second
	// costSampleWeight is the weight of a new sample in the mean time per token of cost.
	costSampleWeight = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the retry hint, because the wait is a rough
	// estimate.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config configures the Gate of a server.
type Config struct {
	Server amaranthtide.BackendServerName
	Ramp   ramp.Config
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// ReportLag is the maximum age of the data in an engine report when the report is
	// requested; 0 means DefaultReportLag.
	ReportLag time.Duration
	// TakeoverDelay is the time after a change of owner during which nothing starts; 0 if
	// no other router can have owned the server.
	TakeoverDelay time.Duration
}

// Ticket is a request to be admitted.
type Ticket struct {
	fairness.Ticket
	// MayQueue reports whether the request is queued if it cannot start now.
	MayQueue bool
}

// Decision is the outcome of Submit.
type Decision uint8

// The decisions. The zero value is returned with an error.
const (
	Admitted Decision = iota + 1
	Queued
)

// Outcome is the result of a started request.
type Outcome struct {
	// Complete reports whether the server sent a complete answer.
	Complete bool
	// Tokens and Took are defined as in ramp.Completion.
	Tokens int
	Took   time.Duration
}

// Refusal is a queued request that will not run, with the reason.
type Refusal struct {
	Ticket fairness.Ticket
	Err    error
}

// CancelResult is the state in which Cancel found an attempt.
type CancelResult uint8

// The results of Cancel.
const (
	CanceledNone CancelResult = iota
	CanceledQueued
	CanceledRunning
)

type running struct {
	started time.Time
	cost    int
}

// Gate admits requests to one server. Create one with New.
type Gate struct {
	cfg           Config
	created       time.Time
	startsAllowed time.Time // nothing starts before this time
	ramp          *ramp.Ramp
	queue         *fairness.Queue
	running       map[amaranthtide.AttemptID]running
	refused       []Refusal
	leaving       bool
	down          bool
	notOwned      bool // another router owns the server
	notices       notices

	engineLeaving   bool
	engineCapacity  int
	history         history
	reportCount     int // reports since the last boot
	reportArrived   time.Time
	reportRequested time.Time
	foreignMin      int
	foreignMax      [foreignReports]int

	rate           float64 // completions per second at rateUpdated
	rateUpdated    time.Time
	secondsPerCost float64 // mean time of a slot per token of cost
}

// New returns the Gate of a server that this router owns from now on. Its ramp starts
// cold.
func New(now time.Time, cfg Config) *Gate {
	if cfg.ReportLag <= 0 {
		cfg.ReportLag = DefaultReportLag
	}
	return &Gate{
		cfg:           cfg,
		created:       now,
		startsAllowed: now.Add(cfg.TakeoverDelay),
		ramp:          ramp.New(now, cfg.Ramp),
		queue:         fairness.New(cfg.QueueLimit),
		running:       make(map[amaranthtide.AttemptID]running),
		rateUpdated:   now,
		notices:       notices{since: now},
	}
}

// Resume continues from the allowance that the previous owner reported for the boot.
// The caller must check that the report is recent enough.
func (g *Gate) Resume(now time.Time, boot amaranthtide.BootID, allowance int) {
	g.ramp.Resume(now, boot, allowance)
}

// SetOwned sets whether this router owns the server. Without ownership, the gate
// starts nothing and is kept until its requests have finished. If ownership returns
// later, Config.TakeoverDelay and the cold ramp apply as for a new gate.
func (g *Gate) SetOwned(now time.Time, owned bool) {
	if owned && g.notOwned {
		g.startsAllowed = now.Add(g.cfg.TakeoverDelay)
		g.ramp = ramp.New(now, g.cfg.Ramp)
	}
	g.notOwned = !owned
}

// InFlight returns the number of requests that this gate started and that have not
// finished.
func (g *Gate) InFlight() int { return len(g.running) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Load returns the load that this router reports for the server. InFlight counts only
// requests that this gate started, so that the reports of several routers can be added.
func (g *Gate) Load(now time.Time) amaranthtide.ServerLoad {
	return amaranthtide.ServerLoad{
		Server:               g.cfg.Server,
		Boot:                 g.ramp.Boot(),
		InFlight:             len(g.running),
		Waiting:              g.queue.Len(),
		Allowance:            g.ramp.Allowance(now),
		CompletionsPerSecond: g.completionRate(now),
	}
}

// Submit requests admission. It returns Admitted if the request may start now, Queued
// if a later Next will start or refuse it, or an error of a kind that means "not run":
// KindNotOwner, KindLeaving, KindNoBackend (the server is down), KindDeadlineUnmet,
// KindFull (with a notice if the server pauses), or KindConflict if the attempt is
// already queued or running.
func (g *Gate) Submit(now time.Time, t Ticket, l Limits) (Decision, error) {
	if err := g.rejection(); err != nil {
		return 0, err
	}
	if _, ok := g.running[t.Attempt]; ok || g.queue.Has(t.Attempt) {
		return 0, amaranthtide.Errorf(amaranthtide.KindConflict, "attempt %s is already queued or running at %s", t.Attempt, g.cfg.Server)
	}
	if !t.Deadline.IsZero() && !t.Deadline.After(now) {
		return 0, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the deadline has passed")
	}
	g.refuseExpired(now)
	if g.queue.Len() == 0 && g.hasFreeSlot(now, l) {
		g.start(now, t.Ticket)
		return Admitted, nil
	}
	if g.HasNotice(now) {
		if err := g.checkPause(now, t.Ticket, t.MayQueue, g.estimateWait(now, t.Ticket, l)); err != nil {
			return 0, err
		}
	}
	if !t.MayQueue {
		return 0, amaranthtide.Errorf(amaranthtide.KindFull, "%s has no free slot and the request may not queue", g.cfg.Server)
	}
	wait := g.estimateWait(now, t.Ticket, l)
	if left := t.Deadline.Sub(now); !t.Deadline.IsZero() && wait > left {
		err := amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the estimated wait at %s of %s exceeds the %s left until the deadline", g.cfg.Server, wait, left)
		return 0, amaranthtide.WithRetryAfter(err, retryAfter(wait-left))
	}
	evicted, ok := g.queue.Push(t.Ticket)
	if !ok {
		return 0, g.queueFull(wait)
	}
	if e, ok := evicted.Get(); ok {
		g.refused = append(g.refused, Refusal{e, g.queueFull(wait)})
	}
	return Queued, nil
}

// Next returns the queued requests that start now and those that will not run because
// they expired, were evicted for a smaller flow, or are queued at a server that is
// leaving, is down or has another owner.
func (g *Gate) Next(now time.Time, l Limits) (started []fairness.Ticket, refused []Refusal) {
	if err := g.rejection(); err != nil {
		for _, t := range g.queue.Drain() {
			g.refused = append(g.refused, Refusal{t, err})
		}
	}
	g.refuseExpired(now)
	g.refuseInPause(now)
	for g.queue.Len() > 0 && g.hasFreeSlot(now, l) {
		t, _ := g.queue.Pop()
		g.start(now, t)
		l.Total++
		started = append(started, t)
	}
	refused, g.refused = g.refused, nil
	return started, refused
}

// CanStart reports whether a new request may start now. It is false while other requests
// are queued.
func (g *Gate) CanStart(now time.Time, l Limits) bool {
	return g.queue.Len() == 0 && g.hasFreeSlot(now, l)
}

// Dequeue removes and returns the request at the head of the queue.
func (g *Gate) Dequeue() (fairness.Ticket, bool) { return g.queue.Pop() }

// Withdraw removes a queued request, so that it can be submitted at another server
// with free slots.
func (g *Gate) Withdraw(attempt amaranthtide.AttemptID) (fairness.Ticket, bool) {
	return g.queue.Remove(attempt)
}

// Finish frees the slot of a started request. It returns false and has no effect if
// the attempt is not running.
func (g *Gate) Finish(now time.Time, attempt amaranthtide.AttemptID, o Outcome) bool {
	r, ok := g.running[attempt]
	if !ok {
		return false
	}
	concurrency := len(g.running)
	g.stop(now, attempt)
	if !o.Complete {
		return true
	}
	secondsPerCost := now.Sub(r.started).Seconds() / float64(max(1, r.cost))
	if g.secondsPerCost == 0 {
		g.secondsPerCost = secondsPerCost
	}
	g.secondsPerCost += (secondsPerCost - g.secondsPerCost) * costSampleWeight
	g.ramp.Completed(now, ramp.Completion{Started: r.started, Tokens: o.Tokens, Took: o.Took, Concurrency: concurrency})
	return true
}

// Cancel removes a queued request, which was then not run, or frees the slot of a
// running one. The caller must cancel the work at the server first.
func (g *Gate) Cancel(now time.Time, attempt amaranthtide.AttemptID) CancelResult {
	if _, ok := g.queue.Remove(attempt); ok {
		return CanceledQueued
	}
	if _, ok := g.running[attempt]; ok {
		g.stop(now, attempt)
		return CanceledRunning
	}
	return CanceledNone
}

// Observe records an engine report that arrived at now. A report that was requested
// before the last recorded one is dropped.
func (g *Gate) Observe(now, requestedAt time.Time, r amaranthtide.EngineReport) {
	if requestedAt.Before(g.reportRequested) {
		return
	}
	g.reportRequested, g.reportArrived = requestedAt, now
	earlier := g.ramp.Boot()
	if g.ramp.ObserveBoot(now, r.Boot) {
		g.reportCount = 0
		if earlier != "" {
			g.Renew(now)
		}
	}
	g.engineLeaving, g.engineCapacity = r.Leaving, r.Capacity
	minimum, maximum := g.history.extremes(requestedAt.Add(-g.cfg.ReportLag).Sub(g.created), now.Sub(g.created))
	g.foreignMin = max(0, r.InFlight-maximum)
	g.foreignMax[g.reportCount%foreignReports] = max(0, r.InFlight-minimum)
	g.reportCount++
}

// SetLeaving sets whether the server gets no new work. Next then refuses the queued
// requests.
func (g *Gate) SetLeaving(leaving bool) { g.leaving = leaving }

// SetDown sets whether the server is unreachable. Next then refuses the queued
// requests.
func (g *Gate) SetDown(down bool) { g.down = down }

// Down reports whether the server is unreachable.
func (g *Gate) Down() bool { return g.down }

// Leaving reports whether the server gets no new work, because of SetLeaving, of its
// engine's report or of its notice.
func (g *Gate) Leaving() bool { return g.leaving || g.engineLeaving || g.SaysLeaving() }

// Owned reports whether this router owns the server, according to SetOwned.
func (g *Gate) Owned() bool { return !g.notOwned }

// rejection returns why the gate starts no requests at all, or nil.
func (g *Gate) rejection() error {
	if g.notOwned {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "another router owns %s", g.cfg.Server)
	}
	if g.Leaving() {
		err := amaranthtide.Errorf(amaranthtide.KindLeaving, "%s is leaving", g.cfg.Server)
		if g.SaysLeaving() {
			err = amaranthtide.WithNotice(err, amaranthtide.ServerNotice{Leaving: true})
		}
		return err
	}
	if g.down {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "%s is down", g.cfg.Server)
	}
	return nil
}

// isRejecting reports whether rejection returns an error.
func (g *Gate) isRejecting() bool { return g.notOwned || g.Leaving() || g.down }

func (g *Gate) refuseExpired(now time.Time) {
	for _, t := range g.queue.Expire(now) {
		g.refused = append(g.refused, Refusal{t, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the deadline passed in the queue of %s", g.cfg.Server)})
	}
}

func (g *Gate) start(now time.Time, t fairness.Ticket) {
	if g.notices.present {
		g.notices.record.Admit(now, g.notices.since)
	}
	g.notices.limit.take(now)
	g.running[t.Attempt] = running{now, t.Cost}
	g.history.record(now.Sub(g.created), len(g.running))
}

func (g *Gate) stop(now time.Time, attempt amaranthtide.AttemptID) {
	delete(g.running, attempt)
	g.history.record(now.Sub(g.created), len(g.running))
	g.rate = g.completionRate(now) + 1/rateTimeConstant.Seconds()
	g.rateUpdated = now
}
