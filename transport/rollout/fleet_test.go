package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	decision "amaranthtide/coordination/rollout"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/outcomes"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/rollout"
)

const (
	service  = amaranthtide.ServiceName("app")
	opTable  = amaranthtide.FeedTable("op")
	ownTable = amaranthtide.FeedTable("rollouts")
	// orderDuration is the time that orders allow.
	orderDuration = 12 * time.Second
	// feedDelay and messageDelay are the times in which rows and messages arrive.
	feedDelay    = 80 * time.Millisecond
	messageDelay = 20 * time.Millisecond
)

var limits = decision.Limits{ExposureShare: 0.1, ExposureSlack: 50, RollbackBound: 5 * time.Second}

// fleet simulates routers that send requests to servers of several versions.
type fleet struct {
	store *store
	loads *traffic.Counter
	// behave returns how long a server of a version takes, and whether it fails.
	behave func(version amaranthtide.VersionName) (time.Duration, bool)

	mu      sync.Mutex
	servers []amaranthtide.Instance
	routers []*router
	// sent holds the times of all attempts by version.
	sent map[amaranthtide.VersionName][]time.Time
	wg   sync.WaitGroup
}

// router is a Runner with its network and its requests.
type router struct {
	*rollout.Runner
	fleet  *fleet
	zone   int
	index  int
	rows   *feed.Tables
	ctx    context.Context
	cancel context.CancelFunc
	// cut tells that no message reaches or leaves the router.
	cut atomic.Bool
	wg  sync.WaitGroup
}

const (
	zones   = 3
	perZone = 2
)

func newFleet(t *testing.T, behave func(version amaranthtide.VersionName) (time.Duration, bool)) *fleet {
	t.Helper()
	f := &fleet{loads: traffic.New(), behave: behave, sent: make(map[amaranthtide.VersionName][]time.Time)}
	f.store = &store{fleet: f, version: ver(10)}
	f.servers = newServers("v1")
	for i := range zones * perZone {
		r := f.start(i)
		f.mu.Lock()
		f.routers = append(f.routers, r)
		f.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	return f
}

// newServers returns the servers of a version.
func newServers(version amaranthtide.VersionName) []amaranthtide.Instance {
	var out []amaranthtide.Instance
	for i := range 6 {
		out = append(out, amaranthtide.Instance{
			Name: amaranthtide.BackendServerName(fmt.Sprintf("%s-%d", version, i)), Service: service, Version: version,
			Zone: amaranthtide.ZoneName("abc"[i%3 : i%3+1]), Started: time.Now(), Address: netip.MustParseAddrPort("127.0.0.1:9"),
		})
	}
	return out
}

// order writes the order of a rollout, whose servers start soon afterwards.
func (f *fleet) order(to amaranthtide.VersionName) {
	f.store.setOrder(amaranthtide.Some(amaranthtide.RolloutOrder{Service: service, To: to, Duration: orderDuration}))
	f.wg.Go(func() {
		time.Sleep(feedDelay)
		f.list(newServers(to)...)
	})
}

func (f *fleet) close() {
	for _, r := range f.all() {
		r.close()
	}
	f.wg.Wait()
}

func (f *fleet) all() []*router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// list adds servers.
func (f *fleet) list(servers ...amaranthtide.Instance) {
	f.mu.Lock()
	f.servers = append(slices.Clone(f.servers), servers...)
	f.mu.Unlock()
	for _, r := range f.all() {
		r.ServersListed(time.Now(), f.listed())
	}
}

func (f *fleet) listed() []amaranthtide.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers
}

// start starts the router with the given index.
func (f *fleet) start(index int) *router {
	r := &router{fleet: f, zone: index / perZone, index: index, rows: feed.New()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.Runner = rollout.New(rollout.Options{
		VM: amaranthtide.VMName(fmt.Sprint("vm-", index)), Incarnation: amaranthtide.Incarnation(time.Now().UnixNano()), Limits: limits, Recorder: r,
		Traffic: f.loads, Configuration: declared.New(), Rows: r.rows, DeclaredTable: opTable, RolloutTable: ownTable,
	})
	r.Start(r, r)
	r.wg.Go(r.run)
	r.wg.Go(r.loop)
	return r
}

func (r *router) close() {
	r.cancel()
	r.wg.Wait()
	r.Close()
}

// restart replaces a router by a new run of it.
func (f *fleet) restart(index int) {
	f.all()[index].close()
	r := f.start(index)
	f.mu.Lock()
	f.routers[index] = r
	f.mu.Unlock()
}

// deliver delivers the rows to all routers. The caller holds the lock of the store.
func (f *fleet) deliver() {
	f.wg.Go(func() {
		time.Sleep(feedDelay)
		for _, r := range f.all() {
			if !r.cut.Load() {
				r.readRows()
			}
		}
	})
}

// readRows passes the rows of the store to the runner.
func (r *router) readRows() {
	s := r.fleet.store
	s.mu.Lock()
	version, order, orderVersion, state, stateVersion := s.version, s.order, s.orderVersion, s.state, s.stateVersion
	s.mu.Unlock()
	for _, table := range []amaranthtide.FeedTable{opTable, ownTable} {
		r.rows.Apply(table, amaranthtide.FeedPage{Whole: true, Version: version})
	}
	now := time.Now()
	if !stateVersion.IsZero() {
		r.StateChanged(now, service, stateVersion, state)
	}
	if !orderVersion.IsZero() {
		r.OrderChanged(now, service, orderVersion, order)
	}
}

// run reads the rows once and then exchanges outcomes and rollbacks.
func (r *router) run() {
	r.sleep(feedDelay)
	r.readRows()
	r.ServersListed(time.Now(), r.fleet.listed())
	for i := 0; r.ctx.Err() == nil; i++ {
		r.sleep(250 * time.Millisecond)
		now := time.Now()
		lists := r.Outcomes(now, func(amaranthtide.VMName) bool { return true })
		for _, other := range r.fleet.all() {
			if other != r && !other.cut.Load() && !r.cut.Load() && other.IsHub(now) {
				other.MergeOutcomes(now, lists)
			}
		}
		if i%4 == 0 {
			r.SendRollbacks(now)
		}
	}
}

func (r *router) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// loop sends a request each 10 ms.
func (r *router) loop() {
	random := rand.New(rand.NewPCG(7, uint64(r.index)))
	r.sleep(time.Second)
	for n := 0; r.ctx.Err() == nil; n++ {
		r.sleep(10 * time.Millisecond)
		req := &amaranthtide.Request{
			Service: service, Route: "list", ID: amaranthtide.RequestID(fmt.Sprintf("%d-%d", r.index, n)), Chat: amaranthtide.ChatID(fmt.Sprint(random.IntN(200))),
		}
		servers, ok := r.Select(time.Now(), req, false)
		if !ok {
			servers = r.fleet.listed()
		}
		if len(servers) == 0 || r.ctx.Err() != nil {
			continue
		}
		in := servers[random.IntN(len(servers))]
		r.fleet.wg.Go(func() { r.fleet.send(r, in) })
	}
}

// send sends one attempt.
func (f *fleet) send(r *router, in amaranthtide.Instance) {
	start := time.Now()
	f.mu.Lock()
	f.sent[in.Version] = append(f.sent[in.Version], start)
	f.mu.Unlock()
	f.loads.Begin(in.Name)
	defer f.loads.End(in.Name)
	took, failed := f.behave(in.Version)
	time.Sleep(took)
	r.Record(in, "list", outcomes.Outcome{Zone: in.Zone, Failed: failed, Duration: took})
}

// inFlight returns the number of requests in flight at servers of a version.
func (f *fleet) inFlight(version amaranthtide.VersionName) int {
	n := 0
	for _, in := range f.listed() {
		if in.Version == version {
			n += f.loads.Load(time.Now(), in.Name)
		}
	}
	return n
}

// sentBetween returns the number of attempts at a version from one time to another.
func (f *fleet) sentBetween(version amaranthtide.VersionName, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.sent[version] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// RecordRollout implements amaranthtide.RolloutRecorder. A router that is cut off doesn't reach the
// store either.
func (r *router) RecordRollout(ctx context.Context, previous amaranthtide.StoreVersion, state amaranthtide.RolloutState) (amaranthtide.StoreVersion, error) {
	if r.cut.Load() {
		return ver(0), amaranthtide.Errorf(amaranthtide.KindPlatformDown, "injected cut")
	}
	return r.fleet.store.RecordRollout(ctx, previous, state)
}

// IsHub implements rollout.Network: the first live router of a zone is its hub.
func (r *router) IsHub(time.Time) bool {
	for _, other := range r.fleet.all() {
		if other.zone == r.zone && other.ctx.Err() == nil {
			return other == r
		}
	}
	return false
}

// HubContact implements rollout.Network.
func (r *router) HubContact(now time.Time) time.Time {
	if r.cut.Load() {
		return now.Add(-time.Hour)
	}
	return now
}

// Position implements rollout.Network.
func (r *router) Position(time.Time) reading.Position { return reading.Position{Zone: r.zone} }

// SendRollbacks implements rollout.Network.
func (r *router) SendRollbacks(now time.Time) {
	rollbacks := r.Rollbacks(now)
	if len(rollbacks) == 0 || r.cut.Load() {
		return
	}
	for _, other := range r.fleet.all() {
		if other != r && !other.cut.Load() {
			r.fleet.wg.Go(func() {
				time.Sleep(messageDelay)
				other.MergeRollbacks(time.Now(), rollbacks)
			})
		}
	}
}

// View implements rollout.Feed.
func (r *router) View(time.Time) amaranthtide.Option[amaranthtide.FeedView] {
	return amaranthtide.Some(amaranthtide.FeedView{Age: feedDelay})
}
