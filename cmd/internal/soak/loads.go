package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// enginesPerZone is the number of engines of a zone in a run without rollouts. With a few of them,
	// the mean follows the load of the busiest one.
	enginesPerZone = 5
	// An engine is over the limit if it holds more than capFactor times the mean of its service and
	// capExtra requests. It is a violation if at least minOverLimit requests of calmWindow, and more
	// than overLimitShare of them, reach such engines.
	capFactor      = 2
	capExtra       = 3
	calmWindow     = 5 * time.Second
	minOverLimit   = 20
	overLimitShare = 0.03
	// firstHotCaller is the number of the first additional caller of a fault hotChats.
	firstHotCaller = 2000
	// Callers of hotChats: how many come, at which greatest distance, with how many chats, and the least
	// time for which they stay.
	minHotCallers     = 20
	maxHotCallers     = 80
	hotCallerInterval = 80 * time.Millisecond
	maxHotChats       = 6
	hotChatsTime      = 10 * time.Second
)

// loadCheck holds the requests that reached engines within calmWindow. The lock of the soak guards
// it. The zero value is empty and ready to use.
type loadCheck struct {
	recent      []engineArrival
	total, over int
}

type engineArrival struct {
	at   time.Time
	over bool
}

// add records a request and reports whether the requests of calmWindow are a violation, and how many
// of them reached an engine over the limit.
func (c *loadCheck) add(now time.Time, over bool) (n, all int, violated bool) {
	c.total++
	if over {
		c.over++
	}
	c.recent = append(c.recent, engineArrival{now, over})
	for now.Sub(c.recent[0].at) > calmWindow {
		c.recent = c.recent[1:]
	}
	for _, a := range c.recent {
		if a.over {
			n++
		}
	}
	all = len(c.recent)
	if n < minOverLimit || float64(n) <= overLimitShare*float64(all) {
		return n, all, false
	}
	c.recent = c.recent[:0] // reports each request once
	return n, all, true
}

// hold counts a request at the server until the returned function is called. If the server is an
// engine, it checks the load of the engine, unless some server, the store or the router had a fault. It
// doesn't in a run with rollouts, where servers of a new version get few requests and lower the mean.
func (b *backend) hold(now time.Time, r *http.Request) (release func()) {
	s, via := b.soak, r.Header.Get(headerRouter)
	calm := b.service == serviceEngine && !s.opts.Rollouts && s.storeCalm(now) && s.boundApplies(now, via, now) && s.serversQuiet(now)
	s.mu.Lock()
	sum, engines, holding := 0, 0, b.holding
	for _, other := range s.backends {
		if other.service == b.service {
			sum += other.holding
			engines++
		}
	}
	b.holding++
	n, all, violated := 0, 0, false
	if mean := float64(sum) / float64(max(engines, 1)); calm {
		n, all, violated = s.loads.add(now, float64(holding) > capFactor*mean+capExtra)
	}
	s.mu.Unlock()
	if violated {
		s.addViolation(now, "load", "%d of %d requests within %s reached an engine over the limit, the last one %s with %d requests at %d in all, through %s",
			n, all, calmWindow, b.name, holding, sum, via)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.holding--
	}
}

// serversQuiet reports whether no server had a fault in the last calmWindow.
func (s *soak) serversQuiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(slices.Concat(s.backends, s.retired), func(b *backend) bool { return !b.link.faults.quiet(now, calmWindow) })
}

// sendHotChats lets additional callers, who come one after the other, send slow streams of a few
// chats for a while. Streams of less than the age of the routers' loads would say nothing of the limit.
func (s *soak) sendHotChats(ctx context.Context, random *rand.Rand) {
	s.mu.Lock()
	active := s.hotChatsActive
	s.hotChatsActive = true
	s.mu.Unlock()
	if active {
		return
	}
	until := time.Now().Add(hotChatsTime + time.Duration(random.Int64N(int64(hotChatsTime))))
	callers, chats := minHotCallers+random.IntN(maxHotCallers-minHotCallers), 1+random.IntN(maxHotChats)
	s.recordEvent(fmt.Sprintf("%d callers of %d chats", callers, chats))
	var wg sync.WaitGroup
	for range callers {
		s.mu.Lock()
		c := s.newCaller(firstHotCaller + s.hotCallers)
		s.hotCallers++
		s.mu.Unlock()
		c.chats = chats
		wg.Go(func() { c.runSlow(ctx, until) })
		s.pause(ctx, random, 0, hotCallerInterval)
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hotChatsActive = false
}

// runSlow sends one slow stream after the other, each through a random router, until the given time. It
// finishes the last one: if many ended at once, the mean would fall faster than any report.
func (c *caller) runSlow(ctx context.Context, until time.Time) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil && time.Now().Before(until) {
		c.callLong(ctx, c.soak.routers[c.random.IntN(len(c.soak.routers))], slowPath)
		c.soak.pause(ctx, c.random, 0, callInterval)
	}
}
