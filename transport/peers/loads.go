package peers

import (
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/mesh"
)

const (
	// heartbeatInterval is the longest time between reports without changes.
	heartbeatInterval = time.Second
	// unsolicitedTotalsInterval is how often a hub sends the totals to routers of its zone
	// that don't report to it. A router that restarted without the registry discovers the
	// hub by them.
	unsolicitedTotalsInterval = 2 * time.Second
	// maxTotals and maxZoneLoads limit the servers per message, so that the traffic of a
	// hub with many routers and servers fits a link of 10 Mbit/s.
	maxTotals    = 128
	maxZoneLoads = 512
	// hubProbesPerZone is the number of routers of another zone to which this zone's loads
	// are sent at a time while that zone's hub is unknown.
	hubProbesPerZone = 2
	// likelyHubProbes of them go to the first likelyHubs routers of the order in turn: the hub, and its successor
	// if it is lost.
	likelyHubProbes = 1
	likelyHubs      = 2
)

// newReport returns a report with the given loads and the next sequence number. The caller
// holds mu.
func (e *Exchange) newReport(now time.Time, loads []amaranthtide.ServerLoad) amaranthtide.LoadReport {
	e.sequence++
	return amaranthtide.LoadReport{
		From: e.opts.Self, Incarnation: e.opts.Incarnation, Sequence: e.sequence,
		DeclaredVersion: e.opts.Rows.MaxRowVersion(e.opts.DeclaredTable), RegistryVersion: e.opts.Rows.MaxRowVersion(e.opts.RegistryTable), Loads: loads,
		EvidenceHash: e.opts.Evidence.Hash(now),
	}
}

// sendReport sends the hub the loads of this router and of those that report to it, if the
// loads have changed or the last report is older than heartbeatInterval. Until the registry
// has this router's entry, the report also goes to the seeds. Suspected routers are probed from time
// to time with a report without loads.
func (e *Exchange) sendReport(now time.Time) {
	loads := e.opts.Traffic.SubtreeLoads(now)
	e.mu.Lock()
	hub, minInterval := e.currentHub(now), reportInterval(len(e.zoneRouters()))
	probes := e.addresses(e.suspectsToProbe(now)...)
	probe := e.newReport(now, nil)
	report := e.newReport(now, loads)
	unchanged := slices.Equal(loads, e.report.Loads) && report.DeclaredVersion == e.report.DeclaredVersion && report.RegistryVersion == e.report.RegistryVersion && report.EvidenceHash == e.report.EvidenceHash
	if !due(now, e.reportSentAt, minInterval) || unchanged && !due(now, e.reportSentAt, heartbeatInterval) {
		e.mu.Unlock()
		e.publish(message.TopicLoads, message.NewLoadReport(probe), probes)
		return
	}
	e.report, e.reportSentAt = report, now
	to := e.addresses(hub)
	if e.registeredEntry != e.opts.Self {
		to = append(to, e.seedAddresses()...)
	}
	if hub != e.opts.Self.VM {
		e.detector.RequestSent(now, hub)
	}
	e.mu.Unlock()
	e.opts.Traffic.RecordHubReport(loads)
	e.publish(message.TopicLoads, message.NewLoadReport(probe), probes)
	e.publish(message.TopicLoads, message.NewLoadReport(report), to)
}

// sendTotals sends the totals to the routers that report to this one. A hub also sends
// them, less often, to the other routers of its zone.
func (e *Exchange) sendTotals(now time.Time) {
	e.mu.Lock()
	zone := e.zoneRouters()
	if !due(now, e.totalsSentAt, reportInterval(len(zone))) {
		e.mu.Unlock()
		return
	}
	e.totalsSentAt = now
	isHub := e.currentHub(now) == e.opts.Self.VM
	var to []amaranthtide.VMName
	for name, r := range e.routers {
		switch {
		case now.Sub(r.lastReportAt) <= liveAge:
			to = append(to, name)
		case isHub && r.zone == e.opts.Self.Zone && due(now, r.unsolicitedTotalsAt, unsolicitedTotalsInterval):
			r.unsolicitedTotalsAt = now
			e.routers[name] = r
			to = append(to, name)
		}
	}
	if len(to) == 0 {
		e.mu.Unlock()
		return
	}
	addrs := e.addresses(to...)
	report := e.newReport(now, nil)
	report.Hubs = e.remoteHubs
	if isHub {
		report.Hubs = e.liveRemoteHubs(now)
	}
	e.mu.Unlock()
	report.Loads = traffic.Highest(e.opts.Traffic.Totals(now), maxTotals)
	e.publish(message.TopicTotals, message.NewLoadReport(report), addrs)
}

// liveRemoteHubs returns the hubs of other zones that have sent their zone's loads within
// liveAge. The caller holds mu.
func (e *Exchange) liveRemoteHubs(now time.Time) []amaranthtide.VMName {
	var hubs []amaranthtide.VMName
	for name, r := range e.routers {
		if now.Sub(r.lastZoneLoadsAt) <= liveAge {
			hubs = append(hubs, name)
		}
	}
	slices.Sort(hubs)
	return hubs
}

// sendZoneLoads sends the summed loads of the zone to the hubs of the other zones if this
// router is the hub of its zone.
func (e *Exchange) sendZoneLoads(now time.Time) {
	e.mu.Lock()
	if e.currentHub(now) != e.opts.Self.VM || !due(now, e.zoneLoadsSentAt, tickInterval) {
		e.mu.Unlock()
		return
	}
	e.zoneLoadsSentAt = now
	to := e.remoteHubAddresses(now)
	report := e.newReport(now, nil)
	e.mu.Unlock()
	report.Loads = traffic.Highest(e.opts.Traffic.SubtreeLoads(now), maxZoneLoads)
	e.publish(message.TopicZoneLoads, message.NewLoadReport(report), to)
}

// remoteHubAddresses returns the addresses of the live hubs of other zones. For a zone
// without a live hub it returns a few of the zone's routers, different ones in turn, until
// one of them answers as hub. The caller holds mu.
func (e *Exchange) remoteHubAddresses(now time.Time) []netip.AddrPort {
	routersByZone := make(map[amaranthtide.ZoneName][]amaranthtide.VMName)
	liveHubs := make(map[amaranthtide.ZoneName][]amaranthtide.VMName)
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone {
			continue
		}
		routersByZone[r.zone] = append(routersByZone[r.zone], name)
		if now.Sub(r.lastZoneLoadsAt) <= liveAge {
			liveHubs[r.zone] = append(liveHubs[r.zone], name)
		}
	}
	var out []netip.AddrPort
	for zone, names := range routersByZone {
		if len(liveHubs[zone]) > 0 {
			out = append(out, e.addresses(liveHubs[zone]...)...)
			continue
		}
		order := e.topRouters(hubOrderSalt, names, len(names))
		for _, i := range hubProbes(e.rotation, len(order)) {
			out = append(out, e.addresses(order[i])...)
		}
	}
	return out
}

// hubProbes returns the positions, in the order of the hubs, of the routers of a zone to which loads are sent while
// its hub is unknown. Some are the likely hubs, the first ones of the order; a walk through a large zone alone would
// take many seconds to reach them. The others find a hub that takes another router for the first one.
func hubProbes(rotation, n int) []int {
	var out []int
	for i := range min(hubProbesPerZone, n) {
		if i < likelyHubProbes {
			out = append(out, rotation%min(likelyHubs, n))
			continue
		}
		out = append(out, (rotation+i)%n)
	}
	return out
}

// receiveReport decodes a load report and updates the state of its sender. It requests rows
// that the sender has and this router should have received by now.
func (e *Exchange) receiveReport(now time.Time, msg *watermill.Message, updateSender func(*router)) (amaranthtide.LoadReport, bool) {
	var m message.LoadReport
	if !e.decode(msg, &m) {
		return amaranthtide.LoadReport{}, false
	}
	r, err := m.ToDomain()
	if err != nil {
		e.opts.Logger.Warn("load report dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return amaranthtide.LoadReport{}, false
	}
	if r.From.VM == e.opts.Self.VM {
		return amaranthtide.LoadReport{}, false
	}
	e.mu.Lock()
	known := e.observeRouter(now, r.From)
	if updateSender != nil {
		entry := e.routers[r.From.VM]
		updateSender(&entry)
		e.routers[r.From.VM] = entry
	}
	sender := e.routers[r.From.VM]
	sender.evidenceHash = r.EvidenceHash
	e.routers[r.From.VM] = sender
	// Until the registry has been read, the known routers may be a fraction of the fleet,
	// so they are not reported to OnRoutersChanged.
	var names []amaranthtide.VMName
	if !known && e.registryKnown() {
		names = e.routerNames()
	}
	e.mu.Unlock()
	if !known {
		e.opts.Logger.Info("router seen", "vm", r.From.VM, "zone", r.From.Zone)
	}
	if names != nil {
		e.opts.OnRoutersChanged(names)
	}
	newest := map[amaranthtide.FeedTable]amaranthtide.StoreVersion{e.opts.DeclaredTable: r.DeclaredVersion, e.opts.RegistryTable: r.RegistryVersion}
	for table, version := range newest {
		if e.opts.Follower.Behind(now, table, version) {
			e.requestRowsOf([]netip.AddrPort{r.From.Address}, table)
		}
	}
	return r, true
}

// handleLoads handles the loads of a router that reports to this one.
func (e *Exchange) handleLoads(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.receiveReport(now, msg, func(r *router) { r.lastReportAt = now })
	// A router that can't read the registry may report to a seed in another zone.
	if ok && r.From.Zone == e.opts.Self.Zone {
		e.opts.Traffic.ObserveReport(now, r)
	}
}

// handleZoneLoads handles the loads of another zone, sent by its hub.
func (e *Exchange) handleZoneLoads(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.receiveReport(now, msg, func(r *router) { r.lastZoneLoadsAt = now })
	if ok && r.From.Zone != e.opts.Self.Zone {
		e.opts.Traffic.ObserveZone(now, r)
	}
}

// handleTotals handles the loads of the whole fleet. Totals of a router other than the hub
// are ignored.
func (e *Exchange) handleTotals(msg *watermill.Message) {
	now := time.Now()
	r, ok := e.receiveReport(now, msg, nil)
	if !ok {
		return
	}
	e.mu.Lock()
	fromHub := e.currentHub(now) == r.From.VM
	if fromHub {
		e.remoteHubs, e.hubContactAt = r.Hubs, now
	}
	e.mu.Unlock()
	if fromHub {
		e.opts.Traffic.ObserveTotals(now, r.Loads)
	}
}
