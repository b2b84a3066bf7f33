// Package traffic counts the requests that this router has at each backend server
// and adds what the other routers have there.
//
// The loads of a fleet are gathered along a tree: each router reports to the hub of its
// zone, the hubs exchange the sums of their zones, and a hub tells the totals to the
// routers that report to it. Reports are those of routers below this one, totals those
// of the hub above it; the hub itself has the sums of the other zones instead.
//
// # Usage
//
//	t := traffic.New()
//	t.Begin("engine-1")
//	defer t.End("engine-1")
//	t.ObserveReport(now, report)
//	load := t.Load(now, "engine-1")
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

const (
	// MaxAge is the age from which what a router told no longer counts: its requests
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
	own     *shard.Map[amaranthtide.BackendServerName, int]
	self    *shard.Map[amaranthtide.BackendServerName, selfReport]
	reports *shard.Map[amaranthtide.VMName, received]
	zones   *shard.Map[amaranthtide.VMName, received]
	// reported is what the hub was told last, above what its totals hold beyond that.
	reported atomic.Pointer[loads]
	above    atomic.Pointer[sums]
	others   atomic.Pointer[sums]
}

type loads = map[amaranthtide.BackendServerName]int

// selfReport is the load that a server reported itself.
type selfReport struct {
	at   time.Time
	load int
}

// received is the last report of a router.
type received struct {
	report amaranthtide.LoadReport
	at     time.Time
}

// sums holds loads of other routers at one time.
type sums struct {
	at    time.Time
	loads loads
}

// New returns a Traffic without requests.
func New() *Traffic {
	return &Traffic{
		own:     shard.New[amaranthtide.BackendServerName, int](),
		self:    shard.New[amaranthtide.BackendServerName, selfReport](),
		reports: shard.New[amaranthtide.VMName, received](),
		zones:   shard.New[amaranthtide.VMName, received](),
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

// ObserveReport takes the loads of a router that reports to this one. It returns false if
// the report is older than the one known.
func (t *Traffic) ObserveReport(now time.Time, r amaranthtide.LoadReport) bool {
	return observe(t.reports, now, r)
}

// ObserveZone takes the loads of another zone, told by its hub. It returns false if the
// report is older than the one known.
func (t *Traffic) ObserveZone(now time.Time, r amaranthtide.LoadReport) bool {
	return observe(t.zones, now, r)
}

func observe(m *shard.Map[amaranthtide.VMName, received], now time.Time, r amaranthtide.LoadReport) bool {
	news := false
	m.Update(r.From.VM, func(old received, ok bool) (received, bool) {
		news = !ok || r.Newer(old.report)
		if !news {
			return old, true
		}
		return received{r, now}, true
	})
	return news
}

// ObserveTotals takes the loads of the whole fleet, told by the hub.
func (t *Traffic) ObserveTotals(now time.Time, totals []amaranthtide.ServerLoad) {
	s := &sums{at: now, loads: make(loads, len(totals))}
	reported := t.reported.Load()
	for _, l := range totals {
		n := l.InFlight
		if reported != nil {
			n -= (*reported)[l.Server]
		}
		if n > 0 {
			s.loads[l.Server] = n
		}
	}
	t.above.Store(s)
}

// Reported notes what the hub was told.
func (t *Traffic) Reported(told []amaranthtide.ServerLoad) {
	m := make(loads, len(told))
	for _, l := range told {
		m[l.Server] = l.InFlight
	}
	t.reported.Store(&m)
}

// Gathered returns the requests of this router and of those that report to it, ordered by
// server.
func (t *Traffic) Gathered(now time.Time) []amaranthtide.ServerLoad {
	sum := t.ownLoads()
	t.addReports(now, sum)
	return sorted(sum)
}

// Totals returns the requests of all routers, as far as is known, ordered by server.
func (t *Traffic) Totals(now time.Time) []amaranthtide.ServerLoad {
	sum := t.ownLoads()
	t.addReports(now, sum)
	t.addAbove(now, sum)
	return sorted(sum)
}

// Highest returns the given number of highest loads, ordered by server. The others are
// below the cap on the load of a server wherever that matters.
func Highest(all []amaranthtide.ServerLoad, n int) []amaranthtide.ServerLoad {
	if len(all) <= n {
		return all
	}
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b amaranthtide.ServerLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
	out = out[:n]
	slices.SortFunc(out, byServer)
	return out
}

func byServer(a, b amaranthtide.ServerLoad) int {
	return strings.Compare(string(a.Server), string(b.Server))
}

func (t *Traffic) ownLoads() loads {
	sum := make(loads)
	t.own.Range(func(name amaranthtide.BackendServerName, n int) bool {
		sum[name] = n
		return true
	})
	return sum
}

func (t *Traffic) addReports(now time.Time, sum loads) {
	t.reports.Range(func(_ amaranthtide.VMName, r received) bool {
		add(now, sum, r)
		return true
	})
}

// addAbove adds the requests of routers that don't report to this one: by the totals of
// the hub, or by the sums of the other zones if there is no hub above.
func (t *Traffic) addAbove(now time.Time, sum loads) {
	if above := t.above.Load(); above != nil && now.Sub(above.at) <= MaxAge {
		for name, n := range above.loads {
			sum[name] += n
		}
		return
	}
	last := make(map[amaranthtide.ZoneName]received)
	t.zones.Range(func(_ amaranthtide.VMName, r received) bool {
		if zone := r.report.From.Zone; r.at.After(last[zone].at) {
			last[zone] = r
		}
		return true
	})
	for _, r := range last {
		add(now, sum, r)
	}
}

func add(now time.Time, sum loads, r received) {
	if now.Sub(r.at) > MaxAge {
		return
	}
	for _, l := range r.report.Loads {
		sum[l.Server] += l.InFlight
	}
}

func sorted(sum loads) []amaranthtide.ServerLoad {
	out := make([]amaranthtide.ServerLoad, 0, len(sum))
	for name, n := range sum {
		out = append(out, amaranthtide.ServerLoad{Server: name, InFlight: n})
	}
	slices.SortFunc(out, byServer)
	return out
}

// Forget drops reports that were received before the given time.
func (t *Traffic) Forget(before time.Time) {
	for _, m := range []*shard.Map[amaranthtide.VMName, received]{t.reports, t.zones} {
		var old []amaranthtide.VMName
		m.Range(func(vm amaranthtide.VMName, r received) bool {
			if r.at.Before(before) {
				old = append(old, vm)
			}
			return true
		})
		for _, vm := range old {
			m.Update(vm, func(r received, ok bool) (received, bool) { return r, ok && !r.at.Before(before) })
		}
	}
}

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
	load := own + t.reportedByOthers(now).loads[server]
	if last, ok := t.self.Get(server); ok && now.Sub(last.at) <= selfReportAge {
		load = max(load, last.load)
	}
	return load
}

func (t *Traffic) reportedByOthers(now time.Time) *sums {
	if s := t.others.Load(); s != nil && now.Sub(s.at) < sumAge && !now.Before(s.at) {
		return s
	}
	s := &sums{at: now, loads: make(loads)}
	t.addReports(now, s.loads)
	t.addAbove(now, s.loads)
	t.others.Store(s)
	return s
}
