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

// linger is how long a finished connection waits for the peer to read the rest.
const linger = 500 * time.Millisecond

// connection is one TCP connection after its handshake. Streams are opened by the
// dialling side only.
type connection struct {
	mesh    *Mesh
	id      uint64
	peer    netip.AddrPort
	dialled bool
	raw     net.Conn
	codec   *frame.Codec
	out     *outbox

	closeOnce sync.Once
	reason    error
	closing   chan struct{}
	// done is closed when both loops have ended and all streams have been failed.
	done chan struct{}
	// writerDone is closed when the write loop has ended.
	writerDone chan struct{}
	// live is set after the handshake, finishing when the read deadline must no
	// longer be extended.
	live      atomic.Bool
	finishing atomic.Bool
	counters  *counters

	// outgoing holds the streams opened here, on a dialled connection.
	outgoing *shard.Map[uint64, *outgoing]
	// incoming holds the streams being served, on an accepted connection.
	incoming *shard.Map[uint64, *incoming]

	// mu guards the opening and taking of streams.
	mu sync.Mutex
	// lastStream is the last stream opened or taken.
	lastStream uint64
	// streams counts the streams in incoming.
	streams int
	// sealed is set once no stream may be opened or taken.
	sealed bool
}

func newConnection(m *Mesh, raw net.Conn) *connection {
	c := &connection{
		mesh: m, id: m.lastID.Add(1), raw: raw,
		closing: make(chan struct{}), done: make(chan struct{}), writerDone: make(chan struct{}),
		outgoing: shard.New[uint64, *outgoing](), incoming: shard.New[uint64, *incoming](),
		counters: &counters{},
	}
	c.codec = frame.NewCodec(&deadlineReader{c})
	c.codec.SetLimit(message.MaxHandshake)
	c.out = &outbox{
		raw: raw, limit: m.opts.SendBuffer, keepalive: m.opts.Keepalive, silence: m.opts.Silence,
		counters: c.counters, closing: c.closing, wake: make(chan struct{}, 1),
	}
	return c
}

// ready ends the handshake and makes the connection known to Close.
func (c *connection) ready() error {
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	c.codec.SetLimit(frame.MaxSize)
	c.live.Store(true)
	c.mesh.connections.Set(c.id, c)
	if c.mesh.ctx.Err() != nil {
		c.mesh.connections.Delete(c.id)
		return errClosed
	}
	return nil
}

// deadlineReader reads from a connection and gives up after the silence time. The
// handshake has a deadline of its own.
type deadlineReader struct{ c *connection }

func (r *deadlineReader) Read(b []byte) (int, error) {
	c := r.c
	if c.live.Load() && !c.finishing.Load() {
		if err := c.raw.SetReadDeadline(time.Now().Add(c.mesh.opts.Silence)); err != nil {
			return 0, err
		}
		if c.finishing.Load() {
			// finish has set its deadline meanwhile, which was then overwritten.
			_ = c.raw.SetReadDeadline(time.Now().Add(linger))
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
		close(c.closing)
		_ = c.raw.Close()
	})
}

// broken reports whether close was called.
func (c *connection) broken() bool {
	select {
	case <-c.closing:
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
	go c.loop()
	c.close(c.read())
	<-c.writerDone
	c.endStreams()
	c.mesh.retire(c)
	log.Info("connection closed", "reason", c.reason)
	close(c.done)
	return c.reason
}

// loop writes until the connection breaks or is finished.
func (c *connection) loop() {
	defer close(c.writerDone)
	if err := c.out.loop(); err != nil {
		c.close(fmt.Errorf("write: %w", err))
		return
	}
	c.finishing.Store(true)
	_ = c.raw.SetReadDeadline(time.Now().Add(linger))
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		return
	}
	c.close(errFinished)
}

// finish ends an accepted connection in order: no more streams are taken, the
// peer is told the last one, and what is pending is written before the end. The
// peer closes the connection once it has read everything. Closing with unread
// input would instead reset it, and the peer could lose the last answers.
func (c *connection) finish() {
	c.mu.Lock()
	c.sealed = true
	c.out.append(frame.Frame{Stream: c.lastStream, Type: frame.Leaving})
	c.mu.Unlock()
	c.out.finish()
}

// read handles frames until the connection breaks. It never waits for a stream.
func (c *connection) read() error {
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
			c.handleRequest(f)
			return nil
		}
	case frame.Head, frame.Chunk, frame.End, frame.Leaving:
		if c.dialled {
			c.countReceived(f)
			c.handleAnswer(f)
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
	c.sealed = true
	c.mu.Unlock()
	for _, s := range values(c.outgoing) {
		c.outgoing.Delete(s.id)
		s.end(c.brokenError(s))
	}
	for _, in := range values(c.incoming) {
		c.incoming.Delete(in.id)
		in.detach()
	}
}

// brokenError tells what a break of the connection means for a stream. A forward
// that was not written as a whole can't have been read by the peer.
func (c *connection) brokenError(s *outgoing) error {
	if !c.out.sent(s.position) {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "connection to router %s broke before the request was sent: %w", c.peer, c.reason)
	}
	kind := amaranthtide.KindOutcomeUnknown
	if s.repeatable {
		kind = amaranthtide.KindBackendFailed
	}
	return amaranthtide.Errorf(kind, "connection to router %s broke: %w", c.peer, c.reason)
}

func values[V any](m *shard.Map[uint64, V]) []V {
	var all []V
	m.Range(func(_ uint64, v V) bool {
		all = append(all, v)
		return true
	})
	return all
}
