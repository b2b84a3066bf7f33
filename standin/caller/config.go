package caller

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"amaranthtide"
	"amaranthtide/standin/observer"
)

// Defaults of Config.
const (
	DefaultPause     = time.Second
	DefaultTimeout   = 30 * time.Second
	DefaultMinOutput = 24
	DefaultMaxOutput = 64
	// DefaultMaxRequests bounds the number of requests of a run.
	DefaultMaxRequests = 1_000_000
)

// Config configures a Load.
type Config struct {
	// Routers are the addresses on which the routers accept callers.
	Routers []netip.AddrPort
	// Random selects routers at random instead of round robin.
	Random bool
	// Dial opens a connection to a router; nil selects plain TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Model is the model of chat completions, Route the route of calls to plain services.
	Model      amaranthtide.ModelName
	Route      amaranthtide.RouteName
	Workspaces []Workspace
	// Duration is how long new requests are started.
	Duration time.Duration
	// MaxRequests bounds the number of requests started.
	MaxRequests int
	// Pause is the mean pause of a caller between two requests.
	Pause time.Duration
	// Timeout is the deadline of one try, sent to the router.
	Timeout time.Duration
	// MinOutput and MaxOutput bound the output tokens of a turn. One turn in ten is
	// longer and has three times MaxOutput.
	MinOutput, MaxOutput int
	Seed                 uint64
	// Observer records which requests the engines ran; it may be nil.
	Observer *observer.Observer
	// Effects returns the number of effects of each idempotency key, summed over all
	// simulated services. It is called after the run and may be nil.
	Effects func() map[amaranthtide.IdempotencyKey]int
}

// Workspace configures the callers of one workspace.
type Workspace struct {
	Name amaranthtide.WorkspaceName
	// Small includes the workspace in Result.SmallFirstToken.
	Small bool
	// ChatCallers, QuickCallers and ServiceCallers are numbers of concurrent callers.
	ChatCallers, QuickCallers, ServiceCallers int
}

func (c Config) withDefaults() Config {
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.MinOutput = cmp.Or(c.MinOutput, DefaultMinOutput)
	c.MaxOutput = max(cmp.Or(c.MaxOutput, DefaultMaxOutput), c.MinOutput)
	return c
}
