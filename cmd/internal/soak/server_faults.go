package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// reuseTime is the time after which the platform gives the address of a server that is gone to
	// another one.
	reuseTime = 2 * time.Second
	// expiryTime is the time after which the store drops the entry of a silent server.
	expiryTime = 3600 * time.Millisecond
	// unreadBodyShare is the share of the requests that a server answers before it has read their body.
	unreadBodyShare = 0.5
)

// unpromisedStatuses promise that a request has not run, unless a server gives them without
// standin.HeaderNotRun.
var unpromisedStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

func (b *backend) setUnpromised(unpromised bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unpromised = unpromised
}

// answerUnpromised answers a request that was run with a status that promises the contrary.
func (b *backend) answerUnpromised(w http.ResponseWriter) {
	b.mu.Lock()
	status := unpromisedStatuses[b.random.IntN(len(unpromisedStatuses))]
	b.mu.Unlock()
	w.WriteHeader(status)
}

// refuseAsFull refuses some of the requests while the server's answers have a fault, and reports
// whether it did.
func (b *backend) refuseAsFull(w http.ResponseWriter) bool {
	if !b.link.hasAnswerFault() {
		return false
	}
	b.mu.Lock()
	refused := b.random.Float64() < fullShare
	b.mu.Unlock()
	if refused {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return refused
}

// readSomeBodies reads the body of the request, or leaves it unread until the request is answered.
func (b *backend) readSomeBodies(r *http.Request) {
	b.mu.Lock()
	reads := b.random.Float64() >= unreadBodyShare
	b.mu.Unlock()
	if reads {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the router has disconnected
	}
}

// reuseAddress ends a server without notice and starts another one at its address, whose answers are
// repeated. The entry of the first one stays in the store until it expires.
func (s *soak) reuseAddress(ctx context.Context, random *rand.Rand) {
	old := s.randomBackend(random)
	for wanted := []string{serviceApp, serviceEngine}[random.IntN(2)]; old.service != wanted; { // most servers are engines, which get no payments
		old = s.randomBackend(random)
	}
	end := old.link.faults.begin(time.Now())
	defer func() { end(time.Now()) }()
	old.setLinkFaulty(true)
	if random.IntN(2) == 0 { // otherwise no router has tried the address while nothing was there
		old.link.crash(reuseTime)
		s.pause(ctx, random, reuseTime, reuseTime)
	}
	fresh := s.newUnlistedBackend(old.service, old.zone, old.version, old.rollout)
	fresh.link = old.link
	fresh.setLinkFaulty(true)
	s.mu.Lock()
	i := slices.Index(s.backends, old)
	if i < 0 { // another fault has replaced it
		s.mu.Unlock()
		fresh.Close()
		return
	}
	s.backends[i] = fresh
	s.retired = append(s.retired, old)
	fresh.link.replaceTarget(fresh.Addr())
	s.mu.Unlock()
	s.recordEvent(fmt.Sprintf("%s has the address of %s", fresh.name, old.name))
	fresh.link.setAnswerFault(answerRepeated, rand.New(rand.NewPCG(random.Uint64(), 0)))
	s.register(fresh, standin.StateReady)
	s.pause(ctx, random, 0, expiryTime)
	s.store.Put(standin.TableServers, old.name, nil)
	s.pause(ctx, random, time.Second, expiryTime)
	fresh.link.setAnswerFault(answerRepeated, nil)
	fresh.setLinkFaulty(false)
}

// restartServer ends a server, which starts again under its identifier a moment later.
func (s *soak) restartServer(ctx context.Context, random *rand.Rand) {
	b := s.randomBackend(random)
	b.setLinkFaulty(true)
	end := b.link.faults.begin(time.Now())
	b.link.crash(time.Duration(random.Int64N(int64(reuseTime))))
	s.pause(ctx, random, 0, reuseTime)
	s.mu.Lock()
	if slices.Contains(s.backends, b) {
		b.restart(time.Now())
		s.register(b, standin.StateReady)
	}
	s.mu.Unlock()
	s.pause(ctx, random, 0, reuseTime)
	b.setLinkFaulty(false)
	end(time.Now())
}
