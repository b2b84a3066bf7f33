// Package direct serves requests by sending them from the entry router directly to backend
// servers, without an owner in between.
//
// It is meant for fleets of a few dozen routers whose requests take long compared with the
// time in which routers learn of each other's load. The limits that apply to the whole
// fleet (the load of an engine, the request rate of a cold server, the retry budget) are
// enforced by load reports and fixed shares, so that a router that is cut off from all
// others continues to serve requests. Package dispatch is the other amaranthtide.Service;
// its owners keep an exact count of the requests at each engine.
//
// # Usage
//
//	d := direct.New(direct.Options{VM: "vm-1", Zone: "a", Configuration: c, Servers: s,
//		Traffic: t, AttemptSender: sender, Cap: loadCap, Retries: retryLimit})
//	err := d.Serve(ctx, req, w)
package direct

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/coldrate"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/quarantine"
	"amaranthtide/coordination/retry/shared"
	"amaranthtide/state/declared"
	"amaranthtide/state/servers"
	"amaranthtide/state/shard"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/crashes"
)

// assumedRouters is the number of routers assumed until the registry has been read. If all
// routers restart while the registry is unavailable, each would otherwise use the retry
// budget of the whole fleet.
const assumedRouters = 256

// Options are the dependencies and settings of a Dispatcher. All but Prober, Crashes, Versions, Streams, LoadShedding,
// Observe and Logger are required.
type Options struct {
	VM            amaranthtide.VMName
	Zone          amaranthtide.ZoneName
	Configuration *declared.Configuration
	Servers       *servers.Directory
	Traffic       *traffic.Counter
	AttemptSender amaranthtide.AttemptSender
	// Prober tells whether a server that broke off an answer has crashed; nil if that is not
	// known of any server.
	Prober amaranthtide.ServerProber
	// Crashes knows the requests that crash servers; nil means that none does.
	Crashes *crashes.Tracker
	// Versions selects servers by their version; nil if requests may use all of them.
	Versions Versions
	// Streams knows which version began a stream; nil lets every server go on with every stream.
	Streams Streams
	// Cap limits the load of an engine. SetCap replaces it.
	Cap choice.Cap
	// ServerBodyBytes limits the request bodies that all routers have in flight at one server; 0
	// means no limit.
	ServerBodyBytes int64
	// Retries limits the retries of one service over the whole fleet.
	Retries shared.Limit
	// LoadShedding enables the admission control of engine services.
	LoadShedding bool
	// Observe is called at the end of each attempt; may be nil.
	Observe func(req *amaranthtide.Request, err error)
	Logger  hclog.Logger
}

// Dispatcher implements amaranthtide.Service. It is safe for concurrent use.
type Dispatcher struct {
	opts          Options
	serverRecords *shard.Map[amaranthtide.BackendServerName, *outlier.Record]
	// zoneRecords records whether the servers of each zone can be reached. Without it, each
	// server of an unreachable zone would cost a request the time of a failed connection.
	zoneRecords  *shard.Map[amaranthtide.ZoneName, *outlier.Record]
	retryBudgets *shard.Map[amaranthtide.ServiceName, *shared.Budget]
	admissions   *admissions
	loadCap      atomic.Pointer[choice.Cap]
	// routerCount is the number of known routers, or assumedRouters.
	routerCount atomic.Int64
	// crashes counts the attempts that ended with a crash of their server.
	crashes atomic.Int64
	// stalls counts the streams that stalled and were given to another server.
	stalls atomic.Int64
	limits *serverLimits

	mu          sync.Mutex
	coldLimiter *coldrate.Limiter
}

var _ amaranthtide.Service = (*Dispatcher)(nil)

// New returns a Dispatcher that serves requests with the given options.
func New(opts Options) *Dispatcher {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Crashes == nil {
		opts.Crashes = crashes.New(crashes.Options{VM: opts.VM, Logger: opts.Logger})
	}
	if opts.Observe == nil {
		opts.Observe = func(*amaranthtide.Request, error) {}
	}
	d := &Dispatcher{
		opts:          opts,
		serverRecords: shard.New[amaranthtide.BackendServerName, *outlier.Record](),
		zoneRecords:   shard.New[amaranthtide.ZoneName, *outlier.Record](),
		retryBudgets:  shard.New[amaranthtide.ServiceName, *shared.Budget](),
		admissions:    newAdmissions(),
		limits:        newServerLimits(opts.VM),
		coldLimiter:   coldrate.New(opts.VM),
	}
	d.SetCap(opts.Cap)
	d.routerCount.Store(assumedRouters)
	return d
}

// SetCap replaces the limit on the load of an engine.
func (d *Dispatcher) SetCap(c choice.Cap) { d.loadCap.Store(&c) }

// SetRouters replaces the set of known routers, which includes this one.
func (d *Dispatcher) SetRouters(routers []amaranthtide.VMName) {
	d.opts.Crashes.SetRouters(routers)
	d.limits.setRouters(routers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldLimiter.SetRouters(routers)
	d.routerCount.Store(int64(len(routers)))
}

// ServerGone drops the state of a server that was removed from the list.
func (d *Dispatcher) ServerGone(name amaranthtide.BackendServerName) {
	d.forgetRecord(name)
	d.limits.forget(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldLimiter.Forget(name)
}

// Serve implements amaranthtide.Service.
func (d *Dispatcher) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	d.earnRetry(time.Now(), req.Service)
	run := d.newRun(req, w)
	if err := run.bindVersion(ctx, time.Now()); err != nil {
		return err
	}
	if run.needsAdmission() {
		return d.serveAdmitted(ctx, run)
	}
	return run.serve(ctx)
}

// newRun returns the state of a request before its first attempt.
func (d *Dispatcher) newRun(req *amaranthtide.Request, w amaranthtide.AnswerWriter) *requestRun {
	spec := amaranthtide.ServiceSpec{Name: req.Service}
	if snapshot, ok := d.opts.Configuration.Current(); ok {
		if declared, found := snapshot.Service(req.Service); found {
			spec = declared
		}
	}
	return &requestRun{
		dispatcher: d, req: req, spec: spec, w: w, bodyBytes: len(req.Body), subject: quarantine.SubjectOf(req),
		tried:            amaranthtide.NewSet[amaranthtide.BackendServerName](),
		unreachableZones: amaranthtide.NewSet[amaranthtide.ZoneName](),
		timedOut:         amaranthtide.NewSet[amaranthtide.BackendServerName](),
	}
}

// needsAdmission reports whether the admission control decides on the request.
func (r *requestRun) needsAdmission() bool { return r.dispatcher.opts.LoadShedding && r.spec.Engine }

// admitCold reports whether a request may go to the server. For a cold server it takes the
// request from this router's share of the server's rate.
func (d *Dispatcher) admitCold(now time.Time, in amaranthtide.Instance, spec amaranthtide.ServiceSpec) bool {
	return d.limitCold(now, in, spec, (*coldrate.Limiter).Allow)
}

// limitCold returns what allow returns for a cold server, and true for others.
func (d *Dispatcher) limitCold(now time.Time, in amaranthtide.Instance, spec amaranthtide.ServiceSpec, allow func(l *coldrate.Limiter, now time.Time, server amaranthtide.BackendServerName, perSecond float64) bool) bool {
	if spec.ColdRequestsPerSecond <= 0 || !now.Before(in.ColdUntil) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return allow(d.coldLimiter, now, in.Name, spec.ColdRequestsPerSecond)
}

// promptSource returns the address of an engine from which the given one can fetch the
// prompt of the chat; the zero value if there is none.
func (d *Dispatcher) promptSource(now time.Time, req *amaranthtide.Request, to amaranthtide.Instance) netip.AddrPort {
	if req.Chat == "" {
		return netip.AddrPort{}
	}
	var engines []choice.Candidate
	for _, in := range d.promptSources(to) {
		at, _ := d.reopens(now, in)
		avoid, _ := d.shouldAvoid(now, in)
		engines = append(engines, choice.Candidate{Instance: in, Avoid: avoid || now.Before(at)})
	}
	from, ok := choice.PromptSource(now, req.Chat, to, engines)
	if !ok {
		return netip.AddrPort{}
	}
	return from.Address
}

// meanLoad returns the mean load of servers, and their number.
func (d *Dispatcher) meanLoad(now time.Time, all []amaranthtide.Instance) (mean float64, n int) {
	if len(all) == 0 {
		return 0, 0
	}
	sum := 0
	for _, in := range all {
		sum += d.opts.Traffic.Load(now, in.Name)
	}
	return float64(sum) / float64(len(all)), len(all)
}

// shouldAvoid reports whether requests should be sent to other servers, because this one failed, or
// because it or its zone could not be reached.
func (d *Dispatcher) shouldAvoid(now time.Time, in amaranthtide.Instance) (avoid, unreachable bool) {
	d.zoneRecords.With(in.Zone, func(r *outlier.Record, ok bool) { unreachable = ok && r.Avoid(now) })
	d.serverRecords.With(in.Name, func(r *outlier.Record, ok bool) {
		if ok {
			avoid, unreachable = r.Avoid(now), unreachable || r.IsUnreachable(now)
		}
	})
	return avoid || unreachable, unreachable
}

func (d *Dispatcher) candidates(now time.Time, instances []amaranthtide.Instance, tried amaranthtide.Set[amaranthtide.BackendServerName]) []choice.Candidate {
	out := make([]choice.Candidate, 0, len(instances))
	for _, in := range instances {
		if tried.Has(in.Name) {
			continue
		}
		if reason, _ := d.exclusion(now, in); reason == "" {
			out = append(out, d.candidate(now, in))
		}
	}
	return out
}

// exclusion returns why the server gets no requests now, empty if it may get some, and the end of its
// pause, or when this router has the next request within its limit.
func (d *Dispatcher) exclusion(now time.Time, in amaranthtide.Instance) (reason amaranthtide.Exclusion, until time.Time) {
	switch {
	case in.Leaving:
		return amaranthtide.ExclusionLeaving, time.Time{}
	case d.opts.Servers.ZoneOutOfService(in.Zone):
		return amaranthtide.ExclusionZone, time.Time{}
	}
	at, ok := d.reopens(now, in)
	switch {
	case !ok:
		return amaranthtide.ExclusionLeaving, time.Time{}
	case now.Before(at):
		return amaranthtide.ExclusionPause, at
	default:
		return d.rateExclusion(now, in)
	}
}

// recordServer applies an outcome to the record of a server.
func (d *Dispatcher) recordServer(server amaranthtide.BackendServerName, f func(r *outlier.Record)) {
	updateRecord(d.serverRecords, server, f)
}

// recordZone applies an outcome to the record of a zone: whether one of its servers could
// be reached.
func (d *Dispatcher) recordZone(zone amaranthtide.ZoneName, f func(r *outlier.Record)) {
	updateRecord(d.zoneRecords, zone, f)
}

func updateRecord[K comparable](records *shard.Map[K, *outlier.Record], key K, f func(r *outlier.Record)) {
	records.Update(key, func(r *outlier.Record, ok bool) (*outlier.Record, bool) {
		if !ok {
			r = &outlier.Record{}
		}
		f(r)
		return r, true
	})
}

// earnRetry credits a new request to the retry budget of its service.
func (d *Dispatcher) earnRetry(now time.Time, service amaranthtide.ServiceName) {
	routers := int(d.routerCount.Load())
	d.retryBudgets.Update(service, func(b *shared.Budget, ok bool) (*shared.Budget, bool) {
		if !ok {
			b = shared.New(now, d.opts.Retries, routers)
		}
		b.SetRouters(now, routers)
		b.Earn(now)
		return b, true
	})
}

// RetriesLeft returns this router's remaining retry budget by service.
func (d *Dispatcher) RetriesLeft(now time.Time) map[amaranthtide.ServiceName]float64 {
	left := make(map[amaranthtide.ServiceName]float64)
	d.retryBudgets.Range(func(service amaranthtide.ServiceName, b *shared.Budget) bool {
		left[service] = b.Balance(now)
		return true
	})
	return left
}

func (d *Dispatcher) takeRetry(now time.Time, service amaranthtide.ServiceName) bool {
	taken := false
	d.retryBudgets.With(service, func(b *shared.Budget, ok bool) { taken = ok && b.Take(now) })
	return taken
}
