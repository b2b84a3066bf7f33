// Package traffic counts the requests that this router has at each backend server
// and adds what the other routers report.
//
// # Usage
//
//	t := traffic.New()
//	t.Begin("engine-1")
//	defer t.End("engine-1")
//	t.Observe(now, report) // of another router
//	load := t.Load(now, "engine-1")
package traffic

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/state/roster"
	"amaranthtide/state/shard"
)

const (
	// MaxAge is the age from which a router's report no longer counts: its requests
	// have mostly ended by then, or it is gone.
	MaxAge = 2 * time.Second
	// selfReportAge is the age up to which a server's own report counts. It is newer than the
	// reports only for about one of their intervals.
	selfReportAge = 300 * time.Millisecond
	// sumAge bounds how often the reports are summed up. A sum walks all reports.
	sumAge = 50 * time.Millisecond
)

// Traffic is concurrent-safe. Use New. It implements amaranthtide.ServerObserver.
type Traffic struct {
	own    *shard.Map[amaranthtide.BackendServerName, int]
	self   *shard.Map[amaranthtide.BackendServerName, selfReport]
	roster *roster.Roster
	sums   atomic.Pointer[sums]
}

// selfReport is the load that a server reported itself.
type selfReport struct {
	at   time.Time
	load int
}

// sums holds the reported loads of all other routers at one time.
type sums struct {
	at    time.Time
	loads map[amaranthtide.BackendServerName]int
}

// New returns a Traffic without requests.
func New() *Traffic {
	return &Traffic{
		own:    shard.New[amaranthtide.BackendServerName, int](),
		self:   shard.New[amaranthtide.BackendServerName, selfReport](),
		roster: roster.New(),
	}
}

// Begin counts a request that is sent to the server.
func (t *Traffic) Begin(server amaranthtide.BackendServerName) {
	t.own.Update(server, func(n int, _ bool) (int, bool) { return n + 1, true })
}

// End counts a request that has ended.
func (t *Traffic) End(server amaranthtide.BackendServerName) {
	t.own.Update(server, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}

// Own returns the requests that this router has at each server, ordered by name.
func (t *Traffic) Own() []amaranthtide.ServerLoad {
	var out []amaranthtide.ServerLoad
	t.own.Range(func(name amaranthtide.BackendServerName, n int) bool {
		out = append(out, amaranthtide.ServerLoad{Server: name, InFlight: n})
		return true
	})
	slices.SortFunc(out, func(a, b amaranthtide.ServerLoad) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

// Observe takes the report of another router. It returns false if the report is
// older than the one known.
func (t *Traffic) Observe(now time.Time, r amaranthtide.Report) bool { return t.roster.Observe(now, r) }

// Peers returns the last reports of the other routers.
func (t *Traffic) Peers() []roster.Peer { return t.roster.Peers() }

// Forget drops reports that were received before the given time.
func (t *Traffic) Forget(before time.Time) { t.roster.Forget(before) }

// ServerReported implements amaranthtide.ServerObserver.
func (t *Traffic) ServerReported(now time.Time, server amaranthtide.BackendServerName, r amaranthtide.ServerReport) {
	t.self.Set(server, selfReport{now, r.InFlight + r.Waiting})
}

// ServerGone drops the report of a server that has left.
func (t *Traffic) ServerGone(server amaranthtide.BackendServerName) { t.self.Delete(server) }

// Load returns the requests that all routers have at the server, as far as is known:
// what the routers report, or what the server reported itself if that is more.
func (t *Traffic) Load(now time.Time, server amaranthtide.BackendServerName) int {
	own, _ := t.own.Get(server)
	load := own + t.reported(now).loads[server]
	if last, ok := t.self.Get(server); ok && now.Sub(last.at) <= selfReportAge {
		load = max(load, last.load)
	}
	return load
}

func (t *Traffic) reported(now time.Time) *sums {
	if s := t.sums.Load(); s != nil && now.Sub(s.at) < sumAge && !now.Before(s.at) {
		return s
	}
	s := &sums{at: now, loads: make(map[amaranthtide.BackendServerName]int)}
	for _, p := range t.roster.Peers() {
		if now.Sub(p.Received) > MaxAge {
			continue
		}
		for _, l := range p.Report.Loads {
			s.loads[l.Server] += l.InFlight
		}
	}
	t.sums.Store(s)
	return s
}
