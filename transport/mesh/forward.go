package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
)

// Forward implements amaranthtide.Forwarder. It returns nil only after a clean
// end of an answer whose bytes have all been passed to w. KindNoBackend,
// KindDeadlineUnmet and KindShuttingDown mean that the request was not run. A
// connection that breaks after the request was sent gives KindBackendFailed for a
// repeatable request and KindOutcomeUnknown for others. When ctx ends after that,
// the owner is told to cancel; the result is KindCanceled, or KindOutcomeUnknown
// if the deadline of ctx has passed.
func (m *Mesh) Forward(ctx context.Context, addr netip.AddrPort, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	m.flights.add()
	defer m.flights.done()
	payload, err := message.Append(nil, message.NewForward(time.Now(), server, req, m.opts.Window))
	if err != nil {
		return err
	}
	s := &outgoing{
		attempt: req.Attempt, repeatable: req.Repeatable(), window: m.opts.Window,
		signal: make(chan struct{}, 1),
	}
	if err := m.openStream(ctx, addr, s, payload); err != nil {
		return err
	}
	return s.receive(ctx, w)
}

// openStream sends a forward. Errors mean that nothing was sent.
func (m *Mesh) openStream(ctx context.Context, addr netip.AddrPort, s *outgoing, payload []byte) error {
	// A connection may break between connect and open; the second one is fresh.
	const tries = 2
	for range tries {
		if ctx.Err() != nil {
			return notSentError(ctx)
		}
		c, err := m.connect(ctx, addr)
		if err != nil {
			return err
		}
		if err := c.out.room(ctx); err != nil {
			return notSentError(ctx)
		}
		if c.open(s, payload) {
			return nil
		}
	}
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s takes no streams", addr)
}

// outgoing is a stream opened here: a request that a peer serves.
type outgoing struct {
	conn       *connection
	id         uint64
	attempt    amaranthtide.AttemptID
	repeatable bool
	window     int
	// position is where the forward frame ends in the bytes of the connection.
	position uint64
	// signal holds a token while there is something to receive.
	signal chan struct{}

	mu   sync.Mutex
	head *amaranthtide.AnswerHead
	// began is set once there was a head.
	began bool
	// buf holds what has been received and not been taken.
	buf []byte
	// received and consumed count the bytes that came and that w has taken.
	received uint64
	consumed uint64
	ended    bool
	err      error
}

// open registers the stream and queues its forward. It returns false if the
// connection takes no more streams.
func (c *connection) open(s *outgoing, payload []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.lastStream++
	s.conn, s.id = c, c.lastStream
	// The answer may come before append returns its position; only endStreams
	// reads the position, and it waits for mu first.
	c.outgoing.Set(s.id, s)
	s.position = c.out.append(frame.Frame{Stream: s.id, Type: frame.Forward, Payload: payload})
	return true
}

// handleAnswer passes a frame to its stream. Frames of streams that have ended
// are dropped.
func (c *connection) handleAnswer(f frame.Frame) {
	if f.Type == frame.Leaving {
		c.peerLeaving(f.Stream)
		return
	}
	s, ok := c.outgoing.Get(f.Stream)
	if !ok {
		c.counters.late.Add(1)
		return
	}
	var last bool
	var err error
	switch f.Type {
	case frame.Head:
		err = s.takeHead(f.Payload)
	case frame.Chunk:
		err = s.takeChunk(f.Payload)
	case frame.End:
		last, err = true, s.takeEnd(f.Payload)
	}
	if err != nil && !last {
		c.out.append(frame.Frame{Stream: s.id, Type: frame.Cancel, Payload: cancelPayload})
	}
	if last || err != nil {
		c.outgoing.Delete(s.id)
		s.end(err)
	}
}

// peerLeaving fails the streams after last, which the peer has not taken and
// will not take.
func (c *connection) peerLeaving(last uint64) {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	for _, s := range values(c.outgoing) {
		if s.id > last && c.outgoing.Delete(s.id) {
			s.end(amaranthtide.Errorf(amaranthtide.KindShuttingDown, "router %s is shutting down", c.peer))
		}
	}
}

func internalError(format string, args ...any) error {
	return amaranthtide.Errorf(amaranthtide.KindInternal, format, args...)
}

// takeHead keeps the head. The head of another attempt is an error.
func (s *outgoing) takeHead(payload []byte) error {
	var m message.Head
	if err := message.Decode(payload, &m); err != nil {
		return internalError("answer head: %v", err)
	}
	head := m.Root()
	if head.Attempt != s.attempt {
		return internalError("answer is for attempt %q, want %q", head.Attempt, s.attempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began {
		s.conn.counters.late.Add(1)
		return nil
	}
	s.began, s.head = true, &head
	s.notify()
	return nil
}

// takeChunk appends to the buffer. A chunk that was seen before is dropped; a
// gap and a chunk beyond the window are errors.
func (s *outgoing) takeChunk(payload []byte) error {
	offset, data, err := message.DecodeChunk(payload)
	if err != nil {
		return internalError("answer chunk: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.began:
		return internalError("answer has a chunk before its head")
	case offset < s.received && offset+uint64(len(data)) <= s.received:
		s.conn.counters.late.Add(1)
		return nil
	case offset != s.received:
		return internalError("answer chunk at offset %d, want %d", offset, s.received)
	case s.received+uint64(len(data))-s.consumed > uint64(s.window):
		return internalError("answer exceeds its window of %d bytes", s.window)
	}
	s.received += uint64(len(data))
	s.buf = append(s.grow(len(data)), data...)
	s.notify()
	return nil
}

// minStreamBuffer holds a few small chunks.
const minStreamBuffer = 256

// grow returns the buffer with room for n more bytes. It doubles, but never beyond
// the window, which append would exceed by a quarter. The caller holds mu and has
// checked the window.
func (s *outgoing) grow(n int) []byte {
	need := len(s.buf) + n
	if need <= cap(s.buf) {
		return s.buf
	}
	size := max(need, min(max(2*cap(s.buf), minStreamBuffer), s.window))
	return append(make([]byte, 0, size), s.buf...)
}

// takeEnd returns the outcome. An end is clean only if the whole body has come.
func (s *outgoing) takeEnd(payload []byte) error {
	var m message.End
	if err := message.Decode(payload, &m); err != nil {
		return internalError("answer end: %v", err)
	}
	if err := m.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.began || m.Bytes != s.received {
		return internalError("answer of %d bytes ends after %d", m.Bytes, s.received)
	}
	return nil
}

// end sets the outcome. The first one is kept.
func (s *outgoing) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	s.notify()
}

func (s *outgoing) notify() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// receive passes the answer to w until it ends.
func (s *outgoing) receive(ctx context.Context, w amaranthtide.AnswerWriter) error {
	var buf []byte
	for {
		select {
		case <-s.signal:
		case <-ctx.Done():
			s.cancel()
			return canceledError(ctx)
		}
		var head *amaranthtide.AnswerHead
		var ended bool
		var err error
		head, buf, ended, err = s.take(buf)
		if head != nil {
			if err := w.Head(*head); err != nil {
				s.cancel()
				return amaranthtide.Errorf(amaranthtide.KindCanceled, "caller is gone: %w", err)
			}
		}
		if len(buf) > 0 {
			if err := w.Chunk(buf); err != nil {
				s.cancel()
				return amaranthtide.Errorf(amaranthtide.KindCanceled, "caller is gone: %w", err)
			}
			s.consume(len(buf))
		}
		if ended {
			return err
		}
	}
}

// keptStreamBuffer is the largest buffer that a stream keeps while it is idle.
const keptStreamBuffer = 2 << 10

// take returns what has been received and gives back the buffer that was taken before.
func (s *outgoing) take(used []byte) (head *amaranthtide.AnswerHead, buf []byte, ended bool, err error) {
	if cap(used) > keptStreamBuffer {
		used = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	head, s.head = s.head, nil
	buf, s.buf = s.buf, used[:0]
	return head, buf, s.ended, s.err
}

// consume grants the owner what w has taken. Grants are gathered up to a quarter
// of the window, so that small chunks don't cause a window frame each.
func (s *outgoing) consume(n int) {
	s.mu.Lock()
	before := s.consumed
	s.consumed += uint64(n)
	after, ended := s.consumed, s.ended
	s.mu.Unlock()
	step := uint64(max(s.window/4, 1))
	grant := after/step*step - before/step*step
	if grant == 0 || ended {
		return
	}
	payload, err := message.Append(nil, &message.Window{Bytes: uint32(grant)})
	if err != nil {
		s.end(err)
		return
	}
	s.conn.out.append(frame.Frame{Stream: s.id, Type: frame.Window, Payload: payload})
}

// cancel drops the stream and tells the owner, unless it has ended.
func (s *outgoing) cancel() {
	if s.conn.outgoing.Delete(s.id) {
		s.conn.out.append(frame.Frame{Stream: s.id, Type: frame.Cancel, Payload: cancelPayload})
	}
}

// cancelPayload is an empty msgpack array, the encoded form of message.Cancel.
var cancelPayload = []byte{0x90}

// canceledError is the outcome of a request whose context ended after it was
// sent. It may have been run.
func canceledError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "deadline passed before the answer was whole")
	}
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "request was canceled: %w", ctx.Err())
}
