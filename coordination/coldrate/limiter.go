// Package coldrate limits the request rate that a cold backend server receives from
// all routers together, without messages on the request path.
//
// Each cold server has a few senders among the routers, chosen by rendezvous hashing
// over all registered routers, live or not. Only senders send to the server while it
// is cold, each at its share of the rate. A disconnected router therefore needs no
// permission, and the share of a sender that is down remains unused. While the lists of
// two routers differ, each list selects its own senders; the rate is then at most twice
// the declared rate of the server.
//
// # Usage
//
//	l := coldrate.New("vm-1")
//	l.SetRouters(names)
//	if l.Allow(now, "engine-1", 9.1) {
//		// Send one request.
//	}
package coldrate

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/senders"
)

// Senders is the number of routers that send to one cold server. With more, the share
// of each would be below one request per second; with fewer, more of the rate would be
// lost when one router is down.
const Senders = 4

// Limiter enforces one router's shares of the rates of cold servers. It is not safe for
// concurrent use.
type Limiter struct{ shares *senders.Limiter }

// New returns the Limiter of a router. It allows nothing until SetRouters is called.
func New(self amaranthtide.VMName) *Limiter { return &Limiter{senders.New(self, senders.Full)} }

// SetRouters replaces the list of registered routers, which must include this one.
func (l *Limiter) SetRouters(routers []amaranthtide.VMName) { l.shares.SetRouters(routers) }

// Allow reports whether this router may send a request to a cold server that can handle
// perSecond requests per second, and if so, counts it.
func (l *Limiter) Allow(now time.Time, server amaranthtide.BackendServerName, perSecond float64) bool {
	return l.shares.Allow(now, server, perSecond, Senders)
}

// Preview returns what Allow would, but counts nothing.
func (l *Limiter) Preview(now time.Time, server amaranthtide.BackendServerName, perSecond float64) bool {
	at, ok := l.shares.Next(now, server, perSecond, Senders, 0)
	return ok && at.Sub(now) < time.Microsecond // times are rounded
}

// Forget removes the state of a server.
func (l *Limiter) Forget(server amaranthtide.BackendServerName) { l.shares.Forget(server) }
