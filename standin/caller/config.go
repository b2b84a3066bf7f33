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
	// DefaultMaxRequests bounds a run.
	DefaultMaxRequests = 1_000_000
)

// Config is what a Load needs.
type Config struct {
	// Routers are the addresses of the routers for callers.
	Routers []netip.AddrPort
	// Random picks routers at random instead of in turn.
	Random bool
	// Dial opens a connection to a router; nil is plain TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Model is named by chat completions, Route by calls of plain services.
	Model      amaranthtide.ModelName
	Route      amaranthtide.RouteName
	Workspaces []Workspace
	// Duration is the time in which requests are begun.
	Duration time.Duration
	// MaxRequests bounds the requests begun.
	MaxRequests int
	// Pause is the mean pause of a caller between two requests.
	Pause time.Duration
	// Timeout bounds a try.
	Timeout time.Duration
	// MinOutput and MaxOutput are the tokens of a turn; one turn in ten is a long one
	// of three times MaxOutput.
	MinOutput, MaxOutput int
	Seed                 uint64
	// Observer knows what the engines ran; it may be nil.
	Observer *observer.Observer
	// Effects returns the number of effects of each key, over all service stand-ins. It
	// is called after the run and may be nil.
	Effects func() map[amaranthtide.IdempotencyKey]int
}

// Workspace is a workspace with its callers.
type Workspace struct {
	Name amaranthtide.WorkspaceName
	// Small marks the workspaces whose waits are compared with those of large ones.
	Small bool
	// Appraisers, Captioners and Cashiers are numbers of concurrent callers.
	Appraisers, Captioners, Cashiers int
}

func (c Config) withDefaults() Config {
	c.MaxRequests = cmp.Or(c.MaxRequests, DefaultMaxRequests)
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.MinOutput = cmp.Or(c.MinOutput, DefaultMinOutput)
	c.MaxOutput = max(cmp.Or(c.MaxOutput, DefaultMaxOutput), c.MinOutput)
	return c
}
