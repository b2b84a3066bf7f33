package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// longPath is a route of streams that may not be resumed and may last longer than the
	// rest of a router's grace period.
	longPath = "/essay/1"
	// slowPath is a path on the same route, whose streams take three times as long.
	slowPath        = "/essay/slow"
	longCallerCount = 6
	longEventPause  = 50 * time.Millisecond
	slowEventPause  = 150 * time.Millisecond
	minLongStream   = 300 * time.Millisecond
	maxLongStream   = 3200 * time.Millisecond
	longTimeout     = 12 * time.Second
	// unframedEvery is the number of long streams of which one has no framing.
	unframedEvery = 3
	// noticeTime is the part of a router's grace period in which it has to take requests,
	// and lastPart the time after which a request from then may be cut.
	noticeTime = grace * 35 / 100
	lastPart   = grace * 5 / 6
)

// longRoute is the route of longPath in the declared configuration.
func longRoute() map[string]any {
	return map[string]any{
		"name": "essay", "hostname": "shop.example", "prefix": "/essay/", "route_type": "stream", "service": serviceEngine,
		"timeout_ms": longTimeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "max_attempts": 1,
	}
}

// longRun is a run of a request for longPath at a server.
type longRun struct {
	server *backend
	// ended is zero while the server works on it.
	ended time.Time
}

// streamLong sends a stream whose length follows from the identifier of its request.
func (b *backend) streamLong(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	b.soak.setLongRun(id, longRun{server: b})
	defer func() { b.soak.setLongRun(id, longRun{b, time.Now()}) }()
	w.Header().Set("Content-Type", "text/event-stream")
	if isUnframed(id) {
		w.Header().Set("Transfer-Encoding", "identity") // ends the stream with its connection
	}
	eventPause := longEventPause
	if r.URL.Path == slowPath {
		eventPause = slowEventPause
	}
	for n := 1; n <= longEvents(id); n++ {
		_, _ = fmt.Fprint(w, eventText(id, n))
		_ = http.NewResponseController(w).Flush() // fails if the caller has disconnected
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// longEvents returns the number of events of a long stream.
func longEvents(id string) int {
	spread := time.Duration(hashOf(id)) % (maxLongStream - minLongStream)
	return int((minLongStream + spread) / longEventPause)
}

// isUnframed reports whether a long stream has neither a length nor chunks.
func isUnframed(id string) bool { return hashOf(id)%unframedEvery == 0 }

func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return h.Sum32()
}

// serverMayHaveEnded reports whether the server of a long stream without framing may have ended it since
// it was sent: a caller can't tell that from the whole stream.
func (s *soak) serverMayHaveEnded(now, sent time.Time, id string) bool {
	run, ok := s.longRun(id)
	return ok && isUnframed(id) && !run.server.link.faults.quiet(now, now.Sub(sent)+quietTime)
}

// isLong reports whether requests with the path are long streams.
func isLong(path string) bool { return path == longPath || path == slowPath }

func (s *soak) setLongRun(id string, run longRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longRuns[id] = run
}

func (s *soak) longRun(id string) (run longRun, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok = s.longRuns[id]
	return run, ok
}

// loop sends one long stream after the other, on the same connection as long as its router
// keeps it open.
func (c *caller) loop(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	r := c.soak.routers[c.random.IntN(len(c.soak.routers))]
	for ctx.Err() == nil {
		if !c.callLong(ctx, r, longPath) {
			r = c.soak.routers[c.random.IntN(len(c.soak.routers))]
			time.Sleep(callInterval)
		}
	}
}

// callLong sends one long stream and checks the answer. It reports whether the connection can
// carry another request.
func (c *caller) callLong(ctx context.Context, r *router, path string) bool {
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.soak.opts.Seed, c.number, c.sent)
	reqCtx, cancel := context.WithTimeout(ctx, longTimeout)
	defer cancel()
	req, err := c.newRequest(reqCtx, r, path, id, permanentKey, longTimeout)
	if err != nil {
		c.soak.addViolation(time.Now(), "soak", "create request: %v", err)
		return false
	}
	sent := time.Now()
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		c.soak.countAnswer("no answer")
		c.checkCut(ctx, sent, id, r, err)
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.soak.countAnswer("cut answer")
		c.checkCut(ctx, sent, id, r, err)
		return false
	}
	c.soak.countAnswer(fmt.Sprint(resp.StatusCode))
	c.check(sent, id, path, r, resp, string(text))
	c.soak.checkChange(time.Now(), sentRequest{id: id, path: path, key: permanentKey, router: r, at: sent}, resp.StatusCode)
	return resp.StatusCode == http.StatusOK && !resp.Close
}

// checkCut checks a long stream whose connection ended without its whole answer. A router
// must not cut it unless it was killed or frozen, the link to its server failed, or it stops
// and had to take a request that outlasts its grace period.
func (c *caller) checkCut(ctx context.Context, sent time.Time, id string, r *router, cause error) {
	now := time.Now()
	time.Sleep(unreadWindow / 2) // the server notices the end of its connection
	run, passedOn := c.soak.longRun(id)
	took := now.Sub(sent) + quietTime
	if ctx.Err() != nil || !passedOn || !r.connectionFaults.quiet(now, took) || !run.server.link.faults.quiet(now, took) {
		return
	}
	term := r.terminatedAt()
	if sent.Sub(term) <= noticeTime && run.ended.Sub(term) >= lastPart {
		return
	}
	c.soak.addViolation(now, "lost", "stream %s at %s was cut %s after it was sent, which was %s after the last SIGTERM: %v", id, r.name, now.Sub(sent), sent.Sub(term), cause)
}
