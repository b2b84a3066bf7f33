package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"amaranthtide/platform/standin"
)

// rotatingPrefix is the prefix of the route that only every other version of the configuration has.
const rotatingPrefix = "/added/"

// rotatingShare is the share of requests with the rotating key, and of those on the rotating route.
const (
	rotatingKeyShare   = 1.0 / 3
	rotatingRouteShare = 0.1
)

// rotation is a key, and the route that came with it, that only some versions of the configuration have.
type rotation struct {
	key string
	// added and removed are when the store accepted the version that added and the one that removed
	// them; removed is zero while they are in force.
	added, removed time.Time
}

// inForce reports whether the key and the route belong to the current configuration.
func (r rotation) inForce() bool { return r.removed.IsZero() }

// updateConfiguration writes a new version of the configuration to the store. Every other version has a
// rotating key and the rotating route.
func (s *soak) updateConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	keys := []string{permanentKey}
	if s.version%2 == 1 {
		s.rotating = rotation{key: fmt.Sprintf("key-%d", s.version), added: time.Now()}
		keys = append(keys, s.rotating.key)
	}
	s.store.Put(standin.TableOperator, standin.KeyConfiguration, configuration(s.version, keys...))
	if s.version%2 == 0 {
		s.rotating.removed = time.Now()
	} else {
		s.rotating.added = time.Now()
	}
}

// configuration returns the configuration of the stand-ins with a route for long streams, and with the
// rotating route if it has more than the permanent key.
func configuration(version int, keys ...string) map[string]any {
	config := standin.Config(version, keys...)
	if limits, ok := config["limits"].(map[string]any); ok {
		limits["max_body_bytes"] = maxLongBody
	}
	if routes, ok := config["routes"].([]any); ok {
		routes = append(routes, longRoute())
		if len(keys) > 1 {
			routes = append(routes, rotatingRoute())
		}
		config["routes"] = routes
	}
	return config
}

// rotatingRoute returns the declaration of the rotating route.
func rotatingRoute() map[string]any {
	return map[string]any{
		"name": "added", "hostname": "shop.example", "prefix": rotatingPrefix, "route_type": "idempotent", "service": "app",
		"timeout_ms": 2000, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
	}
}

// drawKey returns a random key and the rotation that it is from, which is zero for the permanent key.
func (s *soak) drawKey(random *rand.Rand) (string, rotation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random.Float64() >= rotatingKeyShare {
		return permanentKey, rotation{}
	}
	return s.rotating.key, s.rotating
}

// drawPath returns the path of a random request.
func drawPath(random *rand.Rand) string {
	if random.Float64() < rotatingRouteShare {
		return rotatingPrefix + "1"
	}
	return paths[random.IntN(len(paths))]
}

// changeBoundAt returns the time limit for a change that the store accepted at from, at a router that got a
// request at the time sent.
func (s *soak) changeBoundAt(sent, from time.Time) time.Duration {
	if s.tableFaults.quiet(sent, sent.Sub(from)+quietTime) {
		return changeBound
	}
	return changeBound + maxStretch
}

// isLate reports whether a router should have applied a change that the store accepted at from when it got
// a request at the time sent.
func (s *soak) isLate(sent time.Time, r *router, from time.Time) bool {
	return sent.Sub(from) > s.changeBoundAt(sent, from) && s.boundApplies(sent, r.name, from)
}

// stillInForce reports whether a rotation that a request was drawn with is in force after its answer.
func (s *soak) stillInForce(drawn rotation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drawn.key != "" && s.rotating == drawn && drawn.inForce()
}

// sentRequest is a request and what the newest configuration was when it was sent.
type sentRequest struct {
	id, path, key string
	router        *router
	at            time.Time
	// drawn is the rotation of the key, zero if it is the permanent one; current is the newest rotation.
	drawn, current rotation
}

// checkChange checks that an answer follows from a configuration that may be in force at the router.
func (s *soak) checkChange(now time.Time, req sentRequest, status int) {
	id, r, sent, drawn, current := req.id, req.router, req.at, req.drawn, req.current
	served := status == http.StatusOK
	isRotating := strings.HasPrefix(req.path, rotatingPrefix)
	switch {
	case served && drawn.key != "" && !drawn.inForce() && s.isLate(sent, r, drawn.removed):
		s.addViolation(now, "change", "request %s was served by %s with a key that was removed %s earlier", id, r.name, sent.Sub(drawn.removed))
	case served && isRotating && !current.inForce() && s.isLate(sent, r, current.removed):
		s.addViolation(now, "change", "request %s was served by %s on a route that was removed %s earlier", id, r.name, sent.Sub(current.removed))
	case status == http.StatusUnauthorized && req.key == permanentKey:
		s.addViolation(now, "denied", "request %s got 401 from %s with a key that every configuration has", id, r.name)
	case status == http.StatusUnauthorized && s.stillInForce(drawn) && s.isLate(sent, r, drawn.added):
		s.addViolation(now, "change", "request %s was rejected by %s with a key that was added %s earlier", id, r.name, sent.Sub(drawn.added))
	case status == http.StatusNotFound && !isRotating:
		s.addViolation(now, "denied", "request %s got 404 from %s for a route that every configuration has", id, r.name)
	case status == http.StatusNotFound && s.stillInForce(current) && s.isLate(sent, r, current.added):
		s.addViolation(now, "change", "request %s got 404 from %s for a route that was added %s earlier", id, r.name, sent.Sub(current.added))
	}
}

// currentRotation returns what the newest configuration adds, or the one before it added.
func (s *soak) currentRotation() rotation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rotating
}

// checkLastChange checks after the last fault that all routers apply a new configuration. A router that takes
// it for an older one, because the store has given out its version before, never does.
func (s *soak) checkLastChange(ctx context.Context) {
	s.mu.Lock()
	s.version++
	key := fmt.Sprintf("key-last-%d", s.version)
	s.rotating = rotation{key: key, added: time.Now()}
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

// keyState names a rotating key and a router that has answered to it.
type keyState struct {
	router string
	key    string
}

// keyAnswer is the first answer by which a process of a router, its starts-th one, has shown that it knows a
// version: that which added the key if it accepted it, that which removed it otherwise.
type keyAnswer struct {
	starts   int
	at       time.Time
	accepted bool
}

// observeKey checks that a router doesn't return to an older configuration: one that has accepted a key
// rejects it only once it is removed, and one that has rejected a removed key doesn't accept it later. That
// holds whatever the store has, unless the router has started again.
func (s *soak) observeKey(now, sent time.Time, r *router, id string, drawn rotation, accepted bool) {
	r.mu.Lock()
	starts := r.starts
	r.mu.Unlock()
	s.mu.Lock()
	state := keyState{r.name, drawn.key}
	before, known := s.observedKeys[state]
	known = known && before.starts == starts && sent.After(before.at)
	inForce := s.rotating == drawn && drawn.inForce()
	// A router that rejects a key early may not know it yet.
	removed := drawn.key == s.rotating.key && !s.rotating.inForce() && sent.Sub(s.rotating.removed) > changeBound
	if accepted && !known || !accepted && removed && (!known || before.accepted) {
		s.observedKeys[state] = keyAnswer{starts, now, accepted}
	}
	s.mu.Unlock()
	if known && before.accepted && !accepted && inForce {
		s.addViolation(now, "change", "request %s was rejected by %s with the key %s, which it had accepted %s earlier", id, r.name, drawn.key, sent.Sub(before.at))
	}
	if known && !before.accepted && accepted {
		s.addViolation(now, "change", "request %s was served by %s with the key %s, which it had rejected %s earlier", id, r.name, drawn.key, sent.Sub(before.at))
	}
}
