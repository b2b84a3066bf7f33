package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// pauseSlack is how long after its answer a server may still get requests that were on
	// their way, and maxLatePauseRequests how many may come later.
	pauseSlack           = 500 * time.Millisecond
	maxLatePauseRequests = 2
)

// notices is what a server says of itself in its answers, and which routers it has told. The
// zero value says nothing.
type notices struct {
	// pauseUntil is the time until which requests are refused with a pause.
	pauseUntil time.Time
	leaving    bool
	// linkFaulty is set while answers may not arrive.
	linkFaulty bool
	paused     map[string]pauseNotice
	left       map[string]time.Time
}

// pauseNotice is a pause that a router was asked for.
type pauseNotice struct {
	at, until time.Time
	// late is the number of requests that came within it, pauseSlack after the answer.
	late int
}

// arrived records a request and reports whether it breaks what the router was told.
func (n *notices) arrived(now time.Time, router string, since func(time.Time) bool) (latePause, afterLeaving bool) {
	if p, ok := n.paused[router]; ok && now.After(p.at.Add(pauseSlack)) && now.Before(p.until) && since(p.at) {
		p.late++
		n.paused[router] = p
		latePause = p.late > maxLatePauseRequests
	}
	at, told := n.left[router]
	return latePause, told && now.Sub(at) > drainBound && since(at)
}

// tell records that the router gets an answer at now, and returns the pause that it asks for.
func (n *notices) tell(now time.Time, router string) (pause time.Duration) {
	if n.linkFaulty {
		return max(0, n.pauseUntil.Sub(now))
	}
	if n.leaving {
		if _, told := n.left[router]; !told {
			n.left[router] = now
		}
	}
	if !now.Before(n.pauseUntil) {
		return 0
	}
	if p, told := n.paused[router]; !told || !now.Before(p.until) {
		n.paused[router] = pauseNotice{at: now, until: n.pauseUntil}
	}
	return n.pauseUntil.Sub(now)
}

// forget drops what routers were told, since some of the answers may have been lost.
func (n *notices) forget() {
	n.paused, n.left = make(map[string]pauseNotice), make(map[string]time.Time)
}

// setLinkFaulty records that the link to the server begins or ends to lose answers.
func (b *backend) setLinkFaulty(faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices.linkFaulty = faulty
	b.notices.forget()
}

// checkNotices checks that the router keeps to what the server has told it, and writes what the
// server says of itself to the header of the response. It reports whether the server refuses the
// request.
func (b *backend) checkNotices(now time.Time, w http.ResponseWriter, r *http.Request) (refused bool) {
	id, via := r.Header.Get(standin.HeaderRequestID), r.Header.Get(headerRouter)
	since := func(at time.Time) bool { return b.soak.routerQuiet(now, via, now.Sub(at)) }
	b.mu.Lock()
	latePause, afterLeaving := b.notices.arrived(now, via, since)
	pause, leaving := b.notices.tell(now, via), b.notices.leaving
	b.mu.Unlock()
	if latePause {
		b.soak.addViolation(now, "pause", "request %s reached %s through %s within the pause that it had asked for", id, b.name, via)
	}
	if afterLeaving {
		b.soak.addViolation(now, "leaving", "request %s reached %s through %s long after it had said that it leaves", id, b.name, via)
	}
	if leaving {
		w.Header().Set(standin.HeaderLeaving, "1")
	}
	if pause <= 0 {
		return false
	}
	w.Header().Set(standin.HeaderRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	w.Header().Set(standin.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// routerQuiet reports whether the router had no fault for the given time.
func (s *soak) routerQuiet(now time.Time, name string, window time.Duration) bool {
	for _, r := range s.routers {
		if r.name == name {
			return r.faults.quiet(now, window)
		}
	}
	return false
}

// pauseServer lets a server refuse all requests with a pause for a while.
func (s *soak) pauseServer(ctx context.Context, random *rand.Rand) {
	b := s.randomBackend(random)
	d := 700*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))
	b.mu.Lock()
	b.notices.pauseUntil = time.Now().Add(d)
	b.mu.Unlock()
	s.pause(ctx, random, d, d+500*time.Millisecond)
}

// announceLeaving lets a server say in its answers that it leaves, which the store doesn't show,
// until another one has taken its place.
func (s *soak) announceLeaving(ctx context.Context, random *rand.Rand) {
	b := s.randomBackend(random)
	b.mu.Lock()
	b.notices.leaving = true
	b.mu.Unlock()
	s.pause(ctx, random, 2*time.Second, 5*time.Second)
	s.replaceBackend(ctx, random, b, b.version)
}
