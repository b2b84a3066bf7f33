// Package router creates a router from its components and runs it.
//
// # Usage
//
//	r, err := router.New(cfg, router.Options{Logger: logger})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return r.Close() // waits for requests in flight
package router

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/descriptors"
	"amaranthtide/coordination/placement/plain"
	"amaranthtide/protocol/settings"
	"amaranthtide/state/bodies"
	"amaranthtide/state/load"
	"amaranthtide/state/memory"
	"amaranthtide/state/table"
	"amaranthtide/transport/claims"
	"amaranthtide/transport/control"
	"amaranthtide/transport/dispatch"
	"amaranthtide/transport/editor"
	"amaranthtide/transport/engine"
	"amaranthtide/transport/entry"
	"amaranthtide/transport/groups"
	"amaranthtide/transport/ingress"
	"amaranthtide/transport/internal/rlimit"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/metrics"
	"amaranthtide/transport/orders"
	"amaranthtide/transport/owner"
	"amaranthtide/transport/platform"
	"amaranthtide/transport/probe"
	"amaranthtide/transport/service"
	"amaranthtide/transport/shutdown"
	"amaranthtide/transport/spread"
	"amaranthtide/transport/sweep"
)

// Options holds the parameters that are not part of the settings file. The zero value
// is usable.
type Options struct {
	// Logger receives the router's log; nil disables logging.
	Logger hclog.Logger
	// Policy ranks backend servers; nil is rendezvous hashing by chat (package plain).
	// The default ignores load, since the owner of a group knows the exact loads and
	// overflows within the group.
	Policy amaranthtide.PlacementPolicy
	// Unbounded disables load caps and the ramp after a cold start, for comparisons
	// with baselines.
	Unbounded bool
	// Dialer opens connections to other routers; nil is TCP. Tests use it to simulate
	// network failures.
	Dialer mesh.Dialer
}

const (
	// takeoverDelay is how long a new owner of a server admits no requests. It covers
	// two report intervals and two network transits at the present fleet size; see
	// package admission.
	takeoverDelay = time.Second
	// maxResumeAge is the greatest age of the previous owner's allowance from which a
	// new owner continues. It is the suspicion time plus the grace period.
	maxResumeAge = 3 * time.Second
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Router forwards callers' requests to backend servers and coordinates with the other
// routers of the fleet. Use New.
type Router struct {
	cfg  settings.Settings
	opts Options

	table       *table.Table
	loadTracker *load.Tracker
	platform    *platform.Client
	engines     *engine.Client
	services    *service.Client
	claims      *claims.Driver
	mesh        *mesh.Mesh
	control     *control.Control
	spread      *spread.Spreader
	owner       *owner.Owner
	dispatch    *dispatch.Dispatcher
	editor      *editor.Editor
	prober      *probe.Prober
	sweeper     *sweep.Sweeper
	groups      *groups.Exchange
	orders      *orders.Driver
	meter       *metrics.Meter

	// memory counts all that is held for callers and servers, bodies the part of it that bodies
	// of requests take.
	memory *memory.Budget
	bodies *bodies.Budget
	guard  *ingress.Guard

	callerServer  *ingress.Server
	consoleServer *ingress.Server
	listeners     [2]*net.TCPListener
	// service is the dispatcher, except for requests that the router might not finish.
	service *shutdown.Service

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once
	// acceptsForwards is set once spread and owner exist. The mesh, which they need, accepts requests
	// of other routers before.
	acceptsForwards atomic.Bool
}

// New starts a router. It accepts connections when New returns, and is ready once it
// has loaded the table.
func New(cfg settings.Settings, opts Options) (*Router, error) {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Policy == nil {
		opts.Policy = plain.Policy{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{cfg: cfg, opts: opts, ctx: ctx, cancel: cancel}
	r.memory = memory.New(memory.HeldLimit(ProcessMemory(cfg)))
	r.bodies = bodies.Within(r.memory, memory.BodyShare/memory.HeldShare)
	r.guard = ingress.NewGuard(r.memory)
	if err := r.listen(); err != nil {
		r.guard.Close()
		cancel()
		return nil, err
	}
	if err := r.build(); err != nil {
		r.Kill()
		return nil, err
	}
	if err := r.start(); err != nil {
		r.Kill()
		return nil, err
	}
	return r, nil
}

func (r *Router) listen() error {
	for i, addr := range []netip.AddrPort{r.cfg.Router.Callers, r.cfg.Router.Console} {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			r.closeListeners()
			return amaranthtide.Errorf(amaranthtide.KindInternal, "listen: %w", err)
		}
		r.listeners[i] = l
	}
	return nil
}

func (r *Router) closeListeners() {
	for _, l := range r.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// build creates the components in order of their dependencies.
func (r *Router) build() error {
	cfg, logger := r.cfg, r.opts.Logger
	var err error
	if r.meter, err = metrics.New(); err != nil {
		return err
	}
	r.table = table.New()
	r.loadTracker = load.New(cfg.Router.VM)
	r.platform = platform.New(platform.Config{Addr: cfg.Platform.Address, Timeout: cfg.Platform.Timeout})
	r.engines = engine.New(engine.Config{Memory: r.memory})
	r.services = service.NewCounting(r.memory)
	r.claims = claims.New(claims.Options{VM: cfg.Router.VM, Table: r.platform, Objects: r.platform, Logger: logger.Named("claims")})
	r.mesh, err = mesh.New(mesh.Options{
		Listen:   cfg.Router.Listen,
		FleetKey: []byte(cfg.Router.FleetKey),
		Owner:    r,
		Logger:   logger.Named("mesh"),
		Dialer:   r.opts.Dialer,
	})
	if err != nil {
		return err
	}
	incarnation := amaranthtide.Incarnation(time.Now().UnixNano())
	r.control = control.New(control.Options{
		VM:              cfg.Router.VM,
		Zone:            cfg.Router.Zone,
		Address:         r.mesh.Addr(),
		Incarnation:     incarnation,
		Seeds:           cfg.Router.Seeds,
		BytesPerSecond:  cfg.Control.BytesPerSecond,
		DigestInterval:  cfg.Control.DigestInterval,
		Mesh:            r.mesh,
		Table:           r.table,
		LoadTracker:     r.loadTracker,
		Loads:           r.loads,
		OnNewerRevision: r.onNewerRevision,
		Logger:          logger.Named("control"),
	})
	r.spread = spread.New(spread.Options{
		Table:      r.table,
		Mesh:       r.mesh,
		Platform:   r.platform,
		Membership: r.control,
		Forwarder:  r.mesh,
		Seeds:      cfg.Router.Seeds,
		Interval:   cfg.Control.TableInterval,
		Logger:     logger.Named("spread"),
	})
	r.owner = owner.New(owner.Options{
		VM:            cfg.Router.VM,
		Zone:          cfg.Router.Zone,
		Table:         r.table,
		LoadTracker:   r.loadTracker,
		Control:       r.control,
		Engines:       r.engines,
		Services:      r.services,
		Claims:        r.claims,
		MaxQueue:      cfg.Limits.MaxQueue,
		TakeoverDelay: takeoverDelay,
		MaxResumeAge:  maxResumeAge,
		Unbounded:     r.opts.Unbounded,
		Observe:       r.meter.RecordAttempt,
		Logger:        logger.Named("owner"),
	})
	r.acceptsForwards.Store(true)
	r.dispatch = dispatch.New(dispatch.Options{
		VM:        cfg.Router.VM,
		Zone:      cfg.Router.Zone,
		Table:     r.table,
		Control:   r.control,
		Owner:     r.owner,
		Forwarder: r.mesh,
		Policy:    r.opts.Policy,
		Logger:    logger.Named("dispatch"),
	})
	r.service = shutdown.New(r.dispatch)
	r.groups = groups.New(groups.Options{
		VM:          cfg.Router.VM,
		Incarnation: incarnation,
		Mesh:        r.mesh,
		Table:       r.table,
		LoadTracker: r.loadTracker,
		Control:     r.control,
		Owner:       r.owner,
		Logger:      logger.Named("groups"),
	})
	r.editor = editor.New(editor.Options{Table: r.platform, Publisher: r.spread})
	r.prober = probe.New(probe.Options{Table: r.table, Owner: r.owner, Engines: r.engines, Interval: cfg.Control.ProbeInterval})
	r.orders = r.newOrders()
	r.sweeper = sweep.New(sweep.Options{Table: r.platform, Control: r.control, Logger: logger.Named("sweep")})
	return nil
}

func (r *Router) start() error {
	if err := r.control.Start(); err != nil {
		return err
	}
	if err := r.spread.Start(); err != nil {
		return err
	}
	if err := r.groups.Start(); err != nil {
		return err
	}
	r.orders.Start()
	r.wg.Go(r.loopTable)
	r.wg.Go(r.loopVMs)
	if err := r.registerMetrics(); err != nil {
		return err
	}
	shares := descriptors.Divide(rlimit.Descriptors())
	r.callerServer = r.serve(r.listeners[0], r.callerHandler(), cmp.Or(r.cfg.Limits.MaxConnections, shares.Callers))
	r.consoleServer = r.serve(r.listeners[1], r.consoleHandler(), shares.Management)
	return nil
}

// ProcessMemory returns the memory of the process in bytes, 0 if it is unknown.
func ProcessMemory(cfg settings.Settings) int64 {
	if n := cfg.Limits.MemoryMegabytes; n > 0 {
		return int64(n) << 20
	}
	return rlimit.Memory()
}

func (r *Router) serve(l *net.TCPListener, h http.Handler, maxConnections int) *ingress.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    entry.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          r.opts.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return ingress.NewLimited(l, srv, ingress.Limits{Guard: r.guard, MaxConnections: maxConnections}, func(err error) {
		if !errors.Is(err, net.ErrClosed) {
			r.opts.Logger.Error("listener failed", "address", l.Addr(), "error", err)
		}
	})
}

func (r *Router) callerHandler() http.Handler {
	return entry.New(entry.Options{
		Directory:    r.table,
		Service:      r.service,
		Logger:       r.opts.Logger.Named("entry"),
		MaxBodyBytes: r.cfg.Limits.MaxBodyBytes,
		Bodies:       r.bodies,
		OnRequestEnd: r.meter.RecordRequest,
		OnFirstChunk: r.meter.RecordFirstChunk,
	})
}

// Serve implements amaranthtide.Owner for requests that other routers forward: requests
// for this router's copy of the table, and attempts at servers that this router owns.
func (r *Router) Serve(ctx context.Context, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if !r.acceptsForwards.Load() {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "router is starting")
	}
	if server == spread.Self {
		return r.spread.ServeSnapshot(req, w)
	}
	return r.owner.Serve(ctx, server, req, w)
}

// loads is passed to control, which is created before the owner.
func (r *Router) loads(now time.Time) []amaranthtide.ServerLoad { return r.owner.Loads(now) }

// onNewerRevision is passed to control, which is created before the spreader.
func (r *Router) onNewerRevision(peer netip.AddrPort, _ amaranthtide.Revision) {
	r.spread.ReportNewerPeer(peer)
}

// CallerAddr returns the address on which the router listens for callers.
func (r *Router) CallerAddr() netip.AddrPort { return listenerAddr(r.listeners[0]) }

// ConsoleAddr returns the address on which the router listens for operators and metrics
// collectors.
func (r *Router) ConsoleAddr() netip.AddrPort { return listenerAddr(r.listeners[1]) }

// MeshAddr returns the address on which the router listens for other routers.
func (r *Router) MeshAddr() netip.AddrPort { return r.mesh.Addr() }

func listenerAddr(l net.Listener) netip.AddrPort {
	addr, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.AddrPort().Addr().Unmap(), addr.AddrPort().Port())
}

// bytesPerProbe is the approximate size of a load probe and its answer.
const bytesPerProbe = 400

// ControlBytes returns the control traffic in bytes: messages sent to other routers,
// keepalive frames included, and probes with their answers.
func (r *Router) ControlBytes() uint64 {
	stats := r.mesh.Stats()
	return stats.BytesSent - stats.ForwardSent.Bytes + bytesPerProbe*r.prober.Probes()
}
