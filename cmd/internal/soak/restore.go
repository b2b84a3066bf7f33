package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"amaranthtide/platform/standin"
)

const (
	minStoreAway = 200 * time.Millisecond
	maxStoreAway = 5 * time.Second
	minCopyAge   = time.Second
	maxCopyAge   = 20 * time.Second
	// otherWrites are writes to a table that routers don't read, which use up versions that are given out again.
	otherWrites = 200
	// maxRewriteTime is the time in which the operator and the servers write again what a restored store
	// has lost.
	maxRewriteTime = 4 * time.Second
)

// restoreStore makes the store unavailable for a while. It comes back from an older copy, for half of the
// times twice, and the operator and the servers write their rows again one by one.
func (s *soak) restoreStore(ctx context.Context, random *rand.Rand) {
	if !s.restoring.TryLock() {
		return // another loop restores it
	}
	defer s.restoring.Unlock()
	end := s.storeFaults.begin(time.Now())
	defer func() { end(time.Now()) }()
	lost := s.restoreOnce(ctx, random)
	if random.IntN(2) == 0 {
		s.rewrite(ctx, random, lost[:len(lost)/2])
		lost = s.restoreOnce(ctx, random)
	}
	s.rewrite(ctx, random, lost)
}

func (s *soak) restoreOnce(ctx context.Context, random *rand.Rand) (lost []standin.RowName) {
	for range otherWrites {
		s.store.Put("other", "row", "x")
	}
	s.pause(ctx, random, minCopyAge, 2*minCopyAge)
	s.store.SetStatus(http.StatusServiceUnavailable)
	s.pause(ctx, random, minStoreAway, maxStoreAway)
	age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
	lost = s.store.Restore(time.Now(), age, random)
	s.store.SetStatus(0)
	return lost
}

// rewrite writes rows again, one by one.
func (s *soak) rewrite(ctx context.Context, random *rand.Rand, lost []standin.RowName) {
	for _, name := range lost {
		s.pause(ctx, random, 0, 2*maxRewriteTime/time.Duration(len(lost)))
		s.store.Rewrite(name)
	}
}

// checkLastChange checks after the last fault that all routers apply a new configuration. A router that takes
// it for an older one, because the store has given out its version before, never does.
func (s *soak) checkLastChange(ctx context.Context) {
	s.mu.Lock()
	s.version++
	key := fmt.Sprintf("key-last-%d", s.version)
	s.rotatingKey, s.rotatingKeyRemoved = key, time.Time{}
	s.store.Put(standin.TableOperator, standin.KeyConfiguration, configuration(s.version, permanentKey, key))
	s.mu.Unlock()
	changed := time.Now()
	c := s.newCaller(callerCount)
	defer c.client.CloseIdleConnections()
	for _, r := range s.routers {
		for !c.accepts(ctx, r, key) {
			if time.Since(changed) > recoveryTimeout || ctx.Err() != nil {
				s.addViolation(time.Now(), "change", "%s has not applied the last configuration within %s", r.name, recoveryTimeout)
				break
			}
			time.Sleep(callInterval)
		}
	}
}

// accepts reports whether a router answers a request with the key otherwise than by rejecting the key.
func (c *caller) accepts(ctx context.Context, r *router, key string) bool {
	c.sent++
	id := fmt.Sprintf("%d-last-%d", c.soak.opts.Seed, c.sent)
	req, err := c.newRequest(ctx, r, "/list/1", id, key, requestTimeout)
	if err != nil {
		return false
	}
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusUnauthorized
}

// keyState names a removed key and a router that has rejected it.
type keyState struct {
	router string
	key    string
}

// observeKey checks that a router that has rejected a removed key doesn't accept it later. The
// configuration never goes back, whatever the store holds, unless all routers that knew it are gone. A router
// that starts while the store is away may not reach the others.
func (s *soak) observeKey(now, sent time.Time, r *router, id, key string, accepted bool) {
	r.mu.Lock()
	starts := r.starts
	r.mu.Unlock()
	s.mu.Lock()
	state := keyState{r.name, key}
	rejectedBy, rejected := s.rejectedKeys[state]
	// A router that rejects a key before may not know it yet.
	isRemoved := key == s.rotatingKey && !s.rotatingKeyRemoved.IsZero() && sent.Sub(s.rotatingKeyRemoved) > changeBound
	if !accepted && isRemoved {
		s.rejectedKeys[state] = keyRejection{starts, now}
	}
	s.mu.Unlock()
	if accepted && rejected && rejectedBy.starts == starts && sent.After(rejectedBy.at) {
		s.addViolation(now, "change", "request %s was served by %s with the key %s, which it had rejected %s earlier", id, r.name, key, sent.Sub(rejectedBy.at))
	}
}

// keyRejection is the first time at which a process of a router, its starts-th one, rejected a key.
type keyRejection struct {
	starts int
	at     time.Time
}
