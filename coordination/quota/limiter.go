// Package quota limits the request rate and the number of requests in flight of a
// workspace over the fleet. Each router enforces its share, which is the limit divided
// by the number of live routers in all reachable zones, but at least 1. No message is
// exchanged per request.
//
// The shares are approximate:
//
//   - A workspace whose requests reach only a few entry VMs gets less than its limit,
//     because the shares of the other routers are unused.
//   - If the number of routers exceeds the limit, the fleet may exceed it as well:
//     because of the minimum of 1, each router admits up to one request in flight and
//     one request per second.
//   - Shares of requests in flight are rounded down, so the fleet may stay below the
//     limit by up to one request per router.
//   - While routers disagree on which of them are live, or zones are disconnected, the
//     shares add up to more than the limit: each disconnected zone admits up to the
//     entire limit.
//   - A router that starts or restarts begins with the allowance of one second of its
//     share, and does not know which requests are in flight.
//
// # Usage
//
//	var l quota.Limiter // one per workspace, in a shard.Map
//	if err := l.Admit(now, row, liveRouters); err != nil {
//		return err // KindLimitReached, with a retry hint
//	}
//	defer l.Release()
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
)

// Limiter enforces this router's share of the limits of one workspace. The zero value
// is ready to use. It is not safe for concurrent use.
type Limiter struct {
	inFlight   int
	bucketRate float64
	bucket     *rate.Limiter
}

// Admit counts a request and returns nil, or returns an error of KindLimitReached.
// Release must be called once for each admitted request. Changed limits and a changed
// number of live routers apply from the next call on.
func (l *Limiter) Admit(now time.Time, workspace amaranthtide.Workspace, liveRouters int) error {
	liveRouters = max(liveRouters, 1)
	if share := max(workspace.MaxInFlight/liveRouters, 1); workspace.MaxInFlight > 0 && l.inFlight >= share {
		return amaranthtide.Errorf(amaranthtide.KindLimitReached, "workspace has %d requests in flight at this router, whose share of the limit is %d", l.inFlight, share)
	}
	if wait := l.takeToken(now, workspace.RequestsPerSecond, liveRouters); wait > 0 {
		err := amaranthtide.Errorf(amaranthtide.KindLimitReached, "workspace exceeds its limit of %g requests/s", workspace.RequestsPerSecond)
		return amaranthtide.WithRetryAfter(err, wait)
	}
	l.inFlight++
	return nil
}

// takeToken takes a token from the bucket, or returns the time until one is available.
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

// Release ends an admitted request.
func (l *Limiter) Release() { l.inFlight = max(l.inFlight-1, 0) }

// InFlight returns the number of requests that were admitted and not released.
func (l *Limiter) InFlight() int { return l.inFlight }
