package peers

import (
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/protocol/message"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/mesh"
)

const (
	// heartbeatInterval is the longest time between reports that say the same.
	heartbeatInterval = time.Second
	// noticeInterval is how often a hub tells the totals to routers of its zone that do
	// not report to it: one that restarted without the registry learns of the hub by it.
	noticeInterval = 2 * time.Second
	// maxTotals and maxZoneLoads bound the servers in a message, so that a hub with many
	// routers and servers stays within a link of 10 Mbit/s.
	maxTotals    = 128
	maxZoneLoads = 512
	// probedHubs is how many routers of another zone are told the sum of this one at a
	// time while that zone's hub is not known.
	probedHubs = 2
)

// newReport returns a report of the given loads. The caller holds mu.
func (e *Exchange) newReport(loads []amaranthtide.ServerLoad) amaranthtide.LoadReport {
	e.sequence++
	return amaranthtide.LoadReport{
		From: e.opts.Self, Incarnation: e.opts.Incarnation, Sequence: e.sequence,
		Declared: e.opts.Rows.Newest(e.opts.Declared), Registry: e.registry, Loads: loads,
	}
}

// sendReport sends the own loads and those of the routers that report here to the hub, if
// they have changed or the last report is old. Without the registry it also goes to the
// seeds. Routers that are suspected get a report without loads now and then.
func (e *Exchange) sendReport(now time.Time) {
	loads := e.opts.Traffic.Gathered(now)
	e.mu.Lock()
	hub, every := e.hubOf(now), interval(len(e.zone()))
	probes := e.addresses(e.suspects(now)...)
	probe := e.newReport(nil)
	report := e.newReport(loads)
	same := slices.Equal(loads, e.report.Loads) && report.Declared == e.report.Declared && report.Registry == e.report.Registry
	if !due(now, e.reportedAt, every) || same && !due(now, e.reportedAt, heartbeatInterval) {
		e.mu.Unlock()
		e.publish(message.TopicLoads, message.NewLoadReport(probe), probes)
		return
	}
	e.report, e.reportedAt = report, now
	to := e.addresses(hub)
	if !e.settled {
		to = append(to, e.seeds()...)
	}
	if hub != e.opts.Self.VM {
		e.detector.Asked(now, hub)
	}
	e.mu.Unlock()
	e.opts.Traffic.Reported(loads)
	e.publish(message.TopicLoads, message.NewLoadReport(probe), probes)
	e.publish(message.TopicLoads, message.NewLoadReport(report), to)
}

// sendTotals tells the totals to the routers that report here. The hub also tells them to
// those of its zone that don't, but seldom.
func (e *Exchange) sendTotals(now time.Time) {
	e.mu.Lock()
	zone := e.zone()
	if !due(now, e.totalsAt, interval(len(zone))) {
		e.mu.Unlock()
		return
	}
	e.totalsAt = now
	isHub := e.hubOf(now) == e.opts.Self.VM
	var to []amaranthtide.VMName
	for name, r := range e.routers {
		switch {
		case now.Sub(r.reported) <= liveAge:
			to = append(to, name)
		case isHub && r.zone == e.opts.Self.Zone && due(now, r.totals, noticeInterval):
			r.totals = now
			e.routers[name] = r
			to = append(to, name)
		}
	}
	if len(to) == 0 {
		e.mu.Unlock()
		return
	}
	addrs := e.addresses(to...)
	report := e.newReport(nil)
	report.Hubs = e.hubs
	if isHub {
		report.Hubs = e.heardHubs(now)
	}
	e.mu.Unlock()
	report.Loads = traffic.Highest(e.opts.Traffic.Totals(now), maxTotals)
	e.publish(message.TopicTotals, message.NewLoadReport(report), addrs)
}

// heardHubs returns the hubs of other zones that were heard lately. The caller holds mu.
func (e *Exchange) heardHubs(now time.Time) []amaranthtide.VMName {
	var hubs []amaranthtide.VMName
	for name, r := range e.routers {
		if now.Sub(r.hub) <= liveAge {
			hubs = append(hubs, name)
		}
	}
	slices.Sort(hubs)
	return hubs
}

// sendZoneLoads tells the hubs of the other zones the sum of this one, if this router is
// its hub.
func (e *Exchange) sendZoneLoads(now time.Time) {
	e.mu.Lock()
	if e.hubOf(now) != e.opts.Self.VM || !due(now, e.zonesAt, tickInterval) {
		e.mu.Unlock()
		return
	}
	e.zonesAt = now
	to := e.otherHubs(now)
	report := e.newReport(nil)
	e.mu.Unlock()
	report.Loads = traffic.Highest(e.opts.Traffic.Gathered(now), maxZoneLoads)
	e.publish(message.TopicZoneLoads, message.NewLoadReport(report), to)
}

// otherHubs returns the hubs of the other zones: those that were heard, or some routers of
// the zone in turn until one of them answers. The caller holds mu.
func (e *Exchange) otherHubs(now time.Time) []netip.AddrPort {
	zones := make(map[amaranthtide.ZoneName][]amaranthtide.VMName)
	heard := make(map[amaranthtide.ZoneName][]amaranthtide.VMName)
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone {
			continue
		}
		zones[r.zone] = append(zones[r.zone], name)
		if now.Sub(r.hub) <= liveAge {
			heard[r.zone] = append(heard[r.zone], name)
		}
	}
	var out []netip.AddrPort
	for zone, names := range zones {
		if len(heard[zone]) > 0 {
			out = append(out, e.addresses(heard[zone]...)...)
			continue
		}
		order := placement.First(hubOrder, names, len(names))
		for i := range min(probedHubs, len(order)) {
			out = append(out, e.addresses(order[(e.next+i)%len(order)])...)
		}
	}
	return out
}

// take decodes a load report and notes its sender. It asks for rows that the sender knows
// and this router should.
func (e *Exchange) take(now time.Time, msg *watermill.Message, note func(*router)) (amaranthtide.LoadReport, bool) {
	var m message.LoadReport
	if !e.decode(msg, &m) {
		return amaranthtide.LoadReport{}, false
	}
	r, err := m.Root()
	if err != nil {
		e.opts.Logger.Warn("load report dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return amaranthtide.LoadReport{}, false
	}
	if r.From.VM == e.opts.Self.VM {
		return amaranthtide.LoadReport{}, false
	}
	e.mu.Lock()
	known := e.observe(now, r.From)
	if note != nil {
		entry := e.routers[r.From.VM]
		note(&entry)
		e.routers[r.From.VM] = entry
	}
	// Before the registry was read, a few routers may look like all of them.
	var names []amaranthtide.VMName
	if !known && e.settled {
		names = e.names()
	}
	e.mu.Unlock()
	if !known {
		e.opts.Logger.Info("router seen", "vm", r.From.VM, "zone", r.From.Zone)
	}
	if names != nil {
		e.opts.Routers(names)
	}
	e.learn(r.Registry)
	if e.opts.Follower.Behind(now, e.opts.Declared, r.Declared) {
		e.requestTable(e.opts.Declared, r.From.Address)
	}
	return r, true
}

// loads takes the loads of a router that reports to this one.
func (e *Exchange) loads(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.take(now, msg, func(r *router) { r.reported = now })
	// A router of another zone reports to a seed while it lacks the registry.
	if ok && r.From.Zone == e.opts.Self.Zone {
		e.opts.Traffic.ObserveReport(now, r)
	}
}

// zoneLoads takes the loads of another zone.
func (e *Exchange) zoneLoads(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.take(now, msg, func(r *router) { r.hub = now })
	if ok && r.From.Zone != e.opts.Self.Zone {
		e.opts.Traffic.ObserveZone(now, r)
	}
}

// totals takes the loads of the whole fleet from the hub.
func (e *Exchange) totals(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.take(now, msg, nil)
	if !ok {
		return
	}
	e.mu.Lock()
	fromHub := e.hubOf(now) == r.From.VM
	if fromHub {
		e.hubs = r.Hubs
	}
	e.mu.Unlock()
	if fromHub {
		e.opts.Traffic.ObserveTotals(now, r.Loads)
	}
}
