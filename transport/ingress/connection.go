package ingress

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide/coordination/eviction"
	"amaranthtide/transport/internal/socket"
)

const (
	// connectionBytes is what an open connection takes: its goroutine, buffers and descriptor.
	connectionBytes = 16 << 10
	// requestBytes is what a request takes besides its head and body: its goroutines, buffers and
	// those of its connection to a server.
	requestBytes = 16 << 10
	// fieldBytes is what a header field takes besides its text, as it is parsed and forwarded.
	fieldBytes = 256
	// memoryTimeout is how long a request waits for memory for its head.
	memoryTimeout = 3 * time.Second
)

var errNoMemory = errors.New("no memory is left for the request")

// connection is a connection of a caller. It records what its current request does, and the memory
// that is counted for it.
type connection struct {
	*net.TCPConn
	server *Server
	// requestActive is true from the first byte of a request to the end of its answer.
	requestActive atomic.Bool
	// answeredAt is when the last answer ended, in Unix nanoseconds; 0 if there was none.
	answeredAt atomic.Int64
	// writingSince is when the write in progress began, in Unix nanoseconds; 0 if there is none.
	writingSince atomic.Int64
	// answerWritten is set once a byte of the answer to the current request was written.
	answerWritten atomic.Bool
	closeOnce     sync.Once
	closed        chan struct{}

	mu sync.Mutex
	// state and since are those of the request, without a write in progress.
	state eviction.State
	since time.Time
	head  headScanner
	// readDeadline is the limit that was set for reads. While the body of a request arrives,
	// bodyBegan is when it began, and bodyBytes what has arrived.
	readDeadline, bodyBegan time.Time
	bodyBytes               int64
	// held are the bytes that are counted for the connection, requestHeld the part of them that
	// is counted until the end of the answer.
	held, requestHeld int64
	// released is set once nothing more may be counted.
	released bool
}

func newConnection(s *Server, c *net.TCPConn, now time.Time) *connection {
	return &connection{TCPConn: c, server: s, closed: make(chan struct{}), since: now, held: connectionBytes}
}

// Read implements net.Conn. It counts the bytes and fields of heads, and waits if there is no
// memory for them.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.requestActive.Store(true)
	if memoryErr := c.hold(c.received(time.Now(), b[:n])); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// received records bytes that were read, and returns the memory that they take.
func (c *connection) received(now time.Time, b []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == eviction.Idle {
		c.state, c.since = eviction.Receiving, now
	}
	bytes, fields := c.head.scan(b)
	need := int64(bytes + fields*fieldBytes)
	if c.requestHeld == 0 && need > 0 {
		need += requestBytes
	}
	return need
}

// hold counts n bytes until the end of the answer. It waits if there is no room for them.
func (c *connection) hold(n int64) error {
	memory := c.server.limits.memory()
	if n == 0 || memory == nil {
		return nil
	}
	if memory.Reserve(n) {
		c.count(n)
		return nil
	}
	timeout := time.NewTimer(memoryTimeout)
	defer timeout.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		freed := memory.Freed()
		if memory.Reserve(n) {
			c.count(n)
			return nil
		}
		memory.RequestReclaim(n)
		select {
		case <-freed:
		case <-retry.C: // a connection may be closed by now, which it couldn't before
		case <-c.closed:
			return net.ErrClosed
		case <-timeout.C:
			return errNoMemory
		}
	}
}

// count adds reserved bytes to those of the request.
func (c *connection) count(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		c.server.limits.memory().Release(n)
		return
	}
	c.held += n
	c.requestHeld += n
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	if memory := c.server.limits.memory(); memory != nil {
		memory.Take(int64(len(b)))
		defer memory.Release(int64(len(b)))
	}
	c.answerWritten.Store(true)
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.TCPConn.Write(b)
}

// ReadFrom implements io.ReaderFrom. Without it, the method of TCPConn would bypass Write.
func (c *connection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetReadDeadline implements net.Conn. A body must also arrive at a minimum rate.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	t = c.effectiveDeadline()
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// effectiveDeadline returns the limit for reads. c.mu must be held.
func (c *connection) effectiveDeadline() time.Time {
	if c.bodyBegan.IsZero() {
		return c.readDeadline
	}
	due := c.bodyBegan.Add(bodyGrace + time.Duration(c.bodyBytes)*time.Second/minBodyRate)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(due) {
		return c.readDeadline
	}
	return due
}

// bodyArrives records n bytes of a body and extends the limit for the next ones.
func (c *connection) bodyArrives(n int) {
	c.mu.Lock()
	c.bodyBytes += int64(n)
	t := c.effectiveDeadline()
	c.mu.Unlock()
	_ = c.TCPConn.SetReadDeadline(t) // fails only on a closed connection
}

// beginRequest records that the head of a request has arrived, with the given number of fields. The
// bytes of a pipelined request may have been read together with those of the one before.
func (c *connection) beginRequest(now time.Time, fields int, hasBody bool) {
	c.requestActive.Store(true)
	c.answerWritten.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == eviction.Idle || !hasBody {
		c.since = now
	}
	c.state = eviction.Serving
	if hasBody {
		c.state, c.bodyBegan, c.bodyBytes = eviction.Receiving, now, 0
	}
	memory := c.server.limits.memory()
	need := int64(requestBytes + fields*fieldBytes)
	if memory != nil && !c.released && c.requestHeld < need {
		need -= c.requestHeld
		memory.Take(need)
		c.held += need
		c.requestHeld += need
	}
}

// bodyReceived records that the request has arrived in full.
func (c *connection) bodyReceived(now time.Time) {
	c.mu.Lock()
	c.state, c.since, c.bodyBegan = eviction.Serving, now, time.Time{}
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{}) // the limit would end the request while it is served
}

// answered records the end of an answer.
func (c *connection) answered(now time.Time) {
	c.answeredAt.Store(now.UnixNano())
	c.requestActive.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.bodyBegan = eviction.Idle, now, time.Time{}
	c.head = headScanner{}
	if n := c.requestHeld; n > 0 {
		c.held -= n
		c.requestHeld = 0
		c.server.limits.memory().Release(n)
	}
}

// release ends the count of what the connection holds.
func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	if memory := c.server.limits.memory(); memory != nil {
		memory.Release(c.held)
	}
	c.held, c.requestHeld = 0, 0
}

// activity returns what the connection does, and the bytes that are counted for it.
func (c *connection) activity() (eviction.Connection, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.writingSince.Load(); at != 0 {
		return eviction.Connection{State: eviction.Sending, Since: time.Unix(0, at)}, c.held
	}
	return eviction.Connection{State: c.state, Since: c.since}, c.held
}

// answerBegun reports whether a byte of the answer to the current request was written.
func (c *connection) answerBegun() bool { return c.answerWritten.Load() }

// resetOnClose sets whether the connection is reset when it is closed, also by the system when the
// process ends. A reset drops what the caller hasn't received.
func (c *connection) resetOnClose(reset bool) {
	linger := -1 // the system goes on sending after the close
	if reset {
		linger = 0
	}
	_ = c.SetLinger(linger) // fails only on a closed connection
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.closed()
	})
	return c.TCPConn.Close()
}

// isClosed reports whether Close was called.
func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// busy reports whether a request is in progress, unread in the socket or may follow an answer
// that has just ended.
func (c *connection) busy(now time.Time) bool {
	if socket.Peek(c.TCPConn) == socket.Readable || c.requestActive.Load() {
		return true
	}
	at := c.answeredAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < nextRequestTime
}

var _ net.Conn = (*connection)(nil)
