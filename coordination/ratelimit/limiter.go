// Package ratelimit keeps the requests of all routers within the rate that a backend server announces,
// without messages on the request path.
//
// As with cold servers (package coldrate), only some routers send to a limited server, each at its share
// of the rate, see package senders. A bucket holds one request at most: in any time d, the senders together
// send at most one request each and the rate times d. In a large fleet there are so many of them that none
// sends twice in 4 s: when all servers of a service are limited, a router that sends to none of them has to
// reject its requests. A small fleet has fewer, since each may send twice or more in that time.
//
// # Usage
//
//	l := ratelimit.New("vm-1")
//	l.SetRouters(names)
//	if l.Allow(now, "engine-1", limit.Rate) {
//		// Send one request.
//	}
//	at, ok := l.Next(now, "engine-1", limit.Rate) // ok is false if only other routers send
package ratelimit

import (
	"math"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/senders"
)

const (
	// minSenders is the number of senders of a server with a low rate. More are added for each request a
	// second: sparseSenders if none of them sends twice in 4 s, busySenders in a fleet without as many routers.
	minSenders    = 4
	sparseSenders = 4
	busySenders   = 1.5
	// defaultRetryAfter is when a caller should return if this router has no request within the rate before
	// then. The caller may return through another router.
	defaultRetryAfter = time.Second
	// retrySpread is the longest additional time over which rejected callers return.
	retrySpread = time.Second
)

// Limiter is one router's part of the rates of limited servers. It is not safe for concurrent use. Create
// one with New.
type Limiter struct {
	shares  *senders.Limiter
	routers int
}

// New returns the Limiter of a router. It allows nothing until SetRouters is called.
func New(self amaranthtide.VMName) *Limiter {
	return &Limiter{shares: senders.New(self, senders.Staggered)}
}

// SetRouters replaces the list of registered routers, which must include this one.
func (l *Limiter) SetRouters(routers []amaranthtide.VMName) {
	l.shares.SetRouters(routers)
	l.routers = len(routers)
}

// Allow reports whether this router may send a request now to a server with the given rate, and if so,
// counts it.
func (l *Limiter) Allow(now time.Time, server amaranthtide.BackendServerName, perSecond amaranthtide.RequestRate) bool {
	return l.shares.Allow(now, server, float64(perSecond), l.senders(perSecond))
}

// Next returns when this router may send its next request to the server, and false if only other routers
// send to it. The first call for a server starts to fill the router's bucket.
func (l *Limiter) Next(now time.Time, server amaranthtide.BackendServerName, perSecond amaranthtide.RequestRate) (time.Time, bool) {
	return l.Turn(now, server, perSecond, 0)
}

// Turn is like Next for a request that is sent after the given number of others.
func (l *Limiter) Turn(now time.Time, server amaranthtide.BackendServerName, perSecond amaranthtide.RequestRate, ahead int) (time.Time, bool) {
	return l.shares.Next(now, server, float64(perSecond), l.senders(perSecond), ahead)
}

// End records that the server has no limit now. If it announces one again, the routers send one after the
// other, as at the first time, and with no more requests than they had left.
func (l *Limiter) End(server amaranthtide.BackendServerName) { l.shares.Restart(server) }

// Forget removes the state of a server.
func (l *Limiter) Forget(server amaranthtide.BackendServerName) { l.shares.Forget(server) }

// senders returns the number of senders of a server with the given rate.
func (l *Limiter) senders(perSecond amaranthtide.RequestRate) int {
	if n := minSenders + int(sparseSenders*perSecond); n <= l.routers {
		return n
	}
	return minSenders + int(busySenders*perSecond)
}

// loggedChange is the relative change of a limit from which on operators should know of it.
const loggedChange = 0.25

// Describe returns the log message of a change of a server's limit from the one that was last logged; empty
// if the change is too small to be logged. 0 is no limit.
func Describe(before, after amaranthtide.RequestRate) string {
	switch {
	case before == 0 && after > 0:
		return "server limits its requests"
	case before > 0 && after == 0:
		return "server no longer limits its requests"
	case math.Abs(float64(after-before)) > loggedChange*float64(before):
		return "server has changed its limit"
	default:
		return ""
	}
}

// RetryAfter returns the wait of a caller whose request is rejected because of limits. next is when this
// router may send a request to one of the servers; zero if it may not. spread, from 0 to 1, differs
// between callers, so that they don't return in one step.
func RetryAfter(now, next time.Time, spread float64) time.Duration {
	wait := defaultRetryAfter
	if !next.IsZero() {
		wait = min(wait, max(0, next.Sub(now)))
	}
	return wait + time.Duration(spread*float64(retrySpread))
}
