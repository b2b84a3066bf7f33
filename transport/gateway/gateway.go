// Package gateway assembles a router that serves declared routes directly: it connects
// the handler of callers' requests, the configuration feed of the platform, the other
// routers and the dispatcher of package direct. The clients for callers, backend
// servers and the platform are passed in through Options.
//
// # Usage
//
//	g, err := gateway.New(gateway.Options{Entry: entry, Feed: feed, ...})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return g.Close() // graceful: waits for requests in flight
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/descriptors"
	"amaranthtide/coordination/drain"
	"amaranthtide/coordination/reading"
	"amaranthtide/state/bodies"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/memory"
	"amaranthtide/state/servers"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/continuation"
	"amaranthtide/transport/crashes"
	"amaranthtide/transport/direct"
	"amaranthtide/transport/follow"
	"amaranthtide/transport/ingress"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/metrics"
	"amaranthtide/transport/peers"
	"amaranthtide/transport/quarantine"
	"amaranthtide/transport/rollout"
	"amaranthtide/transport/shutdown"
	"amaranthtide/transport/upstream"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than the idle time that operators configure for callers, so
	// that callers close idle connections first. A connection that the router closed could
	// already carry the caller's next request.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the request line and header. The limit of the declared
	// configuration is smaller.
	maxHeaderBytes = 32 << 10
)

// Gateway is a router that serves declared routes. Use New.
type Gateway struct {
	opts          Options
	configuration *declared.Configuration
	servers       *servers.Directory
	rows          *feed.Tables
	memory        *memory.Budget
	bodies        *bodies.Budget
	guard         *ingress.Guard
	shares        descriptors.Shares
	dispatcher    *direct.Dispatcher
	crashes       *crashes.Tracker
	follower      *follow.Follower
	mesh          *mesh.Mesh
	peers         *peers.Exchange
	// rollouts is nil if the deployment has none.
	rollouts *rollout.Runner
	// quarantines is nil if the deployment doesn't store them.
	quarantines *quarantine.Recorder
	// streams is nil if every server may go on with every stream.
	streams *continuation.Tracker

	meter         *metrics.Meter
	callerServer  *ingress.Server
	readyServer   *ingress.Server
	metricsServer *ingress.Server
	// service is the dispatcher, except for requests that the router might not finish.
	service *shutdown.Service
	// grace is Options.Grace, which a reload may replace.
	grace     atomic.Int64
	closeOnce sync.Once
}

// New starts a router. It listens when New returns and becomes ready once the
// configuration and the list of backend servers are loaded.
func New(opts Options) (*Gateway, error) {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.ChangeBound <= 0 {
		return nil, amaranthtide.Errorf(amaranthtide.KindInternal, "gateway: ChangeBound is %v, want a positive duration", opts.ChangeBound)
	}
	held := memory.New(memory.HeldLimit(opts.MemoryBytes))
	g := &Gateway{
		opts: opts, configuration: declared.New(), servers: servers.New(), rows: feed.New(), memory: held, bodies: bodies.Within(held, memory.BodyShare/memory.HeldShare),
		shares: upstream.Descriptors(),
	}
	if opts.MaxConnections > 0 {
		g.shares.Callers = opts.MaxConnections
	}
	g.grace.Store(int64(opts.Grace))
	var err error
	if g.meter, err = metrics.New(); err != nil {
		return nil, err
	}
	g.mesh, err = mesh.New(mesh.Options{Listen: opts.MeshListen, Advertise: opts.Entry.Address, FleetKey: []byte(opts.FleetKey), Logger: opts.Logger.Named("mesh")})
	if err != nil {
		return nil, err
	}
	g.guard = ingress.NewGuard(held)
	if err := g.start(); err != nil {
		g.stop()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) start() error {
	opts, logger := g.opts, g.opts.Logger
	feedTables, trafficCounter := g.rows, traffic.New()
	if err := g.registerGauges(trafficCounter); err != nil {
		return err
	}
	g.newCrashes()
	incarnation := amaranthtide.Incarnation(time.Now().UnixNano())
	g.newRollouts(incarnation, feedTables, trafficCounter)
	g.newStreams()
	if err := g.registerShares(); err != nil {
		return err
	}
	g.dispatcher = direct.New(direct.Options{
		VM: opts.Entry.VM, Zone: opts.Entry.Zone, Configuration: g.configuration, Servers: g.servers, Traffic: trafficCounter,
		AttemptSender: opts.NewAttemptSender(&serverObserver{Counter: trafficCounter, gateway: g}, g.memory), Prober: opts.ServerProber,
		Crashes: g.crashes, Versions: g.versions(), Streams: g.streamVersions(), Cap: opts.EngineLoadCap, ServerBodyBytes: opts.ServerBodyBytes, Retries: opts.RetryLimit,
		LoadShedding: opts.LoadShedding, Observe: g.meter.RecordAttempt, Logger: logger.Named("dispatch"),
	})
	g.follower = follow.New(follow.Options{
		VM: opts.Entry.VM, Feed: opts.Feed, Decoder: opts.Decoder, Tables: g.tables(), PolledTable: opts.PolledTable,
		BatchedTables: []amaranthtide.FeedTable{opts.PolledTable, opts.RegistryTable}, Rows: feedTables, Configuration: g.configuration,
		Servers: g.servers, Schedule: reading.NewSchedule(opts.ChangeBound), Position: g.position, Relay: g.relay,
		Observe: g.meter.RecordFeedCall, OnServerGone: g.onServerGone(trafficCounter), OnRoutersChanged: g.applyRegistry, OnServersListed: g.serversListed, Rollouts: g.rolloutRows(), AtStart: g.loadQuarantines(), OnRestored: g.storeRestored, Logger: logger.Named("follow"),
	})
	g.peers = peers.New(peers.Options{
		Self: opts.Entry, Incarnation: incarnation, Seeds: opts.Seeds, Mesh: g.mesh,
		Traffic: trafficCounter, Follower: g.follower, Rows: feedTables, PolledTable: opts.PolledTable, DeclaredTable: opts.DeclaredTable, RegistryTable: opts.RegistryTable,
		RolloutTable: g.rolloutTable(), Rollouts: g.rolloutMessages(),
		Registrar: opts.Registrar, Evidence: g.crashes, OnRoutersChanged: g.setRouters, Logger: logger.Named("peers"),
	})
	if err := g.peers.Start(); err != nil {
		return err
	}
	if g.rollouts != nil {
		g.rollouts.Start(g.peers, g.follower)
	}
	if g.streams != nil {
		g.streams.Start()
	}
	g.follower.Start()
	g.service = shutdown.New(g.dispatcher)
	service := &observedService{Service: g.service, meter: g.meter, storeEra: g.storeEra, logger: logger.Named("request")}
	callerHandler := opts.NewCallerHandler(CallerHandlerOptions{Configuration: g.configuration, Service: service, Draining: g.service.Stopping, Bodies: g.bodies})
	var err error
	if g.callerServer, err = g.serve(opts.CallerListen, callerHandler, g.shares.Callers); err != nil {
		return err
	}
	readyRouter := chi.NewRouter()
	readyRouter.Get(opts.ReadyPath, g.readiness)
	if g.readyServer, err = g.serve(opts.ReadyListen, readyRouter, g.shares.Management); err != nil || !opts.MetricsListen.IsValid() {
		return err
	}
	metricsRouter := chi.NewRouter()
	metricsRouter.Handle("/metrics", g.meter.Handler())
	if opts.NewExplainHandler != nil {
		metricsRouter.Method(http.MethodGet, "/where", opts.NewExplainHandler(g.configuration, &explainer{g.dispatcher, g.service}))
	}
	g.metricsServer, err = g.serve(opts.MetricsListen, metricsRouter, g.shares.Management)
	return err
}

func (g *Gateway) serve(addr netip.AddrPort, h http.Handler, maxConnections int) (*ingress.Server, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindInternal, "listen: %w", err)
	}
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          g.opts.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	onError := func(err error) { g.opts.Logger.Error("listener failed", "address", addr, "error", err) }
	return ingress.NewLimited(l, srv, ingress.Limits{Guard: g.guard, MaxConnections: maxConnections}, onError), nil
}

// onServerGone returns the callback for a backend server that was removed from the list.
func (g *Gateway) onServerGone(trafficCounter *traffic.Counter) func(amaranthtide.BackendServerName) {
	return func(name amaranthtide.BackendServerName) {
		g.dispatcher.ServerGone(name)
		trafficCounter.ServerGone(name)
	}
}

// relay forwards changes of the feed to other routers. The follower calls it instead of
// peers.Exchange.Relay, since the follower is created before the exchange.
func (g *Gateway) relay(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion]) {
	g.peers.Relay(table, after)
}

// position returns this router's position among the readers of the feed. Like relay, it is
// passed to the follower before the exchange exists.
func (g *Gateway) position(now time.Time) reading.Position { return g.peers.Position(now) }

// applyRegistry passes changes of the registry to the exchange, like relay.
func (g *Gateway) applyRegistry(now time.Time, registered []amaranthtide.RouterEntry, removed []amaranthtide.VMName) {
	g.peers.ApplyRegistry(now, registered, removed)
}

// readiness serves the readiness check of the load balancer.
func (g *Gateway) readiness(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready reports whether the router should get new connections: it is not shutting down,
// and has a configuration and at least one backend server.
func (g *Gateway) Ready() bool {
	return !g.service.Stopping() && g.configuration.Revision() > 0 && g.servers.Len() > 0
}

// Reload applies the grace period, the load limit of engines and the memory while the router runs.
// The other options need a new process.
func (g *Gateway) Reload(opts Options) {
	g.grace.Store(int64(opts.Grace))
	g.dispatcher.SetCap(opts.EngineLoadCap)
	g.memory.SetLimit(memory.HeldLimit(opts.MemoryBytes))
}

// Close shuts the router down gracefully: it reports that it is not ready, keeps serving
// until the load balancer has noticed, and waits for requests in flight. Requests that
// outlast the grace period are aborted, and Close returns an error.
func (g *Gateway) Close() error {
	var err error
	g.closeOnce.Do(func() { err = g.shutdown() })
	return err
}

func (g *Gateway) shutdown() error {
	grace := time.Duration(g.grace.Load())
	plan := drain.NewPlan(time.Now(), grace)
	g.opts.Logger.Info("router leaves", "grace", grace.String())
	g.service.Stop(plan)
	ctx, cancel := context.WithDeadline(context.Background(), plan.AbortAt)
	defer cancel()
	noticeTimer := time.NewTimer(time.Until(plan.NoticedAt))
	defer noticeTimer.Stop()
	<-noticeTimer.C
	err := g.callerServer.Shutdown(ctx)
	if err != nil {
		g.opts.Logger.Warn("requests aborted at the end of the grace period", "error", err)
	}
	g.stop()
	return err
}

// stop closes the components that were started: the HTTP servers first, then what their
// handlers depend on.
func (g *Gateway) stop() {
	for _, srv := range []*ingress.Server{g.callerServer, g.readyServer, g.metricsServer} {
		if srv != nil {
			srv.Close()
		}
	}
	if g.guard != nil {
		g.guard.Close()
	}
	if g.follower != nil {
		g.follower.Close()
	}
	if g.peers != nil {
		g.peers.Close()
	}
	if g.rollouts != nil {
		g.rollouts.Close()
	}
	if g.quarantines != nil {
		g.quarantines.Close()
	}
	if g.streams != nil {
		g.streams.Close()
	}
	_ = g.mesh.Close()
	_ = g.meter.Close(context.Background()) // there is nothing to flush
	g.opts.Logger.Info("router stopped")
}
