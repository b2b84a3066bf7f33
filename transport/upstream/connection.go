package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/reuse"
	"amaranthtide/protocol/statusline"
	"amaranthtide/transport/internal/runtimeout"
	"amaranthtide/transport/internal/socket"
)

const (
	readBufferBytes = 4 << 10
	// syncWriteBytes is the size up to which a request is written before its answer is
	// read. It fits into the smallest socket buffers, so that the write doesn't block.
	syncWriteBytes = 4 << 10
	// maxSkippedAnswers limits the answers to other requests that are skipped before an
	// answer.
	maxSkippedAnswers = 2
	// maxSkippedBytes limits the body of a skipped answer.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes limits the head of an answer, together with the informational answers
	// before it.
	maxHeadBytes = 64 << 10
)

var (
	errNoMatchingAnswer = errors.New("no answer on the connection matches the request")
	errTooManyBytes     = errors.New("server sends more bytes than an answer may have")
)

// connection is one TCP connection to a backend server.
type connection struct {
	pool   *Pool
	addr   netip.AddrPort
	tcp    *socketConn
	source *boundedReader
	reader *bufio.Reader
	// requests counts the requests that were sent on the connection, and carried remembers the last ones.
	requests int
	carried  carriedRequests
	// lastUsed is the time at which the connection was opened or its last answer ended.
	lastUsed time.Time
	// expires is the time from which the idle connection isn't used any more.
	expires   time.Time
	closeOnce sync.Once
}

func dial(ctx context.Context, p *Pool, addr netip.AddrPort) (*connection, error) {
	dialCtx, cancel := runtimeout.With(ctx, p.opts.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	conn, err := d.DialContext(dialCtx, "tcp", addr.String())
	if err != nil && errors.Is(context.Cause(dialCtx), runtimeout.ErrTimeout) {
		err = fmt.Errorf("dial: %w", runtimeout.ErrTimeout)
	}
	if err != nil {
		return nil, exchangeError(ctx, amaranthtide.KindNoBackend, addr, err)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, amaranthtide.Errorf(amaranthtide.KindInternal, "connection to %v has type %T, want *net.TCPConn", addr, conn)
	}
	p.open.Add(1)
	sc := &socketConn{TCPConn: tcp}
	source := &boundedReader{Reader: sc, remaining: unbounded}
	return &connection{pool: p, addr: addr, tcp: sc, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), lastUsed: time.Now()}, nil
}

// boundedReader fails once a number of bytes have been read. Whoever parses a head holds it
// in memory as a whole, and a server may send one without end.
type boundedReader struct {
	io.Reader
	// remaining is the number of bytes that may still be read, or unbounded.
	remaining int
	// err is the error that ended the reader, such as io.EOF.
	err error
}

// unbounded is the boundedReader.remaining of a reader without a limit.
const unbounded = -1

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errTooManyBytes
	}
	if r.remaining != unbounded {
		p = p[:min(len(p), r.remaining)]
	}
	n, err := r.Reader.Read(p)
	if r.remaining != unbounded {
		r.remaining -= n
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.tcp.Close()
		c.pool.open.Add(-1)
	})
}

// abort closes the connection of a request whose answer isn't wanted any more. The reset fails the
// server's next write; after an ordinary close only the second one fails, and a server that is not
// reading would work on until then.
func (c *connection) abort() {
	_ = c.tcp.SetLinger(0) // fails only on a closed connection
	c.close()
}

// isUsable reports whether an idle connection is still open and has no unread bytes.
// Such bytes would belong to no request.
func (c *connection) isUsable() bool {
	return c.reader.Buffered() == 0 && socket.Peek(c.tcp.TCPConn) == socket.Empty
}

// exchange sends the request and reads the head of its answer. It reports whether a
// byte may have been sent.
func (c *connection) exchange(ctx context.Context, e Exchange) (resp *http.Response, sent bool, err error) {
	c.requests++
	c.carried.add(e.ID)
	stop := context.AfterFunc(ctx, c.abort)
	w := &requestWriter{conn: c, message: net.Buffers{e.Message}, done: make(chan struct{})}
	if len(e.Body) > 0 {
		w.message = append(w.message, e.Body)
	}
	if len(e.Message)+len(e.Body) <= syncWriteBytes {
		w.loop()
		if w.err != nil {
			stop()
			if w.written == 0 {
				return nil, false, exchangeError(ctx, amaranthtide.KindNoBackend, c.addr, w.err)
			}
			return nil, true, exchangeError(ctx, amaranthtide.KindOutcomeUnknown, c.addr, w.err)
		}
	} else {
		go w.loop()
	}
	resp, err = c.readHead(ctx, e)
	if err != nil {
		c.abort()
		<-w.done
		stop()
		return nil, w.written > 0, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, conn: c, writer: w, stopCancel: stop, reusable: !resp.Close, announcedIdle: announcedIdle(resp.Header), keepIdle: e.KeepIdle}
	return resp, true, nil
}

// readHead reads the head of the request's answer. It skips informational answers and a
// few answers to other requests.
func (c *connection) readHead(ctx context.Context, e Exchange) (*http.Response, error) {
	req := &http.Request{Method: e.Method}
	c.source.remaining = maxHeadBytes
	for range maxSkippedAnswers + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, exchangeError(ctx, amaranthtide.KindOutcomeUnknown, c.addr, err)
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, c.headError(ctx, err)
		}
		if err := statusline.Check(resp); err != nil {
			return nil, exchangeError(ctx, amaranthtide.KindBackendFailed, c.addr, err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if e.Match(resp.Header, c.requests == 1) {
			c.source.remaining = unbounded
			return resp, nil
		}
		if err := c.skip(ctx, resp); err != nil {
			return nil, err
		}
	}
	return nil, exchangeError(ctx, amaranthtide.KindBackendFailed, c.addr, errNoMatchingAnswer)
}

// headError returns the error for a head that could not be parsed. If the connection ended
// within the head, the server has stopped or closed it; what is wrong with the part that
// arrived says nothing.
func (c *connection) headError(ctx context.Context, err error) error {
	if c.source.err != nil {
		return exchangeError(ctx, amaranthtide.KindOutcomeUnknown, c.addr, fmt.Errorf("connection ended within the head of the answer: %w", c.source.err))
	}
	return exchangeError(ctx, amaranthtide.KindBackendFailed, c.addr, err)
}

// skip reads the body of an answer to another request.
func (c *connection) skip(ctx context.Context, resp *http.Response) error {
	c.source.remaining = maxSkippedBytes
	_, err := io.Copy(io.Discard, resp.Body)
	c.source.remaining = maxHeadBytes
	switch {
	case errors.Is(err, errTooManyBytes):
		return exchangeError(ctx, amaranthtide.KindBackendFailed, c.addr, err)
	case err != nil:
		return exchangeError(ctx, amaranthtide.KindOutcomeUnknown, c.addr, err)
	default:
		return nil
	}
}

// announcedIdle returns the idle timeout that the server's Keep-Alive header announces, or 0
// if it announces none.
func announcedIdle(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// requestWriter writes one request, possibly while its answer is already being read.
type requestWriter struct {
	conn    *connection
	message net.Buffers
	done    chan struct{}
	// written and err may be read only after done is closed.
	written int64
	err     error
}

func (w *requestWriter) loop() {
	defer close(w.done)
	w.written, w.err = w.conn.tcp.writeBuffers(&w.message)
}

// succeeded reports whether the whole request was written.
func (w *requestWriter) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// answerBody is the body of an answer. Close returns the connection to the pool if the
// exchange ended cleanly.
type answerBody struct {
	io.ReadCloser
	conn   *connection
	writer *requestWriter
	// stopCancel detaches the connection from the context. It returns false if the
	// context's end has already closed the connection.
	stopCancel func() bool
	// reusable is false if the server asked to close the connection.
	reusable bool
	// announcedIdle is the idle time announced by the server; 0 is none. keepIdle is the
	// number of idle connections to keep.
	announcedIdle time.Duration
	keepIdle      int
	// complete tells whether the body was read to its end.
	complete bool
	closed   bool
	// detached is set if stopCancel was called, and returned true, at the end of the body.
	detached bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		b.detached = b.stopCancel() // a caller that leaves now has the whole answer
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete {
		b.stopCancel()
		b.conn.abort()
		<-b.writer.done
		return nil
	}
	if !b.detached || !b.reusable || !b.writer.succeeded() || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		<-b.writer.done
		return nil
	}
	b.conn.lastUsed = time.Now()
	b.conn.expires = b.conn.lastUsed.Add(reuse.KeepFor(b.announcedIdle))
	b.conn.pool.release(b.conn, b.keepIdle)
	return nil
}
