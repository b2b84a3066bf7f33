package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"amaranthtide/platform/standin"
)

// fault is a kind of fault that the soak injects. inject starts the fault and returns
// after it has ended it. Several faults run concurrently.
type fault struct {
	name   string
	inject func(s *soak, ctx context.Context, random *rand.Rand)
}

var faults = []fault{
	{"killRouter", func(s *soak, ctx context.Context, random *rand.Rand) {
		r := s.randomRouter(random)
		r.signal(time.Now(), syscall.SIGKILL)
		s.pause(ctx, random, 100*time.Millisecond, time.Second)
		s.restart(r)
	}},
	{"stopRouter", func(s *soak, ctx context.Context, random *rand.Rand) {
		r := s.randomRouter(random)
		r.signal(time.Now(), syscall.SIGTERM)
		s.pause(ctx, random, grace, grace+time.Second)
		s.restart(r)
	}},
	{"freezeRouter", func(s *soak, ctx context.Context, random *rand.Rand) {
		r := s.randomRouter(random)
		r.signal(time.Now(), syscall.SIGSTOP)
		s.pause(ctx, random, 500*time.Millisecond, 4*time.Second)
		r.signal(time.Now(), syscall.SIGCONT)
	}},
	{"reloadRouters", func(s *soak, ctx context.Context, random *rand.Rand) {
		for _, r := range s.routers {
			r.signal(time.Now(), syscall.SIGHUP)
			s.pause(ctx, random, 0, 200*time.Millisecond)
		}
	}},
	{"killAllRouters", func(s *soak, ctx context.Context, random *rand.Rand) {
		for _, r := range s.routers {
			r.signal(time.Now(), syscall.SIGKILL)
		}
		s.pause(ctx, random, 100*time.Millisecond, time.Second)
		for _, r := range s.routers {
			s.restart(r)
		}
	}},
	{"storeRefuses", func(s *soak, ctx context.Context, random *rand.Rand) {
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError}
		end := s.storeFaults.begin(time.Now())
		s.store.SetStatus(status[random.IntN(len(status))])
		s.pause(ctx, random, 500*time.Millisecond, 5*time.Second)
		s.store.SetStatus(0)
		end(time.Now())
	}},
	{"storeRefusesTable", func(s *soak, ctx context.Context, random *rand.Rand) { s.refuseTable(ctx, random) }},
	{"restoreStore", func(s *soak, ctx context.Context, random *rand.Rand) { s.restoreStore(ctx, random) }},
	{"storeForgets", func(s *soak, _ context.Context, _ *rand.Rand) { s.store.DropHistory() }},
	{"storeLink", func(s *soak, ctx context.Context, random *rand.Rand) {
		r := s.randomRouter(random)
		s.injectLinkFault(ctx, random, r, r.storeLink)
	}},
	{"routerLink", func(s *soak, ctx context.Context, random *rand.Rand) {
		r := s.randomRouter(random)
		end := r.partitions.begin(time.Now())
		s.injectLinkFault(ctx, random, r, r.routerLink)
		end(time.Now())
	}},
	{"serverLink", func(s *soak, ctx context.Context, random *rand.Rand) {
		b := s.randomBackend(random)
		b.setLinkFaulty(true)
		end := b.link.faults.begin(time.Now())
		b.link.setFault(linkFault(1 + random.IntN(int(linkFaultCount)-1)))
		s.pause(ctx, random, 500*time.Millisecond, 4*time.Second)
		b.link.setFault(linkOK)
		b.setLinkFaulty(false)
		end(time.Now())
	}},
	{"repeatAnswers", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.injectAnswerFault(ctx, random, answerRepeated)
	}},
	{"delayAnswers", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.injectAnswerFault(ctx, random, answerLate)
	}},
	{"splitAnswers", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.injectAnswerFault(ctx, random, answerSplit)
	}},
	{"resetExchanges", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.injectAnswerFault(ctx, random, exchangeReset)
	}},
	{"answerUnpromised", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.withFaultyBackends(ctx, random, (*backend).setUnpromised)
	}},
	{"reuseAddress", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.reuseAddress(ctx, random)
	}},
	{"restartServer", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.restartServer(ctx, random)
	}},
	{"hotChats", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.sendHotChats(ctx, random)
	}},
	{"crashingRequest", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.sendCrashing(ctx, random)
	}},
	{"pauseServer", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.pauseServer(ctx, random)
	}},
	{"announceLeaving", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.announceLeaving(ctx, random)
	}},
	{"replaceServer", func(s *soak, ctx context.Context, random *rand.Rand) {
		s.replaceServer(ctx, random)
	}},
	{"replaceVersion", func(s *soak, ctx context.Context, random *rand.Rand) { s.replaceVersion(ctx, random) }},
	{"zoneOut", func(s *soak, ctx context.Context, random *rand.Rand) {
		zone := zones[random.IntN(len(zones))]
		if !s.takeZoneOut(zone) {
			return
		}
		s.pause(ctx, random, 2*time.Second, zoneOutBound+3*time.Second)
		s.returnZone(zone)
	}},
	{"changeConfiguration", func(s *soak, ctx context.Context, random *rand.Rand) {
		for range 1 + random.IntN(5) {
			s.updateConfiguration()
			s.pause(ctx, random, 50*time.Millisecond, 500*time.Millisecond)
		}
	}},
}

// chooseFaults returns the faults with the given names, or all if there are none.
func chooseFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var chosen []fault
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		chosen = append(chosen, faults[i])
	}
	return chosen, nil
}

// loop injects random faults one after the other until ctx is done.
func (s *soak) loop(ctx context.Context, number uint64) {
	random := rand.New(rand.NewPCG(s.opts.Seed, 1000+number))
	for ctx.Err() == nil {
		f := s.faults[random.IntN(len(s.faults))]
		s.recordEvent(fmt.Sprintf("%s begins", f.name))
		f.inject(s, ctx, random)
		s.recordEvent(fmt.Sprintf("%s ends", f.name))
		s.pause(ctx, random, 0, 3*time.Second)
	}
}

// pause waits for a random time between least and most, or until ctx is done.
func (s *soak) pause(ctx context.Context, random *rand.Rand, least, most time.Duration) {
	timer := time.NewTimer(least + time.Duration(random.Int64N(int64(most-least)+1)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// injectLinkFault puts a random fault on a link of a router for a while.
func (s *soak) injectLinkFault(ctx context.Context, random *rand.Rand, r *router, l *link) {
	end := r.faults.begin(time.Now())
	l.setFault(linkFault(1 + random.IntN(int(linkFaultCount)-1)))
	s.pause(ctx, random, 500*time.Millisecond, 5*time.Second)
	l.setFault(linkOK)
	end(time.Now())
}

func (s *soak) randomRouter(random *rand.Rand) *router { return s.routers[random.IntN(len(s.routers))] }

// restart starts a router again after it has exited. It kills the router if it is still
// running after the grace.
func (s *soak) restart(r *router) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		r.signal(time.Now(), syscall.SIGKILL)
		<-ended
	}
	if err := r.start(time.Now()); err != nil {
		s.addViolation(time.Now(), "soak", "start %s: %v", r.name, err)
	}
}

// replaceServer starts a new server and makes a random one of the same service and zone
// leave.
func (s *soak) replaceServer(ctx context.Context, random *rand.Rand) {
	old := s.randomBackend(random)
	s.replaceBackend(ctx, random, old, old.version)
}

// replaceBackend starts a server of the version in the place of old, which leaves.
func (s *soak) replaceBackend(ctx context.Context, random *rand.Rand, old *backend, version string) {
	fresh, err := s.newBackend(old.service, old.zone, version, old.rollout)
	if err != nil {
		s.addViolation(time.Now(), "soak", "start server: %v", err)
		return
	}
	s.mu.Lock()
	i := slices.Index(s.backends, old)
	if i < 0 {
		s.mu.Unlock()
		fresh.close()
		return
	}
	s.backends[i] = fresh
	s.retired = append(s.retired, old)
	s.mu.Unlock()
	if random.IntN(2) == 0 {
		s.register(old, standin.StateDraining)
	} else {
		s.store.Put(standin.TableServers, old.name, nil)
	}
	old.leave(time.Now())
	s.pause(ctx, random, drainBound, drainBound+4*time.Second)
	s.store.Put(standin.TableServers, old.name, nil)
}
