package mesh

import (
	"context"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
)

// incomingStream is a stream that a peer opened for a request that this router serves.
// It is the AnswerWriter of that request.
type incomingStream struct {
	conn   *connection
	id     uint64
	server amaranthtide.BackendServerName
	req    *amaranthtide.Request
	ctx    context.Context
	cancel context.CancelFunc
	window int
	// changed holds a token after credit was granted or the stream was detached.
	changed chan struct{}

	// headSent and bytesSent are used by the serving goroutine only.
	headSent  bool
	bytesSent uint64

	mu sync.Mutex
	// credit is the number of bytes that may be sent before the next grant.
	credit int
	// detached is set once the peer no longer reads the answer.
	detached bool
}

// handleRequestFrame handles a frame from the entry.
func (c *connection) handleRequestFrame(f frame.Frame) {
	if f.Type == frame.Forward {
		c.handleForward(f)
		return
	}
	in, ok := c.incoming.Get(f.Stream)
	if !ok {
		c.counters.lateFrames.Add(1)
		return
	}
	if f.Type == frame.Cancel {
		in.detach()
		return
	}
	var w message.Window
	if err := message.Decode(f.Payload, &w); err != nil {
		c.mesh.opts.Logger.Warn("invalid window frame dropped", "peer", c.peer, "reason", err)
		return
	}
	in.grant(int(w.Bytes))
}

// handleForward starts to serve a forwarded request. Stream numbers increase, so that
// a repeated forward frame is detected even after its stream has ended.
func (c *connection) handleForward(f frame.Frame) {
	var m message.Forward
	decodeErr := message.Decode(f.Payload, &m)

	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noNewStreams || f.Stream <= c.lastStream {
		c.counters.lateFrames.Add(1)
		return
	}
	c.lastStream = f.Stream
	if decodeErr != nil {
		c.refuse(f.Stream, decodeErr)
		return
	}
	if c.streams >= c.mesh.opts.MaxStreams {
		c.refuse(f.Stream, amaranthtide.Errorf(amaranthtide.KindFull, "peer has %d streams open", c.streams))
		return
	}
	// The stream is counted before shuttingDown is read, so that Shutdown can't miss it.
	c.mesh.streamsInFlight.add()
	if c.mesh.shuttingDown.Load() || !c.mesh.trackGoroutine() {
		c.mesh.streamsInFlight.done()
		c.refuse(f.Stream, amaranthtide.Errorf(amaranthtide.KindShuttingDown, "router is shutting down"))
		return
	}
	server, req := m.ToDomain(time.Now())
	window := min(int(m.Window), DefaultWindow)
	in := &incomingStream{conn: c, id: f.Stream, server: server, req: req, window: window, credit: window, changed: make(chan struct{}, 1)}
	in.ctx, in.cancel = context.WithCancel(c.mesh.ctx)
	c.streams++
	c.incoming.Set(in.id, in)
	go in.run()
}

// refuse ends a stream whose request was not run.
func (c *connection) refuse(stream uint64, err error) {
	c.sendEnd(stream, 0, err)
}

// sendEnd queues the end frame of a stream with the size of the answer or an error.
func (c *connection) sendEnd(stream, size uint64, err error) {
	payload, encodeErr := message.Append(nil, message.NewEnd(size, err))
	if encodeErr != nil {
		c.close(encodeErr)
		return
	}
	c.writer.append(frame.Frame{Stream: stream, Type: frame.End, Payload: payload})
}

// run serves the request and ends the stream.
func (in *incomingStream) run() {
	c := in.conn
	defer c.mesh.wg.Done()
	defer c.mesh.streamsInFlight.done()
	defer in.cancel()
	err := c.mesh.owner.Serve(in.ctx, in.server, in.req, in)
	if err == nil && !in.headSent {
		err = internalError("owner ended the answer without a head")
	}
	if !in.isDetached() {
		c.sendEnd(in.id, in.bytesSent, err)
	}
	c.incoming.Delete(in.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
}

// detach marks the stream as no longer read by the peer. A repeatable request is
// canceled. Any other request runs on, so that the owner can store its answer.
func (in *incomingStream) detach() {
	in.mu.Lock()
	in.detached = true
	in.mu.Unlock()
	in.notify()
	if in.req.Repeatable() {
		in.cancel()
	}
}

func (in *incomingStream) isDetached() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.detached
}

// grant adds n bytes to the credit, which never exceeds the window.
func (in *incomingStream) grant(n int) {
	in.mu.Lock()
	in.credit = min(in.credit+n, in.window)
	in.mu.Unlock()
	in.notify()
}

func (in *incomingStream) notify() {
	select {
	case in.changed <- struct{}{}:
	default:
	}
}

// Head implements amaranthtide.AnswerWriter.
func (in *incomingStream) Head(h amaranthtide.AnswerHead) error {
	if in.headSent {
		return internalError("answer has a second head")
	}
	payload, err := message.Append(nil, message.NewHead(h))
	if err != nil {
		return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "answer head: %v", err)
	}
	in.headSent = true
	return in.appendFrame(func(dst []byte) []byte {
		return frame.Append(dst, frame.Frame{Stream: in.id, Type: frame.Head, Payload: payload})
	})
}

// Chunk implements amaranthtide.AnswerWriter. It blocks while the window is exhausted.
func (in *incomingStream) Chunk(b []byte) error {
	if !in.headSent {
		return internalError("answer has a chunk before its head")
	}
	for len(b) > 0 {
		n := in.reserve(min(len(b), message.MaxChunk))
		if n == 0 {
			if in.isDetached() {
				return in.detachedError()
			}
			select {
			case <-in.changed:
			case <-in.ctx.Done():
			case <-in.conn.closed:
				return in.detachedError()
			}
			if in.ctx.Err() != nil {
				return in.detachedError()
			}
			continue
		}
		data := b[:n]
		err := in.appendFrame(func(dst []byte) []byte {
			dst = frame.AppendHeader(dst, in.id, frame.Chunk, message.ChunkSize(in.bytesSent, data))
			return message.AppendChunk(dst, in.bytesSent, data)
		})
		if err != nil {
			return err
		}
		in.bytesSent += uint64(n)
		b = b[n:]
	}
	return nil
}

// reserve takes up to n bytes of credit and returns the number taken.
func (in *incomingStream) reserve(n int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.detached {
		return 0
	}
	n = min(n, in.credit)
	in.credit -= n
	return n
}

// appendFrame queues the frame that f appends once the connection has space for it.
func (in *incomingStream) appendFrame(f func(dst []byte) []byte) error {
	if in.isDetached() || in.conn.writer.appendWhenSpace(in.ctx.Done(), f) != nil {
		return in.detachedError()
	}
	return nil
}

// detachedError returns the result of a write to a detached stream. It is nil for a
// request that is not repeatable, since the owner must still complete its answer.
func (in *incomingStream) detachedError() error {
	if !in.req.Repeatable() && in.ctx.Err() == nil {
		return nil
	}
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "entry canceled the stream or its connection was closed")
}
