// Package quota bounds the rate of requests and the requests in flight of a
// workspace over the fleet. Each router enforces its share, the limit divided by
// the live routers of all reachable zones, at least 1. No message is needed per
// request.
//
// The shares are approximate:
//
//   - A workspace whose requests reach few entries gets less than its limit, since
//     the shares of the other routers lie idle.
//   - With more routers than the limit allows requests, the minimum of 1 lets the
//     fleet as a whole pass up to one request, and one per second, per router.
//   - In-flight shares are rounded down, so the fleet may stay under the limit by
//     up to one request per router.
//   - While routers disagree about who is live, or zones are cut off from each
//     other, the shares sum up to more than the limit: with the zones cut off, each
//     zone passes up to the whole limit.
//   - A router that starts or restarts begins with one second's allowance of its
//     share, and with no memory of what is in flight.
//
// # Usage
//
//	var l quota.Limiter // one per workspace, in a shard.Map
//	if err := l.Admit(now, row, liveRouters); err != nil {
//		return err // KindLimitReached, with a hint when to retry
//	}
//	defer l.Release()
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
)

// Limiter enforces this router's share of the limits of one workspace. The zero
// value is ready to use. It is not concurrent-safe.
type Limiter struct {
	inFlight   int
	bucketRate float64
	bucket     *rate.Limiter
}

// Admit counts a request in and returns nil, or returns KindLimitReached. Each
// admitted request must be released once. A change of limits or of the number of
// live routers is in force from the next call on.
func (l *Limiter) Admit(now time.Time, workspace amaranthtide.Workspace, liveRouters int) error {
	liveRouters = max(liveRouters, 1)
	if share := max(workspace.MaxInFlight/liveRouters, 1); workspace.MaxInFlight > 0 && l.inFlight >= share {
		return amaranthtide.Errorf(amaranthtide.KindLimitReached, "workspace has %d requests in flight here, the share of this router is %d", l.inFlight, share)
	}
	if wait := l.takeToken(now, workspace.RequestsPerSecond, liveRouters); wait > 0 {
		err := amaranthtide.Errorf(amaranthtide.KindLimitReached, "workspace sends more than %g requests/s", workspace.RequestsPerSecond)
		return amaranthtide.WithRetryAfter(err, wait)
	}
	l.inFlight++
	return nil
}

// takeToken spends a token, or returns the time until there is one.
func (l *Limiter) takeToken(now time.Time, limit float64, liveRouters int) time.Duration {
	if limit <= 0 {
		l.bucket = nil
		return 0
	}
	perSec := max(limit/float64(liveRouters), 1)
	burst := int(math.Ceil(perSec))
	switch {
	case l.bucket == nil:
		l.bucket = rate.NewLimiter(rate.Limit(perSec), burst)
	case perSec != l.bucketRate:
		l.bucket.SetLimitAt(now, rate.Limit(perSec))
		l.bucket.SetBurstAt(now, burst)
	}
	l.bucketRate = perSec
	r := l.bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// Release counts a request out.
func (l *Limiter) Release() { l.inFlight = max(l.inFlight-1, 0) }

// InFlight returns the number of requests admitted and not released.
func (l *Limiter) InFlight() int { return l.inFlight }
