package peers

import (
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// requestRows asks one router for the rows of the tables whose feed is away, and a reader of
// the zone for those of the relayed table unless this router reads it.
func (e *Exchange) requestRows(now time.Time) {
	away := e.opts.Follower.Away(now)
	e.mu.Lock()
	if now.Sub(e.requestedAt) < requestInterval {
		e.mu.Unlock()
		return
	}
	e.requestedAt = now
	e.next++
	next := e.next
	to := e.live(now)
	if len(to) == 0 {
		to = e.addresses()
	}
	readers := e.readers(now)
	e.mu.Unlock()
	for _, table := range away {
		if e.outstanding(now, table) {
			continue
		}
		e.requestTable(table, to, next)
	}
	// The second reader, too, may have missed what the first one has passed on.
	if !e.opts.Follower.Reading(now, e.opts.Relayed) && !slices.Contains(away, e.opts.Relayed) {
		e.requestTable(e.opts.Relayed, e.addressesOf(readers), next)
	}
}

// outstanding reports whether rows of a table were requested and may still come, and
// else notes the request that follows. A document that takes its time on a slow link
// would be requested again and again otherwise.
func (e *Exchange) outstanding(now time.Time, table amaranthtide.FeedTable) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since, ok := e.waiting[table]; ok && now.Sub(since) < answerTimeout {
		return true
	}
	e.waiting[table] = now
	return false
}

func (e *Exchange) answered(table amaranthtide.FeedTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, table)
}

// requestTable asks one of the routers for the rows of a table.
func (e *Exchange) requestTable(table amaranthtide.FeedTable, to []netip.AddrPort, next int) {
	if len(to) == 0 {
		return
	}
	wanted := &message.RowsWanted{Table: string(table), After: uint64(e.opts.Rows.Version(table).Or(0))}
	e.publish(message.TopicRowsWanted, wanted, []netip.AddrPort{to[next%len(to)]})
}

// readers returns the routers of the own zone that read the relayed table.
func (e *Exchange) readers(now time.Time) []amaranthtide.VMName {
	names := []amaranthtide.VMName{e.opts.Self.VM}
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone && now.Sub(r.heard) <= liveAge {
			names = append(names, name)
		}
	}
	return placement.First(string(e.opts.Relayed), names, readersPerZone)
}

// Rank returns the place of this router among the readers of its zone; -1 if it is none.
func (e *Exchange) Rank(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Index(e.readers(now), e.opts.Self.VM)
}

// Live returns the number of other routers that reported lately.
func (e *Exchange) Live(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.live(now))
}

func (e *Exchange) addressesOf(names []amaranthtide.VMName) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []netip.AddrPort
	for _, name := range names {
		if r, ok := e.routers[name]; ok {
			out = append(out, r.addr)
		}
	}
	return out
}

// Relay passes a page of the relayed table, read after the given version, on to the
// routers of the zone. The second reader stands by as long as it gets them.
func (e *Exchange) Relay(after amaranthtide.RowVersion, page amaranthtide.FeedPage) {
	now := time.Now()
	e.mu.Lock()
	var to []netip.AddrPort
	for _, r := range e.routers {
		if r.zone == e.opts.Self.Zone && now.Sub(r.heard) <= liveAge {
			to = append(to, r.addr)
		}
	}
	e.mu.Unlock()
	e.publish(message.TopicRows, message.NewRows(e.opts.Relayed, after, page, true), to)
}

// sender returns the address of the router that has sent a message.
func (e *Exchange) sender(msg *watermill.Message) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
	if err != nil {
		e.opts.Logger.Warn("message of a router without an address", "error", err)
	}
	return addr, err == nil
}

// rowsWanted answers another router that can't read the feed.
func (e *Exchange) rowsWanted(msg *watermill.Message) {
	var m message.RowsWanted
	if !e.decode(msg, &m) {
		return
	}
	sender, ok := e.sender(msg)
	if !ok {
		return
	}
	table, after := amaranthtide.FeedTable(m.Table), amaranthtide.RowVersion(m.After)
	page, news := e.opts.Rows.Since(table, after)
	live := e.opts.Follower.Reading(time.Now(), table)
	if !news && !live {
		return
	}
	e.publish(message.TopicRows, message.NewRows(table, after, page, live), []netip.AddrPort{sender})
}

// rows takes rows from another router. While this router reads the table itself they
// are not needed.
func (e *Exchange) rows(msg *watermill.Message) {
	var m message.Rows
	if !e.decode(msg, &m) {
		return
	}
	now := time.Now()
	table, page, err := m.Root()
	if err != nil {
		e.opts.Logger.Warn("rows dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return
	}
	e.answered(table)
	if m.Live {
		e.opts.Follower.PeerReads(now, table)
	}
	if page.Version == 0 || e.opts.Follower.Reading(now, table) {
		return
	}
	if have := e.opts.Rows.Version(table).Or(0); !page.Whole && amaranthtide.RowVersion(m.After) > have {
		// Changes before these were missed.
		page.Version = have
		if sender, ok := e.sender(msg); ok {
			e.requestTable(table, []netip.AddrPort{sender}, 0)
		}
	}
	e.opts.Logger.Debug("rows taken from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version)
	e.opts.Follower.Apply(now, table, page)
}
