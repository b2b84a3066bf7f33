// Package owner serves forwarded requests with the backend servers that this router owns:
// it admits and queues requests, sends them to the servers and counts those in flight.
//
// # Usage
//
//	o := owner.New(owner.Options{VM: "vm-1", Zone: "a", Table: t, LoadTracker: l, Control: c,
//		Engines: engines, Services: services, Claims: claims, ...})
//	defer o.Close() // stops the background loop
//	err := o.Serve(ctx, "engine-1", req, w)
//
// The states of the backend servers are kept in a sharded map. A decision about a server
// holds the lock of its shard and, within it, the load tracker's lock for its model.
//
// What a server says of itself in a response (that it leaves, or asks for a pause) takes effect in
// its owner at once, and also counts if ownership moves away and returns. A new owner learns of it
// from its own first response, or from the engine's load report. The entry learns of it from the
// refusal of its request.
//
// The engines of a group have the same owner, which knows their exact loads. A request
// whose engine is full goes to the next engine in the order of its chat, and a request that
// waits for one engine moves to another one that has a free slot earlier.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/ramp"
	"amaranthtide/state/load"
	"amaranthtide/state/recent"
	"amaranthtide/state/shard"
	"amaranthtide/state/table"
)

// Control provides the ownership of servers and their last reported loads.
type Control interface {
	Owns(now time.Time, server amaranthtide.BackendServerName) (owns, settled bool)
	ResumableLoad(now time.Time, server amaranthtide.BackendServerName, age time.Duration) (amaranthtide.ServerLoad, bool)
	// Leaving reports whether the server is leaving according to the platform's list.
	Leaving(server amaranthtide.BackendServerName) bool
}

// Claims serves requests that must not be repeated.
type Claims interface {
	// Serve calls send at most once, and only while it holds a claim for the request. It
	// passes the whole answer to w, which may be that of an earlier attempt.
	Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter, send func(ctx context.Context, w amaranthtide.AnswerWriter) error) error
}

// Options are the dependencies and settings of an Owner. All but Logger, Observe and
// Unbounded are required.
type Options struct {
	VM          amaranthtide.VMName
	Zone        amaranthtide.ZoneName
	Table       *table.Table
	LoadTracker *load.Tracker
	Control     Control
	Engines     amaranthtide.Backend
	Services    amaranthtide.Backend
	Claims      Claims
	// MaxQueue limits the requests that wait for one server.
	MaxQueue int
	// TakeoverDelay is the time after taking over a server during which no request is started.
	TakeoverDelay time.Duration
	// MaxResumeAge is the maximum age of the previous owner's report of an allowance from
	// which this router may continue.
	MaxResumeAge time.Duration
	// Unbounded disables the cap and the ramp, for measuring baselines.
	Unbounded bool
	// Observe is called at the end of each attempt that was sent; may be nil.
	Observe func(req *amaranthtide.Request, err error)
	Logger  hclog.Logger
}

// maxRecentChats limits the chats whose last engine is remembered. At the target size an
// owner serves about 13,000 of the 10 million chats; an entry takes about 100 bytes.
const maxRecentChats = 65_536

// unboundedLimit replaces capacity and cap if Options.Unbounded is set.
const unboundedLimit = 1 << 20

// Owner implements amaranthtide.Owner. It is safe for concurrent use.
type Owner struct {
	opts    Options
	servers *shard.Map[amaranthtide.BackendServerName, *serverState]
	// chatEngines holds the engine that last served each recent chat and caches its prompt.
	chatEngines *recent.Placements

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	// loadChanged receives a value when the load of a group may have changed.
	loadChanged chan struct{}
	wg          sync.WaitGroup
	// trackerMu serializes updateTracker. Otherwise an older list of servers could replace a
	// newer one, and the mean would count too few servers from then on.
	trackerMu sync.Mutex
}

// waiter is a queued request. A pinned one may start at this server only.
type waiter struct {
	granted chan grant
	pinned  bool
}

// serverState holds the gate of a server and the requests that wait for the server.
type serverState struct {
	gate    *admission.Gate
	model   amaranthtide.ModelName
	name    amaranthtide.BackendServerName
	waiting map[amaranthtide.AttemptID]waiter
	// downUntil is when a plain service that refused a connection is tried again.
	downUntil time.Time
	// leavingUntil is when a server that refused a request because it is leaving is tried
	// again.
	leavingUntil time.Time
	// noticeRevision is the revision of the server's row when the server last sent a notice,
	// invalidNotice the last one that was ignored, loggedLimit the limit of its requests in the last log line.
	noticeRevision amaranthtide.Revision
	invalidNotice  string
	loggedLimit    amaranthtide.RequestRate
	// down is set if the server can't be reached, inMean if the server counts in the mean
	// load of its model.
	down, inMean bool
	group        amaranthtide.GroupName
}

var _ amaranthtide.Owner = (*Owner)(nil)

// New returns an Owner and starts its background loop.
func New(opts Options) *Owner {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Observe == nil {
		opts.Observe = func(*amaranthtide.Request, error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		opts:        opts,
		servers:     shard.New[amaranthtide.BackendServerName, *serverState](),
		chatEngines: recent.New(maxRecentChats),
		ctx:         ctx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		loadChanged: make(chan struct{}, 1),
	}
	o.wg.Go(o.run)
	return o
}

// Close stops the background loop and waits for it.
func (o *Owner) Close() {
	o.cancel()
	o.wg.Wait()
}

// Serve implements amaranthtide.Owner.
func (o *Owner) Serve(ctx context.Context, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	row, ok := o.opts.Table.BackendServer(server)
	if !ok || row.Zone != o.opts.Zone {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "backend server %s is not in zone %s", server, o.opts.Zone)
	}
	if zone, _ := o.opts.Table.Zone(row.Zone); zone.OutOfService {
		return amaranthtide.Errorf(amaranthtide.KindZoneOut, "zone %s is out of service", row.Zone)
	}
	if req.Repeatable() && !req.Deadline.IsZero() {
		// A forwarded request carries its deadline in the request, not in the context.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	for range maxPauseMoves {
		sent, err := o.serveOnce(ctx, member{server, row}, req, w)
		if !sent || row.Model == "" || amaranthtide.NoticeOf(err).Pause == 0 {
			return err
		}
	}
	return amaranthtide.Errorf(amaranthtide.KindFull, "%d servers of the group have refused the request with a pause", maxPauseMoves)
}

// maxPauseMoves is how many servers of a group may refuse a request with a pause before it goes
// back to its entry. Other servers of the group often have free slots.
const maxPauseMoves = 16

// serveOnce admits the request for first or another server of its group and sends it. sent is
// false if no server admitted it.
func (o *Owner) serveOnce(ctx context.Context, first member, req *amaranthtide.Request, w amaranthtide.AnswerWriter) (sent bool, err error) {
	server, err := o.admit(ctx, first.name, first.row, req)
	if err != nil {
		return false, err
	}
	row, _ := o.opts.Table.BackendServer(server)
	return true, o.sendAdmitted(ctx, server, row, req, w)
}

// decide runs f and then starts queued requests that can start, holding the locks of the
// server.
func (o *Owner) decide(now time.Time, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, f func(now time.Time, s *serverState, l admission.Limits) error) error {
	owns, settled := o.opts.Control.Owns(now, server)
	model, _ := o.opts.Table.Model(row.Model)
	o.ensureState(now, server, row, owns)
	var err error
	inMeanChanged := false
	o.servers.Update(server, func(s *serverState, ok bool) (*serverState, bool) {
		if !ok {
			s = o.newServerState(now, server, row)
		}
		o.endOldNotice(now, s)
		leaving := o.isLeaving(now, s, server, row)
		s.gate.SetOwned(now, owns)
		s.gate.SetLeaving(leaving)
		o.opts.LoadTracker.Update(now, row.Model, server, func(v load.View) int {
			err = f(now, s, o.limits(now, s, v, model, settled))
			s.startNext(now, o.limits(now, s, v, model, settled))
			return s.gate.InFlight()
		})
		inMeanChanged = s.setInMean(owns && !leaving && !s.gate.SaysLeaving())
		return s, true
	})
	if inMeanChanged {
		o.updateTracker(row.Model)
	}
	o.notifyLoadChanged()
	return err
}

// ensureState creates the state of a server and adds the server to the mean of its model
// before the first decision about it.
func (o *Owner) ensureState(now time.Time, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, owns bool) {
	if _, ok := o.servers.Get(server); ok {
		return
	}
	o.servers.Update(server, func(s *serverState, ok bool) (*serverState, bool) {
		if !ok {
			s = o.newServerState(now, server, row)
			s.inMean = owns
		}
		return s, true
	})
	o.updateTracker(row.Model)
}

// setInMean sets whether the server counts in the mean and reports whether that changed.
func (s *serverState) setInMean(inService bool) bool {
	inMean := inService && !s.down
	changed := inMean != s.inMean
	s.inMean = inMean
	return changed
}

// updateTracker passes the servers and groups of a model that this router owns and can
// reach to the load tracker.
func (o *Owner) updateTracker(model amaranthtide.ModelName) {
	if model == "" {
		return
	}
	o.trackerMu.Lock()
	defer o.trackerMu.Unlock()
	var servers []amaranthtide.BackendServerName
	groups := amaranthtide.NewSet[amaranthtide.GroupName]()
	o.servers.Range(func(name amaranthtide.BackendServerName, s *serverState) bool {
		if s.model == model && s.inMean {
			servers = append(servers, name)
			groups.Add(s.group)
		}
		return true
	})
	o.opts.LoadTracker.SetOwnGroups(model, groups)
	o.opts.LoadTracker.SetServers(model, servers)
}

func (o *Owner) notifyLoadChanged() {
	select {
	case o.loadChanged <- struct{}{}:
	default:
	}
}

// LoadChanged returns a channel that receives a value when the load of a group may have
// changed.
func (o *Owner) LoadChanged() <-chan struct{} { return o.loadChanged }

// GroupLoads returns the loads of the groups of engines that this router owns.
func (o *Owner) GroupLoads(now time.Time) []amaranthtide.GroupLoad {
	groups := make(map[amaranthtide.GroupName]*amaranthtide.GroupLoad)
	o.servers.Range(func(_ amaranthtide.BackendServerName, s *serverState) bool {
		if s.model == "" || !s.inMean {
			return true
		}
		g, ok := groups[s.group]
		if !ok {
			g = &amaranthtide.GroupLoad{Group: s.group, Model: s.model}
			groups[s.group] = g
		}
		l := s.gate.Load(now)
		g.Servers++
		g.InFlight += l.InFlight
		g.Waiting += l.Waiting
		g.CompletionsPerSecond += l.CompletionsPerSecond
		return true
	})
	loads := make([]amaranthtide.GroupLoad, 0, len(groups))
	for _, g := range groups {
		loads = append(loads, *g)
	}
	return loads
}

func (o *Owner) limits(now time.Time, s *serverState, v load.View, model amaranthtide.Model, settled bool) admission.Limits {
	if o.opts.Unbounded {
		return admission.Limits{Settled: true}
	}
	return s.gate.Limits(now, v, model, settled)
}

func (o *Owner) newServerState(now time.Time, server amaranthtide.BackendServerName, row amaranthtide.BackendServer) *serverState {
	cfg := o.gateConfig(server, row)
	s := &serverState{
		gate:    admission.New(now, cfg),
		model:   row.Model,
		group:   placement.Group(server, row, len(o.opts.Table.ServersOfModel(row.Model, row.Zone))),
		name:    server,
		waiting: make(map[amaranthtide.AttemptID]waiter),
	}
	if l, ok := o.opts.Control.ResumableLoad(now, server, o.opts.MaxResumeAge); ok {
		s.gate.Resume(now, l.Boot, l.Allowance)
	}
	return s
}

func (o *Owner) isLeaving(now time.Time, s *serverState, server amaranthtide.BackendServerName, row amaranthtide.BackendServer) bool {
	return row.Leaving || o.opts.Control.Leaving(server) || now.Before(s.leavingUntil)
}

func (o *Owner) gateConfig(server amaranthtide.BackendServerName, row amaranthtide.BackendServer) admission.Config {
	cfg := admission.Config{
		Server: server,
		Ramp: ramp.Config{
			ColdLimit: row.ColdLimit,
			Capacity:  row.Capacity,
			Duration:  time.Duration(row.RampDuration),
		},
		QueueLimit:    o.opts.MaxQueue,
		TakeoverDelay: o.opts.TakeoverDelay,
	}
	if o.opts.Unbounded {
		cfg.Ramp = ramp.Config{ColdLimit: unboundedLimit, Capacity: unboundedLimit}
		cfg.TakeoverDelay = 0
	}
	return cfg
}

// startNext grants free slots to waiting requests and refuses those that the gate
// rejects.
func (s *serverState) startNext(now time.Time, l admission.Limits) {
	started, refused := s.gate.Next(now, l)
	for _, t := range started {
		s.resolve(t.Attempt, grant{server: s.name})
	}
	for _, r := range refused {
		s.resolve(r.Ticket.Attempt, grant{err: r.Err})
	}
}

func (s *serverState) resolve(attempt amaranthtide.AttemptID, g grant) {
	if w, ok := s.waiting[attempt]; ok {
		delete(s.waiting, attempt)
		w.granted <- g
	}
}
