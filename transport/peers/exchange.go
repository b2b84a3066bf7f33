// Package peers lets routers without owners tell each other how many requests each
// has at which server, and pass on rows of the platform's feed to routers that
// can't read it.
//
// A report goes to all known routers when a load has changed, but not before
// reportInterval has passed, and at least every heartbeatInterval. Routers are
// known from the platform's registry, from the settings and from their own reports.
//
// # Usage
//
//	e := peers.New(peers.Options{Self: entry, Incarnation: inc, Mesh: m, Traffic: t, Follower: f, Rows: rows,
//		Registry: store, Reader: reader, Routers: d.SetRouters})
//	if err := e.Start(); err != nil {
//		return err
//	}
//	defer e.Close() // waits
package peers

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/protocol/message"
	"amaranthtide/state/feed"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/mesh"
)

const (
	// reportInterval bounds the messages of a router. Loads change within the length
	// of a request, which is about a second.
	reportInterval    = 250 * time.Millisecond
	heartbeatInterval = time.Second
	// askInterval is how often a router without the feed asks another router.
	askInterval = 500 * time.Millisecond
	// readersPerZone is how many routers of a zone read the relayed table: one may be
	// down or cut off from the platform without a delay for the others.
	readersPerZone = 2
	// registryInterval is how often the registry is read after it was read once.
	registryInterval = time.Minute
	registryRetry    = time.Second
	// liveAge is the age of a report up to which its router counts as live.
	liveAge = 3 * time.Second
	// forgetAge is the age from which a router that isn't registered is forgotten.
	forgetAge = time.Minute
)

// Mesh is the part of transport/mesh that an Exchange uses.
type Mesh interface {
	Publisher() watermill.Publisher
	Subscriber() watermill.Subscriber
}

// Follower tells whether the feed can be read and takes rows from other routers.
type Follower interface {
	Away(now time.Time) []amaranthtide.FeedTable
	Apply(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage)
	Vouch(now time.Time, table amaranthtide.FeedTable)
	// Reading reports whether this router reads the table itself at present.
	Reading(now time.Time, table amaranthtide.FeedTable) bool
}

// Options are the parts that an Exchange works with. All but Seeds and Logger are
// required.
type Options struct {
	Self        amaranthtide.RouterEntry
	Incarnation amaranthtide.Incarnation
	// Seeds are addresses of routers to try before the registry is known.
	Seeds    []netip.AddrPort
	Mesh     Mesh
	Traffic  *traffic.Traffic
	Follower Follower
	Rows     *feed.Tables
	// Relayed is the table that the readers of a zone pass on to the others.
	Relayed amaranthtide.FeedTable
	// Registry is the feed that holds the table of routers, RegistryTable its name.
	Registry      amaranthtide.Feed
	RegistryTable amaranthtide.FeedTable
	Registrar     amaranthtide.Registrar
	Reader        amaranthtide.FactReader
	// Routers is called with all registered routers when they change.
	Routers func([]amaranthtide.VMName)
	Logger  hclog.Logger
}

// Exchange is concurrent-safe. Use New.
type Exchange struct {
	opts Options

	mu sync.Mutex
	// routers are the registered routers and those that have reported, but this one.
	routers  map[amaranthtide.VMName]router
	sequence uint64
	last     []amaranthtide.ServerLoad
	sentAt   time.Time
	askedAt  time.Time
	// turn rotates the routers that are asked for rows.
	turn int
	// settled is set once the registry was read.
	settled bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type router struct {
	addr       netip.AddrPort
	zone       amaranthtide.ZoneName
	registered bool
	heard      time.Time
}

// New returns an Exchange that does nothing until Start.
func New(opts Options) *Exchange {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	e := &Exchange{opts: opts, routers: make(map[amaranthtide.VMName]router)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start subscribes to the other routers' messages and begins to send.
func (e *Exchange) Start() error {
	sub := e.opts.Mesh.Subscriber()
	handlers := map[string]func(*watermill.Message){
		message.TopicReport: e.report, message.TopicRowsWanted: e.rowsWanted, message.TopicRows: e.rows,
	}
	for topic, handle := range handlers {
		messages, err := sub.Subscribe(e.ctx, topic)
		if err != nil {
			return err
		}
		e.wg.Go(func() { e.loop(messages, handle) })
	}
	e.wg.Go(e.run)
	e.wg.Go(e.register)
	return nil
}

// Close ends the exchange and waits.
func (e *Exchange) Close() {
	e.cancel()
	e.wg.Wait()
}

func (e *Exchange) loop(messages <-chan *watermill.Message, handle func(*watermill.Message)) {
	for msg := range messages {
		handle(msg)
		msg.Ack()
	}
}

// run sends reports and asks for rows.
func (e *Exchange) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.tell(now)
			e.ask(now)
			e.opts.Traffic.Forget(now.Add(-forgetAge))
		}
	}
}

// tell sends a report if the loads have changed or the last one is old.
func (e *Exchange) tell(now time.Time) {
	loads := e.opts.Traffic.Own()
	e.mu.Lock()
	if now.Sub(e.sentAt) < heartbeatInterval && slices.Equal(loads, e.last) {
		e.mu.Unlock()
		return
	}
	e.sequence++
	report := amaranthtide.Report{
		VM: e.opts.Self.VM, Zone: e.opts.Self.Zone, Address: e.opts.Self.Address, Incarnation: e.opts.Incarnation,
		Sequence: e.sequence, Interval: heartbeatInterval, Loads: loads,
	}
	e.last, e.sentAt = loads, now
	to := e.addresses()
	e.mu.Unlock()
	e.publish(message.TopicReport, message.NewReport(report), to)
}

// addresses returns where to send reports: all routers, or the seeds as long as
// none is known.
func (e *Exchange) addresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(e.routers))
	for _, r := range e.routers {
		out = append(out, r.addr)
	}
	if len(out) == 0 {
		for _, addr := range e.opts.Seeds {
			if addr != e.opts.Self.Address {
				out = append(out, addr)
			}
		}
	}
	return out
}

// ask asks one router for the rows of the tables whose feed is away, and a reader of
// the zone for those of the relayed table.
func (e *Exchange) ask(now time.Time) {
	away := e.opts.Follower.Away(now)
	e.mu.Lock()
	if now.Sub(e.askedAt) < askInterval {
		e.mu.Unlock()
		return
	}
	e.askedAt = now
	e.turn++
	turn := e.turn
	to := e.live(now)
	if len(to) == 0 {
		to = e.addresses()
	}
	readers := e.readers(now)
	e.mu.Unlock()
	for _, table := range away {
		e.want(table, to, turn)
	}
	if !slices.Contains(readers, e.opts.Self.VM) && !slices.Contains(away, e.opts.Relayed) {
		e.want(e.opts.Relayed, e.addressesOf(readers), turn)
	}
}

// want asks one of the routers for the rows of a table.
func (e *Exchange) want(table amaranthtide.FeedTable, to []netip.AddrPort, turn int) {
	if len(to) == 0 {
		return
	}
	wanted := &message.RowsWanted{Table: string(table), After: uint64(e.opts.Rows.Version(table).Or(0))}
	e.publish(message.TopicRowsWanted, wanted, []netip.AddrPort{to[turn%len(to)]})
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

// Reads reports whether this router is one of the readers of its zone.
func (e *Exchange) Reads(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.readers(now), e.opts.Self.VM)
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
// routers of the zone that don't read it.
func (e *Exchange) Relay(after amaranthtide.RowVersion, page amaranthtide.FeedPage) {
	now := time.Now()
	e.mu.Lock()
	readers := e.readers(now)
	var to []netip.AddrPort
	for name, r := range e.routers {
		if r.zone == e.opts.Self.Zone && now.Sub(r.heard) <= liveAge && !slices.Contains(readers, name) {
			to = append(to, r.addr)
		}
	}
	e.mu.Unlock()
	e.publish(message.TopicRows, message.NewRows(e.opts.Relayed, after, page, true), to)
}

// live returns the routers that reported lately, in the order of their names.
func (e *Exchange) live(now time.Time) []netip.AddrPort {
	var names []amaranthtide.VMName
	for name, r := range e.routers {
		if now.Sub(r.heard) <= liveAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := make([]netip.AddrPort, len(names))
	for i, name := range names {
		out[i] = e.routers[name].addr
	}
	return out
}

func (e *Exchange) publish(topic string, m message.Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	payload, err := message.Append(nil, m)
	if err != nil {
		e.opts.Logger.Error("encode control message", "topic", topic, "error", err)
		return
	}
	if err := e.opts.Mesh.Publisher().Publish(topic, mesh.To(payload, to)); err != nil {
		e.opts.Logger.Debug("publish control message", "topic", topic, "error", err)
	}
}

func (e *Exchange) decode(msg *watermill.Message, m message.Message) bool {
	if err := message.Decode(msg.Payload, m); err != nil {
		e.opts.Logger.Warn("control message dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return false
	}
	return true
}

// report takes the report of another router.
func (e *Exchange) report(msg *watermill.Message) {
	var m message.Report
	if !e.decode(msg, &m) {
		return
	}
	r, err := m.Root()
	if err != nil {
		e.opts.Logger.Warn("report dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return
	}
	now := time.Now()
	if r.VM == e.opts.Self.VM || !e.opts.Traffic.Observe(now, r) {
		return
	}
	e.mu.Lock()
	old, known := e.routers[r.VM]
	e.routers[r.VM] = router{addr: r.Address, zone: r.Zone, registered: old.registered, heard: now}
	names, settled := e.names(), e.settled
	e.mu.Unlock()
	if !known {
		e.opts.Logger.Info("router seen", "vm", r.VM, "zone", r.Zone)
	}
	// Before the registry was read, a few routers may look like all of them.
	if !known && settled {
		e.opts.Routers(names)
	}
}

// rowsWanted answers another router that can't read the feed.
func (e *Exchange) rowsWanted(msg *watermill.Message) {
	var m message.RowsWanted
	if !e.decode(msg, &m) {
		return
	}
	sender, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
	if err != nil {
		e.opts.Logger.Warn("rows wanted by a router without an address", "error", err)
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
	table, page := m.Root()
	if m.Live {
		e.opts.Follower.Vouch(now, table)
	}
	if page.Version == 0 || e.opts.Follower.Reading(now, table) {
		return
	}
	if have := e.opts.Rows.Version(table).Or(0); !page.Whole && amaranthtide.RowVersion(m.After) > have {
		// Changes before these were missed; the next question brings them.
		page.Version = have
	}
	e.opts.Logger.Debug("rows taken from another router", "sender", msg.Metadata.Get(mesh.MetadataSender), "table", table,
		"rows", len(page.Rows), "version", page.Version)
	e.opts.Follower.Apply(now, table, page)
}

// register writes the own entry and reads those of the others.
func (e *Exchange) register() {
	registered := false
	for e.ctx.Err() == nil {
		wait := registryInterval
		if err := e.refresh(&registered); err != nil {
			e.opts.Logger.Debug("registry of routers not reached", "error", err)
			wait = registryRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
		}
		timer.Stop()
	}
}

func (e *Exchange) refresh(registered *bool) error {
	if !*registered {
		if err := e.opts.Registrar.Register(e.ctx, e.opts.Self); err != nil {
			return err
		}
		*registered = true
	}
	page, err := e.opts.Registry.Next(e.ctx, e.opts.RegistryTable, amaranthtide.None[amaranthtide.RowVersion](), 0)
	if err != nil {
		return err
	}
	e.listed(time.Now(), page)
	return nil
}

// listed takes the registry.
func (e *Exchange) listed(now time.Time, page amaranthtide.FeedPage) {
	e.mu.Lock()
	for _, row := range page.Rows {
		fact, err := e.opts.Reader.Read(now, row)
		entry, ok := fact.Router.Get()
		if err != nil || !ok {
			e.opts.Logger.Warn("entry of the registry can't be read", "key", row.Key, "error", err)
			continue
		}
		if entry.VM == e.opts.Self.VM {
			continue
		}
		r := e.routers[entry.VM]
		r.zone, r.registered = entry.Zone, true
		if now.Sub(r.heard) > liveAge {
			r.addr = entry.Address
		}
		e.routers[entry.VM] = r
	}
	for name, r := range e.routers {
		if !r.registered && now.Sub(r.heard) > forgetAge {
			delete(e.routers, name)
		}
	}
	e.settled = true
	names := e.names()
	e.mu.Unlock()
	e.opts.Routers(names)
}

// names returns all known routers, this one among them.
func (e *Exchange) names() []amaranthtide.VMName {
	names := make([]amaranthtide.VMName, 0, len(e.routers)+1)
	names = append(names, e.opts.Self.VM)
	for name := range e.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
