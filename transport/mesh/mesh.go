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

// maxHandshakes limits the accepted connections that have not proved the fleet key
// yet, so that unauthenticated peers can't exhaust memory and file descriptors.
const maxHandshakes = 256

// Mesh connects this router to others. It is safe for concurrent use. Create one
// with New.
type Mesh struct {
	opts     Options
	listener net.Listener
	addr     netip.AddrPort
	owner    amaranthtide.Owner

	// ctx is canceled when the Mesh is closed.
	ctx    context.Context
	cancel context.CancelFunc

	links       *shard.Map[netip.AddrPort, *link]
	connections *shard.Map[uint64, *connection]
	lastID      atomic.Uint64
	peers       *shard.Map[string, []netip.AddrPort]
	subscribers *shard.Map[string, []*subscription]
	topics      *shard.Map[string, *topicCounters]

	// handshakeSlots holds a token for each running handshake of an accepted connection.
	handshakeSlots  chan struct{}
	shuttingDown    atomic.Bool
	streamsInFlight streamCounter

	// statsMu guards closedStats. It also makes the removal of a connection atomic
	// for Stats, which would otherwise count the connection twice.
	statsMu     sync.Mutex
	closedStats Stats

	mu     sync.Mutex
	closed bool
	// drained is set once Shutdown has returned nil.
	drained bool
	wg      sync.WaitGroup
}

// New returns a Mesh that accepts connections on Options.Listen. The caller must close
// it.
func New(opts Options) (*Mesh, error) {
	if len(opts.FleetKey) < MinKeySize {
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "fleet key has %d bytes, want at least %d", len(opts.FleetKey), MinKeySize)
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
	go m.run()
	return m, nil
}

// Addr returns the address on which the Mesh listens.
func (m *Mesh) Addr() netip.AddrPort { return m.addr }

// run accepts connections until the listener is closed.
func (m *Mesh) run() {
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
			m.opts.Logger.Warn("connection rejected", "remote", raw.RemoteAddr(), "reason", "too many handshakes")
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

// Shutdown refuses new forwards from peers with KindShuttingDown and waits until
// all streams of both directions have ended. If ctx ends first, it returns the
// error of ctx. The last answers may still be queued; Close writes them. This router
// can still forward requests, since its own requests in flight may need that.
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

// Close closes all connections, cancels the requests being served, including those
// that are not repeatable, and waits for all goroutines. Call Shutdown first to let
// the requests finish. After a Shutdown that returned nil, Close writes the queued
// frames and waits for the peers to read them, for at most Options.PeerTimeout plus
// half a second. Further calls only wait.
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
	// Connections are closed before the requests are canceled: the entry must see a
	// lost connection, which leaves the outcome unknown, and not the cancellation.
	m.closeConnections()
	m.cancel()
	err := m.listener.Close()
	// Closes connections whose handshake ended in the meantime. finishHandshake
	// rejects later ones because ctx is canceled.
	m.closeConnections()
	m.wg.Wait()
	return err
}

func (m *Mesh) closeConnections() {
	for _, c := range m.allConnections() {
		c.close(errMeshClosed)
	}
}

// finishConnections closes the accepted connections gracefully and waits until they
// have ended. Each ends within lingerTimeout of its last write.
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

// trackGoroutine registers a goroutine that Close waits for and that must call
// wg.Done. It returns false once the Mesh is closed.
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

// noOwner refuses all requests. It is used if Options.Owner is nil.
type noOwner struct{}

func (noOwner) Serve(context.Context, amaranthtide.BackendServerName, *amaranthtide.Request, amaranthtide.AnswerWriter) error {
	return amaranthtide.Errorf(amaranthtide.KindNotOwner, "this router owns no backend servers")
}
