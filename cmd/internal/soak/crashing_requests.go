package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// crashingSegment starts the last segment of the path of a request that crashes its server.
	crashingSegment = "crashing-"
	// crashingInterval is the time between two copies of such a request, through random routers.
	crashingInterval = 200 * time.Millisecond
	// crashDelay is the time between the beginning of the answer and the crash.
	crashDelay = 15 * time.Millisecond
	// crashTime is how long a crashed server refuses connections.
	crashTime = 1200 * time.Millisecond
	// heldCrashes is the number of servers after which a request is no longer sent on, heldBound
	// the time that all routers may take to learn of the last one.
	heldCrashes = 3
	heldBound   = 2 * time.Second
	// quarantinedAnswer is the body of an answer to a request that is held back.
	quarantinedAnswer = "quarantined\n"
)

// sendCrashing sends copies of a request that crashes each server, as its callers would.
func (s *soak) sendCrashing(ctx context.Context, random *rand.Rand) {
	s.mu.Lock()
	if s.crashingActive {
		s.mu.Unlock()
		return // two at once could crash all servers
	}
	s.crashingActive = true
	s.crashingCount++
	number := s.crashingCount
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.crashingActive = false
	}()
	path := []string{"/list/", "/draft/"}[random.IntN(2)] + crashingSegment + fmt.Sprint(number)
	c := s.newCaller(callerCount + longCallerCount + 1 + number)
	defer c.client.CloseIdleConnections()
	for end := time.Now().Add(5*time.Second + time.Duration(random.Int64N(int64(5*time.Second)))); time.Now().Before(end) && ctx.Err() == nil; {
		c.callCrashing(ctx, s.randomRouter(random), path, number)
		s.pause(ctx, random, crashingInterval/2, crashingInterval*3/2)
	}
}

// callCrashing sends one copy. Its answer is not checked, except that it can't be a success.
func (c *caller) callCrashing(ctx context.Context, r *router, path string, number int) {
	c.sent++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, r, path, fmt.Sprintf("%d-crashing%d-%d", c.soak.opts.Seed, number, c.sent), permanentKey, requestTimeout)
	if err != nil {
		c.soak.addViolation(time.Now(), "soak", "create request: %v", err)
		return
	}
	req.Header.Set(standin.HeaderPromptPrefix, fmt.Sprintf("1:100,c0de%d:10", number))
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK && !strings.HasPrefix(path, "/draft/") {
		c.soak.addViolation(time.Now(), "answer", "request %s that crashes its server was answered 200", path)
	}
}

// crash lets the server refuse connections for a while, after it has begun to answer the request
// that is to blame.
func (b *backend) crash(w http.ResponseWriter, r *http.Request) {
	b.soak.recordCrash(time.Now(), r.URL.Path, r.Header.Get(headerRouter))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, "id: 1\ndata: crash")
	_ = http.NewResponseController(w).Flush() // fails if the caller has disconnected
	time.Sleep(crashDelay)
	now := time.Now()
	b.setLinkFaulty(true)
	end := b.link.faults.begin(now)
	b.link.crash(crashTime)
	time.AfterFunc(crashTime, func() {
		b.setLinkFaulty(false)
		end(time.Now())
	})
	time.Sleep(crashTime) // the link has ended the connection
}

// recordCrash records that a request reached a server, which crashes. It is a violation if that
// was long after the third crash under it, and no router had a fault meanwhile.
func (s *soak) recordCrash(now time.Time, path, via string) {
	s.mu.Lock()
	s.requestCrashes[path] = append(s.requestCrashes[path], now)
	crashes := slices.Clone(s.requestCrashes[path])
	s.mu.Unlock()
	if len(crashes) <= heldCrashes {
		return
	}
	third := crashes[heldCrashes-1]
	if now.Sub(third) > heldBound && s.fleetQuiet(now, now.Sub(third)+quietTime) {
		s.addViolation(now, "held", "request %s reached a server through %s %s after the third server had ended under it, %d in all", path, via, now.Sub(third), len(crashes))
	}
}

// fleetQuiet reports whether no router had a fault for the given time. One that has just started
// knows neither the crashes nor the answers that the others have seen.
func (s *soak) fleetQuiet(now time.Time, window time.Duration) bool {
	return !slices.ContainsFunc(s.routers, func(r *router) bool { return !r.faults.quiet(now, window) })
}
