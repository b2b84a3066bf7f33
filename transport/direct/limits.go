package direct

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/ratelimit"
)

// serverLimits is this router's part of the limits that servers announce.
type serverLimits struct {
	// held counts the requests that waited or were rejected because of limits.
	held atomic.Int64
	// used is the number of entries of servers, so that routers of fleets without limits take no lock.
	used atomic.Int64

	mu      sync.Mutex
	limiter *ratelimit.Limiter
	servers map[amaranthtide.BackendServerName]*usedLimit
}

// usedLimit is the limit of a server as this router last used it.
type usedLimit struct {
	// rate is 0 once the limit has ended, and logged is the rate in the last log line.
	rate, logged amaranthtide.RequestRate
	// waiting is the number of requests that wait for the server.
	waiting int
}

func newServerLimits(self amaranthtide.VMName) *serverLimits {
	return &serverLimits{limiter: ratelimit.New(self), servers: make(map[amaranthtide.BackendServerName]*usedLimit)}
}

func (l *serverLimits) setRouters(routers []amaranthtide.VMName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetRouters(routers)
}

// forget drops the state of a server.
func (l *serverLimits) forget(server amaranthtide.BackendServerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(server)
}

// drop is forget for callers that hold mu.
func (l *serverLimits) drop(server amaranthtide.BackendServerName) {
	l.limiter.Forget(server)
	if _, ok := l.servers[server]; ok {
		delete(l.servers, server)
		l.used.Add(-1)
	}
}

// wait counts a request that begins, or with -1 ends, to wait for the server.
func (l *serverLimits) wait(server amaranthtide.BackendServerName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.servers[server]; ok {
		u.waiting = max(0, u.waiting+n)
	}
}

// limit returns the rate that the server announces, 0 if there is none. It logs changes.
func (d *Dispatcher) limit(now time.Time, in amaranthtide.Instance) amaranthtide.RequestRate {
	limit := d.opts.Traffic.Limit(now, in.Name, in.Started)
	if limit.Rate == 0 && d.limits.used.Load() == 0 {
		return 0
	}
	d.limits.mu.Lock()
	message, before := d.limits.use(in.Name, limit)
	d.limits.mu.Unlock()
	if message != "" {
		d.opts.Logger.Info(message, "server", string(in.Name), "perSecond", float64(limit.Rate), "before", float64(before))
	}
	return limit.Rate
}

// use records the limit of a server, and returns what must be logged of it; empty if nothing. The bucket
// of a limit that has ended is kept for a while: the server may announce one again. The caller holds mu.
func (l *serverLimits) use(server amaranthtide.BackendServerName, limit amaranthtide.ServerLimit) (message string, before amaranthtide.RequestRate) {
	u, ok := l.servers[server]
	switch {
	case !ok && limit.Rate == 0:
		return "", 0
	case !ok:
		u = &usedLimit{}
		l.servers[server] = u
		l.used.Add(1)
	}
	before = u.logged
	if u.rate = limit.Rate; u.rate == 0 {
		l.limiter.End(server)
	}
	if message = ratelimit.Describe(before, limit.Rate); message != "" {
		u.logged = limit.Rate
	}
	if !limit.Known() && u.waiting == 0 {
		l.drop(server)
	}
	return message, before
}

// rateExclusion returns ExclusionRate if the server has a limit of which this router has no request left now,
// and when it has the next one; zero if only other routers send to the server.
func (d *Dispatcher) rateExclusion(now time.Time, in amaranthtide.Instance) (reason amaranthtide.Exclusion, until time.Time) {
	rate := d.limit(now, in)
	if rate == 0 {
		return "", time.Time{}
	}
	d.limits.mu.Lock()
	defer d.limits.mu.Unlock()
	at, ok := d.limits.limiter.Next(now, in.Name, rate)
	switch {
	case !ok:
		return amaranthtide.ExclusionRate, time.Time{}
	case now.Before(at):
		return amaranthtide.ExclusionRate, at
	default:
		return "", time.Time{}
	}
}

// admitWithinRate reports whether a request may be sent to the server now, and if the server has a limit,
// counts it.
func (d *Dispatcher) admitWithinRate(now time.Time, in amaranthtide.Instance) bool {
	rate := d.limit(now, in)
	if rate == 0 {
		return true
	}
	d.limits.mu.Lock()
	defer d.limits.mu.Unlock()
	return d.limits.limiter.Allow(now, in.Name, rate)
}

// preference returns how this router uses a server with a limit.
func (d *Dispatcher) preference(now time.Time, in amaranthtide.Instance) ratelimit.Preference {
	limit := d.opts.Traffic.Limit(now, in.Name, in.Started)
	if limit.Rate == 0 {
		return ratelimit.Ordinary
	}
	d.limits.mu.Lock()
	defer d.limits.mu.Unlock()
	return d.limits.limiter.Preference(in.Name, limit)
}

// unlimited returns the servers without a limit.
func (d *Dispatcher) unlimited(now time.Time, servers []amaranthtide.Instance) []amaranthtide.Instance {
	if !d.opts.Traffic.HasLimits() {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(in amaranthtide.Instance) bool {
		return d.opts.Traffic.Limit(now, in.Name, in.Started).Rate > 0
	})
}

// turn returns when this router may send a request to the limited server, after those that wait for it
// already, and false if it may not.
func (d *Dispatcher) turn(now time.Time, in amaranthtide.Instance) (at time.Time, ok bool) {
	d.limits.mu.Lock()
	defer d.limits.mu.Unlock()
	u, ok := d.limits.servers[in.Name]
	if !ok || u.rate == 0 {
		return time.Time{}, false
	}
	return d.limits.limiter.Turn(now, in.Name, u.rate, u.waiting)
}

// holdBack counts the request once that waits or is rejected because of a limit.
func (r *requestRun) holdBack() {
	if !r.heldBack {
		r.heldBack = true
		r.dispatcher.limits.held.Add(1)
	}
}

// HeldByLimits returns the number of requests that waited or were rejected because of servers' limits.
func (d *Dispatcher) HeldByLimits() int64 { return d.limits.held.Load() }
