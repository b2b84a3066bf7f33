package mesh

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/state/shard"
)

// lingerTimeout is how long a finished connection waits for the peer to read the rest.
const lingerTimeout = 500 * time.Millisecond

// connection is one TCP connection after its handshake. Streams are opened by the
// dialling side only.
type connection struct {
	mesh    *Mesh
	id      uint64
	peer    netip.AddrPort
	dialled bool
	raw     net.Conn
	codec   *frame.Codec
	writer  *frameWriter

	closeOnce sync.Once
	reason    error
	closed    chan struct{}
	// done is closed when both loops have ended and all streams have been failed.
	done chan struct{}
	// writerDone is closed when the write loop has ended.
	writerDone chan struct{}
	// established is set after the handshake, finishing when the read deadline must no
	// longer be extended.
	established atomic.Bool
	lingering   atomic.Bool
	counters    *counters

	// outgoing holds the streams opened here, on a dialled connection.
	outgoing *shard.Map[uint64, *outgoingStream]
	// incoming holds the streams being served, on an accepted connection.
	incoming *shard.Map[uint64, *incomingStream]

	// mu guards the opening and taking of streams.
	mu sync.Mutex
	// lastStream is the last stream opened or taken.
	lastStream uint64
	// streams counts the streams in incoming.
	streams int
	// noNewStreams is set once no stream may be opened or taken.
	noNewStreams bool
}

func newConnection(m *Mesh, raw net.Conn) *connection {
	c := &connection{
		mesh: m, id: m.lastID.Add(1), raw: raw,
		closed: make(chan struct{}), done: make(chan struct{}), writerDone: make(chan struct{}),
		outgoing: shard.New[uint64, *outgoingStream](), incoming: shard.New[uint64, *incomingStream](),
		counters: &counters{},
	}
	c.codec = frame.NewCodec(&deadlineReader{c})
	c.codec.SetLimit(message.MaxHandshake)
	c.writer = &frameWriter{
		raw: raw, maxPending: m.opts.SendBuffer, keepaliveInterval: m.opts.KeepaliveInterval, writeTimeout: m.opts.PeerTimeout,
		counters: c.counters, closed: c.closed, wake: make(chan struct{}, 1),
	}
	return c
}

// finishHandshake ends the handshake and makes the connection known to Close.
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

// deadlineReader reads from a connection and gives up after the silence time. The
// handshake has a deadline of its own.
type deadlineReader struct{ c *connection }

func (r *deadlineReader) Read(b []byte) (int, error) {
	c := r.c
	if c.established.Load() && !c.lingering.Load() {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.mesh.opts.PeerTimeout)); err != nil {
			return 0, err
		}
		if c.lingering.Load() {
			// finish has set its deadline meanwhile, which was then overwritten.
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		}
	}
	n, err := c.raw.Read(b)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

// close breaks the connection. The first reason is kept.
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

// run reads until the connection breaks, then ends all its streams. It returns
// why the connection ended.
func (c *connection) run() error {
	log := c.mesh.opts.Logger.With("peer", c.peer, "dialled", c.dialled)
	log.Info("connection opened")
	go c.writeLoop()
	c.close(c.readLoop())
	<-c.writerDone
	c.endStreams()
	c.mesh.removeConnection(c)
	log.Info("connection closed", "reason", c.reason)
	close(c.done)
	return c.reason
}

// writeLoop writes until the connection breaks or is finished.
func (c *connection) writeLoop() {
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

// closeGracefully ends an accepted connection in order: no more streams are taken, the
// peer is told the last one, and what is pending is written before the end. The
// peer closes the connection once it has read everything. Closing with unread
// input would instead reset it, and the peer could lose the last answers.
func (c *connection) closeGracefully() {
	c.mu.Lock()
	c.noNewStreams = true
	c.writer.append(frame.Frame{Stream: c.lastStream, Type: frame.Leaving})
	c.mu.Unlock()
	c.writer.finish()
}

// readLoop handles frames until the connection breaks. It never waits for a stream.
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
		// A later version of the protocol may have more types.
		return nil
	}
	return fmt.Errorf("%s frame from the wrong side", f.Type)
}

func (c *connection) countReceived(f frame.Frame) {
	c.counters.forwardFramesReceived.Add(1)
	c.counters.forwardBytesReceived.Add(uint64(f.Size()))
}

// endStreams fails the streams opened here and detaches those served here. It
// runs after the write loop has ended, so that it is known what was written.
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

// connectionLostError tells what a break of the connection means for a stream. A forward
// that was not written as a whole can't have been read by the peer.
func (c *connection) connectionLostError(s *outgoingStream) error {
	if !c.writer.isWritten(s.forwardEnd) {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "connection to router %s broke before the request was sent: %w", c.peer, c.reason)
	}
	kind := amaranthtide.KindOutcomeUnknown
	if s.repeatable {
		kind = amaranthtide.KindBackendFailed
	}
	return amaranthtide.Errorf(kind, "connection to router %s broke: %w", c.peer, c.reason)
}

func mapValues[V any](m *shard.Map[uint64, V]) []V {
	var all []V
	m.Range(func(_ uint64, v V) bool {
		all = append(all, v)
		return true
	})
	return all
}
