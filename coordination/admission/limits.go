package admission

import (
	"math"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/mean"
	"amaranthtide/state/load"
)

// Limits holds the inputs of a decision that come from outside the server. See
// Gate.Limits.
type Limits struct {
	// Total is a lower bound of the load of all servers of the model before the decision.
	Total int
	// Servers is the number of servers of the model; 0 disables the cap.
	Servers int
	// Multiple and Floor are passed to mean.Cap.
	Multiple float64
	Floor    int
	// External is the number of requests in flight at this server that other routers
	// report.
	External int
	// Settled reports whether the membership views agree on this owner.
	Settled bool
}

// Limits derives the limits of a decision from a view of load.Tracker. It uses the
// gate's current number in flight even if the Tracker has not been updated yet. The
// server must be in service; call SetLeaving for a server that is not.
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

// limit returns the maximum load of the server, counting one more admission.
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
	if now.Before(g.startsAllowed) || g.isRejecting() || g.Pauses(now) {
		return false
	}
	return len(g.running)+max(l.External, g.foreignWork(now, l.Settled)) < g.limit(now, l)
}

// foreignWork estimates the requests in flight that this gate did not start. See the
// package comment.
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

func (g *Gate) completionRate(now time.Time) float64 {
	return g.rate * math.Exp(-max(0, now.Sub(g.rateUpdated).Seconds())/rateTimeConstant.Seconds())
}

// estimateWait estimates how long t would wait in the queue. It returns 0 until a
// request has finished.
func (g *Gate) estimateWait(now time.Time, t fairness.Ticket, l Limits) time.Duration {
	slots := float64(max(1, g.limit(now, l)))
	seconds := float64(g.queue.CostAhead(t)) * g.secondsPerCost / slots
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

func (g *Gate) queueFull(wait time.Duration) error {
	err := amaranthtide.Errorf(amaranthtide.KindFull, "the queue of %s is full", g.cfg.Server)
	return amaranthtide.WithRetryAfter(err, retryAfter(wait))
}

func retryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }
