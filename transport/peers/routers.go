package peers

import (
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

const (
	// hubOrderSalt names the order of a zone's routers in which they are its hub. It differs
	// from that of the readers, so that both duties fall to different routers.
	hubOrderSalt = "hub"
	// readersPerZone is how many routers of a zone read the relayed table: one may be
	// down or cut off from the platform without a delay for the others.
	readersPerZone = 2
	// maxHubReportsPerSecond bounds the reports that reach a hub in a second, and the totals that it
	// sends: larger zones report less often.
	maxHubReportsPerSecond = 100
	// minSuspicionTimeout is the least time for which a router may leave a question unanswered
	// until others take its place, silentReports the number of intervals of reports.
	minSuspicionTimeout = 1300 * time.Millisecond
	missedReports       = 3
)

// router is what is known of another router.
type router struct {
	addr          netip.AddrPort
	zone          amaranthtide.ZoneName
	registered    bool
	lastMessageAt time.Time
	// lastReportAt is when it last sent its loads, hub when it last sent those of its zone.
	lastReportAt    time.Time
	lastZoneLoadsAt time.Time
	// unsolicitedTotalsAt is when it was last told the unsolicitedTotalsAt without having asked.
	unsolicitedTotalsAt time.Time
}

// observeRouter notes a message of the router that it names. The caller holds mu.
func (e *Exchange) observeRouter(now time.Time, from amaranthtide.RouterEntry) (known bool) {
	r, known := e.routers[from.VM]
	r.addr, r.zone, r.lastMessageAt = from.Address, from.Zone, now
	e.routers[from.VM] = r
	e.detector.Heard(from.VM)
	return known
}

// observeAddress notes a message of the router at the address, if it is known.
func (e *Exchange) observeAddress(now time.Time, addr netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.routers {
		if r.addr == addr {
			r.lastMessageAt = now
			e.routers[name] = r
			e.detector.Heard(name)
			return
		}
	}
}

// zoneRouters returns the routers of the own zoneRouters, this one first. The caller holds mu.
func (e *Exchange) zoneRouters() []amaranthtide.VMName {
	names := []amaranthtide.VMName{e.opts.Self.VM}
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone {
			names = append(names, name)
		}
	}
	return names
}

// responsiveRouters returns the routers of the own zone that are not suspected, this one among
// them. The caller holds mu.
func (e *Exchange) responsiveRouters(now time.Time) []amaranthtide.VMName {
	names := e.zoneRouters()
	timeout := e.suspicionTimeout(len(names))
	return slices.DeleteFunc(names, func(vm amaranthtide.VMName) bool { return e.detector.Suspected(now, vm, timeout) })
}

// suspectsToProbe returns the suspected routers of the own zone that are to be asked again. The
// caller holds mu.
func (e *Exchange) suspectsToProbe(now time.Time) []amaranthtide.VMName {
	names := e.zoneRouters()
	timeout := e.suspicionTimeout(len(names))
	return slices.DeleteFunc(names, func(vm amaranthtide.VMName) bool {
		return !e.detector.Suspected(now, vm, timeout) || !e.detector.Probe(now, vm)
	})
}

// reportInterval returns the time between the reports of a router in a zone of that size.
func reportInterval(routers int) time.Duration {
	return max(tickInterval, time.Duration(routers)*time.Second/maxHubReportsPerSecond)
}

func (e *Exchange) suspicionTimeout(routers int) time.Duration {
	return max(minSuspicionTimeout, missedReports*reportInterval(routers))
}

// due reports whether something that was last sent then is to be sent at this tick.
func due(now, last time.Time, interval time.Duration) bool {
	return now.Sub(last) >= interval-tickInterval/2
}

// currentHub returns the hub of the own zone, which may be this router. The caller holds mu.
func (e *Exchange) currentHub(now time.Time) amaranthtide.VMName {
	hub := placement.First(hubOrderSalt, e.responsiveRouters(now), 1)[0]
	if hub != e.hub {
		e.opts.Logger.Info("hub of the zone changed", "hub", hub, "before", e.hub)
		e.hub = hub
	}
	return hub
}

// readers returns the routers of the own zone that read the relayed table. The caller
// holds mu.
func (e *Exchange) readers(now time.Time) []amaranthtide.VMName {
	return placement.First(string(e.opts.Relayed), e.responsiveRouters(now), readersPerZone)
}

// Rank returns the place of this router among the readers of its zone; -1 if it is none.
func (e *Exchange) Rank(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Index(e.readers(now), e.opts.Self.VM)
}

// Trusted returns the number of other routers of the zone that leave no question
// unanswered.
func (e *Exchange) Trusted(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.responsiveRouters(now)) - 1
}

// addresses returns the addresses of the routers that are known, without repeats. The
// caller holds mu.
func (e *Exchange) addresses(names ...amaranthtide.VMName) []netip.AddrPort {
	var out []netip.AddrPort
	for _, name := range names {
		if r, ok := e.routers[name]; ok && !slices.Contains(out, r.addr) {
			out = append(out, r.addr)
		}
	}
	return out
}

// seedAddresses returns the routers of the settings but this one.
func (e *Exchange) seedAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, addr := range e.opts.Seeds {
		if addr != e.opts.Self.Address {
			out = append(out, addr)
		}
	}
	return out
}

// routerNames returns all known routers, this one among them. The caller holds mu.
func (e *Exchange) routerNames() []amaranthtide.VMName {
	names := make([]amaranthtide.VMName, 0, len(e.routers)+1)
	names = append(names, e.opts.Self.VM)
	for name := range e.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
