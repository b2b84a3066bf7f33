// Package overload decides which requests of a service a router admits while callers compete for
// too little capacity.
//
// All routers see the same loads of the engines, up to a second late, and decide alone. From the
// load, each derives the part of the offered work to admit (pressure), divides it by priority
// and workspace according to what it was offered itself (shares), and admits a request if a number
// that is derived from its identifier and the time is below the share. Nothing is rejected while
// capacity is ample.
//
// # Usage
//
//	var capacity overload.Capacity
//	capacity.Add(slots, slots, load) // for each engine
//	c := overload.New()
//	switch d := c.Decide(now, overload.RequestOf(req), capacity); d.Verdict {
//	case overload.Admit:
//	case overload.Wait: // until d.Until; call Reconsider as capacity changes
//	case overload.Reject: // with d.RetryAfter
//	}
//	c.Started(now, r)       // at the first event
//	c.Ended(now, r, begun)  // at the end
//
// A Controller is not safe for concurrent use.
package overload

import (
	"math"
	"slices"
	"time"

	"amaranthtide"
)

const (
	// refreshInterval is the time for which shares are kept.
	refreshInterval = 50 * time.Millisecond
	// maxCredit bounds the requests by which a priority may be behind its share; it may be three times
	// as many ahead of it. creditGain is how much each of them changes the chance of the next request.
	maxCredit  = 3
	creditGain = 0.4
	// maxExcess is how many times its share a workspace may ask for if its rejected requests are to
	// go first when they return. A router sees few requests of most workspaces, so a small excess
	// may be due to chance.
	maxExcess = 2
	// minSizeFactor and maxSizeFactor bound how much the chance of a request depends on its work.
	// The largest requests must be served at least half as often as the others.
	minSizeFactor = 0.85
	maxSizeFactor = 1.25
	// maxWait and maxWaitShare bound the time for which a request waits for capacity, the latter
	// as a part of the time until its first event must come. A shorter wait than minWait is of no
	// use.
	maxWait      = time.Second
	maxWaitShare = 0.25
	minWait      = 50 * time.Millisecond
)

// Verdict is what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Admit Verdict = iota
	Wait
	Reject
)

// Reason tells why a request was rejected.
type Reason string

// The reasons.
const (
	// ReasonShare means that others of the same or a higher priority go first.
	ReasonShare Reason = "share"
	// ReasonLate means that the first event would come too late.
	ReasonLate Reason = "late"
)

// Decision is the result of Decide and Reconsider.
type Decision struct {
	Verdict Verdict
	// Until is when a request that waits must be decided on.
	Until time.Time
	// RetryAfter and Reason are set for a rejection.
	RetryAfter time.Duration
	Reason     Reason
}

// class holds what is known of the requests of one priority.
type class struct {
	priority       int
	requests, work decayed
	// admitted sums up the requests that were admitted.
	admitted decayed
	// workspaces counts the requests of each workspace. It doesn't sum up their work: a router sees
	// few requests of most workspaces, so that sums would depend on the size of single ones.
	workspaces map[amaranthtide.WorkspaceName]*decayed
	meanWork   mean
	// firstEvent is a mean of the seconds until first events. It falls faster than it rises, so that it
	// is close to the time without a queue.
	firstEvent mean
	share      float64
	// level is the demand, in requests, up to which all requests of a workspace are admitted.
	level float64
	// credit is the number of requests by which the admitted ones are behind the share.
	credit float64
}

// Controller decides for one service on one router. Create one with New.
type Controller struct {
	pressure    pressure
	capacity    Capacity
	refreshedAt time.Time
	// classes are in the order of their priority.
	classes []*class
	recent  recent
	// hold is the time in seconds for which a request holds a slot.
	hold mean
	// started counts the requests that got their first event or ended without one, late those of them
	// that took more than half of the time until their callers give up.
	started, late decayed
}

// New returns a Controller without any knowledge, which admits everything.
func New() *Controller { return &Controller{} }

// Decide decides on a request that has just arrived.
func (c *Controller) Decide(now time.Time, r Request, capacity Capacity) Decision {
	cl := c.class(r.Priority)
	cl.offered(now, r)
	return c.decide(now, r, capacity, false)
}

// Reconsider decides again on a request that waits. It doesn't wait any longer if last is set.
func (c *Controller) Reconsider(now time.Time, r Request, capacity Capacity, last bool) Decision {
	return c.decide(now, r, capacity, last)
}

func (c *Controller) decide(now time.Time, r Request, capacity Capacity, last bool) Decision {
	c.refresh(now, capacity)
	cl := c.class(r.Priority)
	switch {
	case capacity.Ample(), c.pressure.value == 0 && !c.isTooLate(now, r, cl):
		return c.admit(now, r, cl)
	case c.isTooLate(now, r, cl):
		return c.reject(now, r, cl, ReasonLate)
	case c.passes(now, r, cl):
		return c.admit(now, r, cl)
	}
	wait := min(maxWait, time.Duration(maxWaitShare*float64(r.Latest.Sub(r.Arrived))))
	if !last && wait >= minWait && c.pressure.passesWithin(now, wait) {
		return Decision{Verdict: Wait, Until: r.Arrived.Add(wait)}
	}
	return c.reject(now, r, cl, ReasonShare)
}

// passes reports whether the request is within the share of its priority and workspace.
func (c *Controller) passes(now time.Time, r Request, cl *class) bool {
	chance := cl.chance(now, r)
	switch {
	case cl.share >= 1:
		return true
	case chance >= cl.share/maxExcess && cl.credit > -maxCredit && c.recent.returns(r):
		return true
	}
	chance *= min(max(math.Sqrt(cl.meanWork.value/r.Work), minSizeFactor), maxSizeFactor)
	return r.sample(r.Arrived) < chance*math.Exp(creditGain*cl.credit)
}

// isTooLate reports whether the first event of the request would come too late.
func (c *Controller) isTooLate(now time.Time, r Request, cl *class) bool {
	if r.Latest.IsZero() {
		return false
	}
	allowed := r.Latest.Sub(r.Arrived)
	first := min(time.Duration(cl.firstEvent.value*float64(time.Second)), allowed/2)
	return now.Add(c.queueTime(now, cl) + first).After(r.Latest)
}

// queueTime returns how long a request of the class waits at an engine, behind those that wait
// there and are not less urgent.
func (c *Controller) queueTime(now time.Time, cl *class) time.Duration {
	if c.capacity.Slots == 0 || c.capacity.Waiting == 0 {
		return 0
	}
	all, ahead := 0.0, 0.0
	for _, other := range c.classes {
		n := other.admitted.value(now)
		if all += n; other.priority <= cl.priority {
			ahead += n
		}
	}
	if all == 0 {
		return 0
	}
	waiting := float64(c.capacity.Waiting) * ahead / all
	return time.Duration(waiting / float64(c.capacity.Slots) * c.hold.value * float64(time.Second))
}

func (c *Controller) admit(now time.Time, r Request, cl *class) Decision {
	cl.settle(r, 1)
	cl.admitted.add(now, 1)
	c.recent.admitted(r)
	return Decision{Verdict: Admit}
}

func (c *Controller) reject(now time.Time, r Request, cl *class, reason Reason) Decision {
	cl.settle(r, 0)
	c.recent.rejected(now, r)
	return Decision{Verdict: Reject, Reason: reason, RetryAfter: c.RetryAfter(now, r)}
}

const (
	// minRetryAfter and minRetrySpread are the shortest time after which a rejected caller
	// returns, and over which callers spread.
	minRetryAfter  = 100 * time.Millisecond
	minRetrySpread = 500 * time.Millisecond
	// retryShare is the part of the time left up to which callers honour Retry-After.
	retryShare = 0.33
)

// RetryAfter returns the time after which the caller of a request that isn't admitted should
// return: when the requests above the target have ended, spread over callers.
func (c *Controller) RetryAfter(now time.Time, r Request) time.Duration {
	excess := max(0, c.pressure.excess) / min(max(c.pressure.load, 0.1), 1)
	base := max(minRetryAfter, time.Duration(excess*c.hold.value*float64(time.Second)))
	spread := max(minRetrySpread, base/2)
	if limit := time.Duration(retryShare * float64(r.Latest.Sub(now))); base+spread > limit && limit > minRetryAfter {
		base = min(base, max(minRetryAfter, limit-spread))
		spread = max(0, limit-base)
	}
	cl := c.class(r.Priority)
	wait := base + time.Duration(r.sample(now)*float64(spread))
	if cl.chance(now, r) < cl.share/maxExcess {
		return wait // others of its priority go first
	}
	// The request returns in the epoch of the spread in which its sample is lowest, away from
	// the ends of the epoch, which callers may miss.
	lowest, end := 1.0, now.Add(base+spread)
	for t := now.Add(base).Truncate(epoch).Add(epoch); !t.Add(epoch).After(end); t = t.Add(epoch) {
		if n := r.sample(t); n < lowest {
			lowest, wait = n, t.Sub(now)+time.Duration((0.2+0.5*r.sample(now))*float64(epoch))
		}
	}
	return wait
}

// Started records the first event of a request.
func (c *Controller) Started(now time.Time, r Request) {
	took := now.Sub(r.Arrived)
	const risingWeight, fallingWeight = 0.02, 0.2
	cl, weight := c.class(r.Priority), fallingWeight
	if took.Seconds() > cl.firstEvent.value {
		weight = risingWeight
	}
	cl.firstEvent.add(took.Seconds(), weight)
	c.observe(now, 2*took > r.Latest.Sub(r.Arrived))
}

// Ended records the end of a request. begun is when its first event came; zero if it never did.
func (c *Controller) Ended(now time.Time, r Request, begun time.Time) {
	if begun.IsZero() {
		c.observe(now, 2*now.Sub(r.Arrived) > r.Latest.Sub(r.Arrived))
		return
	}
	const weight = 0.05
	c.hold.add(now.Sub(begun).Seconds()+c.class(r.Priority).firstEvent.value, weight)
}

func (c *Controller) observe(now time.Time, late bool) {
	c.started.add(now, 1)
	if late {
		c.late.add(now, 1)
	}
}

// Capacity returns the capacity that was last seen, and the part of the offered work that is
// admitted.
func (c *Controller) Capacity() (Capacity, float64) { return c.capacity, c.pressure.share() }

// class returns the class of a priority.
func (c *Controller) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(c.classes, priority, func(cl *class, p int) int { return cl.priority - p })
	if !ok {
		cl := &class{priority: priority, share: 1, workspaces: make(map[amaranthtide.WorkspaceName]*decayed)}
		c.classes = slices.Insert(c.classes, i, cl)
	}
	return c.classes[i]
}

// refresh derives the shares from the capacity.
func (c *Controller) refresh(now time.Time, capacity Capacity) {
	if now.Sub(c.refreshedAt) < refreshInterval {
		return
	}
	c.refreshedAt, c.capacity = now, capacity
	lateness := 0.0
	if started := c.started.value(now); started > 0 {
		lateness = c.late.value(now) / (started + 1)
	}
	c.pressure.update(now, capacity.Load(), lateness)
	offers := make([]offer, len(c.classes))
	for i, cl := range c.classes {
		offers[i] = offer{cl.priority, cl.requests.value(now), cl.work.value(now)}
	}
	for i, share := range sharesByPriority(c.pressure.share(), offers) {
		c.classes[i].setShare(now, share)
	}
}

// offered counts a request that has arrived.
func (cl *class) offered(now time.Time, r Request) {
	const workWeight = 0.05
	cl.requests.add(now, 1)
	cl.work.add(now, r.Work)
	cl.meanWork.add(r.Work, workWeight)
	ws := cl.workspaces[r.Workspace]
	if ws == nil {
		ws = &decayed{}
		cl.workspaces[r.Workspace] = ws
	}
	ws.add(now, 1)
}

// setShare sets the share of the class, and the level of its workspaces. It drops workspaces that
// ask for nothing any more.
func (cl *class) setShare(now time.Time, share float64) {
	cl.share = share
	if share >= 1 {
		cl.credit = 0
	}
	demands := make([]float64, 0, len(cl.workspaces))
	const forgotten = 0.05
	for name, ws := range cl.workspaces {
		v := ws.value(now)
		if v < forgotten {
			delete(cl.workspaces, name)
			continue
		}
		demands = append(demands, v)
	}
	cl.level = fairLevel(share, demands)
}

// chance returns the part of the requests of r's workspace to admit.
func (cl *class) chance(now time.Time, r Request) float64 {
	ws := cl.workspaces[r.Workspace]
	if ws == nil || cl.level <= 0 {
		return cl.share
	}
	return min(max(cl.level/ws.value(now), floorShare*cl.share), 1)
}

// settle credits the share of a request, and debits what was admitted of it.
func (cl *class) settle(r Request, admitted float64) {
	cl.credit = min(max(cl.credit+cl.size(r)*(cl.share-admitted), -3*maxCredit), maxCredit)
}

// size returns the work of a request in relation to the mean.
func (cl *class) size(r Request) float64 { return r.Work / max(cl.meanWork.value, 1) }
