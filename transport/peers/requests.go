package peers

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	"amaranthtide/protocol/message"
)

// requestRows requests the rows that this router may lack, unless it is the first reader and
// reads the feed. A router that has taken over from an earlier one requests them too, and
// thereby learns when that one reads again. A router whose view is stale requests them from
// any router that may have a newer view, another one each time. Without any known router,
// it asks the seeds.
func (e *Exchange) requestRows(now time.Time) {
	if e.opts.Follower.Reading(now) && e.Position(now).IsFirst() {
		return
	}
	stale := e.opts.Follower.Stale(now)
	interval := requestInterval
	if stale {
		interval = staleRequestInterval
	}
	e.mu.Lock()
	if !due(now, e.rowsRequestedAt, interval) {
		e.mu.Unlock()
		return
	}
	e.rowsRequestedAt = now
	e.rotation++
	sources := e.rowSources(now, stale)
	for _, source := range sources {
		if e.routers[source].zone == e.opts.Self.Zone {
			e.detector.RequestSent(now, source)
		}
	}
	to := e.addresses(sources...)
	if len(sources) == 0 {
		to = e.seedAddresses()
	}
	e.mu.Unlock()
	e.requestTables(to)
}

// rowSources returns the routers to request rows from. The caller holds mu.
func (e *Exchange) rowSources(now time.Time, stale bool) []amaranthtide.VMName {
	if stale {
		return e.inTurn(e.possibleSources(now))
	}
	earlier := e.readersOfEarlierZones()
	if e.position(now).Router != 0 || len(earlier) == 0 {
		return e.inTurn(e.readers(now))
	}
	// The readers of the first zone relay the feed to the routers that request rows. So does
	// another router while these can't read it.
	sources := e.inTurn(earlier[:min(reading.ReadersPerZone, len(earlier))])
	if now.Sub(e.viewSourceAt) <= liveAge && !slices.Contains(sources, e.viewSource) {
		sources = append(sources, e.viewSource)
	}
	return sources
}

// inTurn returns one of the routers other than this one, the next with each request. The
// caller holds mu.
func (e *Exchange) inTurn(names []amaranthtide.VMName) []amaranthtide.VMName {
	names = slices.DeleteFunc(slices.Clone(names), func(vm amaranthtide.VMName) bool { return vm == e.opts.Self.VM })
	if len(names) == 0 {
		return nil
	}
	i := e.rotation % len(names)
	return names[i : i+1]
}

// possibleSources returns the routers that may have a newer view than this one: the readers
// of this and of earlier zones, the hubs, and a random router of the zone, since all others
// may have lost the feed. The caller holds mu.
func (e *Exchange) possibleSources(now time.Time) []amaranthtide.VMName {
	names := append(slices.Clone(e.readers(now)), e.readersOfEarlierZones()...)
	names = append(names, e.currentHub(now))
	names = append(names, e.remoteHubs...)
	names = append(names, e.liveRemoteHubs(now)...)
	responsive := e.responsiveRouters(now)
	names = append(names, responsive[rand.N(len(responsive))])
	if slices.ContainsFunc(names, func(vm amaranthtide.VMName) bool { return vm != e.opts.Self.VM }) {
		return names
	}
	return e.routerNames()
}

// requestTables requests the rows of the polled table that are newer than the known ones,
// and those of tables that this router has nothing of. Other tables are requested when a
// message shows that rows were missed.
func (e *Exchange) requestTables(to []netip.AddrPort) {
	tables := []amaranthtide.FeedTable{e.opts.PolledTable}
	for _, table := range e.tables()[1:] {
		if _, known := e.opts.Rows.Version(table).Get(); !known {
			tables = append(tables, table)
		}
	}
	e.requestRowsOf(to, tables...)
}

// requestMissed requests rows that the sender of a message has and this router lacks. A
// table that is complete up to the version lacks nothing, even if it has no row of that
// version: the row was removed.
func (e *Exchange) requestMissed(now time.Time, sender netip.AddrPort, newest []message.TableVersion) {
	for _, n := range newest {
		table, version := n.ToDomain()
		if version.After(e.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{})) && !e.requestPending(now, sender, table) {
			e.requestRowsOf([]netip.AddrPort{sender}, table)
		}
	}
}

// pendingRequest identifies a request for the rows of a table.
type pendingRequest struct {
	to    netip.AddrPort
	table amaranthtide.FeedTable
}

// requestPending reports whether a request to a router for rows of a table is unanswered
// and has not timed out; otherwise it records a new request. Without this check, a large
// document would be requested repeatedly while it is in transfer on a slow link.
func (e *Exchange) requestPending(now time.Time, to netip.AddrPort, table amaranthtide.FeedTable) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.pendingRequests, func(_ pendingRequest, since time.Time) bool { return now.Sub(since) >= answerTimeout })
	key := pendingRequest{to, table}
	if _, pending := e.pendingRequests[key]; pending {
		return true
	}
	e.pendingRequests[key] = now
	return false
}

func (e *Exchange) clearPendingRequest(from netip.AddrPort, table amaranthtide.FeedTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingRequests, pendingRequest{from, table})
}

// requestRowsOf requests the rows of tables that are newer than the known ones.
func (e *Exchange) requestRowsOf(to []netip.AddrPort, tables ...amaranthtide.FeedTable) {
	request := &message.RowsRequest{}
	for _, table := range tables {
		request.Tables = append(request.Tables, message.NewTableVersion(table, e.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{})))
	}
	e.publish(message.TopicRowsRequest, request, to)
}

// readersOfEarlierZones returns the routers that probably read the feed for the zones
// before this one. Which of them respond is known only in their zones. The caller holds mu.
func (e *Exchange) readersOfEarlierZones() []amaranthtide.VMName {
	byZone := make(map[amaranthtide.ZoneName][]amaranthtide.VMName)
	for name, r := range e.routers {
		byZone[r.zone] = append(byZone[r.zone], name)
	}
	var out []amaranthtide.VMName
	for _, zone := range e.zones() {
		if zone == e.opts.Self.Zone {
			break
		}
		out = append(out, e.topRouters(readerOrderSalt, byZone[zone], reading.ReadersPerZone)...)
	}
	return out
}
