// Package senders divides the request rate of a backend server among a few routers, the senders,
// without messages on the request path.
//
// The senders of a server are chosen by rendezvous hashing over all registered routers, live or not.
// Each has a token bucket with an equal share of the rate and a capacity of one request. A disconnected
// router therefore needs no permission, and the share of a sender that is down remains unused. While
// the lists of two routers differ, each list selects its own senders.
//
// Package coldrate uses it for cold servers, package ratelimit for servers that announce a limit.
//
// # Usage
//
//	l := senders.New("vm-1", senders.Full)
//	l.SetRouters(names)
//	if l.Allow(now, "engine-1", 9.1, 4) {
//		// Send one request.
//	}
package senders

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Fill is how full the buckets are when they are first used.
type Fill int

const (
	// Full buckets allow one request of each sender at once.
	Full Fill = iota
	// Staggered buckets are filled by the positions of the senders, so that a request is allowed in each
	// 1/rate, by one sender after the other.
	Staggered
)

// Limiter enforces one router's shares of the rates of servers. It is not safe for concurrent use.
// Create one with New.
type Limiter struct {
	self    amaranthtide.VMName
	fill    Fill
	routers []amaranthtide.VMName
	// positions holds this router's positions among the senders as far as they were computed.
	positions map[amaranthtide.BackendServerName]position
	buckets   map[amaranthtide.BackendServerName]*bucket
}

// bucket is a token bucket. It is staggered again before its next use if restart is set.
type bucket struct {
	*rate.Limiter
	restart bool
}

// position is the position of this router among the senders of a server.
type position struct {
	// max is the largest number of senders, and senders the actual one.
	max, senders int
	// rank is from 0 to senders-1, or -1 if the router isn't one of them.
	rank int
}

// New returns the Limiter of a router. It allows nothing until SetRouters is called.
func New(self amaranthtide.VMName, fill Fill) *Limiter {
	return &Limiter{
		self: self, fill: fill,
		positions: make(map[amaranthtide.BackendServerName]position),
		buckets:   make(map[amaranthtide.BackendServerName]*bucket),
	}
}

// SetRouters replaces the list of registered routers, which must include this one.
func (l *Limiter) SetRouters(routers []amaranthtide.VMName) {
	l.routers = slices.Clone(routers)
	clear(l.positions)
}

// Allow reports whether this router may send a request to a server that takes perSecond requests per second
// from the given number of senders, and if so, counts it.
func (l *Limiter) Allow(now time.Time, server amaranthtide.BackendServerName, perSecond float64, senders int) bool {
	b, ok := l.bucket(now, server, perSecond, senders)
	return ok && b.AllowN(now, 1)
}

// Next returns when this router may send its next request to the server if ahead others are sent before
// it, and false if it isn't one of the senders. It counts nothing, but starts to fill a staggered bucket.
func (l *Limiter) Next(now time.Time, server amaranthtide.BackendServerName, perSecond float64, senders, ahead int) (time.Time, bool) {
	b, ok := l.bucket(now, server, perSecond, senders)
	if !ok {
		return time.Time{}, false
	}
	missing := max(0, float64(ahead+1)-b.TokensAt(now))
	return now.Add(seconds(missing / float64(b.Limit()))), true
}

// Rank returns this router's position among the senders of the server, from 0, and false if it isn't one.
func (l *Limiter) Rank(server amaranthtide.BackendServerName, senders int) (int, bool) {
	p := l.position(server, senders)
	return p.rank, p.rank >= 0
}

// Restart makes the router stagger the bucket of the server again before its next use. It takes from the
// bucket what that requires, but adds nothing, so that it may be called often.
func (l *Limiter) Restart(server amaranthtide.BackendServerName) {
	if b, ok := l.buckets[server]; ok {
		b.restart = true
	}
}

// Forget removes the state of a server.
func (l *Limiter) Forget(server amaranthtide.BackendServerName) {
	delete(l.buckets, server)
	delete(l.positions, server)
}

// bucket returns this router's bucket of the server, and false if it isn't one of the senders.
func (l *Limiter) bucket(now time.Time, server amaranthtide.BackendServerName, perSecond float64, senders int) (*bucket, bool) {
	p := l.position(server, senders)
	if p.rank < 0 {
		return nil, false
	}
	share := rate.Limit(perSecond / float64(p.senders))
	b, ok := l.buckets[server]
	switch level := p.level(); {
	case !ok && l.fill == Full:
		b = newBucket(now, share, 1)
	case !ok:
		b = newBucket(now, share, level)
	case b.restart:
		b = newBucket(now, share, min(level, b.TokensAt(now)))
	case b.Limit() != share:
		b.SetLimitAt(now, share)
	}
	l.buckets[server] = b
	return b, true
}

func newBucket(now time.Time, share rate.Limit, level float64) *bucket {
	b := rate.NewLimiter(share, 1)
	b.AllowN(now.Add(-seconds(level/float64(share))), 1) // it was empty then
	return &bucket{Limiter: b}
}

// level returns how full a staggered bucket is at first.
func (p position) level() float64 { return float64(p.rank) / float64(p.senders) }

func (l *Limiter) position(server amaranthtide.BackendServerName, senders int) position {
	if p, ok := l.positions[server]; ok && p.max == senders {
		return p
	}
	top := placement.TopRouters(string(server), l.routers, senders)
	p := position{max: senders, senders: len(top), rank: slices.Index(top, l.self)}
	l.positions[server] = p
	return p
}

// seconds returns a number of seconds as a duration, rounded up.
func seconds(n float64) time.Duration { return time.Duration(math.Ceil(n * float64(time.Second))) }
