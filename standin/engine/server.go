package engine

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/completion"
	"amaranthtide/standin/internal/host"
)

// Server is a running stand-in. It is concurrent-safe. One mutex guards one engine;
// engines share nothing.
type Server struct {
	cfg  Config
	host *host.Host
	// wake tells the loop that there is something new; quit ends it.
	wake, quit, ended chan struct{}
	closeOnce         sync.Once
	// lifecycle orders stops and starts of host. It is taken before mu.
	lifecycle sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	counters Counters
	batch    *batch
	runs     map[amaranthtide.AttemptID]*run
	// orphans are runs without a reader, in the order in which they lost it.
	orphans []*run
	boot    amaranthtide.BootID
	booted  time.Time
	history history
	leaving bool
	// down is set while the engine is away; restartAt is zero if it stays away.
	down      bool
	restartAt time.Time
	// thaw is closed when a freeze ends; nil if the engine is not frozen.
	thaw    chan struct{}
	fencing amaranthtide.FencingNumber
	orders  []OrderEffect
}

// New starts a stand-in. It is cold.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:    cfg.withDefaults(),
		wake:   make(chan struct{}, 1),
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
		faults: cfg.Faults,
		random: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	s.history.lag = cfg.ReportLag
	s.startBoot(time.Now())
	h, err := host.New(host.Config{Addr: cfg.Addr, Handler: s.routes()})
	if err != nil {
		return nil, err
	}
	s.host = h
	go s.loop()
	return s, nil
}

// Addr returns the address that the stand-in listens on. It never changes.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the stand-in, breaks its streams and waits for its handlers.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.Thaw()
		close(s.quit)
	})
	<-s.ended
	s.host.Close()
}

// loop drives the tokens, the end of orphaned runs and restarts.
func (s *Server) loop() {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next, err := s.step(time.Now())
		if err != nil {
			// The reserved port can't be taken, so that listening fails only on lack of
			// file descriptors; the next round tries again.
			s.shutDown(time.Now().Add(s.cfg.RecoverTime))
			continue
		}
		if next.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(next))
		}
		select {
		case <-s.quit:
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

func (s *Server) step(now time.Time) (time.Time, error) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	next, restart := s.advance(now)
	if restart {
		return next, s.host.Start()
	}
	return next, nil
}

// advance does what is due and returns when something is due next, and whether the
// engine must listen again.
func (s *Server) advance(now time.Time) (next time.Time, restart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		if s.restartAt.IsZero() || now.Before(s.restartAt) {
			return s.restartAt, false
		}
		s.startBoot(now)
		restart = true
	}
	if s.thaw != nil {
		return time.Time{}, restart
	}
	for len(s.orphans) > 0 && !s.orphans[0].orphanedAt.Add(s.cfg.ResumeGrace).After(now) {
		r := s.orphans[0]
		s.orphans = s.orphans[1:]
		if r.reader == nil && !r.orphanedAt.Add(s.cfg.ResumeGrace).After(now) {
			s.cancelRun(r)
		}
	}
	before := s.batch.load()
	next = s.batch.advance(now)
	if s.batch.load() != before {
		s.recordLoad(now)
	}
	if len(s.orphans) > 0 {
		if t := s.orphans[0].orphanedAt.Add(s.cfg.ResumeGrace); next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next, restart
}

func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// startBoot begins a new boot. The caller holds the lock, or nobody else has s.
func (s *Server) startBoot(now time.Time) {
	s.down, s.restartAt, s.leaving = false, time.Time{}, false
	s.boot, s.booted = amaranthtide.NewBootID(), now
	s.counters.Boots++
	s.batch = newBatch(s.cfg, &s.counters)
	s.runs = make(map[amaranthtide.AttemptID]*run)
	s.orphans = nil
	s.recordLoad(now)
}

// recordLoad notes the present state for load reports. The caller holds the lock.
func (s *Server) recordLoad(now time.Time) {
	s.counters.InFlight = s.batch.load()
	s.history.add(loadSample{now, s.booted, amaranthtide.EngineReport{
		Boot: s.boot, InFlight: s.batch.load(), Capacity: s.cfg.Capacity, Leaving: s.leaving,
	}})
	if s.cfg.OnLoad != nil {
		s.cfg.OnLoad(s.batch.load())
	}
}

// loadLimit returns the load that the engine bears now without falling over, and
// whether it is warm.
func (s *Server) loadLimit(now time.Time) (int, bool) {
	up := now.Sub(s.booted)
	if up >= s.cfg.Warmup {
		return s.cfg.Capacity + s.cfg.QueueLimit, true
	}
	cold := s.cfg.ColdLimit
	return cold + int(float64(s.cfg.Capacity-cold)*float64(up)/float64(s.cfg.Warmup)), false
}

// cancelRun ends a run. The caller holds the lock.
func (s *Server) cancelRun(r *run) {
	if s.batch.remove(r) {
		r.state = cancelled
		s.counters.Cancelled++
		s.recordLoad(time.Now())
	}
	r.notifyReader()
	delete(s.runs, r.attempt)
}

// shutDown drops all runs and connections until a restart; zero is never.
func (s *Server) shutDown(until time.Time) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	s.shutDownLocked(until)
	s.mu.Unlock()
	s.host.Stop()
	s.wakeLoop()
}

// stopIfDown drops the connections after the engine fell over.
func (s *Server) stopIfDown() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		s.host.Stop()
	}
	s.wakeLoop()
}

func (s *Server) shutDownLocked(until time.Time) {
	s.down, s.restartAt = true, until
	for _, r := range s.runs {
		s.cancelRun(r)
	}
}

// Leave marks the engine as leaving: its report says so and it refuses new work.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.recordLoad(time.Now())
}

// Reboot turns the engine cold without warning. It drops all connections and is
// away for Config.RecoverTime.
func (s *Server) Reboot() { s.shutDown(time.Now().Add(s.cfg.RecoverTime)) }

// Kill drops all connections and stays away until Restart.
func (s *Server) Kill() { s.shutDown(time.Time{}) }

// Restart ends a Kill. The engine is cold and has the same address. It returns
// before the engine listens.
func (s *Server) Restart() {
	s.mu.Lock()
	s.restartAt = time.Now()
	s.mu.Unlock()
	s.wakeLoop()
}

// Freeze stops all progress: connections stay and are accepted, but nothing is
// answered until Thaw.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw == nil {
		s.thaw = make(chan struct{})
	}
}

// Thaw ends a Freeze.
func (s *Server) Thaw() {
	s.mu.Lock()
	if s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
		// The time in the freeze produces no tokens.
		s.batch.lastStep = time.Time{}
	}
	s.mu.Unlock()
	s.wakeLoop()
}

// Boot returns the identifier of the present boot.
func (s *Server) Boot() amaranthtide.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// CachedTokens returns the number of prompt tokens of a request body that the cache
// holds now.
func (s *Server) CachedTokens(body []byte) int {
	req, err := completion.Parse(body)
	if err != nil {
		return 0
	}
	prefixes := prefixChain(string(req.Model), req.Messages)
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, _ := s.batch.cache.lookup(prefixes)
	return cached
}

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults for the attempts to come.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// awaitThaw waits while the engine is frozen. It ends the handler if the caller
// goes away first.
func (s *Server) awaitThaw(r *http.Request) {
	s.mu.Lock()
	thaw := s.thaw
	s.mu.Unlock()
	if thaw == nil {
		return
	}
	select {
	case <-thaw:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
