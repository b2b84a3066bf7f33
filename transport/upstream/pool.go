// Package upstream sends HTTP/1.1 requests to backend servers, each exactly once,
// over connections that are kept between requests.
//
// It exists beside net/http's Transport because that one sends a request again by
// itself when a kept connection dies, takes whatever arrives on a connection for
// the answer to the request in flight, and doesn't tell whether a byte was sent.
//
// # Usage
//
//	p := upstream.New(upstream.Options{})
//	defer p.Close()
//	resp, err := p.Do(ctx, upstream.Exchange{Addr: addr, Method: "GET", Message: raw, Match: match})
//	if amaranthtide.IsKind(err, amaranthtide.KindNoBackend) {
//		// No byte was handed to a connection.
//	}
//	defer resp.Body.Close() // keeps the connection if the body was read to its end
//
// A connection carries one request at a time. It is kept only if the answer ended
// cleanly, nothing followed it and the server did not ask to close it. After a request
// was lost on a connection that had idled, connections that idled half as long or
// longer are not used for a while.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

const (
	defaultDialTimeout = 200 * time.Millisecond
	defaultMaxIdle     = 2 * time.Second
	// idlePerServer bounds the kept connections to one server, since all routers
	// share what a server accepts.
	idlePerServer = 8
	// sweepInterval is how often connections that idled too long are closed.
	sweepInterval = time.Second
	// distrustDuration is how long a shorter idle time holds after a request was lost on
	// a connection that had idled.
	distrustDuration = 30 * time.Second
	// minDistrust is the shortest idle time that is distrusted: resets after less have
	// other causes.
	minDistrust = 50 * time.Millisecond
)

// Options are the settings of a Pool. Zero values mean the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection; 0 is 200 ms, many round
	// trips between zones.
	DialTimeout time.Duration
	// MaxIdle is the age from which an idle connection isn't used any more; 0 is 2 s.
	// A connection that was just used has proved that its path works.
	MaxIdle time.Duration
}

// Pool keeps connections. It is concurrent-safe. Use New.
type Pool struct {
	opts   Options
	idle   *shard.Map[netip.AddrPort, []*connection]
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// lostIdle is the shortest idle time after which a request was lost lately, lostAt
	// when that was last.
	lostIdle time.Duration
	lostAt   time.Time
}

// New returns a Pool without connections. Close it after use.
func New(opts Options) *Pool {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.MaxIdle <= 0 {
		opts.MaxIdle = defaultMaxIdle
	}
	p := &Pool{opts: opts, idle: shard.New[netip.AddrPort, []*connection](), done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return p
}

// Close closes the idle connections and waits for the sweep to end. Connections in
// use end with their requests.
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
			p.expire(time.Time{})
			return
		case <-ticker.C:
			p.expire(time.Now())
		}
	}
}

// expire closes the connections that idled too long by now; all if now is zero.
func (p *Pool) expire(now time.Time) {
	var addrs []netip.AddrPort
	p.idle.Range(func(addr netip.AddrPort, _ []*connection) bool {
		addrs = append(addrs, addr)
		return true
	})
	for _, addr := range addrs {
		var old []*connection
		p.idle.Update(addr, func(all []*connection, _ bool) ([]*connection, bool) {
			kept := all[:0]
			for _, c := range all {
				if now.IsZero() || now.After(c.expires) {
					old = append(old, c)
					continue
				}
				kept = append(kept, c)
			}
			return kept, len(kept) > 0
		})
		for _, c := range old {
			c.close()
		}
	}
}

// Exchange is one request and how its answer is recognized.
type Exchange struct {
	Addr netip.AddrPort
	// Method is the method of the request.
	Method string
	// Message is the whole request as it goes over the connection.
	Message []byte
	// Match reports whether an answer belongs to the request. Others are skipped.
	Match func(status int, h http.Header) bool
}

// Do sends the request once and returns the head of its answer. The body of the
// answer must be closed. Errors are KindNoBackend if no byte was sent,
// KindBackendFailed if what came is no answer, KindCanceled if ctx was canceled, and
// KindOutcomeUnknown in all other cases.
func (p *Pool) Do(ctx context.Context, e Exchange) (*http.Response, error) {
	for {
		c, kept, err := p.take(ctx, e.Addr)
		if err != nil {
			return nil, err
		}
		idle := time.Since(c.since)
		resp, sent, err := c.exchange(ctx, e)
		if err == nil {
			return resp, nil
		}
		c.close()
		if kept && ctx.Err() == nil && amaranthtide.IsKind(err, amaranthtide.KindOutcomeUnknown) {
			p.distrust(time.Now(), idle)
		}
		if sent || !kept {
			return nil, err
		}
		// The kept connection had ended before the first byte; another one serves.
	}
}

// take returns a kept connection, or a new one.
func (p *Pool) take(ctx context.Context, addr netip.AddrPort) (c *connection, kept bool, err error) {
	for {
		c, ok := p.pop(addr)
		if !ok {
			break
		}
		if now := time.Now(); now.Before(c.expires) && p.trusted(now, now.Sub(c.since)) && c.quiet() {
			return c, true, nil
		}
		c.close()
	}
	c, err = dial(ctx, p, addr)
	return c, false, err
}

// distrust notes that a request was lost on a connection that had idled for some time.
// Servers may drop idle connections without a word, and what is sent next is lost.
func (p *Pool) distrust(now time.Time, idle time.Duration) {
	if idle < minDistrust {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lostAt) > distrustDuration || idle < p.lostIdle {
		p.lostIdle = idle
	}
	p.lostAt = now
}

// trusted reports whether a connection that has idled for some time may be used. Half of
// the time after which a request was lost is safe enough.
func (p *Pool) trusted(now time.Time, idle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAt.IsZero() || now.Sub(p.lostAt) > distrustDuration || idle < p.lostIdle/2
}

func (p *Pool) pop(addr netip.AddrPort) (*connection, bool) {
	var c *connection
	p.idle.Update(addr, func(all []*connection, _ bool) ([]*connection, bool) {
		if len(all) == 0 {
			return nil, false
		}
		c = all[len(all)-1]
		all = all[:len(all)-1]
		return all, len(all) > 0
	})
	return c, c != nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *connection) {
	if p.ctx.Err() != nil {
		c.close()
		return
	}
	surplus := false
	p.idle.Update(c.addr, func(all []*connection, _ bool) ([]*connection, bool) {
		if len(all) >= idlePerServer {
			surplus = true
			return all, true
		}
		return append(all, c), true
	})
	if surplus {
		c.close()
	}
}

// failure returns the error of a request that ended without an answer.
func failure(ctx context.Context, kind amaranthtide.Kind, addr netip.AddrPort, err error) error {
	ended := ctx.Err()
	switch {
	case kind == amaranthtide.KindNoBackend:
	case errors.Is(ended, context.Canceled):
		kind = amaranthtide.KindCanceled
	case ended != nil:
		kind = amaranthtide.KindOutcomeUnknown
	}
	if ended != nil {
		err = context.Cause(ctx) // says more than the error of a connection that was closed
	}
	return amaranthtide.Errorf(kind, "backend server %v: %w", addr, err)
}
