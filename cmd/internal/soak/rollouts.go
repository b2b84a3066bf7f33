package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// headerSent carries the time at which a caller sent a request, in Unix microseconds. Routers
	// forward it.
	headerSent = "Soak-Sent"
	// firstVersion is the version of the servers at the start of a run.
	firstVersion = "v1"
	// Limits of a bad version in the routers' settings. The bound for rollbacks begins with the bad
	// answer of the number boundAnswer and stretches by storeStretch while the store is unusable.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	boundAnswer   = 50
	storeStretch  = 6 * time.Second
	// Orders of the soak have a duration between these.
	minRollout = 6 * time.Second
	maxRollout = 9 * time.Second
	// statusInterval is how often the operator looks at the status.
	statusInterval = 20 * time.Millisecond
	// versionedServers is the number of servers per zone and service in a run with rollouts: a canary
	// share must be about one server's part, or no canary server gets the load of an old one.
	versionedServers = 5
	// versionedCallers is the number of additional callers in such a run, whose numbers begin with
	// firstVersionedCaller. A canary share of few requests shows nothing.
	versionedCallers     = 24
	firstVersionedCaller = 1000
)

// rollout is one order of the operator, and what the servers have seen of it.
type rollout struct {
	service, to string
	kind        versionKind
	badShare    float64
	orderedAt   time.Time
	deadline    time.Time
	// usualLoad is the number of requests that an old server got in the loadWindow before the order.
	usualLoad float64

	mu sync.Mutex
	// badFrom is the time from which on versionFailsLater fails, zero if it is not set yet.
	badFrom time.Time
	// total counts the requests at all servers of the service until the deadline, exposed those at
	// the new version.
	total, exposed int
	bad            int
	// boundFrom is when the bad answer of the number boundAnswer was given, or the rollback became
	// visible in the status, if that was earlier. It is never set after a success, since the old servers
	// are stopped then.
	boundFrom time.Time
	succeeded bool
}

// startServices returns the services of the servers that each zone has at the start.
func (s *soak) startServices() []string {
	if !s.opts.Rollouts {
		return append([]string{serviceApp}, slices.Repeat([]string{serviceEngine}, enginesPerZone)...)
	}
	return slices.Concat(slices.Repeat([]string{serviceApp}, versionedServers), slices.Repeat([]string{serviceEngine}, versionedServers))
}

// orderRollout writes an order and starts as many servers of a new version as the service has.
func (s *soak) orderRollout(service string, kind versionKind, duration time.Duration) (*rollout, error) {
	now := time.Now()
	s.mu.Lock()
	s.rolloutCount++
	r := &rollout{service: service, to: fmt.Sprintf("v%d", s.rolloutCount+1), kind: kind, badShare: usualBadShare, orderedAt: now, deadline: now.Add(duration)}
	s.rollouts[service] = r
	s.mu.Unlock()
	old := s.serversOf(service, func(version string) bool { return version != r.to })
	for _, b := range old {
		r.usualLoad += float64(b.load(now)) / float64(len(old))
	}
	if kind == versionFailsLater {
		r.badFrom = now.Add(time.Duration(laterPart * float64(duration)))
	}
	s.store.OrderRollout(service, r.to, duration)
	for _, other := range old {
		b, err := s.newBackend(service, other.zone, r.to, r)
		if err != nil {
			return r, err
		}
		s.mu.Lock()
		s.backends = append(s.backends, b)
		s.mu.Unlock()
	}
	return r, nil
}

// serversOf returns the servers of a service whose version matches.
func (s *soak) serversOf(service string, matches func(version string) bool) []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*backend
	for _, b := range s.backends {
		if b.service == service && matches(b.version) {
			out = append(out, b)
		}
	}
	return out
}

// load returns the number of requests in the last loadWindow.
func (b *backend) load(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.recent {
		if now.Sub(at) <= loadWindow {
			n++
		}
	}
	return n
}

// awaitVerdict waits until the status shows the end of the rollout. It returns an empty state if ctx
// is done before.
func (s *soak) awaitVerdict(ctx context.Context, r *rollout) (state string) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		to, state := s.store.RolloutStatus(r.service)
		if to == r.to && (state == standin.RolloutSucceeded || state == standin.RolloutRolledBack) {
			r.ended(time.Now(), state)
			return state
		}
		select {
		case <-ctx.Done():
			return ""
		case <-ticker.C:
		}
	}
}

// ended records the state in which the rollout ended.
func (r *rollout) ended(now time.Time, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.succeeded = state == standin.RolloutSucceeded
	if !r.succeeded && r.boundFrom.IsZero() {
		r.boundFrom = now
	}
}

// arrived counts a request at a server of the service.
func (r *rollout) arrived(now time.Time, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.After(r.deadline) {
		return
	}
	r.total++
	if version == r.to {
		r.exposed++
	}
}

// answeredBadly counts a bad answer of the version.
func (r *rollout) answeredBadly(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bad++; r.bad == boundAnswer && r.boundFrom.IsZero() && !r.succeeded {
		r.boundFrom = now
	}
}

// checkExposure checks that a bad version got no more requests than allowed until its deadline.
func (s *soak) checkExposure(r *rollout) {
	r.mu.Lock()
	total, exposed := r.total, r.exposed
	r.mu.Unlock()
	if r.kind != versionGood && float64(exposed) > exposureShare*float64(total)+exposureSlack {
		s.addViolation(time.Now(), "exposure", "version %s of %s, which %s, got %d of %d requests until its deadline", r.to, r.service, versionKindNames[r.kind], exposed, total)
	}
}

// checkVersion records a request at the server and checks that it wasn't sent long after the
// server's version was rolled back.
func (b *backend) checkVersion(now time.Time, req *http.Request) {
	if r := b.soak.rolloutOf(b.service); r != nil {
		r.arrived(now, b.version)
	}
	if b.rollout == nil {
		return
	}
	b.rollout.mu.Lock()
	from := b.rollout.boundFrom
	b.rollout.mu.Unlock()
	micros, err := strconv.ParseInt(req.Header.Get(headerSent), 10, 64)
	if from.IsZero() || err != nil {
		return
	}
	via, sent, bound := req.Header.Get(headerRouter), time.UnixMicro(micros), rollbackBound
	if !b.soak.storeFaults.quiet(from.Add(rollbackBound), rollbackBound) || !b.soak.tableFaults.quiet(from.Add(rollbackBound), rollbackBound) {
		bound += storeStretch
	}
	if sent.Sub(from) > bound && b.soak.routerConnected(now, via) {
		b.soak.addViolation(now, "rollback", "request %s reached version %s of %s, which %s, through %s; it was sent %s after the bound began",
			req.Header.Get(standin.HeaderRequestID), b.version, b.service, versionKindNames[b.rollout.kind], via, sent.Sub(from))
	}
}

// rolloutOf returns the last rollout of a service, nil if there was none.
func (s *soak) rolloutOf(service string) *rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts[service]
}

// routerConnected reports whether messages of the other routers have reached the router lately.
func (s *soak) routerConnected(now time.Time, name string) bool {
	i := slices.IndexFunc(s.routers, func(r *router) bool { return r.name == name })
	return i >= 0 && s.routers[i].partitions.quiet(now, quietTime)
}

// loopRollouts moves random services to random versions, one after the other, until ctx is done.
func (s *soak) loopRollouts(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.opts.Seed, 4000))
	end, _ := ctx.Deadline()
	for ctx.Err() == nil {
		service := []string{serviceApp, serviceEngine}[random.IntN(2)]
		kind := versionKind(random.IntN(int(versionKindCount)))
		duration := minRollout + time.Duration(random.Int64N(int64(maxRollout-minRollout)))
		if time.Until(end) < duration {
			return // its deadline would be after the end of the run
		}
		s.recordEvent(fmt.Sprintf("rollout of %s to a version that %s, %s begins", service, versionKindNames[kind], duration.Round(time.Millisecond)))
		r, err := s.orderRollout(service, kind, duration)
		if err != nil {
			s.addViolation(time.Now(), "soak", "start servers: %v", err)
			return
		}
		s.finishRollout(ctx, random, r)
	}
}

// finishRollout waits for the end of a rollout and its deadline, and stops the servers that are not
// needed any more.
func (s *soak) finishRollout(ctx context.Context, random *rand.Rand, r *rollout) {
	state := s.awaitVerdict(ctx, r)
	s.recordEvent(fmt.Sprintf("rollout of %s to %s ends, state %q", r.service, r.to, state))
	if state == standin.RolloutSucceeded {
		s.stopServers(s.serversOf(r.service, func(version string) bool { return version != r.to }))
	}
	wait, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	<-wait.Done()
	if ctx.Err() != nil {
		return
	}
	s.checkExposure(r)
	if state == standin.RolloutRolledBack {
		s.pause(ctx, random, 2*time.Second, 4*time.Second)
		s.drainServers(s.serversOf(r.service, func(version string) bool { return version == r.to }))
	}
}

// stopServers stops servers as the platform does with those of the old version at a success, without
// draining.
func (s *soak) stopServers(servers []*backend) {
	s.forgetServers(servers)
	for _, b := range servers {
		b.link.faults.begin(time.Now())
		b.setLinkFaulty(true)
		b.link.close()
		s.store.Put(standin.TableServers, b.name, nil)
	}
}

// drainServers lets servers leave as those of a version that was rolled back.
func (s *soak) drainServers(servers []*backend) {
	s.forgetServers(servers)
	for _, b := range servers {
		s.register(b, standin.StateDraining)
		b.leave(time.Now())
	}
}

// forgetServers keeps faults from being injected into servers.
func (s *soak) forgetServers(servers []*backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = append(s.retired, servers...)
	s.backends = slices.DeleteFunc(s.backends, func(b *backend) bool { return slices.Contains(servers, b) })
}
