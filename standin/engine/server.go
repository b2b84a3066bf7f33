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
	"amaranthtide/standin/notice"
)

// Server is a running simulated engine. It is safe for concurrent use. Each engine has
// its own mutex; engines share no state.
type Server struct {
	cfg  Config
	host *host.Host
	// wake makes the loop run a step; quit stops it, and ended is closed when it returns.
	wake, quit, ended chan struct{}
	closeOnce         sync.Once
	// lifecycle serializes stops and starts of host. It is locked before mu.
	lifecycle sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	counters Counters
	batch    *batch
	runs     map[amaranthtide.AttemptID]*run
	// orphans are runs without a reader, by the time at which they lost it.
	orphans []*run
	boot    amaranthtide.BootID
	booted  time.Time
	history history
	leaving bool
	// notice is what responses say of the engine until its next boot.
	notice notice.Notice
	// down is set while the engine doesn't run; restartAt is zero if no restart is
	// scheduled.
	down      bool
	restartAt time.Time
	// thaw is closed when a freeze ends. It is nil if the engine is not frozen.
	thaw    chan struct{}
	fencing amaranthtide.FencingNumber
	orders  []OrderEffect
}

// New starts an engine, which is cold unless Config.Warmup is 0.
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

// Addr returns the address of the engine. Restarts don't change it.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the engine, closes its connections and waits for its handlers.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.Thaw()
		close(s.quit)
	})
	<-s.ended
	s.host.Close()
}

// loop produces tokens, cancels orphaned runs and restarts the engine.
func (s *Server) loop() {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next, err := s.step(time.Now())
		if err != nil {
			// No other process can take the reserved port, so listening fails only for
			// lack of file descriptors. It is retried after RecoverTime.
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

// advance performs all due work. It returns the time of the next due work and whether
// the engine must listen again.
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

// startBoot begins a new boot. The caller holds mu, unless s is not shared yet.
func (s *Server) startBoot(now time.Time) {
	s.down, s.restartAt, s.leaving, s.notice = false, time.Time{}, false, notice.Notice{}
	s.boot, s.booted = amaranthtide.NewBootID(), now
	s.counters.Boots++
	s.batch = newBatch(s.cfg, &s.counters)
	s.runs = make(map[amaranthtide.AttemptID]*run)
	s.orphans = nil
	s.recordLoad(now)
}

// recordLoad records the current state for load reports. The caller holds mu.
func (s *Server) recordLoad(now time.Time) {
	s.counters.InFlight = s.batch.load()
	s.history.add(loadSample{now, s.booted, amaranthtide.EngineReport{
		Boot: s.boot, InFlight: s.batch.load(), Capacity: s.cfg.Capacity, Leaving: s.leaving,
	}})
	if s.cfg.OnLoad != nil {
		s.cfg.OnLoad(s.batch.load())
	}
}

// loadLimit returns the greatest load that the engine accepts now, and whether it is
// warm.
func (s *Server) loadLimit(now time.Time) (int, bool) {
	up := now.Sub(s.booted)
	if up >= s.cfg.Warmup {
		return s.cfg.Capacity + s.cfg.QueueLimit, true
	}
	cold := s.cfg.ColdLimit
	return cold + int(float64(s.cfg.Capacity-cold)*float64(up)/float64(s.cfg.Warmup)), false
}

// cancelRun removes a run and cancels it if it is not finished. The caller holds mu.
func (s *Server) cancelRun(r *run) {
	if s.batch.remove(r) {
		r.state = cancelled
		s.counters.Cancelled++
		s.recordLoad(time.Now())
	}
	r.notifyReader()
	delete(s.runs, r.attempt)
}

// shutDown cancels all runs and closes all connections. The engine restarts at the given
// time, or not at all if it is zero.
func (s *Server) shutDown(restartAt time.Time) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	s.shutDownLocked(restartAt)
	s.mu.Unlock()
	s.host.Stop()
	s.wakeLoop()
}

// stopIfDown closes all connections after a crash by overload.
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

func (s *Server) shutDownLocked(restartAt time.Time) {
	s.down, s.restartAt = true, restartAt
	for _, r := range s.runs {
		s.cancelRun(r)
	}
}

// SetNotice replaces what responses say of the engine. It ends with the boot. With
// RetryAfter, the engine refuses new requests as full and with that pause. With Leaving,
// the engine serves new requests, unlike after Leave.
func (s *Server) SetNotice(n notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = n
}

// Notice returns what responses say of the engine.
func (s *Server) Notice() notice.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notice
	if s.leaving && n.Leaving == "" {
		n.Leaving = "1"
	}
	return n
}

// Leave marks the engine as leaving: its load report and its responses say so, and it
// refuses new requests.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.recordLoad(time.Now())
}

// Reboot closes all connections and restarts the engine, cold, after
// Config.RecoverTime.
func (s *Server) Reboot() { s.shutDown(time.Now().Add(s.cfg.RecoverTime)) }

// Kill closes all connections and stops the engine until Restart.
func (s *Server) Kill() { s.shutDown(time.Time{}) }

// Restart starts the engine, cold, at the same address after Kill. It returns before
// the engine listens.
func (s *Server) Restart() {
	s.mu.Lock()
	s.restartAt = time.Now()
	s.mu.Unlock()
	s.wakeLoop()
}

// Freeze suspends the engine: connections stay open and new ones are accepted, but
// nothing is sent until Thaw.
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
		// No tokens are produced for the time that the engine was frozen.
		s.batch.lastStep = time.Time{}
	}
	s.mu.Unlock()
	s.wakeLoop()
}

// Boot returns the identifier of the current boot.
func (s *Server) Boot() amaranthtide.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// Counters returns the totals since New.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// CachedTokens returns the number of prompt tokens of a request body that are
// currently in the prefix cache.
func (s *Server) CachedTokens(body []byte) int {
	req, err := completion.ParseRequest(body)
	if err != nil {
		return 0
	}
	prefixes := prefixChain(string(req.Model), req.Messages)
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, _ := s.batch.cache.lookup(prefixes)
	return cached
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults for future attempts.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// awaitThaw waits until the engine is not frozen. It aborts the handler if the caller
// disconnects first.
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
