package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/transport/internal/socket"
)

const (
	readBufferBytes = 4 << 10
	// inlineBytes is the size up to which a request is written before the answer is
	// read. It fits into the smallest socket buffers, so that the write can't block.
	inlineBytes = 4 << 10
	// maxStray bounds the answers of other requests that are skipped.
	maxStray = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// keepAliveShare is the part of the server's announced idle time that is used.
	keepAliveShare = 0.5
)

var errStray = errors.New("answers of other requests on the connection")

// connection is one TCP connection to a backend server.
type connection struct {
	pool   *Pool
	addr   netip.AddrPort
	raw    *net.TCPConn
	reader *bufio.Reader
	// since is when the connection was opened or its last answer ended.
	since   time.Time
	expires time.Time
}

func dial(ctx context.Context, p *Pool, addr netip.AddrPort) (*connection, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, failure(ctx, amaranthtide.KindNoBackend, addr, err)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, amaranthtide.Errorf(amaranthtide.KindInternal, "connection to %v is %T", addr, raw)
	}
	return &connection{pool: p, addr: addr, raw: tcp, reader: bufio.NewReaderSize(tcp, readBufferBytes), since: time.Now()}, nil
}

func (c *connection) close() { _ = c.raw.Close() }

// quiet reports whether an idle connection is still open and holds no bytes. Bytes
// there belong to no request.
func (c *connection) quiet() bool {
	return c.reader.Buffered() == 0 && socket.Look(c.raw) == socket.Empty
}

// exchange sends the request and reads the head of its answer. It tells whether a
// byte may have been sent.
func (c *connection) exchange(ctx context.Context, e Exchange) (resp *http.Response, sent bool, err error) {
	stop := context.AfterFunc(ctx, c.close)
	w := &writer{conn: c, message: e.Message, done: make(chan struct{})}
	if len(e.Message) <= inlineBytes {
		w.loop()
		if w.err != nil {
			stop()
			if w.written == 0 {
				return nil, false, failure(ctx, amaranthtide.KindNoBackend, c.addr, w.err)
			}
			return nil, true, failure(ctx, amaranthtide.KindOutcomeUnknown, c.addr, w.err)
		}
	} else {
		go w.loop()
	}
	resp, err = c.read(ctx, e)
	if err != nil {
		c.close()
		<-w.done
		stop()
		return nil, w.written > 0, err
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: c, writer: w, stop: stop, keep: !resp.Close, idle: keepAlive(resp.Header)}
	return resp, true, nil
}

// read reads the head of the answer that belongs to the request.
func (c *connection) read(ctx context.Context, e Exchange) (*http.Response, error) {
	req := &http.Request{Method: e.Method}
	for range maxStray + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, failure(ctx, amaranthtide.KindOutcomeUnknown, c.addr, err)
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, failure(ctx, amaranthtide.KindBackendFailed, c.addr, err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if e.Match(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, failure(ctx, amaranthtide.KindOutcomeUnknown, c.addr, err)
		}
	}
	return nil, failure(ctx, amaranthtide.KindBackendFailed, c.addr, errStray)
}

// keepAlive returns the part of the announced idle time that is used; 0 if none is
// announced.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return time.Duration(keepAliveShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// writer writes one request, beside the reading of an answer that may come early.
type writer struct {
	conn    *connection
	message []byte
	done    chan struct{}
	// written and err may be read after done is closed.
	written int
	err     error
}

func (w *writer) loop() {
	defer close(w.done)
	w.written, w.err = w.conn.raw.Write(w.message)
}

// finished reports whether the whole request was written.
func (w *writer) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// body is the body of an answer. It keeps the connection if it was read to its end.
type body struct {
	io.ReadCloser
	conn   *connection
	writer *writer
	stop   func() bool
	keep   bool
	idle   time.Duration
	whole  bool
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	stopped := b.stop()
	if !stopped || !b.keep || !b.whole || !b.writer.finished() || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		<-b.writer.done
		return nil
	}
	idle := b.conn.pool.opts.MaxIdle
	if b.idle > 0 {
		idle = min(idle, b.idle)
	}
	b.conn.since = time.Now()
	b.conn.expires = b.conn.since.Add(idle)
	b.conn.pool.put(b.conn)
	return nil
}
