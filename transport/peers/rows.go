package peers

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
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
	for _, table := range []amaranthtide.FeedTable{e.opts.DeclaredTable, e.opts.RegistryTable} {
		if _, known := e.opts.Rows.Version(table).Get(); !known {
			tables = append(tables, table)
		}
	}
	e.requestRowsOf(to, tables...)
}

// requestMissed requests rows that the sender of a message has and this router lacks.
func (e *Exchange) requestMissed(now time.Time, sender netip.AddrPort, newest []message.TableVersion) {
	for _, n := range newest {
		table := amaranthtide.FeedTable(n.Table)
		if amaranthtide.RowVersion(n.Version) > e.opts.Rows.MaxRowVersion(table) && !e.requestPending(now, sender, table) {
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

// newestRows returns the versions of the newest rows that this router has of the tables
// that are not polled.
func (e *Exchange) newestRows() []message.TableVersion {
	var newest []message.TableVersion
	for _, table := range []amaranthtide.FeedTable{e.opts.DeclaredTable, e.opts.RegistryTable} {
		newest = append(newest, message.TableVersion{Table: string(table), Version: uint64(e.opts.Rows.MaxRowVersion(table))})
	}
	return newest
}

// requestRowsOf requests the rows of tables that are newer than the known ones.
func (e *Exchange) requestRowsOf(to []netip.AddrPort, tables ...amaranthtide.FeedTable) {
	request := &message.RowsRequest{}
	for _, table := range tables {
		request.Tables = append(request.Tables, message.TableVersion{Table: string(table), Version: uint64(e.opts.Rows.Version(table).Or(0))})
	}
	e.publish(message.TopicRowsRequest, request, to)
}

// Relay forwards the changes of a table after the given version, which this router has read
// from the feed, to the routers of the zone and to the readers of later zones. A page
// without rows tells them that this router can read the feed. The first page of a table is
// replaced by such a page, since its size grows with the fleet: routers that lack rows
// request them.
func (e *Exchange) Relay(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.RowVersion]) {
	now := time.Now()
	e.mu.Lock()
	to := e.relayTargets(now)
	e.mu.Unlock()
	e.publish(message.TopicRows, e.newRows(table, after, e.opts.Follower.ViewAge(now)), to)
}

// newRows returns a message with all changes of a table after the given version, without
// rows if that is absent or if not all changes since then are kept.
func (e *Exchange) newRows(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.RowVersion], viewAge amaranthtide.Option[time.Duration]) *message.Rows {
	version, known := after.Get()
	page, _ := e.opts.Rows.Since(table, version)
	if !known || page.Whole {
		page = amaranthtide.FeedPage{}
	}
	m := message.NewRows(table, version, page, viewAge)
	m.Newest = e.newestRows()
	return m
}

// relayTargets returns the addresses of the routers of the zone and of the routers of other
// zones that request rows from this one. The caller holds mu.
func (e *Exchange) relayTargets(now time.Time) []netip.AddrPort {
	to := e.addresses(e.responsiveRouters(now)...)
	for name, r := range e.routers {
		if r.zone != e.opts.Self.Zone && now.Sub(r.lastRequestAt) <= liveAge {
			to = append(to, e.addresses(name)...)
		}
	}
	return to
}

// handleRowsRequest answers a request for rows. It also answers if there is nothing new:
// otherwise the sender would suspect this router and request the rows from another one.
func (e *Exchange) handleRowsRequest(msg *watermill.Message) {
	var m message.RowsRequest
	if !e.decode(msg, &m) {
		return
	}
	sender, ok := e.senderAddress(msg)
	if !ok {
		return
	}
	now := time.Now()
	e.observeAddress(now, sender, func(r *router) { r.lastRequestAt = now })
	viewAge := e.opts.Follower.ViewAge(now)
	for i, requested := range m.Tables {
		table, after := amaranthtide.FeedTable(requested.Table), amaranthtide.RowVersion(requested.Version)
		page, changed := e.opts.Rows.Since(table, after)
		if i == 0 || changed {
			answer := message.NewRows(table, after, page, viewAge)
			answer.Answer, answer.Newest = true, e.newestRows()
			e.publish(message.TopicRows, answer, []netip.AddrPort{sender})
		}
	}
}

// handleRows applies rows received from another router.
func (e *Exchange) handleRows(msg *watermill.Message) {
	var m message.Rows
	if !e.decode(msg, &m) {
		return
	}
	now := time.Now()
	sender, ok := e.senderAddress(msg)
	if !ok {
		return
	}
	senderName := e.observeAddress(now, sender, nil)
	table, page, err := m.ToDomain()
	if err != nil {
		e.opts.Logger.Warn("rows message dropped", "sender", sender, "error", err)
		return
	}
	e.clearPendingRequest(sender, table)
	if known := e.opts.Rows.Version(table).Or(0); page.Version > 0 && !page.Whole && amaranthtide.RowVersion(m.After) > known {
		// Changes before these rows were missed.
		page.Version = known
		e.requestRowsOf([]netip.AddrPort{sender}, table)
	}
	e.opts.Logger.Debug("rows received from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version)
	changed := e.opts.Follower.ApplyFromPeer(now, table, page, m.ViewAge())
	e.requestMissed(now, sender, m.Newest)
	e.relayFromOtherZone(now, senderName, &m, len(changed) > 0)
}

// relayFromOtherZone forwards the changes of a message from another zone if this router is
// the first reader of its zone. Messages that neither changed anything nor confirm a newer
// view are not forwarded, which also keeps them from circulating.
func (e *Exchange) relayFromOtherZone(now time.Time, sender amaranthtide.VMName, m *message.Rows, changed bool) {
	e.mu.Lock()
	r, known := e.routers[sender]
	if !known || r.zone == e.opts.Self.Zone || e.position(now).Router != 0 {
		e.mu.Unlock()
		return
	}
	age, confirmed := m.ViewAge().Get()
	isNewer := confirmed && now.Add(-age).Sub(e.relayedView) >= minViewProgress
	if isNewer {
		e.relayedView = now.Add(-age)
		if !m.Answer && (now.Sub(e.viewSourceAt) > liveAge || r.zone <= e.routers[e.viewSource].zone) {
			e.viewSource, e.viewSourceAt = sender, now
		}
	}
	if !isNewer && !changed {
		e.mu.Unlock()
		return
	}
	to := e.relayTargets(now)
	e.mu.Unlock()
	after := amaranthtide.Some(amaranthtide.RowVersion(m.After))
	e.publish(message.TopicRows, e.newRows(amaranthtide.FeedTable(m.Table), after, m.ViewAge()), to)
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
