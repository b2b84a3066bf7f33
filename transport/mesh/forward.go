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

// Forward implements amaranthtide.Forwarder. It returns nil only if the answer ended
// cleanly and all of its bytes were passed to w. KindNoBackend, KindDeadlineUnmet
// and KindShuttingDown mean that the request was not run. If the connection is lost
// after the request was sent, the error is KindBackendFailed for a repeatable
// request and KindOutcomeUnknown for others. If ctx ends after the request was sent,
// it sends a cancel frame to the owner; the error is KindCanceled, or KindOutcomeUnknown
// if the deadline of ctx was exceeded.
func (m *Mesh) Forward(ctx context.Context, addr netip.AddrPort, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	m.streamsInFlight.add()
	defer m.streamsInFlight.done()
	payload, err := message.Append(nil, message.NewForward(time.Now(), server, req, m.opts.Window))
	if err != nil {
		return err
	}
	s := &outgoingStream{
		attemptID: req.Attempt, repeatable: req.Repeatable(), window: m.opts.Window,
		changed: make(chan struct{}, 1),
	}
	if err := m.openStream(ctx, addr, s, payload); err != nil {
		return err
	}
	return s.copyTo(ctx, w)
}

// openStream opens a stream to addr and queues its forward frame. An error means that
// nothing was sent.
func (m *Mesh) openStream(ctx context.Context, addr netip.AddrPort, s *outgoingStream, payload []byte) error {
	// The connection may close after connect returned it, for instance because it
	// was idle. The second attempt gets a new one.
	const maxAttempts = 2
	for range maxAttempts {
		if ctx.Err() != nil {
			return notSentError(ctx)
		}
		c, err := m.connect(ctx, addr)
		if err != nil {
			return err
		}
		if err := c.writer.waitForSpace(ctx); err != nil {
			return notSentError(ctx)
		}
		if c.openStream(s, payload) {
			return nil
		}
	}
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s accepts no more streams", addr)
}

// outgoingStream is a stream that this router opened for a request that a peer serves.
type outgoingStream struct {
	conn       *connection
	id         uint64
	attemptID  amaranthtide.AttemptID
	repeatable bool
	window     int
	// forwardEnd is the position in the byte stream of the connection at which the
	// forward frame ends.
	forwardEnd uint64
	// changed holds a token while there is something to pass on to the AnswerWriter.
	changed chan struct{}

	mu   sync.Mutex
	head *amaranthtide.AnswerHead
	// headReceived is set once a head has arrived. head is cleared when it is taken.
	headReceived bool
	// buf holds the received bytes that copyTo has not taken yet.
	buf []byte
	// received and consumed count the bytes that arrived and that the AnswerWriter
	// accepted.
	received uint64
	consumed uint64
	ended    bool
	err      error
}

// openStream registers the stream and queues its forward frame. It returns false if
// the connection accepts no more streams.
func (c *connection) openStream(s *outgoingStream, payload []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noNewStreams {
		return false
	}
	c.lastStream++
	s.conn, s.id = c, c.lastStream
	// The answer may arrive before forwardEnd is set. Only endStreams reads it, after
	// it has held mu.
	c.outgoing.Set(s.id, s)
	s.forwardEnd = c.writer.append(frame.Frame{Stream: s.id, Type: frame.Forward, Payload: payload})
	return true
}

// handleAnswerFrame passes a frame from the owner to its stream. Frames of ended
// streams are dropped.
func (c *connection) handleAnswerFrame(f frame.Frame) {
	if f.Type == frame.Leaving {
		c.handleLeaving(f.Stream)
		return
	}
	s, ok := c.outgoing.Get(f.Stream)
	if !ok {
		c.counters.lateFrames.Add(1)
		return
	}
	var last bool
	var err error
	switch f.Type {
	case frame.Head:
		err = s.handleHead(f.Payload)
	case frame.Chunk:
		err = s.handleChunk(f.Payload)
	case frame.End:
		last, err = true, s.handleEnd(f.Payload)
	}
	if err != nil && !last {
		c.writer.append(frame.Frame{Stream: s.id, Type: frame.Cancel, Payload: cancelPayload})
	}
	if last || err != nil {
		c.outgoing.Delete(s.id)
		s.end(err)
	}
}

// handleLeaving fails the streams above last, which the peer did not accept and will
// not accept.
func (c *connection) handleLeaving(last uint64) {
	c.mu.Lock()
	c.noNewStreams = true
	c.mu.Unlock()
	for _, s := range mapValues(c.outgoing) {
		if s.id > last && c.outgoing.Delete(s.id) {
			s.end(amaranthtide.Errorf(amaranthtide.KindShuttingDown, "router %s is shutting down", c.peer))
		}
	}
}

func internalError(format string, args ...any) error {
	return amaranthtide.Errorf(amaranthtide.KindInternal, format, args...)
}

// handleHead stores the head. The head of another attempt is an error.
func (s *outgoingStream) handleHead(payload []byte) error {
	var m message.Head
	if err := message.Decode(payload, &m); err != nil {
		return internalError("answer head: %v", err)
	}
	head := m.ToDomain()
	if head.Attempt != s.attemptID {
		return internalError("answer is for attempt %q, want %q", head.Attempt, s.attemptID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headReceived {
		s.conn.counters.lateFrames.Add(1)
		return nil
	}
	s.headReceived, s.head = true, &head
	s.notify()
	return nil
}

// handleChunk appends a chunk to the buffer. A repeated chunk is dropped. A gap and a
// chunk that exceeds the window are errors.
func (s *outgoingStream) handleChunk(payload []byte) error {
	offset, data, err := message.DecodeChunk(payload)
	if err != nil {
		return internalError("answer chunk: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.headReceived:
		return internalError("answer has a chunk before its head")
	case offset < s.received && offset+uint64(len(data)) <= s.received:
		s.conn.counters.lateFrames.Add(1)
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

// minStreamBuffer is the initial capacity of a stream's buffer, enough for a few small
// chunks.
const minStreamBuffer = 256

// grow returns the buffer with capacity for n more bytes. The capacity doubles up to
// the window; the growth of append would exceed the window by a quarter. The caller
// must hold mu and have checked the window.
func (s *outgoingStream) grow(n int) []byte {
	need := len(s.buf) + n
	if need <= cap(s.buf) {
		return s.buf
	}
	size := max(need, min(max(2*cap(s.buf), minStreamBuffer), s.window))
	return append(make([]byte, 0, size), s.buf...)
}

// handleEnd returns the error that the end frame carries, or an error if the answer is
// incomplete.
func (s *outgoingStream) handleEnd(payload []byte) error {
	var m message.End
	if err := message.Decode(payload, &m); err != nil {
		return internalError("answer end: %v", err)
	}
	if err := m.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headReceived || m.Bytes != s.received {
		return internalError("answer declares %d bytes, but %d were received", m.Bytes, s.received)
	}
	return nil
}

// end sets the outcome of the stream. Only the first call has an effect.
func (s *outgoingStream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	s.notify()
}

func (s *outgoingStream) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// copyTo passes the answer to w until the stream or ctx ends.
func (s *outgoingStream) copyTo(ctx context.Context, w amaranthtide.AnswerWriter) error {
	var buf []byte
	for {
		select {
		case <-s.changed:
		case <-ctx.Done():
			s.cancel()
			return canceledError(ctx)
		}
		var head *amaranthtide.AnswerHead
		var ended bool
		var err error
		head, buf, ended, err = s.takeReceived(buf)
		if head != nil {
			if err := w.Head(*head); err != nil {
				s.cancel()
				return amaranthtide.Errorf(amaranthtide.KindCanceled, "caller disconnected: %w", err)
			}
		}
		if len(buf) > 0 {
			if err := w.Chunk(buf); err != nil {
				s.cancel()
				return amaranthtide.Errorf(amaranthtide.KindCanceled, "caller disconnected: %w", err)
			}
			s.consume(len(buf))
		}
		if ended {
			return err
		}
	}
}

// maxIdleStreamBuffer limits the buffer that a stream keeps for reuse while it is idle.
const maxIdleStreamBuffer = 2 << 10

// takeReceived returns the head and the bytes received since the last call and whether
// the stream has ended. The buffer of the last call is reused.
func (s *outgoingStream) takeReceived(reuse []byte) (head *amaranthtide.AnswerHead, buf []byte, ended bool, err error) {
	if cap(reuse) > maxIdleStreamBuffer {
		reuse = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	head, s.head = s.head, nil
	buf, s.buf = s.buf, reuse[:0]
	return head, buf, s.ended, s.err
}

// consume grants the owner the n bytes that the AnswerWriter accepted. A window frame
// is sent once per quarter of the window, so that small chunks don't cause one each.
func (s *outgoingStream) consume(n int) {
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
	s.conn.writer.append(frame.Frame{Stream: s.id, Type: frame.Window, Payload: payload})
}

// cancel removes the stream and sends a cancel frame to the owner, unless the stream has
// ended.
func (s *outgoingStream) cancel() {
	if s.conn.outgoing.Delete(s.id) {
		s.conn.writer.append(frame.Frame{Stream: s.id, Type: frame.Cancel, Payload: cancelPayload})
	}
}

// cancelPayload is an empty msgpack array, the encoded form of message.Cancel.
var cancelPayload = []byte{0x90}

// canceledError returns the error of a request whose context ended after the request
// was sent. The request may have been run.
func canceledError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "deadline exceeded before the answer was complete")
	}
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "request was canceled: %w", ctx.Err())
}
