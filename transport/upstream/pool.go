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
	// maxIdlePerServer bounds the kept connections to one server, since all routers
	// share what a server accepts.
	maxIdlePerServer = 8
	// sweepInterval is how often connections that idled too long are closed.
	sweepInterval = time.Second
	// lossWindow is how long a shorter idle time holds after a request was lost on
	// a connection that had idled.
	lossWindow = 30 * time.Second
	// minLossIdle is the shortest idle time that is distrusted: resets after less have
	// other causes.
	minLossIdle = 50 * time.Millisecond
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
	// shortestLossIdle is the shortest idle time after which a request was lost lately, lostAt
	// when that was last.
	shortestLossIdle time.Duration
	lastLoss         time.Time
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
	go p.closeExpiredLoop()
	return p
}

// Close closes the idle connections and waits for the sweep to end. Connections in
// use end with their requests.
func (p *Pool) Close() {
	p.cancel()
	<-p.done
}

func (p *Pool) closeExpiredLoop() {
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

// closeExpired closes the connections that idled too long by now; all if now is zero.
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
		c, reused, err := p.acquire(ctx, e.Addr)
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
		// The kept connection had ended before the first byte; another one serves.
	}
}

// acquire returns a kept connection, or a new one.
func (p *Pool) acquire(ctx context.Context, addr netip.AddrPort) (c *connection, reused bool, err error) {
	for {
		c, ok := p.popIdle(addr)
		if !ok {
			break
		}
		if now := time.Now(); now.Before(c.expires) && p.mayReuse(now, now.Sub(c.lastUsed)) && c.isUsable() {
			return c, true, nil
		}
		c.close()
	}
	c, err = dial(ctx, p, addr)
	return c, false, err
}

// recordLoss notes that a request was lost on a connection that had idled for some time.
// Servers may drop idle connections without a word, and what is sent next is lost.
func (p *Pool) recordLoss(now time.Time, idle time.Duration) {
	if idle < minLossIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastLoss) > lossWindow || idle < p.shortestLossIdle {
		p.shortestLossIdle = idle
	}
	p.lastLoss = now
}

// mayReuse reports whether a connection that has idled for some time may be used. Half of
// the time after which a request was lost is safe enough.
func (p *Pool) mayReuse(now time.Time, idle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLoss.IsZero() || now.Sub(p.lastLoss) > lossWindow || idle < p.shortestLossIdle/2
}

func (p *Pool) popIdle(addr netip.AddrPort) (*connection, bool) {
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

// release keeps a connection for the next request.
func (p *Pool) release(c *connection) {
	if p.ctx.Err() != nil {
		c.close()
		return
	}
	full := false
	p.idle.Update(c.addr, func(all []*connection, _ bool) ([]*connection, bool) {
		if len(all) >= maxIdlePerServer {
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
		err = context.Cause(ctx) // says more than the error of a connection that was closed
	}
	return amaranthtide.Errorf(kind, "backend server %v: %w", addr, err)
}
