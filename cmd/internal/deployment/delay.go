package deployment

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// delayQueueSize is the maximum number of delayed chunks of data per direction.
const delayQueueSize = 256

// delayedConn is a connection that delays data in both directions. Read deadlines are
// supported. A write returns once its data is queued, as with a real network.
type delayedConn struct {
	net.Conn
	delay    time.Duration
	out, in  chan chunk
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	unread   []byte
	deadline time.Time
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// delayed wraps c with a one-way delay for each direction. It returns c itself if the
// delay is 0.
func delayed(c net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return c
	}
	d := &delayedConn{
		Conn: c, delay: delay, closed: make(chan struct{}),
		out: make(chan chunk, delayQueueSize), in: make(chan chunk, delayQueueSize),
	}
	go d.runWriter()
	go d.runReader()
	return d
}

// wait waits until a chunk is due and reports whether the connection is still open.
func (d *delayedConn) wait(due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.closed:
		return false
	}
}

func (d *delayedConn) runWriter() {
	for {
		select {
		case <-d.closed:
			return
		case p := <-d.out:
			if !d.wait(p.due) {
				return
			}
			if _, err := d.Conn.Write(p.data); err != nil {
				_ = d.Close()
				return
			}
		}
	}
}

func (d *delayedConn) runReader() {
	buf := make([]byte, 32<<10)
	for {
		n, err := d.Conn.Read(buf)
		p := chunk{time.Now().Add(d.delay), append([]byte(nil), buf[:n]...), err}
		select {
		case <-d.closed:
			return
		case d.in <- p:
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn.
func (d *delayedConn) Write(b []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	default:
	}
	p := chunk{time.Now().Add(d.delay), append([]byte(nil), b...), nil}
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	case d.out <- p:
		return len(b), nil
	}
}

// Read implements net.Conn. It must not be called concurrently.
func (d *delayedConn) Read(b []byte) (int, error) {
	if len(d.unread) == 0 {
		d.mu.Lock()
		deadline := d.deadline
		d.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			t := time.NewTimer(time.Until(deadline))
			defer t.Stop()
			expired = t.C
		}
		select {
		case <-d.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case p := <-d.in:
			if !d.wait(p.due) {
				return 0, net.ErrClosed
			}
			if p.err != nil {
				// Later reads return the same error.
				d.in <- chunk{err: p.err}
			}
			if len(p.data) == 0 {
				return 0, p.err
			}
			d.unread = p.data
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn. It applies from the next Read on.
func (d *delayedConn) SetReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = t
	return nil
}

// SetDeadline implements net.Conn.
func (d *delayedConn) SetDeadline(t time.Time) error {
	return errors.Join(d.SetReadDeadline(t), d.SetWriteDeadline(t))
}

// Close implements net.Conn. Data that is still delayed is lost.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
