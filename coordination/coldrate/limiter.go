// Package coldrate bounds the requests that a cold backend server gets from all
// routers together, without any exchange of messages on the request path.
//
// Each cold server has a few senders among the routers, by rendezvous hashing over
// all routers that are registered, whether they are alive or not. Only senders
// send to the server while it is cold, each at its share of the rate. A router that
// is cut off therefore needs no leave, and a sender that is down leaves its share
// unused. While the lists of two routers differ, each sees its own senders; the
// rate then reaches at most twice what the server is declared to bear.
//
// # Usage
//
//	l := coldrate.New("vm-1")
//	l.SetRouters(names)
//	if l.Take(now, "engine-1", 9.1) {
//		// Send one request.
//	}
package coldrate

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Senders is how many routers send to one cold server. More of them keep the
// share of each below one request a second; fewer lose more of it with one router.
const Senders = 4

// Limiter holds the shares of one router. It is not concurrent-safe.
type Limiter struct {
	self    amaranthtide.VMName
	routers []amaranthtide.VMName
	buckets map[amaranthtide.BackendServerName]*rate.Limiter
}

// New returns the Limiter of a router. It allows nothing until SetRouters.
func New(self amaranthtide.VMName) *Limiter {
	return &Limiter{self: self, buckets: make(map[amaranthtide.BackendServerName]*rate.Limiter)}
}

// SetRouters replaces the registered routers. The own name must be among them.
func (l *Limiter) SetRouters(routers []amaranthtide.VMName) { l.routers = slices.Clone(routers) }

// Take counts one request to a cold server that bears perSecond requests a second,
// and returns false if this router may not send it.
func (l *Limiter) Take(now time.Time, server amaranthtide.BackendServerName, perSecond float64) bool {
	senders := placement.First(string(server), l.routers, Senders)
	if !slices.Contains(senders, l.self) {
		return false
	}
	share := rate.Limit(perSecond / float64(len(senders)))
	b, ok := l.buckets[server]
	if !ok {
		b = rate.NewLimiter(share, 1)
		l.buckets[server] = b
	}
	if b.Limit() != share {
		b.SetLimitAt(now, share)
	}
	return b.AllowN(now, 1)
}

// Forget drops what is held for a server.
func (l *Limiter) Forget(server amaranthtide.BackendServerName) { delete(l.buckets, server) }
