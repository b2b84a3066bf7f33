// Package upstream sends HTTP/1.1 requests to backend servers, each at most once, over
// connections that are reused.
//
// It is used in place of net/http's Transport, which resends a request on its own when a
// reused connection fails, accepts whatever arrives on a connection as the answer to the
// request in flight, and doesn't tell whether a byte was sent.
//
// # Usage
//
//	p := upstream.New(upstream.Options{})
//	defer p.Close()
//	resp, err := p.Do(ctx, upstream.Exchange{
//		Addr: addr, Method: "GET", Message: raw, Match: match,
//	})
//	if amaranthtide.IsKind(err, amaranthtide.KindNoBackend) {
//		// No byte was handed to a connection.
//	}
//	defer resp.Body.Close() // the connection is reused if the body was read to its end
//
// The head of an answer is limited to 64 KiB, an answer to another request to 1 MiB. Limits
// for the body are up to the caller.
//
// A connection carries one request at a time. It is reused only if the request was
// written and its answer ended cleanly, nothing followed the answer and the server did
// not ask to close it. Package reuse decides which idle connections are kept and used.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/descriptors"
	"amaranthtide/coordination/reuse"
	"amaranthtide/state/shard"
	"amaranthtide/transport/internal/rlimit"
)

const (
	defaultDialTimeout = 200 * time.Millisecond
	// defaultKeepIdle is Exchange.KeepIdle if it is not set.
	defaultKeepIdle = 8
	// sweepInterval is the time between checks for expired idle connections.
	sweepInterval = time.Second
)

// Options are the settings of a Pool. The zero value means the defaults.
type Options struct {
	// DialTimeout limits the time to open a connection, without the time in which this process
	// has no processor; 0 is 200 ms, which is many round trips between zones.
	DialTimeout time.Duration
	// MaxConnections is the number of open connections from which on idle ones are closed before
	// another one is opened; 0 means the share of servers of the descriptors of the process.
	MaxConnections int
}

// Descriptors returns the shares of the file descriptors of the process.
func Descriptors() descriptors.Shares { return descriptors.Divide(rlimit.Descriptors()) }

// Pool sends requests to backend servers and keeps idle connections to them. It is
// safe for concurrent use. Use New.
type Pool struct {
	opts   Options
	idle   *shard.Map[netip.AddrPort, []*connection]
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// open is the number of open connections.
	open atomic.Int64

	mu     sync.Mutex
	policy reuse.Policy
}

// New returns a Pool without connections. Close it after use.
func New(opts Options) *Pool {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = Descriptors().Servers
	}
	p := &Pool{opts: opts, idle: shard.New[netip.AddrPort, []*connection](), done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return p
}

// Close closes the idle connections and waits for the pool's goroutine. Connections in
// use are closed when their requests end.
func (p *Pool) Close() {
	p.cancel()
	<-p.done
}

func (p *Pool) run() {
	defer close(p.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.closeExpired(time.Time{})
			return
		case <-ticker.C:
			p.closeExpired(time.Now())
		}
	}
}

// closeExpired closes the idle connections that have expired by now, or all of them if
// now is zero.
func (p *Pool) closeExpired(now time.Time) {
	var addrs []netip.AddrPort
	p.idle.Range(func(addr netip.AddrPort, _ []*connection) bool {
		addrs = append(addrs, addr)
		return true
	})
	for _, addr := range addrs {
		var expired []*connection
		p.idle.Update(addr, func(all []*connection, _ bool) ([]*connection, bool) {
			kept := all[:0]
			for _, c := range all {
				if now.IsZero() || now.After(c.expires) {
					expired = append(expired, c)
					continue
				}
				kept = append(kept, c)
			}
			return kept, len(kept) > 0
		})
		for _, c := range expired {
			c.close()
		}
	}
}

var _ amaranthtide.ServerProber = (*Pool)(nil)

// Exchange is one request and a check that recognizes its answer.
type Exchange struct {
	Addr netip.AddrPort
	// ID is what Match identifies the answer by. A connection that has carried a request with the
	// same ID isn't used: a second copy of its answer would match. Empty means that all may be used.
	ID     amaranthtide.RequestID
	Method string
	// Message is the request in HTTP/1.1 encoding: all of it, or up to its body.
	Message []byte
	// Body is the rest of the request, which is sent without a copy; may be empty.
	Body []byte
	// Match reports whether an answer with the given header belongs to the request. Other
	// answers are skipped. first is set if the connection has carried no other request: any
	// answer on it can only belong to this one.
	Match func(h http.Header, first bool) bool
	// Repeatable tells whether a request that is lost may be sent again. Other requests use
	// only connections that were in use recently.
	Repeatable bool
	// KeepIdle is the number of idle connections to the server that are kept; 0 is 8.
	KeepIdle int
}

// Do sends the request once and returns the head of its answer. The caller must close
// the body. Errors are KindNoBackend if no byte was sent, KindBackendFailed if the bytes
// received are not an answer to the request, KindCanceled if ctx was canceled, and
// KindOutcomeUnknown in all other cases.
func (p *Pool) Do(ctx context.Context, e Exchange) (*http.Response, error) {
	for {
		c, reused, err := p.acquire(ctx, e)
		if err != nil {
			return nil, err
		}
		idle := time.Since(c.lastUsed)
		resp, sent, err := c.exchange(ctx, e)
		if err == nil {
			return resp, nil
		}
		c.close()
		if reused && ctx.Err() == nil && amaranthtide.IsKind(err, amaranthtide.KindOutcomeUnknown) {
			p.recordLoss(time.Now(), idle)
		}
		if sent || !reused {
			return nil, err
		}
		// The reused connection failed before the first byte was sent, so that another
		// one can be used.
	}
}

// Refuses implements amaranthtide.ServerProber. A connection that is accepted is kept for
// the next request.
func (p *Pool) Refuses(ctx context.Context, addr netip.AddrPort) bool {
	c, err := dial(ctx, p, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.expires = c.lastUsed.Add(reuse.KeepFor(0))
	p.release(c, 0)
	return false
}

// acquire returns an idle connection that the request may use, or a new one if there is none.
func (p *Pool) acquire(ctx context.Context, e Exchange) (c *connection, reused bool, err error) {
	for {
		c, ok := p.popIdle(e.Addr, e.ID)
		if !ok {
			break
		}
		if now := time.Now(); now.Before(c.expires) && p.mayReuse(now, now.Sub(c.lastUsed), e.Repeatable) && c.isUsable() {
			return c, true, nil
		}
		c.close()
	}
	if p.open.Load() >= int64(p.opts.MaxConnections) {
		p.closeOneIdle()
	}
	c, err = dial(ctx, p, e.Addr)
	return c, false, err
}

// closeOneIdle closes the connection that has been idle for the longest time, if there is one.
func (p *Pool) closeOneIdle() {
	var longest netip.AddrPort
	var since time.Time
	p.idle.Range(func(addr netip.AddrPort, all []*connection) bool {
		if len(all) > 0 && (since.IsZero() || all[0].lastUsed.Before(since)) {
			longest, since = addr, all[0].lastUsed
		}
		return true
	})
	var c *connection
	p.idle.Update(longest, func(all []*connection, _ bool) ([]*connection, bool) {
		if len(all) == 0 {
			return nil, false
		}
		c = all[0]
		return all[1:], len(all) > 1
	})
	if c != nil {
		c.close()
	}
}

func (p *Pool) recordLoss(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Lost(now, idle)
}

func (p *Pool) mayReuse(now time.Time, idle time.Duration, repeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.MayUse(now, idle, repeatable)
}

// popIdle removes the idle connection that was used last among those that have not carried a
// request with the ID.
func (p *Pool) popIdle(addr netip.AddrPort, id amaranthtide.RequestID) (*connection, bool) {
	var c *connection
	p.idle.Update(addr, func(all []*connection, _ bool) ([]*connection, bool) {
		for i := len(all) - 1; i >= 0; i-- {
			if !all[i].carried.has(id) {
				c = all[i]
				return slices.Delete(all, i, i+1), len(all) > 1
			}
		}
		return all, len(all) > 0
	})
	return c, c != nil
}

// release makes a connection available for the next request, or closes it if there are
// enough idle ones.
func (p *Pool) release(c *connection, keep int) {
	if keep <= 0 {
		keep = defaultKeepIdle
	}
	if p.ctx.Err() != nil {
		c.close()
		return
	}
	full := false
	p.idle.Update(c.addr, func(all []*connection, _ bool) ([]*connection, bool) {
		if len(all) >= keep {
			full = true
			return all, true
		}
		return append(all, c), true
	})
	if full {
		c.close()
	}
}

// exchangeError returns the error of a request that ended without an answer.
func exchangeError(ctx context.Context, kind amaranthtide.Kind, addr netip.AddrPort, err error) error {
	ctxErr := ctx.Err()
	switch {
	case kind == amaranthtide.KindNoBackend:
	case errors.Is(ctxErr, context.Canceled):
		kind = amaranthtide.KindCanceled
	case ctxErr != nil:
		kind = amaranthtide.KindOutcomeUnknown
	}
	if ctxErr != nil {
		err = context.Cause(ctx) // the error from the closed connection would say less
	}
	return amaranthtide.Errorf(kind, "backend server %v: %w", addr, err)
}
