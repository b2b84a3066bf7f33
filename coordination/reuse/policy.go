// Package reuse decides which idle connections to backend servers may carry a request, and
// how long and how many of them are kept.
//
// A new connection costs a round trip and a part of a slot at the server. An idle one may
// be dead without a sign: the request on it is lost, and one that may not be repeated then
// fails with an unknown outcome. Such requests therefore use only connections that were in
// use recently. After a request was lost on an idle connection, connections that have been
// idle for at least half that time are not used for a while, since servers and networks
// drop them after a fixed time.
//
// # Usage
//
//	var p reuse.Policy
//	if p.MayUse(now, idle, repeatable) { ... }
//	p.Lost(now, idle)
//	expires := now.Add(reuse.KeepFor(announced))
//	keep := reuse.KeepCount(connectionsPerServer, routers)
package reuse

import "time"

const (
	// maxIdle is the longest idle time of a connection that carries another request.
	maxIdle = 5 * time.Second
	// maxUnrepeatableIdle is the same for a request that may not be repeated.
	maxUnrepeatableIdle = 2 * time.Second
	// announcedShare is the part of the idle time announced by a server for which a
	// connection is kept, so that it isn't used just as the server closes it.
	announcedShare = 0.5
	// lossWindow is how long the idle time stays restricted after a request was lost on a
	// connection that had been idle.
	lossWindow = 30 * time.Second
	// minLossIdle is the shortest idle time that restricts later ones. Resets after a
	// shorter idle time have other causes.
	minLossIdle = 50 * time.Millisecond
	// idleShare is the part of a server's connections that the idle ones of all routers may
	// take. The rest is left for requests.
	idleShare = 0.5
	// maxKeepCount limits the idle connections of one router to one server.
	maxKeepCount = 8
)

// Policy records lost requests and decides by them. The zero value is ready to use. It is
// not safe for concurrent use.
type Policy struct {
	// shortestLoss is the shortest idle time after which a request was lost within
	// lossWindow.
	shortestLoss time.Duration
	// lastLoss is the time of the latest such loss.
	lastLoss time.Time
}

// Lost records that a request was lost on a connection that had been idle for the given
// time.
func (p *Policy) Lost(now time.Time, idle time.Duration) {
	if idle < minLossIdle {
		return
	}
	if now.Sub(p.lastLoss) > lossWindow || idle < p.shortestLoss {
		p.shortestLoss = idle
	}
	p.lastLoss = now
}

// MayUse reports whether a connection that has been idle for the given time may carry a
// request.
func (p *Policy) MayUse(now time.Time, idle time.Duration, repeatable bool) bool {
	limit := maxIdle
	if !repeatable {
		limit = maxUnrepeatableIdle
	}
	if !p.lastLoss.IsZero() && now.Sub(p.lastLoss) <= lossWindow {
		limit = min(limit, p.shortestLoss/2)
	}
	return idle < limit
}

// KeepFor returns how long an idle connection is kept. announced is the idle time that the
// server has announced, 0 if none.
func KeepFor(announced time.Duration) time.Duration {
	if announced <= 0 {
		return maxIdle
	}
	return min(maxIdle, time.Duration(announcedShare*float64(announced)))
}

// KeepCount returns how many idle connections a router keeps to a server that accepts the
// given number from all routers together; 0 connections mean that the number is unknown.
func KeepCount(connections, routers int) int {
	if connections <= 0 {
		return maxKeepCount
	}
	return min(max(1, int(idleShare*float64(connections)/float64(max(1, routers)))), maxKeepCount)
}
