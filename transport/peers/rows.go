package peers

import (
	"net/netip"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// newestRows returns the versions of the newest rows that this router can deliver of the
// tables that are not polled: rows beyond a gap are left out. Naming one that a request
// doesn't yield would make the receiver request it without end.
func (e *Exchange) newestRows() []message.TableVersion {
	var newest []message.TableVersion
	for _, table := range []amaranthtide.FeedTable{e.opts.DeclaredTable, e.opts.RegistryTable} {
		version := min(e.opts.Rows.MaxRowVersion(table), e.opts.Rows.Version(table).Or(0))
		newest = append(newest, message.TableVersion{Table: string(table), Version: uint64(version)})
	}
	return newest
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
