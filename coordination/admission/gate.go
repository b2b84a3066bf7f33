// Package admission decides which requests may start at one backend server (P1,
// P2 and P10 of the design page). Its Gate belongs to the server's owner.
//
// # Limit and load
//
// The limit of the server is the least of the cap from the mean load of its model
// (package mean), the allowance of its ramp (package ramp) and the capacity that
// the engine reports. While ownership is not settled, half of it counts, rounded
// down: two routers that both take themselves for the owner stay within the
// limit together. The load is the sum of
//
//   - own: requests that this gate started and that have not finished, and
//   - the larger of external, what other routers report in flight at the server, and
//     foreign, what the engine reports beyond own.
//
// A request starts only if load+1 is at most the limit. When the limit falls, running
// requests go on and nothing starts until the load has fallen too.
//
// # Foreign work
//
// The engine's report was true at some time between Config.ReportLag before it
// was asked for and its arrival. In that window, the gate's own number lay
// between a least and a greatest value, so the foreign work lay between report less
// greatest and report less least. Requests that have finished since are part of
// the own number of that window and don't count twice. The upper end is safe, but
// own work that rises and falls within the window looks like foreign work. While
// ownership is unsettled, the gate takes the upper end of the last report. Otherwise it takes
// the least upper end of the last three reports, and no less than the lower end of
// the last: real foreign work, such as that of the other side of a partition, is
// in all three, while a burst of own work rarely is. A wrong guess costs room until
// the next report. A report counts for at most 3 s.
//
// # Handover
//
// A new owner admits nothing for Config.Quiet. Meanwhile its first report reaches
// the router that owned the server before, which then counts itself unsettled or
// gives the server up, and that router's next report comes back. Quiet should
// cover two transits and two report intervals.
//
// With Quiet covering that, the load stays within the limit through a change of
// owner. If reports take longer, the earlier owner may still fill its limit while
// the new one admits up to half of its own: at most one and a half times the
// limit until the views agree. On both sides of a partition, each owner learns of
// the other's work only by the engine's report, with its lag.
//
// Before an owner learns that a server turned cold, only the earlier allowance
// holds. Once it knows, and the views agree on it, nothing starts above the new
// allowance, counted over the fleet. While two routers both take themselves for
// the owner, this holds as soon as both know the boot and have heard what the
// other one started before it knew.
//
// # Queue
//
// A request that can't start waits in a fair queue (package fairness) until its
// deadline. It is refused at once if its estimated wait exceeds the deadline: the
// queued cost ahead of it, times the mean time that a slot takes per token of
// cost, over the limit. Without a finished request there is no estimate. Nothing
// overtakes the queue, so Submit starts a request only if the queue is empty.
//
// # Usage
//
// After every other call, and every 100 ms or so while requests wait (reports of others,
// ramp steps and deadlines call no method), the owner calls Next and starts or refuses
// what it returns. Calls that change the number in flight run inside load.Ledger.Update.
//
//	g := admission.New(now, admission.Config{Server: "engine-1", Ramp: r, QueueLimit: 256})
//	decision, err := g.Submit(now, ticket, g.Limits(now, view, model, settled))
//	started, refused := g.Next(now, g.Limits(now, view, model, settled))
//	g.Finish(now, attempt, admission.Outcome{Whole: true, Tokens: 120, Took: took})
//
// A Gate is not concurrent-safe. Its owner calls it under the lock of its shard.
package admission

import (
	"math"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/mean"
	"amaranthtide/coordination/ramp"
	"amaranthtide/state/load"
)

const (
	// DefaultReportLag is how old the engines' reports may be.
	DefaultReportLag = time.Second
	// foreignReportMaxAge is how long a report counts. Engines are asked about once a second.
	foreignReportMaxAge = 3 * time.Second
	// foreignReports are the reports that must all show foreign work.
	foreignReports = 3
	// rateTimeConstant is the time constant of the completion rate. It is as long as the
	// staleness of the sums that the rate corrects.
	rateTimeConstant = 2 * time.Second
	// costSampleWeight is the weight of a new sample in the mean time per token of cost.
	costSampleWeight = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the retry hint; estimates are rough.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config describes a server to its Gate.
type Config struct {
	Server amaranthtide.BackendServerName
	Ramp   ramp.Config
	// QueueLimit is the greatest number of waiting requests.
	QueueLimit int
	// ReportLag bounds the age of the engine's data in its report; 0 is DefaultReportLag.
	ReportLag time.Duration
	// Quiet is the time after taking the server over in which nothing starts; 0 if
	// no other router can have owned it.
	Quiet time.Duration
}

// Ticket is a request that asks for a start.
type Ticket struct {
	fairness.Ticket
	// MayQueue tells whether the request waits if it can't start now.
	MayQueue bool
}

// Limits is what a decision needs to know beyond the server itself. See Gate.Limits.
type Limits struct {
	// Total is the lower bound of the load of all servers of the model, before the decision.
	Total int
	// Servers is the number of servers of the model; 0 means no cap.
	Servers int
	// Multiple and Floor are those of mean.Cap.
	Multiple float64
	Floor    int
	// External is the number in flight at this server that other routers report.
	External int
	// Settled tells whether the membership views agree on this owner.
	Settled bool
}

// Decision is the outcome of Submit.
type Decision uint8

// The decisions. The zero value comes with an error.
const (
	Admitted Decision = iota + 1
	Queued
)

// Outcome tells how a started request ended.
type Outcome struct {
	// Whole tells whether the server answered in full.
	Whole bool
	// Tokens and Took are those of ramp.Completion.
	Tokens int
	Took   time.Duration
}

// Refusal is a queued request that will not run, and why.
type Refusal struct {
	Ticket fairness.Ticket
	Err    error
}

// CancelResult tells what Cancel found.
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

// Gate admits requests to one server. Use New.
type Gate struct {
	cfg           Config
	created       time.Time
	startsAllowed time.Time // nothing starts before
	ramp          *ramp.Ramp
	queue         *fairness.Queue
	running       map[amaranthtide.AttemptID]running
	refused       []Refusal
	leaving       bool
	down          bool
	notOwned      bool // another router owns the server

	engineLeaving   bool
	engineCapacity  int
	history         history
	reportCount     int // since the boot
	reportArrived   time.Time
	reportRequested time.Time
	foreignMin      int
	foreignMax      [foreignReports]int

	rate           float64 // completions per second
	rateUpdated    time.Time
	secondsPerCost float64 // seconds of a slot per token of cost
}

// New returns the Gate of a server that this router owns from now on. It starts cold.
func New(now time.Time, cfg Config) *Gate {
	if cfg.ReportLag <= 0 {
		cfg.ReportLag = DefaultReportLag
	}
	return &Gate{
		cfg:           cfg,
		created:       now,
		startsAllowed: now.Add(cfg.Quiet),
		ramp:          ramp.New(now, cfg.Ramp),
		queue:         fairness.New(cfg.QueueLimit),
		running:       make(map[amaranthtide.AttemptID]running),
		rateUpdated:   now,
	}
}

// Resume goes on from the allowance that the earlier owner reported for the boot.
// The caller has checked that the report is fresh enough.
func (g *Gate) Resume(now time.Time, boot amaranthtide.BootID, allowance int) {
	g.ramp.Resume(now, boot, allowance)
}

// SetOwned tells whether this router owns the server. A gate that lost its server
// starts nothing and lives on until its requests have finished. If it owns the server again
// later, it is quiet and cold as a new one.
func (g *Gate) SetOwned(now time.Time, owned bool) {
	if owned && g.notOwned {
		g.startsAllowed = now.Add(g.cfg.Quiet)
		g.ramp = ramp.New(now, g.cfg.Ramp)
	}
	g.notOwned = !owned
}

// InFlight returns the number of requests that this gate started and that have not finished.
func (g *Gate) InFlight() int { return len(g.running) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Load returns what the owner reports about the server. InFlight counts only what
// this gate started, so that the reports of several routers add up.
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

// Limits derives the limits of a decision from the ledger's view. It counts the
// gate's present number in flight, also if the ledger does not know it yet. The
// server must be in service; the gate of one that is not must be set to leaving.
func (g *Gate) Limits(now time.Time, view load.View, model amaranthtide.Model, settled bool) Limits {
	e := mean.Estimate{Own: view.Own - view.InFlight + len(g.running), Servers: view.Servers}
	for _, p := range view.Peers {
		e.Add(now, p.Taken, p.Sum)
	}
	return Limits{
		Total:    e.Total(),
		Servers:  e.Servers,
		Multiple: model.CapMultiple,
		Floor:    model.CapFloor,
		External: view.External,
		Settled:  settled,
	}
}

// Submit asks for a start. It returns Admitted if the request may start now,
// Queued if it waits for Next, or an error of a kind that means "not run":
// KindNotOwner, KindLeaving, KindNoBackend (the server is down), KindDeadlineUnmet, KindFull, or
// KindConflict if the attempt is already queued or running.
func (g *Gate) Submit(now time.Time, t Ticket, l Limits) (Decision, error) {
	if err := g.rejection(); err != nil {
		return 0, err
	}
	if _, ok := g.running[t.Attempt]; ok || g.queue.Has(t.Attempt) {
		return 0, amaranthtide.Errorf(amaranthtide.KindConflict, "attempt %s is already at %s", t.Attempt, g.cfg.Server)
	}
	if !t.Deadline.IsZero() && !t.Deadline.After(now) {
		return 0, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the deadline has passed")
	}
	g.refuseExpired(now)
	if g.queue.Len() == 0 && g.hasFreeSlot(now, l) {
		g.start(now, t.Ticket)
		return Admitted, nil
	}
	if !t.MayQueue {
		return 0, amaranthtide.Errorf(amaranthtide.KindFull, "%s has no room", g.cfg.Server)
	}
	wait := g.estimateWait(now, t.Ticket, l)
	if left := t.Deadline.Sub(now); !t.Deadline.IsZero() && wait > left {
		err := amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the wait at %s of about %s exceeds the deadline in %s", g.cfg.Server, wait, left)
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

// Next returns the queued requests that start now and those that will not run:
// expired, pushed out by a smaller flow, or queued at a server that leaves, went
// down or has another owner.
func (g *Gate) Next(now time.Time, l Limits) (started []fairness.Ticket, refused []Refusal) {
	if err := g.rejection(); err != nil {
		for _, t := range g.queue.Drain() {
			g.refused = append(g.refused, Refusal{t, err})
		}
	}
	g.refuseExpired(now)
	for g.queue.Len() > 0 && g.hasFreeSlot(now, l) {
		t, _ := g.queue.Pop()
		g.start(now, t)
		l.Total++
		started = append(started, t)
	}
	refused, g.refused = g.refused, nil
	return started, refused
}

// Room reports whether a request may start now without overtaking others.
func (g *Gate) Room(now time.Time, l Limits) bool { return g.queue.Len() == 0 && g.hasFreeSlot(now, l) }

// Take takes the next queued request out, as Withdraw does.
func (g *Gate) Take() (fairness.Ticket, bool) { return g.queue.Pop() }

// Withdraw takes a queued request out, to be submitted at another server that has
// room.
func (g *Gate) Withdraw(attempt amaranthtide.AttemptID) (fairness.Ticket, bool) {
	return g.queue.Remove(attempt)
}

// Finish frees the slot of a started request. It returns false, and changes
// nothing, if the attempt is not running.
func (g *Gate) Finish(now time.Time, attempt amaranthtide.AttemptID, o Outcome) bool {
	r, ok := g.running[attempt]
	if !ok {
		return false
	}
	concurrency := len(g.running)
	g.stop(now, attempt)
	if !o.Whole {
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

// Cancel takes a queued request out, which was then not run, or frees the slot of
// a running one. The caller cancels the work at the server first.
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

// Observe takes in the engine's report. asked is when it was asked for, now when
// it arrived. A report that was asked for before an observed one is dropped.
func (g *Gate) Observe(now, asked time.Time, r amaranthtide.EngineReport) {
	if asked.Before(g.reportRequested) {
		return
	}
	g.reportRequested, g.reportArrived = asked, now
	if g.ramp.ObserveBoot(now, r.Boot) {
		g.reportCount = 0
	}
	g.engineLeaving, g.engineCapacity = r.Leaving, r.Capacity
	minimum, maximum := g.history.extremes(asked.Add(-g.cfg.ReportLag).Sub(g.created), now.Sub(g.created))
	g.foreignMin = max(0, r.InFlight-maximum)
	g.foreignMax[g.reportCount%foreignReports] = max(0, r.InFlight-minimum)
	g.reportCount++
}

// SetLeaving tells whether the server gets no new work. What waits is refused by Next.
func (g *Gate) SetLeaving(leaving bool) { g.leaving = leaving }

// SetDown tells whether the server is out of reach. What waits is refused by Next.
func (g *Gate) SetDown(down bool) { g.down = down }

// Down reports whether the server is out of reach.
func (g *Gate) Down() bool { return g.down }

// Leaving reports whether the server gets no new work, by SetLeaving or by its own
// report.
func (g *Gate) Leaving() bool { return g.leaving || g.engineLeaving }

func (g *Gate) rejection() error {
	if g.notOwned {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "another router owns %s", g.cfg.Server)
	}
	if g.Leaving() {
		return amaranthtide.Errorf(amaranthtide.KindLeaving, "%s is leaving", g.cfg.Server)
	}
	if g.down {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "%s is down", g.cfg.Server)
	}
	return nil
}

func (g *Gate) refuseExpired(now time.Time) {
	for _, t := range g.queue.Expire(now) {
		g.refused = append(g.refused, Refusal{t, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the deadline passed in the queue of %s", g.cfg.Server)})
	}
}

// limit returns the greatest load after one more admission.
func (g *Gate) limit(now time.Time, l Limits) int {
	n := min(g.ramp.Allowance(now), mean.Cap(l.Total+1, l.Servers, l.Multiple, l.Floor))
	if g.engineCapacity > 0 {
		n = min(n, g.engineCapacity)
	}
	if !l.Settled {
		n /= 2
	}
	return n
}

func (g *Gate) hasFreeSlot(now time.Time, l Limits) bool {
	if now.Before(g.startsAllowed) || g.rejection() != nil {
		return false
	}
	return len(g.running)+max(l.External, g.foreignWork(now, l.Settled)) < g.limit(now, l)
}

func (g *Gate) foreignWork(now time.Time, settled bool) int {
	if g.reportCount == 0 || now.Sub(g.reportArrived) > foreignReportMaxAge {
		return 0
	}
	estimate := g.foreignMax[(g.reportCount-1)%foreignReports]
	if !settled {
		return estimate
	}
	for i := range min(g.reportCount, foreignReports) {
		estimate = min(estimate, g.foreignMax[i])
	}
	return max(estimate, g.foreignMin)
}

func (g *Gate) start(now time.Time, t fairness.Ticket) {
	g.running[t.Attempt] = running{now, t.Cost}
	g.history.record(now.Sub(g.created), len(g.running))
}

func (g *Gate) stop(now time.Time, attempt amaranthtide.AttemptID) {
	delete(g.running, attempt)
	g.history.record(now.Sub(g.created), len(g.running))
	g.rate = g.completionRate(now) + 1/rateTimeConstant.Seconds()
	g.rateUpdated = now
}

func (g *Gate) completionRate(now time.Time) float64 {
	return g.rate * math.Exp(-max(0, now.Sub(g.rateUpdated).Seconds())/rateTimeConstant.Seconds())
}

// estimateWait estimates how long t would estimateWait; 0 if nothing has finished yet.
func (g *Gate) estimateWait(now time.Time, t fairness.Ticket, l Limits) time.Duration {
	slots := float64(max(1, g.limit(now, l)))
	seconds := float64(g.queue.Ahead(t)) * g.secondsPerCost / slots
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

func (g *Gate) queueFull(wait time.Duration) error {
	err := amaranthtide.Errorf(amaranthtide.KindFull, "the queue of %s is full", g.cfg.Server)
	return amaranthtide.WithRetryAfter(err, retryAfter(wait))
}

func retryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }
