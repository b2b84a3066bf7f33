package mesh

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/state/shard"
)

var (
	errMeshClosed     = errors.New("mesh is closed")
	errIdleConnection = errors.New("connection is idle")
	errShuttingDown   = errors.New("router is shutting down")
)

// maxHandshakes bounds the accepted connections that have not proved the fleet
// key, so that strangers can't use up memory and file descriptors.
const maxHandshakes = 256

// Mesh connects this router with others. It is concurrent-safe. Use New.
type Mesh struct {
	opts     Options
	listener net.Listener
	addr     netip.AddrPort
	owner    amaranthtide.Owner

	// ctx ends when the Mesh is closed.
	ctx    context.Context
	cancel context.CancelFunc

	links       *shard.Map[netip.AddrPort, *link]
	connections *shard.Map[uint64, *connection]
	lastID      atomic.Uint64
	peers       *shard.Map[string, []netip.AddrPort]
	subscribers *shard.Map[string, []*subscription]
	topics      *shard.Map[string, *topicCounters]

	handshakeSlots  chan struct{}
	shuttingDown    atomic.Bool
	streamsInFlight streamCounter

	// statsMu keeps Stats from counting a connection twice that is being retired.
	statsMu     sync.Mutex
	closedStats Stats

	mu      sync.Mutex
	closed  bool
	drained bool
	wg      sync.WaitGroup
}

// New returns a Mesh that listens. Close it after use.
func New(opts Options) (*Mesh, error) {
	if len(opts.Key) < MinKeySize {
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "fleet key has %d bytes, want at least %d", len(opts.Key), MinKeySize)
	}
	opts = opts.withDefaults()
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		opts: opts, listener: l, addr: l.Addr().(*net.TCPAddr).AddrPort(), owner: opts.Owner,
		links:          shard.New[netip.AddrPort, *link](),
		connections:    shard.New[uint64, *connection](),
		peers:          shard.New[string, []netip.AddrPort](),
		subscribers:    shard.New[string, []*subscription](),
		topics:         shard.New[string, *topicCounters](),
		handshakeSlots: make(chan struct{}, maxHandshakes),
	}
	if m.owner == nil {
		m.owner = noOwner{}
	}
	if !m.opts.Advertise.IsValid() {
		m.opts.Advertise = m.addr
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Add(1)
	go m.acceptLoop()
	return m, nil
}

// Addr returns the address on which the Mesh listens.
func (m *Mesh) Addr() netip.AddrPort { return m.addr }

// acceptLoop accepts connections until the listener is closed.
func (m *Mesh) acceptLoop() {
	defer m.wg.Done()
	for {
		raw, err := m.listener.Accept()
		if m.ctx.Err() != nil {
			if err == nil {
				_ = raw.Close()
			}
			return
		}
		if err != nil {
			m.opts.Logger.Warn("accept failed", "error", err)
			if !m.waitToRetryAccept() {
				return
			}
			continue
		}
		select {
		case m.handshakeSlots <- struct{}{}:
		default:
			m.opts.Logger.Warn("connection refused", "remote", raw.RemoteAddr(), "reason", "too many handshakes")
			_ = raw.Close()
			continue
		}
		if !m.trackGoroutine() {
			_ = raw.Close()
			return
		}
		go (&pendingConn{m, raw}).run()
	}
}

// Shutdown refuses new forwards from peers as KindShuttingDown and waits until
// all streams in flight, of both directions, have ended. It returns the error of
// ctx if that ends first. The last answers may still be queued; Close writes them.
// Own forwards are still sent, since requests in flight at this entry may need them.
func (m *Mesh) Shutdown(ctx context.Context) error {
	m.shuttingDown.Store(true)
	if err := m.streamsInFlight.wait(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drained = true
	return nil
}

// Close closes all connections, cancels the requests that are being served, also
// those that may not be repeated, and waits for all goroutines. Call Shutdown
// first to let the requests end. After a Shutdown that returned nil, Close writes
// what is queued and waits for the peers to read it, for at most Options.PeerTimeout
// and half a second. A second Close does nothing but wait.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		m.wg.Wait()
		return nil
	}
	m.closed = true
	drained := m.drained
	m.mu.Unlock()

	if drained {
		m.finishConnections()
	}
	// Connections go before the requests: an entry must see a break, whose outcome
	// is unknown, and not the cancellation that follows here.
	m.closeConnections()
	m.cancel()
	err := m.listener.Close()
	// Handshakes that ended meanwhile; ready sees the end of ctx in later ones.
	m.closeConnections()
	m.wg.Wait()
	return err
}

func (m *Mesh) closeConnections() {
	for _, c := range m.allConnections() {
		c.close(errMeshClosed)
	}
}

// finishConnections ends the accepted connections in order and waits for them.
// Each ends within the linger time.
func (m *Mesh) finishConnections() {
	var accepted []*connection
	for _, c := range m.allConnections() {
		if !c.dialled {
			accepted = append(accepted, c)
			c.closeGracefully()
		}
	}
	for _, c := range accepted {
		<-c.done
	}
}

// trackGoroutine counts a goroutine that Close waits for. It returns false once the Mesh
// is closed. The goroutine must call wg.Done.
func (m *Mesh) trackGoroutine() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Add(1)
	return true
}

func (m *Mesh) allConnections() []*connection {
	var all []*connection
	m.connections.Range(func(_ uint64, c *connection) bool {
		all = append(all, c)
		return true
	})
	return all
}

type noOwner struct{}

func (noOwner) Serve(context.Context, amaranthtide.BackendServerName, *amaranthtide.Request, amaranthtide.AnswerWriter) error {
	return amaranthtide.Errorf(amaranthtide.KindNotOwner, "this router owns no backend servers")
}
