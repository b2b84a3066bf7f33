// Package router assembles a router from its parts.
//
// # Usage
//
//	r, err := router.New(cfg, router.Options{Logger: logger})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return r.Close() // graceful: waits for requests in flight
package router

import (
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
	"amaranthtide/coordination/placement/plain"
	"amaranthtide/protocol/settings"
	"amaranthtide/state/load"
	"amaranthtide/state/table"
	"amaranthtide/transport/claims"
	"amaranthtide/transport/control"
	"amaranthtide/transport/dispatch"
	"amaranthtide/transport/editor"
	"amaranthtide/transport/engine"
	"amaranthtide/transport/entry"
	"amaranthtide/transport/groups"
	"amaranthtide/transport/ingress"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/metrics"
	"amaranthtide/transport/orders"
	"amaranthtide/transport/owner"
	"amaranthtide/transport/platform"
	"amaranthtide/transport/probe"
	"amaranthtide/transport/service"
	"amaranthtide/transport/spread"
	"amaranthtide/transport/sweep"
)

// Options are what a program adds to the settings. The zero value is usable.
type Options struct {
	// Logger gets the router's log; nil logs nothing.
	Logger hclog.Logger
	// Policy orders backend servers; nil is the rendezvous order of the chat (package
	// plain): the owner of a group, which knows the exact loads, overflows inside it.
	Policy amaranthtide.Policy
	// Unbounded lifts caps and ramps, for measurements against baselines.
	Unbounded bool
	// Dialer opens connections to other routers; nil is TCP. Tests use it to cut links.
	Dialer mesh.Dialer
}

const (
	// takeoverDelay covers two report intervals and transits at today's size; see package admission.
	takeoverDelay = time.Second
	// maxResumeAge is the suspicion time plus the grace: a new owner goes on from an
	// allowance that is no older.
	maxResumeAge = 3 * time.Second
	// readHeaderTimeout bounds the wait for a caller's header.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Router is one router of the fleet. Use New.
type Router struct {
	cfg  settings.Settings
	opts Options

	table    *table.Table
	ledger   *load.Ledger
	platform *platform.Client
	engines  *engine.Client
	services *service.Client
	claims   *claims.Driver
	mesh     *mesh.Mesh
	control  *control.Control
	spread   *spread.Spreader
	owner    *owner.Owner
	dispatch *dispatch.Dispatcher
	editor   *editor.Editor
	prober   *probe.Prober
	sweeper  *sweep.Sweeper
	groups   *groups.Exchange
	orders   *orders.Driver
	meter    *metrics.Meter

	callerServer  *ingress.Server
	consoleServer *ingress.Server
	listeners     [2]*net.TCPListener
	draining      atomic.Bool

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// New starts a router. It listens when New returns, and is ready once it has loaded
// the table.
func New(cfg settings.Settings, opts Options) (*Router, error) {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Policy == nil {
		opts.Policy = plain.Policy{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{cfg: cfg, opts: opts, ctx: ctx, cancel: cancel}
	if err := r.listen(); err != nil {
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

// build makes the parts, in the order in which they need each other.
func (r *Router) build() error {
	cfg, logger := r.cfg, r.opts.Logger
	var err error
	if r.meter, err = metrics.New(); err != nil {
		return err
	}
	r.table = table.New()
	r.ledger = load.New(cfg.Router.VM)
	r.platform = platform.New(platform.Config{Addr: cfg.Platform.Address, Timeout: cfg.Platform.Timeout})
	r.engines = engine.New(engine.Config{})
	r.services = service.New()
	r.claims = claims.New(claims.Options{VM: cfg.Router.VM, Table: r.platform, Objects: r.platform, Logger: logger.Named("claims")})
	r.mesh, err = mesh.New(mesh.Options{
		Listen: cfg.Router.Listen,
		Key:    []byte(cfg.Router.FleetKey),
		Owner:  r,
		Logger: logger.Named("mesh"),
		Dialer: r.opts.Dialer,
	})
	if err != nil {
		return err
	}
	incarnation := amaranthtide.Incarnation(time.Now().UnixNano())
	r.control = control.New(control.Options{
		VM:             cfg.Router.VM,
		Zone:           cfg.Router.Zone,
		Address:        r.mesh.Addr(),
		Incarnation:    incarnation,
		Seeds:          cfg.Router.Seeds,
		BytesPerSecond: cfg.Control.BytesPerSecond,
		DigestInterval: cfg.Control.DigestInterval,
		Mesh:           r.mesh,
		Table:          r.table,
		Ledger:         r.ledger,
		Loads:          r.loads,
		Behind:         r.onPeerBehind,
		Logger:         logger.Named("control"),
	})
	r.spread = spread.New(spread.Options{
		Table:     r.table,
		Mesh:      r.mesh,
		Platform:  r.platform,
		Control:   r.control,
		Forwarder: r.mesh,
		Seeds:     cfg.Router.Seeds,
		Interval:  cfg.Control.TableInterval,
		Logger:    logger.Named("spread"),
	})
	r.owner = owner.New(owner.Options{
		VM:        cfg.Router.VM,
		Zone:      cfg.Router.Zone,
		Table:     r.table,
		Ledger:    r.ledger,
		Control:   r.control,
		Engines:   r.engines,
		Services:  r.services,
		Claims:    r.claims,
		MaxQueue:  cfg.Limits.MaxQueue,
		Quiet:     takeoverDelay,
		Resume:    maxResumeAge,
		Unbounded: r.opts.Unbounded,
		Observe:   r.meter.Attempt,
		Logger:    logger.Named("owner"),
	})
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
	r.groups = groups.New(groups.Options{
		VM:          cfg.Router.VM,
		Incarnation: incarnation,
		Mesh:        r.mesh,
		Table:       r.table,
		Ledger:      r.ledger,
		Control:     r.control,
		Owner:       r.owner,
		Logger:      logger.Named("groups"),
	})
	r.editor = editor.New(editor.Options{Table: r.platform, Spread: r.spread})
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
	r.wg.Go(r.watchTable)
	r.wg.Go(r.pollVMs)
	if err := r.registerMetrics(); err != nil {
		return err
	}
	r.callerServer = r.serve(r.listeners[0], r.callerHandler())
	r.consoleServer = r.serve(r.listeners[1], r.consoleHandler())
	return nil
}

func (r *Router) serve(l *net.TCPListener, h http.Handler) *ingress.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    entry.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          r.opts.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return ingress.New(l, srv, func(err error) {
		if !errors.Is(err, net.ErrClosed) {
			r.opts.Logger.Error("listener failed", "address", l.Addr(), "error", err)
		}
	})
}

func (r *Router) callerHandler() http.Handler {
	return entry.New(entry.Options{
		Directory:    r.table,
		Service:      r.dispatch,
		Logger:       r.opts.Logger.Named("entry"),
		MaxBodyBytes: r.cfg.Limits.MaxBodyBytes,
		Observe:      r.meter.Request,
		FirstChunk:   r.meter.FirstChunk,
	})
}

// Serve implements amaranthtide.Owner for requests that other routers forward.
func (r *Router) Serve(ctx context.Context, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if server == spread.Self {
		return r.spread.ServeSnapshot(req, w)
	}
	return r.owner.Serve(ctx, server, req, w)
}

// loads and behind are called by control, which is built before what they need.
func (r *Router) loads(now time.Time) []amaranthtide.ServerLoad { return r.owner.Loads(now) }

func (r *Router) onPeerBehind(peer netip.AddrPort, _ amaranthtide.Revision) { r.spread.Behind(peer) }

// Callers returns where callers reach this router.
func (r *Router) Callers() netip.AddrPort { return listenerAddr(r.listeners[0]) }

// Console returns where operators and metrics collectors reach this router.
func (r *Router) Console() netip.AddrPort { return listenerAddr(r.listeners[1]) }

// Listen returns where other routers reach this one.
func (r *Router) Listen() netip.AddrPort { return r.mesh.Addr() }

func listenerAddr(l net.Listener) netip.AddrPort {
	addr, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.AddrPort().Addr().Unmap(), addr.AddrPort().Port())
}

// bytesPerProbe is about the size of a load probe and its answer.
const bytesPerProbe = 400

// ControlBytes returns the bytes that this router has sent for control: messages
// to other routers, keepalive frames included, and probes with their answers.
func (r *Router) ControlBytes() uint64 {
	stats := r.mesh.Stats()
	return stats.BytesSent - stats.ForwardSent.Bytes + bytesPerProbe*r.prober.Probes()
}
