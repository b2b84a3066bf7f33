package mesh

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
)

// Dialer opens a connection to a router. It must return when ctx is done.
type Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Options are the settings of a Mesh. Zero values of the fields mean the
// defaults that are given with each.
type Options struct {
	// Listen is where the Mesh accepts connections. The zero value is a free port
	// of 127.0.0.1. Port 0 is a free port.
	Listen netip.AddrPort
	// Advertise is the address that peers are told. The zero value is Mesh.Addr.
	Advertise netip.AddrPort
	// Key is the fleet key. It must have at least MinKeySize bytes.
	Key []byte
	// Owner serves forwarded requests. Without one they are refused as KindNotOwner.
	Owner amaranthtide.Owner
	// Logger gets the opening and closing of connections; nil discards them.
	Logger hclog.Logger
	// Dialer opens connections; nil is TCP.
	Dialer Dialer
	// DialTimeout bounds dialling, and then the handshake; 0 is 2 s.
	DialTimeout time.Duration
	// BackoffMin is the wait after a first failed dial; 0 is 50 ms. The wait
	// doubles with each further failure.
	BackoffMin time.Duration
	// BackoffMax is the longest wait between dials; 0 is 2 s.
	BackoffMax time.Duration
	// KeepaliveInterval is the time without a write after which a keepalive frame is sent;
	// 0 is 1 s.
	KeepaliveInterval time.Duration
	// PeerTimeout is the time without a read, or with a write that makes no headway,
	// after which a connection is given up; 0 is three times KeepaliveInterval. It must
	// exceed the KeepaliveInterval of the peers.
	PeerTimeout time.Duration
	// IdleTimeout is the time without streams and control messages after which a dialled
	// connection is closed; 0 is 1 min.
	IdleTimeout time.Duration
	// Window is the number of bytes that owners may send ahead on a stream; at most
	// DefaultWindow, which 0 stands for.
	Window int
	// SendBuffer bounds the bytes that wait to be written on a connection; 0 is
	// 1 MiB. One more message per stream may exceed it, and while one batch is
	// being written the next one gathers.
	SendBuffer int
	// ControlQueueLen bounds the control messages that wait per topic and peer, and per
	// subscription; 0 is 64. The oldest is dropped.
	ControlQueueLen int
	// MaxStreams bounds the streams that one peer may have open; 0 is 16384.
	// Further ones are refused as KindFull.
	MaxStreams int
}

const (
	// DefaultWindow is the default and the greatest value of Options.Window. Owners
	// send no further ahead than this, whatever the entry asks for.
	DefaultWindow = 32 << 10
	// MinKeySize is the shortest fleet key in bytes.
	MinKeySize = 16

	// missedKeepalives is how many keepalive intervals may pass in silence by
	// default; fewer would give up connections over one late wake-up.
	missedKeepalives = 3
)

func (o Options) withDefaults() Options {
	if !o.Listen.IsValid() {
		o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Dialer == nil {
		o.Dialer = dialTCP
	}
	setDefault(&o.DialTimeout, 2*time.Second)
	setDefault(&o.BackoffMin, 50*time.Millisecond)
	setDefault(&o.BackoffMax, 2*time.Second)
	setDefault(&o.KeepaliveInterval, time.Second)
	setDefault(&o.PeerTimeout, missedKeepalives*o.KeepaliveInterval)
	setDefault(&o.IdleTimeout, time.Minute)
	setDefault(&o.Window, DefaultWindow)
	o.Window = min(o.Window, DefaultWindow)
	setDefault(&o.SendBuffer, 1<<20)
	setDefault(&o.ControlQueueLen, 64)
	setDefault(&o.MaxStreams, 1<<14)
	return o
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}
