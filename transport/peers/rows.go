package peers

import (
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// tables returns the tables whose rows routers relay, the polled one first.
func (e *Exchange) tables() []amaranthtide.FeedTable {
	tables := []amaranthtide.FeedTable{e.opts.PolledTable, e.opts.DeclaredTable, e.opts.RegistryTable}
	if e.opts.RolloutTable != "" {
		tables = append(tables, e.opts.RolloutTable)
	}
	return tables
}

// newestRows returns the versions of the newest rows that this router can deliver of each
// table: rows beyond a gap are left out. Naming one that a request
// doesn't yield would make the receiver request it without end.
func (e *Exchange) newestRows() []message.TableVersion {
	var newest []message.TableVersion
	for _, table := range e.tables() {
		version := e.opts.Rows.MaxRowVersion(table).Min(e.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{}))
		newest = append(newest, message.NewTableVersion(table, version))
	}
	return newest
}

// Relay forwards the changes of a table after the given version, which this router has read
// from the feed, to the routers of the zone and to the readers of later zones. A page
// without rows tells them that this router can read the feed. The first page of a table is
// replaced by such a page, since its size grows with the fleet: routers that lack rows
// request them.
func (e *Exchange) Relay(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion]) {
	now := time.Now()
	e.mu.Lock()
	to := e.relayTargets(now)
	e.mu.Unlock()
	e.publish(message.TopicRows, e.newRows(now, table, after, e.opts.Follower.View(now)), to)
}

// newRows returns a message with all changes of a table after the given version, without
// rows if that is absent or if not all changes since then are kept.
func (e *Exchange) newRows(now time.Time, table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion], view amaranthtide.Option[amaranthtide.FeedView]) *message.Rows {
	version, known := after.Get()
	page, _ := e.opts.Rows.Since(table, version)
	if !known || page.Whole {
		page = amaranthtide.FeedPage{}
	}
	page.RestoreAge = e.opts.Follower.RestoreAge(now, table)
	m := message.NewRows(table, version, page, view)
	m.Newest = e.newestRows()
	return m
}

// relayTargets returns the addresses of the routers of the zone, of the readers of earlier
// zones, which may be unable to read the feed, and of the routers of other zones that
// request rows from this one. The caller holds mu.
func (e *Exchange) relayTargets(now time.Time) []netip.AddrPort {
	names := append(e.responsiveRouters(now), e.readersOfEarlierZones()...)
	for name, r := range e.routers {
		if r.zone != e.opts.Self.Zone && now.Sub(r.lastRequestAt) <= liveAge {
			names = append(names, name)
		}
	}
	return e.addresses(names...) // without duplicates
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
	view := e.opts.Follower.View(now)
	if slices.ContainsFunc(m.Tables, func(requested message.TableVersion) bool { return requested.Version == 0 }) {
		e.sendEvidenceTo(now, []netip.AddrPort{sender}) // the sender starts, and may get requests once it has the rows
	}
	for i, requested := range m.Tables {
		table, after := requested.ToDomain()
		page, changed := e.opts.Rows.Since(table, after)
		page.RestoreAge = e.opts.Follower.RestoreAge(now, table)
		if i == 0 || changed {
			answer := message.NewRows(table, after, page, view)
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
	if known := e.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{}); !page.Version.IsZero() && !page.Whole && m.AfterVersion().After(known) {
		// Changes before these rows were missed.
		page.Version = known
		e.requestRowsOf([]netip.AddrPort{sender}, table)
	}
	e.opts.Logger.Debug("rows received from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version.String())
	changed := e.applyRows(now, &m, table, page)
	// If the rows were declined, requesting them again at once would yield the same answer.
	if !e.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{}).Before(page.Version) {
		e.clearPendingRequest(sender, table)
	}
	e.requestMissed(now, sender, m.Newest)
	e.relayFromOtherZone(now, senderName, &m, changed)
}

// applyRows applies the page of a message and the view that it confirms, and reports whether
// any row changed. A view doesn't count for a router that lacks polled rows of it, which are
// requested: it would take a list for current in which a server is missing or has left. Nor does
// it for one that has lacked rows of another table for long, whose requests are lost.
func (e *Exchange) applyRows(now time.Time, m *message.Rows, table amaranthtide.FeedTable, page amaranthtide.FeedPage) (changed bool) {
	view := m.View()
	if _, confirmed := view.Get(); confirmed && (e.lacksPolledRows(m, table, page) || e.lacksOtherRows(now, m)) {
		if page.Version.IsZero() {
			return false
		}
		view = amaranthtide.None[amaranthtide.FeedView]()
	}
	return len(e.opts.Follower.ApplyFromPeer(now, table, page, view)) > 0
}

// lacksPolledRows reports whether this router lacks polled rows that the message names, also
// once it has applied the message's page.
func (e *Exchange) lacksPolledRows(m *message.Rows, table amaranthtide.FeedTable, page amaranthtide.FeedPage) bool {
	have := e.opts.Rows.Version(e.opts.PolledTable).Or(amaranthtide.StoreVersion{})
	if table == e.opts.PolledTable {
		have = have.Max(page.Version)
	}
	return slices.ContainsFunc(m.Newest, func(newest message.TableVersion) bool {
		table, version := newest.ToDomain()
		return table == e.opts.PolledTable && version.After(have)
	})
}

// lacksOtherRows reports whether this router has lacked rows for long that the message names, of a table that
// isn't polled. Rows of the message itself count as missing until the next one.
func (e *Exchange) lacksOtherRows(now time.Time, m *message.Rows) (lacks bool) {
	for _, newest := range m.Newest {
		if table, version := newest.ToDomain(); table != e.opts.PolledTable && e.opts.Follower.Lacks(now, table, version) {
			lacks = true
		}
	}
	return lacks
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
	view, confirmed := m.View().Get()
	confirmedAt := now.Add(-view.Age)
	isNewer := confirmed && view.Reader != e.opts.Self.VM && confirmedAt.Sub(e.relayedView) >= minViewProgress
	if isNewer {
		e.relayedView = confirmedAt
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
	after := amaranthtide.Some(m.AfterVersion())
	e.publish(message.TopicRows, e.newRows(now, amaranthtide.FeedTable(m.Table), after, m.View()), to)
}
