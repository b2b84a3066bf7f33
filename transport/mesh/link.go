package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
)

// link manages the dialled connection to one peer and the control messages that wait
// to be sent on it.
type link struct {
	mesh *Mesh
	addr netip.AddrPort
	// dialRequested holds a token while a connection is needed.
	dialRequested chan struct{}

	mu   sync.Mutex
	conn *connection
	// dialDone is closed when the next dial has succeeded or failed; nil without waiters.
	dialDone chan struct{}
	// dialErr is the error of the last dial. There is no other dial before nextDialAt.
	dialErr    error
	nextDialAt time.Time
	lastUsed   time.Time
	control    controlQueues
	// removed is set once the link is no longer in the Mesh.
	removed bool
}

// link returns the link to addr, which it creates if there is none. It returns nil if
// the Mesh is closed.
func (m *Mesh) link(addr netip.AddrPort) *link {
	var l *link
	m.links.Update(addr, func(v *link, ok bool) (*link, bool) {
		if ok {
			l = v
			return v, true
		}
		if !m.trackGoroutine() {
			return nil, false
		}
		l = &link{mesh: m, addr: addr, dialRequested: make(chan struct{}, 1), lastUsed: time.Now()}
		l.control.maxFrames, l.control.maxBytes = m.opts.ControlQueueLen, m.opts.SendBuffer
		go l.run()
		return l, true
	})
	return l
}

// connect returns the connection to the peer and dials it if needed. During the
// backoff after a failed dial it fails immediately. An error means that nothing was
// sent.
func (m *Mesh) connect(ctx context.Context, addr netip.AddrPort) (*connection, error) {
	for {
		l := m.link(addr)
		if l == nil {
			return nil, amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s: %w", addr, errMeshClosed)
		}
		c, dialDone, err := l.current()
		if c != nil || err != nil {
			return c, err
		}
		if dialDone == nil {
			continue // The link was removed from the Mesh.
		}
		select {
		case <-dialDone:
		case <-m.ctx.Done():
			return nil, amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s: %w", addr, errMeshClosed)
		case <-ctx.Done():
			return nil, notSentError(ctx)
		}
	}
}

// notSentError returns the error of a request whose context ended before the request
// was sent.
func notSentError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "request was not sent before its deadline")
	}
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "request was canceled before it was sent: %w", ctx.Err())
}

// current returns the open connection, a channel that is closed after the next dial,
// or an error during the backoff. All results are nil if the link was removed.
func (l *link) current() (*connection, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return nil, nil, nil
	}
	now := time.Now()
	l.lastUsed = now
	if l.conn != nil && !l.conn.isClosed() {
		return l.conn, nil, nil
	}
	if l.conn == nil && now.Before(l.nextDialAt) {
		return nil, nil, amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s can't be reached: %w", l.addr, l.dialErr)
	}
	if l.dialDone == nil {
		l.dialDone = make(chan struct{})
	}
	l.requestDial()
	return nil, l.dialDone, nil
}

func (l *link) requestDial() {
	select {
	case l.dialRequested <- struct{}{}:
	default:
	}
}

// run dials when a connection is requested, until the link is removed because it is
// idle or the Mesh is closed.
func (l *link) run() {
	defer l.mesh.wg.Done()
	backoff := l.mesh.opts.BackoffMin
	for l.waitForDialRequest() {
		c, err := l.dial()
		if err != nil {
			l.mesh.opts.Logger.Warn("dial failed", "peer", l.addr, "error", err)
			// The jitter keeps routers that lost the same peer from dialling it at the
			// same time.
			wait := backoff/2 + rand.N(backoff/2+1)
			l.dialFailed(err, wait)
			if !l.sleep(wait) {
				break
			}
			backoff = min(2*backoff, l.mesh.opts.BackoffMax)
			continue
		}
		backoff = l.mesh.opts.BackoffMin
		l.connected(c)
		_ = c.run() // logs the reason
		l.disconnected()
	}
	l.remove()
}

// waitForDialRequest returns true when a connection is requested, and false when the
// link was removed because it is idle or when the Mesh is closed.
func (l *link) waitForDialRequest() bool {
	idle := time.NewTimer(l.mesh.opts.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.dialRequested:
			return true
		case <-l.mesh.ctx.Done():
			return false
		case <-idle.C:
			if l.removeIfIdle() {
				return false
			}
			idle.Reset(l.mesh.opts.IdleTimeout)
		}
	}
}

// sleep waits for d. It returns false if the Mesh is closed first.
func (l *link) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.mesh.ctx.Done():
		return false
	}
}

func (l *link) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(l.mesh.ctx, l.mesh.opts.DialTimeout)
	defer cancel()
	raw, err := l.mesh.opts.Dialer(ctx, l.addr)
	if err != nil {
		return nil, err
	}
	c, err := l.mesh.handshakeDialled(raw, l.addr)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c.writer.appendControl = l.takeControl
	c.writer.onIdle = l.closeIfIdle
	return c, nil
}

func (l *link) connected(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.dialErr = c, nil
	l.wakeWaiters()
	if !l.control.empty() {
		c.writer.notify()
	}
}

// dialFailed starts the backoff and drops the waiting control messages, which would be
// stale by the next dial.
func (l *link) dialFailed(err error, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialErr, l.nextDialAt = err, time.Now().Add(wait)
	l.control.discard(l.mesh)
	l.wakeWaiters()
}

func (l *link) disconnected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	if !l.control.empty() {
		l.requestDial()
	}
}

// wakeWaiters wakes the goroutines that wait for a dial. The caller must hold mu.
func (l *link) wakeWaiters() {
	if l.dialDone != nil {
		close(l.dialDone)
		l.dialDone = nil
	}
}

// closeIfIdle closes the connection if it has been unused for Options.IdleTimeout. The
// write loop of the connection calls it after each keepalive interval without a write.
func (l *link) closeIfIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.outgoing.Len() > 0 || time.Since(l.lastUsed) < l.mesh.opts.IdleTimeout {
		return
	}
	l.conn.close(errIdleConnection)
}

// removeIfIdle removes the link from the Mesh if it has been unused for
// Options.IdleTimeout, and reports whether it did.
func (l *link) removeIfIdle() bool {
	return l.removeIf(func() bool {
		return l.dialDone == nil && l.control.empty() && time.Since(l.lastUsed) >= l.mesh.opts.IdleTimeout
	})
}

// remove removes the link from the Mesh if it is still there.
func (l *link) remove() {
	l.removeIf(func() bool { return true })
}

// removeIf removes the link from the Mesh if the condition holds. The condition is
// evaluated under mu, and the link is marked and removed in one step, so that no
// goroutine finds a removed link in the Mesh.
func (l *link) removeIf(condition func() bool) (removed bool) {
	l.mesh.links.Update(l.addr, func(v *link, ok bool) (*link, bool) {
		if !ok || v != l {
			return v, ok
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if removed = condition(); !removed {
			return v, true
		}
		l.removed = true
		l.control.discard(l.mesh)
		l.wakeWaiters()
		return nil, false
	})
	return removed
}
