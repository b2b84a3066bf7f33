package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/reading"
)

const (
	// hubOrderSalt and readerOrderSalt seed the orders that determine a zone's hub and its
	// readers. They differ, so that both duties fall to different routers.
	hubOrderSalt    = "hub"
	readerOrderSalt = "reader"
	// maxHubReportsPerSecond limits the reports that a hub receives and the totals that it
	// sends per second. Routers of larger zones report less often.
	maxHubReportsPerSecond = 250
	// A router is suspected once it has left a message unanswered for missedReports report
	// intervals, and at least for minSuspicionTimeout.
	minSuspicionTimeout = time.Second
	missedReports       = 3
)

// router is the known state of another router.
type router struct {
	addr          netip.AddrPort
	zone          amaranthtide.ZoneName
	linkMegabits  int
	registered    bool
	lastMessageAt time.Time
	// lastReportAt is when the router last sent its loads, lastZoneLoadsAt when it last
	// sent those of its zone.
	lastReportAt    time.Time
	lastZoneLoadsAt time.Time
	// lastRequestAt is when the router last requested rows.
	lastRequestAt time.Time
	// evidenceHash is the hash over the router's evidence that it last reported,
	// evidenceSent the one that was last sent to it, at evidenceSentAt.
	evidenceHash, evidenceSent amaranthtide.EvidenceHash
	evidenceSentAt             time.Time
	// unsolicitedTotalsAt is when the router was last sent totals without reporting here.
	unsolicitedTotalsAt time.Time
}

// observeRouter records a message from the given router and reports whether the router was
// known. The caller holds mu.
func (e *Exchange) observeRouter(now time.Time, from amaranthtide.RouterEntry) (known bool) {
	r, known := e.routers[from.VM]
	r.addr, r.zone, r.linkMegabits, r.lastMessageAt = from.Address, from.Zone, from.LinkMegabits, now
	e.routers[from.VM] = r
	e.detector.MessageReceived(from.VM)
	return known
}

// observeAddress records a message from the router at the address, if it is known, and
// returns its name. update, if not nil, updates the state of the router.
func (e *Exchange) observeAddress(now time.Time, addr netip.AddrPort, update func(*router)) amaranthtide.VMName {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.routers {
		if r.addr != addr {
			continue
		}
		r.lastMessageAt = now
		if update != nil {
			update(&r)
		}
		e.routers[name] = r
		e.detector.MessageReceived(name)
		return name
	}
	return ""
}

// zoneRouters returns the routers of this zone, this router first. The caller holds mu.
func (e *Exchange) zoneRouters() []amaranthtide.VMName {
	names := []amaranthtide.VMName{e.opts.Self.VM}
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone {
			names = append(names, name)
		}
	}
	return names
}

// responsiveRouters returns the routers of this zone that are not suspected, including this
// router. The caller holds mu.
func (e *Exchange) responsiveRouters(now time.Time) []amaranthtide.VMName {
	names := e.zoneRouters()
	timeout := e.suspicionTimeout(len(names))
	return slices.DeleteFunc(names, func(vm amaranthtide.VMName) bool { return e.detector.Suspected(now, vm, timeout) })
}

// suspectsToProbe returns the suspected routers of this zone whose next probe is due, and
// records the probe. The caller holds mu.
func (e *Exchange) suspectsToProbe(now time.Time) []amaranthtide.VMName {
	names := e.zoneRouters()
	timeout := e.suspicionTimeout(len(names))
	return slices.DeleteFunc(names, func(vm amaranthtide.VMName) bool {
		return !e.detector.Suspected(now, vm, timeout) || !e.detector.TryProbe(now, vm)
	})
}

// reportInterval returns the time between two reports of a router in a zone with the given
// number of routers.
func reportInterval(routers int) time.Duration {
	return max(tickInterval, time.Duration(routers)*time.Second/maxHubReportsPerSecond)
}

func (e *Exchange) suspicionTimeout(routers int) time.Duration {
	return max(minSuspicionTimeout, missedReports*reportInterval(routers))
}

// due reports whether a message that was last sent at the given time is due at this tick.
// Half a tick of tolerance keeps a tick that comes slightly early from delaying the message
// to the next one.
func due(now, last time.Time, interval time.Duration) bool {
	return now.Sub(last) >= interval-tickInterval/2
}

// currentHub returns the hub of this zone, which may be this router. The caller holds mu.
func (e *Exchange) currentHub(now time.Time) amaranthtide.VMName {
	hub := e.topRouters(hubOrderSalt, e.responsiveRouters(now), 1)[0]
	if hub != e.hub {
		e.opts.Logger.Info("hub of the zone changed", "hub", hub, "before", e.hub)
		e.hub = hub
	}
	return hub
}

// topRouters returns the first n of the given routers: those with the fastest links, and
// among equal ones the first in the rendezvous order of the salt. The caller holds mu.
func (e *Exchange) topRouters(salt string, names []amaranthtide.VMName, n int) []amaranthtide.VMName {
	ranked := placement.TopRouters(salt, names, len(names))
	slices.SortStableFunc(ranked, func(a, b amaranthtide.VMName) int { return cmp.Compare(e.linkMegabits(b), e.linkMegabits(a)) })
	return ranked[:min(n, len(ranked))]
}

// linkMegabits returns the bandwidth of a router's link. The caller holds mu.
func (e *Exchange) linkMegabits(vm amaranthtide.VMName) int {
	if vm == e.opts.Self.VM {
		return e.opts.Self.LinkMegabits
	}
	return e.routers[vm].linkMegabits
}

// readers returns the readers of this zone in the order in which they take over. The caller
// holds mu.
func (e *Exchange) readers(now time.Time) []amaranthtide.VMName {
	return e.topRouters(readerOrderSalt, e.responsiveRouters(now), reading.ReadersPerZone)
}

// zones returns the zones of all known routers, in the order in which their readers take
// over. The caller holds mu.
func (e *Exchange) zones() []amaranthtide.ZoneName {
	zones := []amaranthtide.ZoneName{e.opts.Self.Zone}
	for _, r := range e.routers {
		if !slices.Contains(zones, r.zone) {
			zones = append(zones, r.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Position returns the position of this router in the order in which routers take over the
// reading of the feed.
func (e *Exchange) Position(now time.Time) reading.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.position(now)
}

// position implements Position. The caller holds mu.
func (e *Exchange) position(now time.Time) reading.Position {
	return reading.Position{
		Zone:        slices.Index(e.zones(), e.opts.Self.Zone),
		Router:      slices.Index(e.readers(now), e.opts.Self.VM), // -1 is reading.NotReader
		ZoneRouters: len(e.zoneRouters()),
	}
}

// ResponsivePeers returns the number of other routers of the zone that are not suspected.
func (e *Exchange) ResponsivePeers(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.responsiveRouters(now)) - 1
}

// addresses returns the distinct addresses of the given routers; unknown routers are
// skipped. The caller holds mu.
func (e *Exchange) addresses(names ...amaranthtide.VMName) []netip.AddrPort {
	var out []netip.AddrPort
	for _, name := range names {
		if r, ok := e.routers[name]; ok && !slices.Contains(out, r.addr) {
			out = append(out, r.addr)
		}
	}
	return out
}

// seedAddresses returns the seeds without this router's own address.
func (e *Exchange) seedAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, addr := range e.opts.Seeds {
		if addr != e.opts.Self.Address {
			out = append(out, addr)
		}
	}
	return out
}

// routerNames returns the names of all known routers, including this one. The caller holds
// mu.
func (e *Exchange) routerNames() []amaranthtide.VMName {
	names := make([]amaranthtide.VMName, 0, len(e.routers)+1)
	names = append(names, e.opts.Self.VM)
	for name := range e.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
