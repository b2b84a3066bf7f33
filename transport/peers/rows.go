package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// requestRows requests the rows of tables whose feed is unavailable from one router, and
// those of the relayed table from a reader of the zone unless this router reads it from the
// feed.
func (e *Exchange) requestRows(now time.Time) {
	unavailable := e.opts.Follower.UnavailableTables(now)
	e.mu.Lock()
	if !due(now, e.rowsRequestedAt, requestInterval) {
		e.mu.Unlock()
		return
	}
	e.rowsRequestedAt = now
	e.rotation++
	next := e.rotation
	readers := slices.DeleteFunc(e.readers(now), func(vm amaranthtide.VMName) bool { return vm == e.opts.Self.VM })
	sources := e.rowSources(now, readers)
	e.mu.Unlock()
	for _, table := range unavailable {
		if len(sources) == 0 || e.requestPending(now, table) {
			continue
		}
		e.requestTable(table, sources[next%len(sources)])
	}
	// A standby reader requests rows too, since it may have missed some that the active
	// reader has forwarded.
	if len(readers) > 0 && !e.opts.Follower.Reading(now, e.opts.RelayedTable) && !slices.Contains(unavailable, e.opts.RelayedTable) {
		e.requestFromReader(now, readers[next%len(readers)])
	}
}

// requestFromReader requests the rows of the relayed table from a reader of the zone.
func (e *Exchange) requestFromReader(now time.Time, reader amaranthtide.VMName) {
	e.mu.Lock()
	e.detector.RequestSent(now, reader)
	to := e.addresses(reader)
	e.mu.Unlock()
	for _, addr := range to {
		e.requestTable(e.opts.RelayedTable, addr)
	}
}

// rowSources returns the routers from which to request rows while the feed is unavailable:
// the zone's readers and hub, the hubs of other zones and a random router of the zone,
// since the others may have lost the feed as well. The caller holds mu.
func (e *Exchange) rowSources(now time.Time, readers []amaranthtide.VMName) []netip.AddrPort {
	names := append(slices.Clone(readers), e.currentHub(now))
	names = append(names, e.remoteHubs...)
	names = append(names, e.liveRemoteHubs(now)...)
	responsive := e.responsiveRouters(now)
	names = append(names, responsive[rand.N(len(responsive))])
	if sources := e.addresses(names...); len(sources) > 0 {
		return sources
	}
	if all := e.addresses(e.routerNames()...); len(all) > 0 {
		return all
	}
	return e.seedAddresses()
}

// requestPending reports whether a request for rows of the table is unanswered and has not
// timed out; otherwise it records a new request. Without this check, a large document would
// be requested repeatedly while it is in transfer on a slow link.
func (e *Exchange) requestPending(now time.Time, table amaranthtide.FeedTable) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since, ok := e.pendingRequests[table]; ok && now.Sub(since) < answerTimeout {
		return true
	}
	e.pendingRequests[table] = now
	return false
}

func (e *Exchange) clearPendingRequest(table amaranthtide.FeedTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingRequests, table)
}

// requestTable requests the rows of a table that are newer than the known ones.
func (e *Exchange) requestTable(table amaranthtide.FeedTable, to netip.AddrPort) {
	request := &message.RowsRequest{Table: string(table), After: uint64(e.opts.Rows.Version(table).Or(0))}
	e.publish(message.TopicRowsRequest, request, []netip.AddrPort{to})
}

// Relay forwards a page of the relayed table, read after the given version, to the routers
// of the zone if this router is one of the zone's readers. A page without rows tells them
// that this router can read the table. A whole table is replaced by such a page, since its
// size grows with the fleet: routers that lack rows request them.
func (e *Exchange) Relay(after amaranthtide.RowVersion, page amaranthtide.FeedPage) {
	now := time.Now()
	if page.Whole {
		page = amaranthtide.FeedPage{}
	}
	e.mu.Lock()
	var to []netip.AddrPort
	if slices.Contains(e.readers(now), e.opts.Self.VM) {
		to = e.addresses(e.responsiveRouters(now)...)
	}
	e.mu.Unlock()
	e.publish(message.TopicRows, message.NewRows(e.opts.RelayedTable, after, page, true), to)
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
	e.observeAddress(now, sender)
	table, after := amaranthtide.FeedTable(m.Table), amaranthtide.RowVersion(m.After)
	page, _ := e.opts.Rows.Since(table, after) // has no rows if nothing is new
	live := e.opts.Follower.Reading(now, table)
	e.publish(message.TopicRows, message.NewRows(table, after, page, live), []netip.AddrPort{sender})
}

// handleRows applies rows received from another router, unless this router reads the table
// from the feed.
func (e *Exchange) handleRows(msg *watermill.Message) {
	var m message.Rows
	if !e.decode(msg, &m) {
		return
	}
	now := time.Now()
	sender, ok := e.senderAddress(msg)
	if ok {
		e.observeAddress(now, sender)
	}
	table, page, err := m.ToDomain()
	if err != nil {
		e.opts.Logger.Warn("rows message dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return
	}
	e.clearPendingRequest(table)
	if m.SenderReadsFeed {
		e.opts.Follower.ObservePeerRead(now, table)
	}
	if page.Version == 0 || e.opts.Follower.Reading(now, table) {
		return
	}
	if known := e.opts.Rows.Version(table).Or(0); !page.Whole && amaranthtide.RowVersion(m.After) > known {
		// Changes before these rows were missed.
		page.Version = known
		if ok {
			e.requestTable(table, sender)
		}
	}
	e.opts.Logger.Debug("rows received from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version)
	e.opts.Follower.Apply(now, table, page)
}
