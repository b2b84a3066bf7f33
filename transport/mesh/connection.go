package mesh

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/state/shard"
)

// lingerTimeout is how long a gracefully closed connection waits for the peer to read
// the remaining bytes and to close its end.
const lingerTimeout = 500 * time.Millisecond

// connection is a TCP connection to a peer. Only the dialling side opens streams.
type connection struct {
	mesh    *Mesh
	id      uint64
	peer    netip.AddrPort
	dialled bool
	raw     net.Conn
	codec   *frame.Reader
	writer  *frameWriter

	closeOnce sync.Once
	reason    error
	// closed is closed by close.
	closed chan struct{}
	// done is closed when both loops have ended and the streams are failed or detached.
	done chan struct{}
	// writerDone is closed when the write loop has ended.
	writerDone chan struct{}
	// established is set after the handshake. lingering is set once the read deadline
	// must no longer be extended.
	established atomic.Bool
	lingering   atomic.Bool
	counters    *counters

	// outgoing holds the streams that this router opened, on a dialled connection.
	outgoing *shard.Map[uint64, *outgoingStream]
	// incoming holds the streams that this router serves, on an accepted connection.
	incoming *shard.Map[uint64, *incomingStream]

	// mu guards the opening and accepting of streams.
	mu sync.Mutex
	// lastStream is the highest stream opened or accepted.
	lastStream uint64
	// streams counts the streams in incoming.
	streams int
	// noNewStreams is set once no more streams may be opened or accepted.
	noNewStreams bool
}

func newConnection(m *Mesh, raw net.Conn) *connection {
	c := &connection{
		mesh: m, id: m.lastID.Add(1), raw: raw,
		closed: make(chan struct{}), done: make(chan struct{}), writerDone: make(chan struct{}),
		outgoing: shard.New[uint64, *outgoingStream](), incoming: shard.New[uint64, *incomingStream](),
		counters: &counters{},
	}
	c.codec = frame.NewReader(&deadlineReader{c})
	c.codec.SetLimit(message.MaxHandshakeFrame)
	c.writer = &frameWriter{
		raw: raw, maxPending: m.opts.SendBuffer, keepaliveInterval: m.opts.KeepaliveInterval, writeTimeout: m.opts.PeerTimeout,
		counters: c.counters, closed: c.closed, wake: make(chan struct{}, 1),
	}
	return c
}

// finishHandshake lifts the limits of the handshake and registers the connection
// with the Mesh.
func (c *connection) finishHandshake() error {
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	c.codec.SetLimit(frame.MaxSize)
	c.established.Store(true)
	c.mesh.connections.Set(c.id, c)
	if c.mesh.ctx.Err() != nil {
		c.mesh.connections.Delete(c.id)
		return errMeshClosed
	}
	return nil
}

// readSteps is the number of parts of Options.PeerTimeout. After each of them, the
// connection is read again: in a process that is short of processor time, a deadline expires
// before the goroutine that reads has run, although the peer has sent. A part that ends late
// counts once.
const readSteps = 4

// deadlineReader reads from a connection. A read fails if nothing arrives within
// Options.PeerTimeout. During the handshake, limitHandshake sets the deadline instead.
type deadlineReader struct{ c *connection }

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	c := r.c
	for step := 1; ; step++ {
		if err := c.extendReadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(b)
		c.counters.bytesReceived.Add(uint64(n))
		if step == readSteps || n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasPeerTimeout() {
			return n, err
		}
		runtime.Gosched() // after the goroutines that were ready before
	}
}

// extendReadDeadline sets the deadline of the next step of a read.
func (c *connection) extendReadDeadline() error {
	if !c.hasPeerTimeout() {
		return nil
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(c.mesh.opts.PeerTimeout / readSteps)); err != nil {
		return err
	}
	if c.lingering.Load() {
		// writeLoop set the linger deadline in between, and the call above replaced it.
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return nil
}

// hasPeerTimeout reports whether Options.PeerTimeout limits the reads.
func (c *connection) hasPeerTimeout() bool { return c.established.Load() && !c.lingering.Load() }

// close closes the connection. Only the reason of the first call is kept.
func (c *connection) close(reason error) {
	c.closeOnce.Do(func() {
		c.reason = reason
		close(c.closed)
		_ = c.raw.Close()
	})
}

// isClosed reports whether close was called.
func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// run serves the connection until it is closed and ends all its streams. It returns
// the reason why the connection was closed.
func (c *connection) run() error {
	log := c.mesh.opts.Logger.With("peer", c.peer, "dialled", c.dialled)
	log.Info("connection opened")
	go c.loop()
	c.close(c.readLoop())
	<-c.writerDone
	c.endStreams()
	c.mesh.removeConnection(c)
	log.Info("connection closed", "reason", c.reason)
	close(c.done)
	return c.reason
}

// loop writes queued frames until the connection is closed. After a graceful
// close it shuts down the write side only.
func (c *connection) loop() {
	defer close(c.writerDone)
	if err := c.writer.run(); err != nil {
		c.close(fmt.Errorf("write: %w", err))
		return
	}
	c.lingering.Store(true)
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	if halfCloser, ok := c.raw.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		return
	}
	c.close(errShuttingDown)
}

// closeGracefully closes an accepted connection after the pending frames are
// written. It accepts no more streams and sends the peer the last accepted one. The
// peer closes the connection once it has read everything. Closing it here with
// unread input would reset it, and the peer could lose the last answers.
func (c *connection) closeGracefully() {
	c.mu.Lock()
	c.noNewStreams = true
	c.writer.append(frame.Frame{Stream: c.lastStream, Type: frame.Leaving})
	c.mu.Unlock()
	c.writer.finish()
}

// readLoop handles frames until the connection is closed. It never blocks on a stream.
func (c *connection) readLoop() error {
	for {
		f, err := c.codec.Next()
		if err != nil {
			return err
		}
		if err := c.handle(f); err != nil {
			return err
		}
	}
}

// handle processes a frame. A known frame type that is not allowed in this direction is
// an error, which closes the connection.
func (c *connection) handle(f frame.Frame) error {
	switch f.Type {
	case frame.Keepalive:
		return nil
	case frame.Control:
		if !c.dialled {
			c.mesh.deliver(c, f)
			return nil
		}
	case frame.Forward, frame.Window, frame.Cancel:
		if !c.dialled {
			c.countReceived(f)
			c.handleRequestFrame(f)
			return nil
		}
	case frame.Head, frame.Chunk, frame.End, frame.Leaving:
		if c.dialled {
			c.countReceived(f)
			c.handleAnswerFrame(f)
			return nil
		}
	default:
		// Unknown types are ignored, since later protocol versions may add some.
		return nil
	}
	return fmt.Errorf("%s frame is not allowed in this direction", f.Type)
}

func (c *connection) countReceived(f frame.Frame) {
	c.counters.forwardFramesReceived.Add(1)
	c.counters.forwardBytesReceived.Add(uint64(f.Size()))
}

// endStreams fails the outgoing streams and detaches the incoming ones. It must run
// after the write loop has ended, when the number of written bytes is final.
func (c *connection) endStreams() {
	c.mu.Lock()
	c.noNewStreams = true
	c.mu.Unlock()
	for _, s := range mapValues(c.outgoing) {
		c.outgoing.Delete(s.id)
		s.end(c.connectionLostError(s))
	}
	for _, in := range mapValues(c.incoming) {
		c.incoming.Delete(in.id)
		in.detach()
	}
}

// connectionLostError returns the error of a stream whose connection was closed. The
// peer can't have run a request whose forward frame was not written completely.
func (c *connection) connectionLostError(s *outgoingStream) error {
	if !c.writer.isWritten(s.forwardEnd) {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "connection to router %s was lost before the request was sent: %w", c.peer, c.reason)
	}
	kind := amaranthtide.KindOutcomeUnknown
	if s.repeatable {
		kind = amaranthtide.KindBackendFailed
	}
	return amaranthtide.Errorf(kind, "connection to router %s was lost: %w", c.peer, c.reason)
}

func mapValues[V any](m *shard.Map[uint64, V]) []V {
	var all []V
	m.Range(func(_ uint64, v V) bool {
		all = append(all, v)
		return true
	})
	return all
}
