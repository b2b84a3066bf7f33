// Package traffic counts the requests in flight at each backend server: exactly for
// this router, and as last reported for the other routers. It also holds the pace that servers
// report, the limits of requests that they announce, the bytes of the bodies of their requests, and
// the prompt tokens that they still have to read.
//
// Loads are aggregated along a tree: each router reports to the hub of its zone, the
// hubs exchange the sums of their zones, and a hub sends the totals to the routers that
// report to it. A router thus receives totals from its hub. A hub receives reports from
// the routers of its zone and the sums of the other zones from their hubs.
//
// # Usage
//
//	t := traffic.New()
//	t.Begin("engine-1")
//	defer t.End("engine-1")
//	t.ObserveReport(now, report)
//	load := t.Load(now, "engine-1")
//	pace := t.Server(now, "engine-1").Pace.Expected()
//	t.ServerNoticed(now, "engine-1", notice)
//	limit := t.Limit(now, "engine-1", instance.Started)
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
	// MaxReportAge is the age beyond which a router's report no longer counts: most of its
	// requests have ended by then, or the router has failed.
	MaxReportAge = 2 * time.Second
	// maxServerReportAge is the age up to which a server's own report counts. After about
	// one report interval of the routers, their reports are more recent.
	maxServerReportAge = 300 * time.Millisecond
	// sumReuseTime is how long a sum over all reports is reused, because computing it
	// visits every report.
	sumReuseTime = 50 * time.Millisecond
)

// Counter holds the loads of backend servers. It is safe for concurrent use. Create one
// with New.
type Counter struct {
	// own holds the requests in flight through this router.
	own *shard.Map[amaranthtide.BackendServerName, ownWork]
	// serverReports holds what servers reported about themselves.
	serverReports *shard.Map[amaranthtide.BackendServerName, receivedServerReport]
	// reports holds the last reports of routers that report to this one.
	reports *shard.Map[amaranthtide.VMName, receivedReport]
	// zoneReports holds the last zone sum from each hub of another zone.
	zoneReports *shard.Map[amaranthtide.VMName, receivedReport]
	// limits holds the limits that servers have announced to any router, limitCount their number.
	limits     *shard.Map[amaranthtide.BackendServerName, serverLimit]
	limitCount atomic.Int64
	// sentToHub holds the loads that were last sent to the hub.
	sentToHub atomic.Pointer[serverLoads]
	// hubTotals holds the totals of the hub minus sentToHub.
	hubTotals atomic.Pointer[timedLoads]
	// otherRouters caches the loads of all other routers.
	otherRouters atomic.Pointer[timedLoads]
}

type serverLoads = map[amaranthtide.BackendServerName]amaranthtide.ServerLoad

// receivedServerReport is what a server reported about itself.
type receivedServerReport struct {
	at   time.Time
	load int
	// slots is the last number of slots that the server reported; 0 is unknown.
	slots int
	// pace is the recent pace as of at.
	pace amaranthtide.PaceEstimate
}

// receivedReport is the last report of a router and the time at which it was received.
type receivedReport struct {
	report amaranthtide.LoadReport
	at     time.Time
}

// timedLoads holds the loads of other routers as of one time.
type timedLoads struct {
	at    time.Time
	loads serverLoads
}

// New returns a Counter without requests.
func New() *Counter {
	return &Counter{
		own:           shard.New[amaranthtide.BackendServerName, ownWork](),
		serverReports: shard.New[amaranthtide.BackendServerName, receivedServerReport](),
		reports:       shard.New[amaranthtide.VMName, receivedReport](),
		zoneReports:   shard.New[amaranthtide.VMName, receivedReport](),
		limits:        shard.New[amaranthtide.BackendServerName, serverLimit](),
	}
}

// Begin counts the start of a request to the server.
func (c *Counter) Begin(server amaranthtide.BackendServerName) {
	c.add(server, ownWork{requests: 1})
}

// End counts the end of a request to the server.
func (c *Counter) End(server amaranthtide.BackendServerName) {
	c.add(server, ownWork{requests: -1})
}

// ObserveReport stores the loads of a router that reports to this one. It returns false
// if the report is not newer than the stored one.
func (c *Counter) ObserveReport(now time.Time, r amaranthtide.LoadReport) bool {
	return c.observe(c.reports, now, r)
}

// ObserveZone stores the sum of another zone, sent by its hub. It returns false if the
// report is not newer than the stored one of that hub.
func (c *Counter) ObserveZone(now time.Time, r amaranthtide.LoadReport) bool {
	return c.observe(c.zoneReports, now, r)
}

func (c *Counter) observe(m *shard.Map[amaranthtide.VMName, receivedReport], now time.Time, r amaranthtide.LoadReport) bool {
	newer := false
	m.Update(r.From.VM, func(old receivedReport, ok bool) (receivedReport, bool) {
		newer = !ok || r.Newer(old.report)
		if !newer {
			return old, true
		}
		return receivedReport{r, now}, true
	})
	if newer {
		c.observeLimits(now, r.Loads)
	}
	return newer
}

// ObserveTotals stores the loads of the whole fleet, sent by the hub. It subtracts the
// loads that this router last reported, so that they don't count twice.
func (c *Counter) ObserveTotals(now time.Time, totals []amaranthtide.ServerLoad) {
	s := &timedLoads{at: now, loads: make(serverLoads, len(totals))}
	reported := c.sentToHub.Load()
	for _, l := range totals {
		if reported != nil {
			sent := (*reported)[l.Server]
			l.InFlight -= sent.InFlight
			l.BodyBytes -= sent.BodyBytes
		}
		l.InFlight, l.BodyBytes = max(l.InFlight, 0), max(l.BodyBytes, 0)
		s.loads[l.Server] = l
	}
	c.hubTotals.Store(s)
	c.observeLimits(now, totals)
}

// RecordHubReport records the loads that were sent to the hub.
func (c *Counter) RecordHubReport(sent []amaranthtide.ServerLoad) {
	m := make(serverLoads, len(sent))
	for _, l := range sent {
		m[l.Server] = l
	}
	c.sentToHub.Store(&m)
}

// SubtreeLoads returns the loads of this router and of those that report to it, ordered by
// server.
func (c *Counter) SubtreeLoads(now time.Time) []amaranthtide.ServerLoad {
	sum := c.ownLoads(now)
	c.addReports(now, sum)
	return sum.sorted()
}

// Totals returns the known loads of all routers, ordered by server.
func (c *Counter) Totals(now time.Time) []amaranthtide.ServerLoad {
	sum := c.ownLoads(now)
	c.addReports(now, sum)
	c.addRemoteLoads(now, sum)
	return sum.sorted()
}

// Highest returns the n highest loads, ordered by server. The receiver counts the
// omitted servers as idle and of usual pace: where the cap on the load of a server matters, the
// omitted loads are below it. A load counts by the time that it takes, so that a slow server
// without requests isn't omitted. Up to n/2 omitted servers of which a limit or its end is known are added,
// the newest ones: all of them are in some report, since each response of a server renews its limit.
func Highest(all []amaranthtide.ServerLoad, n int) []amaranthtide.ServerLoad {
	if len(all) <= n {
		return all
	}
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b amaranthtide.ServerLoad) int { return cmp.Compare(weightedLoad(b), weightedLoad(a)) })
	limited := slices.DeleteFunc(slices.Clone(out[n:]), func(l amaranthtide.ServerLoad) bool { return !l.Limit.Known() })
	slices.SortFunc(limited, func(a, b amaranthtide.ServerLoad) int { return cmp.Compare(a.Limit.Age, b.Limit.Age) })
	out = append(out[:n], limited[:min(len(limited), n/2)]...)
	slices.SortFunc(out, byServer)
	return out
}

func byServer(a, b amaranthtide.ServerLoad) int {
	return strings.Compare(string(a.Server), string(b.Server))
}

// largeBody is the size of bodies that counts like a request in the order of the loads.
const largeBody = 4 << 20

// weightedLoad returns the load as a number of requests at the usual pace, in percent.
func weightedLoad(l amaranthtide.ServerLoad) int {
	pace := max(l.Pace.Expected(), amaranthtide.UsualPace)
	return l.InFlight*int(pace) + int(pace-amaranthtide.UsualPace) + int(l.BodyBytes/largeBody)*int(amaranthtide.UsualPace)
}

func (c *Counter) ownLoads(now time.Time) loadSums {
	sum := make(loadSums)
	c.own.Range(func(name amaranthtide.BackendServerName, w ownWork) bool {
		sum.add(amaranthtide.ServerLoad{Server: name, InFlight: w.requests, BodyBytes: w.bodyBytes}, 0)
		return true
	})
	c.serverReports.Range(func(name amaranthtide.BackendServerName, r receivedServerReport) bool {
		if pace := r.pace.After(now.Sub(r.at)); c.mustReportPace(now, name, pace) {
			sum.add(amaranthtide.ServerLoad{Server: name, Pace: pace}, 0)
		}
		return true
	})
	c.addLimits(now, sum)
	return sum
}

// mustReportPace reports whether other routers have to know the pace of a server: it is slow, or
// they take the server for slow and it isn't. With all paces, reports would grow with the number of
// servers.
func (c *Counter) mustReportPace(now time.Time, server amaranthtide.BackendServerName, pace amaranthtide.PaceEstimate) bool {
	if pace.Pace == 0 || pace.Expected() > amaranthtide.SlowPace {
		return pace.Pace > 0
	}
	return c.otherRouterLoads(now).loads[server].Pace.Expected() > amaranthtide.SlowPace
}

func (c *Counter) addReports(now time.Time, sum loadSums) {
	c.reports.Range(func(_ amaranthtide.VMName, r receivedReport) bool {
		addReport(now, sum, r)
		return true
	})
}

// addRemoteLoads adds the loads of routers that don't report to this one, taken from
// recent totals of the hub or, without those, from the sums of the other zones. If
// several hubs of a zone sent sums, only the last one received counts.
func (c *Counter) addRemoteLoads(now time.Time, sum loadSums) {
	if totals := c.hubTotals.Load(); totals != nil && now.Sub(totals.at) <= MaxReportAge {
		for _, l := range totals.loads {
			sum.add(l, now.Sub(totals.at))
		}
		return
	}
	last := make(map[amaranthtide.ZoneName]receivedReport)
	c.zoneReports.Range(func(_ amaranthtide.VMName, r receivedReport) bool {
		if zone := r.report.From.Zone; r.at.After(last[zone].at) {
			last[zone] = r
		}
		return true
	})
	for _, r := range last {
		addReport(now, sum, r)
	}
}

func addReport(now time.Time, sum loadSums, r receivedReport) {
	if now.Sub(r.at) > MaxReportAge {
		return
	}
	for _, l := range r.report.Loads {
		sum.add(l, now.Sub(r.at))
	}
}

// Forget drops reports that were received before the given time, and limits that had expired then.
func (c *Counter) Forget(before time.Time) {
	c.forgetLimits(before)
	for _, m := range []*shard.Map[amaranthtide.VMName, receivedReport]{c.reports, c.zoneReports} {
		var old []amaranthtide.VMName
		m.Range(func(vm amaranthtide.VMName, r receivedReport) bool {
			if r.at.Before(before) {
				old = append(old, vm)
			}
			return true
		})
		for _, vm := range old {
			m.Update(vm, func(r receivedReport, ok bool) (receivedReport, bool) { return r, ok && !r.at.Before(before) })
		}
	}
}

// ServerReported implements a part of amaranthtide.ServerObserver.
func (c *Counter) ServerReported(now time.Time, server amaranthtide.BackendServerName, r amaranthtide.ServerReport) {
	c.serverReports.Update(server, func(last receivedServerReport, _ bool) (receivedServerReport, bool) {
		return last.followedBy(now, r), true
	})
}

// ServerGone removes the report and the limit of a server that is no longer listed.
func (c *Counter) ServerGone(server amaranthtide.BackendServerName) {
	c.serverReports.Delete(server)
	c.forgetLimit(server)
}

// Load returns the known requests of all routers at the server: the sum of the routers'
// loads, or the server's own recent report if that is higher.
func (c *Counter) Load(now time.Time, server amaranthtide.BackendServerName) int {
	own, _ := c.own.Get(server)
	last, _ := c.serverReports.Get(server)
	return last.loadAt(now, own.requests+c.otherRouterLoads(now).loads[server].InFlight)
}

// Age returns the age of the loads of other routers: the time since the hub's totals arrived or,
// without recent ones, since the last report of another router; 0 if there are none.
func (c *Counter) Age(now time.Time) time.Duration {
	if totals := c.hubTotals.Load(); totals != nil && now.Sub(totals.at) <= MaxReportAge {
		return now.Sub(totals.at)
	}
	var last time.Time
	for _, m := range []*shard.Map[amaranthtide.VMName, receivedReport]{c.reports, c.zoneReports} {
		m.Range(func(_ amaranthtide.VMName, r receivedReport) bool {
			if r.at.After(last) {
				last = r.at
			}
			return true
		})
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// otherRouterLoads returns the loads of all other routers. The result is reused for
// sumReuseTime.
func (c *Counter) otherRouterLoads(now time.Time) *timedLoads {
	if s := c.otherRouters.Load(); s != nil && now.Sub(s.at) < sumReuseTime && !now.Before(s.at) {
		return s
	}
	sum := make(loadSums)
	c.addReports(now, sum)
	c.addRemoteLoads(now, sum)
	s := &timedLoads{at: now, loads: make(serverLoads, len(sum))}
	for name, n := range sum {
		s.loads[name] = n.load(name)
	}
	c.otherRouters.Store(s)
	return s
}
