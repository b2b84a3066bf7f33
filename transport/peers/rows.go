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

// requestRows asks one router for the rows of the tables whose feed is away, and a reader of
// the zone for those of the relayed table unless this router reads it.
func (e *Exchange) requestRows(now time.Time) {
	away := e.opts.Follower.Away(now)
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
	for _, table := range away {
		if len(sources) == 0 || e.requestPending(now, table) {
			continue
		}
		e.requestTable(table, sources[next%len(sources)])
	}
	// The second reader, too, may have missed what the first one has passed on.
	if len(readers) > 0 && !e.opts.Follower.Reading(now, e.opts.Relayed) && !slices.Contains(away, e.opts.Relayed) {
		e.requestFromReader(now, readers[next%len(readers)])
	}
}

// requestFromReader asks a reader of the zone for the rows of the relayed table.
func (e *Exchange) requestFromReader(now time.Time, reader amaranthtide.VMName) {
	e.mu.Lock()
	e.detector.Asked(now, reader)
	to := e.addresses(reader)
	e.mu.Unlock()
	for _, addr := range to {
		e.requestTable(e.opts.Relayed, addr)
	}
}

// rowSources returns the routers to ask for rows while the feed is away: the readers and the
// hub of the zone, hubs of other zones, and one more router of the zone, since the others
// may have lost the feed, too. The caller holds mu.
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

// requestPending reports whether rows of a table were requested and may still come, and
// else notes the request that follows. A document that takes its time on a slow link
// would be requested again and again otherwise.
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

// requestTable asks a router for the rows of a table.
func (e *Exchange) requestTable(table amaranthtide.FeedTable, to netip.AddrPort) {
	wanted := &message.RowsWanted{Table: string(table), After: uint64(e.opts.Rows.Version(table).Or(0))}
	e.publish(message.TopicRowsWanted, wanted, []netip.AddrPort{to})
}

// Relay passes a page of the relayed table, read after the given version, on to the
// routers of the zone, if this router is a reader of the zone. A page without rows tells
// them that the table can be read. So does a whole table, which grows with the fleet:
// those that lack some of it ask for that.
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
	e.publish(message.TopicRows, message.NewRows(e.opts.Relayed, after, page, true), to)
}

// handleRowsWanted answers another router. One that has nothing to tell answers, too, so that it
// isn't taken for dead and another one is asked.
func (e *Exchange) handleRowsWanted(msg *watermill.Message) {
	var m message.RowsWanted
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
	page, _ := e.opts.Rows.Since(table, after) // without news it has no rows
	live := e.opts.Follower.Reading(now, table)
	e.publish(message.TopicRows, message.NewRows(table, after, page, live), []netip.AddrPort{sender})
}

// handleRows takes handleRows from another router. While this router reads the table itself they
// are not needed.
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
	table, page, err := m.Root()
	if err != nil {
		e.opts.Logger.Warn("rows dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return
	}
	e.clearPendingRequest(table)
	if m.Live {
		e.opts.Follower.PeerReads(now, table)
	}
	if page.Version == 0 || e.opts.Follower.Reading(now, table) {
		return
	}
	if known := e.opts.Rows.Version(table).Or(0); !page.Whole && amaranthtide.RowVersion(m.After) > known {
		// Changes before these were missed.
		page.Version = known
		if ok {
			e.requestTable(table, sender)
		}
	}
	e.opts.Logger.Debug("rows taken from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version)
	e.opts.Follower.Apply(now, table, page)
}
