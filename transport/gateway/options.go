package gateway

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/retry/shared"
	decision "amaranthtide/coordination/rollout"
	"amaranthtide/state/bodies"
	"amaranthtide/state/declared"
	"amaranthtide/state/memory"
)

// Options configure a Gateway. All but Seeds, Rollouts, RolloutTable, RolloutRecorder,
// QuarantineStore, StreamStore, MemoryBytes, MaxConnections, MetricsListen, DroppedLogLines, NewExplainHandler and
// Logger are required.
type Options struct {
	// Entry is the router's own entry in the registry, with the address at which other
	// routers reach it.
	Entry amaranthtide.RouterEntry
	// MeshListen is the address for connections of other routers.
	MeshListen netip.AddrPort
	// CallerListen is the address for requests of callers.
	CallerListen netip.AddrPort
	// ReadyListen is the address for readiness checks of the load balancer.
	ReadyListen netip.AddrPort
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Seeds     []netip.AddrPort
	FleetKey  string
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration
	// EngineLoadCap limits the load of an engine.
	EngineLoadCap choice.Cap
	// ServerBodyBytes limits the request bodies in flight at one backend server across the fleet;
	// 0 means no limit.
	ServerBodyBytes int64
	// RetryLimit limits the retries of one service across the fleet.
	RetryLimit shared.Limit
	// DeclaredTable is the table that operators edit.
	DeclaredTable amaranthtide.FeedTable
	// PolledTable is the table of backend servers.
	PolledTable amaranthtide.FeedTable
	// ChangeBound is the time within which a change of the feed must be in force.
	ChangeBound time.Duration
	// RegistryTable is the table of routers.
	RegistryTable amaranthtide.FeedTable
	Feed          amaranthtide.Feed
	Registrar     amaranthtide.Registrar
	Decoder       amaranthtide.RowDecoder
	// Rollouts limits rollouts of services; the zero value turns them off. With them, the states of
	// rollouts are in RolloutTable, and RolloutRecorder writes them.
	Rollouts        decision.Limits
	RolloutTable    amaranthtide.FeedTable
	RolloutRecorder amaranthtide.RolloutRecorder
	// QuarantineStore keeps the quarantines, so that they survive a restart of all routers; nil turns
	// that off.
	QuarantineStore amaranthtide.QuarantineStore
	// StreamStore keeps the versions of streams while a service has servers of several ones; nil lets every
	// server go on with every stream.
	StreamStore amaranthtide.StreamStore
	// NewAttemptSender returns the client that sends requests to backend servers. The client
	// passes the load that servers report about themselves to the observer, and counts the
	// answers that it buffers against the memory.
	NewAttemptSender func(amaranthtide.ServerObserver, *memory.Budget) amaranthtide.AttemptSender
	// ServerProber tells whether a server that broke off an answer has crashed.
	ServerProber amaranthtide.ServerProber
	// LoadShedding enables the admission control of engine services.
	LoadShedding bool
	// MemoryBytes is the memory of the process, of which all that is held for callers and servers
	// may take a part; 0 means no limit.
	MemoryBytes int64
	// MaxConnections is the number of connections of callers; 0 means a share of the descriptors
	// of the process.
	MaxConnections int
	// MetricsListen is the address of the metrics endpoint; the zero value disables it.
	MetricsListen netip.AddrPort
	// DroppedLogLines returns the number of dropped log lines; nil omits the metric.
	DroppedLogLines func() uint64
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(CallerHandlerOptions) http.Handler
	// NewExplainHandler returns the handler of /where on the metrics listener, which tells where a
	// request would go; nil omits it.
	NewExplainHandler func(*declared.Configuration, amaranthtide.Explainer) http.Handler
	Logger            hclog.Logger
}

// CallerHandlerOptions are the dependencies of the handler of callers' requests.
type CallerHandlerOptions struct {
	Configuration *declared.Configuration
	Service       amaranthtide.Service
	// Draining reports whether the router is shutting down.
	Draining func() bool
	// Bodies limits the memory that bodies of requests take.
	Bodies *bodies.Budget
}
