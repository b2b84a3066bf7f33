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

// Options configures a Mesh. A field with its zero value takes the default that its
// comment names.
type Options struct {
	// Listen is the address on which the Mesh accepts connections; the default is
	// 127.0.0.1 with port 0. Port 0 selects a free port.
	Listen netip.AddrPort
	// Advertise is the address that is announced to peers; the default is Mesh.Addr.
	Advertise netip.AddrPort
	// FleetKey is the fleet key. It is required and must have at least MinKeySize bytes.
	FleetKey []byte
	// Owner serves forwarded requests. If nil, they are refused with KindNotOwner.
	Owner amaranthtide.Owner
	// Logger receives the log messages; the default discards them.
	Logger hclog.Logger
	// Dialer opens connections; the default dials TCP.
	Dialer Dialer
	// DialTimeout limits dialling, and the handshake separately; the default is 2 s.
	DialTimeout time.Duration
	// BackoffMin is the backoff after the first failed dial; the default is 50 ms.
	// It doubles with each further failure.
	BackoffMin time.Duration
	// BackoffMax limits the backoff between dials; the default is 2 s.
	BackoffMax time.Duration
	// KeepaliveInterval is the time without a write after which a keepalive frame is
	// sent; the default is 1 s.
	KeepaliveInterval time.Duration
	// PeerTimeout is the time after which a connection is closed if nothing is
	// received or a write makes no progress; the default is three times
	// KeepaliveInterval. It must exceed the KeepaliveInterval of the peers. A pause of
	// this process counts as at most a quarter of it for what is received.
	PeerTimeout time.Duration
	// IdleTimeout is the time without streams and control messages after which a
	// dialled connection is closed; the default is 1 min.
	IdleTimeout time.Duration
	// Window is the number of bytes that owners may send ahead on a stream; the
	// default and the maximum is DefaultWindow.
	Window int
	// SendBuffer limits the bytes that wait to be written on a connection; the
	// default is 1 MiB. Each stream may exceed it by one message, and a second batch
	// of this size can accumulate while one is being written.
	SendBuffer int
	// ControlQueueLen limits the control messages that wait per topic and peer, and
	// per subscription; the default is 64. A full queue drops its oldest message.
	ControlQueueLen int
	// MaxStreams limits the open streams of one peer; the default is 16384. Further
	// ones are refused with KindFull.
	MaxStreams int
}

const (
	// DefaultWindow is the default and the maximum of Options.Window. Owners don't
	// send further ahead than this even if the entry requests a larger window.
	DefaultWindow = 32 << 10
	// MinKeySize is the minimum length of the fleet key in bytes.
	MinKeySize = 16

	// missedKeepalives is the number of keepalive intervals in the default
	// PeerTimeout. With fewer, one late wake-up would close a connection.
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

// setDefault replaces a value that is not positive by the default.
func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}
