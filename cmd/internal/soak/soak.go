package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthtide/internal/port"
	"amaranthtide/platform/standin"
)

const (
	routersPerZone = 3
	callerCount    = 12
	faultLoops     = 3
	workspace      = "club"
	permanentKey   = "key-kept"
	// Time limits of the guarantees that the soak checks, each with half a second added
	// for the soak's own delays.
	drainBound   = 2500 * time.Millisecond
	zoneOutBound = 5500 * time.Millisecond
	changeBound  = 2500 * time.Millisecond
	// maxStretch is added to the time limits of changes and of zones while the store serves only some
	// tables or routers.
	maxStretch = 5 * time.Second
	// quietTime is the time without faults of the router and the store after which time
	// limits apply.
	quietTime = 3 * time.Second
	// recoveryTimeout is the time in which the fleet must serve again after the last
	// fault.
	recoveryTimeout = 12 * time.Second
	// maxEvents is the number of events before a violation that are reported with it.
	maxEvents = 40
)

var zones = []string{"a", "b"}

// routerVariable is the environment variable that makes a test binary run as a router.
const routerVariable = "AMARANTHTIDE_SOAK_ROUTER"

// Options configure a run. All but Faults and Rollouts are required.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Router is the command line of a router without the flag for its settings.
	Router []string
	// Dir is the directory for the routers' settings and logs.
	Dir string
	// Faults are the names of the faults to inject; none means all.
	Faults []string
	// Rollouts makes the operator move services to servers of other versions, good and bad ones.
	Rollouts bool
}

// Violation is one case in which a guarantee was violated.
type Violation struct {
	Time      time.Duration `json:"time"`
	Guarantee string        `json:"promise"`
	Text      string        `json:"text"`
	// Events are the starts and ends of faults before the violation.
	Events []string `json:"events"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64         `json:"seed"`
	Answers map[string]int `json:"answers"`
	Starts  int            `json:"starts"`
	Faults  int            `json:"faults"`
	// EngineRequests counts the requests that reached engines in calm seconds, OverLimit those of
	// them that reached one over the limit on its load.
	EngineRequests int         `json:"engineRequests"`
	OverLimit      int         `json:"overLimit"`
	Violations     []Violation `json:"violations"`
}

// soak is the state of one run.
type soak struct {
	opts    Options
	faults  []fault
	began   time.Time
	store   *standin.Store
	routers []*router
	// storeFaults has the faults of the store that affect all routers.
	storeFaults faultIntervals
	// tableFaults has the faults of the store that affect one table, of one router or of all.
	tableFaults    faultIntervals
	routersPerZone int
	// restoring is held while the store is restored.
	restoring sync.Mutex

	mu          sync.Mutex
	serverCount int
	// serverVersions counts the versions of software that replaceVersion has brought.
	serverVersions int
	backends       []*backend
	retired        []*backend
	version        int
	// rotating is what only every other version of the configuration has.
	rotating rotation
	// observedKeys holds how routers have answered to the rotating keys.
	observedKeys map[keyState]keyAnswer
	zonesOut     map[string]time.Time
	runs         map[string]int
	refusals     map[string]bool
	longRuns     map[string]longRun
	// streamVersions holds the versions that have written the first event of each resumable stream.
	streamVersions map[string][]string
	// requestCrashes holds, for each request that crashes servers, when it did.
	requestCrashes map[string][]time.Time
	crashingCount  int
	// crashingActive is set while one of these requests is sent.
	crashingActive bool
	// rollouts holds the last rollout of each service, rolloutCount the number of all.
	rollouts     map[string]*rollout
	rolloutCount int
	answers      map[string]int
	events       []string
	faultCount   int
	hotCallers   int
	// hotChatsActive is set while callers of hotChats run.
	hotChatsActive bool
	loads          loadCheck
	violations     []Violation
}

// Run runs the faults of one seed. If ctx is cancelled, it stops the routers and
// returns an error.
func Run(ctx context.Context, opts Options) (Report, error) {
	chosen, err := chooseFaults(opts.Faults)
	if err != nil {
		return Report{}, err
	}
	s := newSoak(opts)
	s.faults = chosen
	defer s.store.Close()
	s.storeFaults.addInstant(s.began)
	if err := s.startFleet(); err != nil {
		return Report{}, err
	}
	defer s.tearDown()
	if !s.waitServing(ctx) {
		return Report{}, fmt.Errorf("seed %d: the fleet did not become ready; see the logs in %s", opts.Seed, opts.Dir)
	}
	s.runFaults(ctx)
	if err := ctx.Err(); err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", opts.Seed, err)
	}
	if !s.waitServing(ctx) {
		s.addViolation(time.Now(), "recover", "the fleet does not serve within %s after the last fault", recoveryTimeout)
	}
	s.checkLastChange(ctx)
	return s.report(), nil
}

// newSoak returns a run without servers and routers.
func newSoak(opts Options) *soak {
	return &soak{
		opts: opts, began: time.Now(), store: standin.NewStore(), routersPerZone: routersPerZone, zonesOut: make(map[string]time.Time),
		runs: make(map[string]int), refusals: make(map[string]bool), longRuns: make(map[string]longRun), streamVersions: make(map[string][]string), requestCrashes: make(map[string][]time.Time), answers: make(map[string]int),
		rollouts: make(map[string]*rollout), observedKeys: make(map[keyState]keyAnswer),
	}
}

// startFleet starts the servers and the routers.
func (s *soak) startFleet() error {
	s.updateConfiguration()
	for _, zone := range zones {
		for _, service := range s.startServices() {
			b, err := s.newBackend(service, zone, firstVersion, nil)
			if err != nil {
				return err
			}
			s.backends = append(s.backends, b)
		}
	}
	var seeds []string
	limits := ""
	if s.opts.Rollouts {
		limits = rolloutLimits
	}
	for _, zone := range zones {
		for i := range s.routersPerZone {
			ports, err := freePorts(4)
			if err != nil {
				return err
			}
			endpoint := s.store.NewEndpoint()
			storeLink, err := newLink(endpoint.Addr())
			if err != nil {
				endpoint.Close()
				return err
			}
			routerLink, err := newLink(ports[2])
			if err != nil {
				storeLink.close()
				endpoint.Close()
				return err
			}
			r := &router{
				name: fmt.Sprintf("vm-%s-%d", zone, i), zone: zone, command: s.opts.Router, dir: s.opts.Dir,
				callers: ports[0], ready: ports[1], listen: ports[2], store: endpoint, storeLink: storeLink, routerLink: routerLink,
			}
			seeds = append(seeds, routerLink.addr().String())
			if err := r.writeSettings(ports[3], strings.Join(seeds[:min(3, len(seeds))], ","), limits); err != nil {
				return err
			}
			s.routers = append(s.routers, r)
		}
	}
	for _, r := range s.routers {
		if err := r.start(time.Now()); err != nil {
			return err
		}
	}
	return nil
}

// runFaults runs callers and faults for the duration of the run and then starts the
// routers that are not running.
func (s *soak) runFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callerCount {
		c := s.newCaller(i)
		wg.Go(func() { c.run(ctx) })
	}
	if s.opts.Rollouts {
		for i := range versionedCallers {
			c := s.newCaller(firstVersionedCaller + i)
			wg.Go(func() { c.run(ctx) })
		}
	}
	for i := range longCallerCount {
		c := s.newCaller(callerCount + 1 + i)
		wg.Go(func() { c.loop(ctx) })
	}
	for i := range faultLoops {
		wg.Go(func() { s.loop(ctx, uint64(i)) })
	}
	if s.opts.Rollouts {
		wg.Go(func() { s.loopRollouts(ctx) })
	}
	wg.Wait()
	for _, r := range s.routers {
		if err := r.start(time.Now()); err != nil {
			s.addViolation(time.Now(), "soak", "start %s: %v", r.name, err)
		}
	}
}

// waitServing waits until every router serves requests. It reports false after
// recoveryTimeout or if ctx is done.
func (s *soak) waitServing(ctx context.Context) bool {
	c := s.newCaller(callerCount)
	defer c.client.CloseIdleConnections()
	deadline := time.Now().Add(recoveryTimeout)
	for _, r := range s.routers {
		for !c.call(ctx, r, "/list/1") {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return false
			}
			time.Sleep(callInterval)
		}
	}
	return true
}

// report runs the checks that need the whole run and returns the result.
func (s *soak) report() Report {
	now := time.Now()
	s.mu.Lock()
	refusals := s.refusals
	var ran []string
	for id := range refusals {
		if s.runs[id] > 0 {
			ran = append(ran, id)
		}
	}
	s.mu.Unlock()
	for _, id := range ran {
		s.addViolation(now, "notRun", "request %s was refused as not run but ran", id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := 0
	for _, r := range s.routers {
		r.mu.Lock()
		starts += r.starts
		r.mu.Unlock()
	}
	return Report{Seed: s.opts.Seed, Answers: s.answers, Starts: starts, Faults: s.faultCount, EngineRequests: s.loads.total, OverLimit: s.loads.over, Violations: s.violations}
}

func (s *soak) tearDown() {
	var wg sync.WaitGroup
	for _, r := range s.routers {
		wg.Go(r.stop)
	}
	wg.Wait()
	for _, r := range s.routers {
		r.storeLink.close()
		r.routerLink.close()
		r.store.Close()
	}
	for _, b := range slices.Concat(s.backends, s.retired) {
		b.close()
	}
}

func (s *soak) randomBackend(random *rand.Rand) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[random.IntN(len(s.backends))]
}

// takeZoneOut takes a zone out of service unless a zone is out already. It reports
// whether it did.
func (s *soak) takeZoneOut(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.zonesOut) > 0 {
		return false
	}
	s.store.Put(standin.TableOperator, standin.ZoneOutOfServiceKey(zone), map[string]any{})
	s.zonesOut[zone] = time.Now()
	s.setZoneOutAt(zone, time.Now())
	return true
}

func (s *soak) returnZone(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setZoneOutAt(zone, time.Time{})
	delete(s.zonesOut, zone)
	s.store.Put(standin.TableOperator, standin.ZoneOutOfServiceKey(zone), nil)
}

func (s *soak) setZoneOutAt(zone string, at time.Time) {
	for _, b := range slices.Concat(s.backends, s.retired) {
		if b.zone == zone {
			b.mu.Lock()
			b.outAt = at
			b.mu.Unlock()
		}
	}
}

func freePorts(n int) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, n)
	for i := range out {
		var err error
		if out[i], err = port.Free(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
