package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthtide/platform/standin"
)

const (
	serviceApp    = "app"
	serviceEngine = "llm"
	// headerRouter carries the name of the router that a caller used. Routers forward
	// it to the server.
	headerRouter = "Soak-Router"
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	workTime     = 5 * time.Millisecond
	// Shares of the requests that a server fails, aborts midway, and answers at about the
	// time at which a router tries another server (twice their target latency).
	failShare  = 0.04
	abortShare = 0.04
	lateShare  = 0.04
	lateTime   = 590 * time.Millisecond
	lateSpread = 20 * time.Millisecond
)

// backend is a backend server that routers reach through a link.
type backend struct {
	*standin.Server
	name, service, zone, version string
	// rollout is the rollout for which the server was started, nil for the servers at the start of the
	// run.
	rollout *rollout
	link    *link
	soak    *soak

	mu sync.Mutex
	// leftAt is the time at which the server began to leave, or zero if it did not. outAt
	// is the time at which its zone was taken out of service, or zero if it is in service.
	leftAt, outAt time.Time
	notices       notices
	// unpromised is set while the server answers some of the requests that it runs with a status that
	// promises the contrary.
	unpromised bool
	// recent are the times of the requests in the last loadWindow.
	recent []time.Time
	// restartedAt is the time of the last start; zero is the start of the run.
	restartedAt time.Time
	// random chooses the outcomes of requests.
	random *rand.Rand
	// holding is the number of requests at the server. The lock of the soak guards it.
	holding int
}

// outcome is the way in which a server ends a request.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeError
	outcomeAborted
	outcomeLate
	outcomeSlow
	outcomeUnpromised
)

// drawOutcome returns a random outcome and the delay to apply if it is outcomeLate.
func (b *backend) drawOutcome() (result outcome, late time.Duration) {
	if b.soak.opts.Rollouts {
		return outcomeOK, 0 // other bad answers would hide those of bad versions
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	late = lateTime + time.Duration(b.random.Int64N(int64(lateSpread)))
	switch draw := b.random.Float64(); {
	case draw < failShare:
		return outcomeError, late
	case draw < failShare+abortShare:
		return outcomeAborted, late
	case draw < failShare+abortShare+lateShare:
		return outcomeLate, late
	case b.unpromised && draw < failShare+abortShare+lateShare+unpromisedShare:
		return outcomeUnpromised, late
	}
	return outcomeOK, late
}

func (s *soak) newBackend(service, zone, version string, r *rollout) (*backend, error) {
	b := s.newUnlistedBackend(service, zone, version, r)
	var err error
	if b.link, err = newLink(b.Addr()); err != nil {
		b.Close()
		return nil, err
	}
	s.register(b, standin.StateReady)
	return b, nil
}

// newUnlistedBackend starts a server without a link, which isn't in the store yet.
func (s *soak) newUnlistedBackend(service, zone, version string, r *rollout) *backend {
	s.mu.Lock()
	s.serverCount++
	random := rand.New(rand.NewPCG(s.opts.Seed, 2000+uint64(s.serverCount)))
	name := fmt.Sprintf("i-%s-%d", service, s.serverCount)
	out := s.zonesOut[zone]
	s.mu.Unlock()
	b := &backend{Server: standin.NewServer(name), name: name, service: service, zone: zone, version: version, rollout: r, soak: s, outAt: out, random: random}
	b.notices.forget()
	b.SetHandler(b.serve)
	return b
}

// register writes the server's entry, in the given state, to the store.
func (s *soak) register(b *backend, state string) {
	started := b.startedAt()
	entry := b.Entry(b.service, b.zone, state)
	entry[standin.FieldAddress] = b.link.addr().String()
	entry[standin.FieldStarted] = started.UnixMilli()
	entry[standin.FieldVersion] = b.version
	s.store.Put(standin.TableServers, b.name, entry)
}

// restart records that the server has started again under its identifier.
func (b *backend) restart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restartedAt = now
}

// startedAt returns when the server started last. All its entries name that time: routers take one with an
// earlier start for an entry of the server before.
func (b *backend) startedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restartedAt.IsZero() {
		return b.soak.began
	}
	return b.restartedAt
}

// leave records that the server begins to leave.
func (b *backend) leave(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leftAt = now
}

func (b *backend) close() {
	b.link.close()
	b.Close()
}

// serve checks that the router was allowed to send the request and responds to it.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if b.checkNotices(time.Now(), w, r) {
		return
	}
	if b.refuseAsFull(w) {
		return
	}
	now := time.Now()
	b.checkArrival(now, r)
	defer b.hold(now, r)()
	b.checkVersion(now, r)
	bad := b.drawBad(now, r.URL.Path, b.recordArrival(now))
	if bad != outcomeOK {
		defer func() { b.rollout.answeredBadly(time.Now()) }()
	}
	if strings.Contains(r.URL.Path, crashingSegment) {
		b.crash(w, r)
		return
	}
	if isLong(r.URL.Path) && bad != outcomeError {
		b.streamLong(w, r)
		return
	}
	b.readSomeBodies(r)
	result, late := b.drawOutcome()
	if w.Header().Get(standin.HeaderLeaving) != "" {
		result = outcomeOK // the router gets the head that says so
	}
	if bad != outcomeOK {
		result = bad
	}
	switch result {
	case outcomeError:
		b.fail(w, r)
		return
	case outcomeUnpromised:
		b.answerUnpromised(w)
		return
	case outcomeLate:
		time.Sleep(late)
	case outcomeSlow:
		time.Sleep(slowTime - versionedWorkTime)
	}
	if b.soak.opts.Rollouts {
		time.Sleep(versionedWorkTime)
	}
	if b.service == serviceEngine {
		b.stream(w, r, result == outcomeAborted)
		return
	}
	time.Sleep(workTime)
	if result == outcomeAborted {
		b.abort(w, r)
	}
	_, _ = fmt.Fprint(w, answerText(r.Header.Get(standin.HeaderRequestID), b.name))
}

// invalidStatuses are status codes that HTTP doesn't have and that net/http accepts.
var invalidStatuses = []string{"000", "099", "600", "999", "+20"}

// fail answers with a failure, or for half of the requests with a status that HTTP doesn't have, unless there are rollouts.
func (b *backend) fail(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	if hash := int(hashOf(id)); hash%2 == 0 && !b.soak.opts.Rollouts {
		b.writeRaw(w, id, invalidStatuses[hash%len(invalidStatuses)], "Content-Length: 6\r\n\r\nfailed")
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = fmt.Fprint(w, "failed")
}

// writeRaw writes an answer without the help of net/http and resets the connection. rest is what follows
// the first fields of the head.
func (b *backend) writeRaw(w http.ResponseWriter, id, status, rest string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\n%s: %s\r\n%s: %s\r\n%s", status, standin.HeaderRequestID, id, standin.HeaderSignature,
		w.Header().Get(standin.HeaderSignature), rest)
	reset(conn)
}

// abort breaks the connection off, for half of the requests after a part of an answer that would end with
// its connection.
func (b *backend) abort(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	if hashOf(id)%2 == 0 {
		panic(http.ErrAbortHandler)
	}
	b.writeRaw(w, id, "200", "\r\n"+id)
	panic(http.ErrAbortHandler)
}

func answerText(id, server string) string { return id + " by " + server }

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// stream sends the events of a response, starting after the last one that the caller
// has. With abort set, it breaks the connection in the middle.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, abort bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if text := r.Header.Get(standin.HeaderLastEventID); text != "" {
		var err error
		if from, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	b.checkStreamVersion(time.Now(), r, from)
	for n := from + 1; n <= streamEvents; n++ {
		if abort && n > streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, eventText(r.Header.Get(standin.HeaderRequestID), n))
		_ = http.NewResponseController(w).Flush() // fails if the caller has disconnected
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// checkArrival checks that the router has replaced the caller's key by the workspace, and
// that it doesn't send requests to a server that left, or whose zone was taken out of
// service, longer ago than the time limit.
func (b *backend) checkArrival(now time.Time, r *http.Request) {
	id, via := r.Header.Get(standin.HeaderRequestID), r.Header.Get(headerRouter)
	b.soak.recordRun(now, id, r.URL.Path)
	if r.Header.Get(standin.HeaderCredential) != "" || r.Header.Get(standin.HeaderWorkspace) != workspace {
		b.soak.addViolation(now, "unasked", "request %s reached %s with the workspace %q", id, b.name, r.Header.Get(standin.HeaderWorkspace))
	}
	b.mu.Lock()
	leaving, out := b.leftAt, b.outAt
	b.mu.Unlock()
	if !leaving.IsZero() && now.Sub(leaving) > drainBound && b.soak.storeCalm(leaving, now) && b.soak.boundApplies(now, via, leaving) {
		b.soak.addViolation(now, "drain", "request %s reached %s through %s %s after it began to leave", id, b.name, via, now.Sub(leaving))
	}
	if !out.IsZero() && now.Sub(out) > zoneOutBound+b.soak.changeBoundAt(now, out)-changeBound && b.soak.boundApplies(now, via, out) {
		b.soak.addViolation(now, "zoneOut", "request %s reached %s through %s %s after its zone was taken out of service", id, b.name, via, now.Sub(out))
	}
}
