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
	// requestInterval is how often a router without the feed asks another router.
	requestInterval = 500 * time.Millisecond
	// readersPerZone is how many routers of a zone read the relayed table: one may be
	// down or cut off from the platform without a delay for the others.
	readersPerZone = 2
	// answerTimeout is how long the answer of a router is awaited before another one is
	// asked for the same table.
	answerTimeout = 1500 * time.Millisecond
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
	PeerReads(now time.Time, table amaranthtide.FeedTable)
	// Behind reports whether this router should know a row of that version by now.
	Behind(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.RowVersion) bool
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
	// Relayed is the table that the readers of a zone pass on to the others, Declared the
	// one of the operators that all routers follow.
	Relayed  amaranthtide.FeedTable
	Declared amaranthtide.FeedTable
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
	routers     map[amaranthtide.VMName]router
	sequence    uint64
	last        []amaranthtide.ServerLoad
	lastNewest  amaranthtide.RowVersion
	sentAt      time.Time
	requestedAt time.Time
	// waiting holds when rows of a table were requested that have not come.
	waiting map[amaranthtide.FeedTable]time.Time
	// next rotates the routers that are asked for rows.
	next int
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
	e := &Exchange{opts: opts, routers: make(map[amaranthtide.VMName]router), waiting: make(map[amaranthtide.FeedTable]time.Time)}
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
			e.sendReport(now)
			e.requestRows(now)
			e.opts.Traffic.Forget(now.Add(-forgetAge))
		}
	}
}

// sendReport sends a report if the loads or the operators' rows have changed or the
// last one is old.
func (e *Exchange) sendReport(now time.Time) {
	loads, newest := e.opts.Traffic.Own(), e.opts.Rows.Newest(e.opts.Declared)
	e.mu.Lock()
	if now.Sub(e.sentAt) < heartbeatInterval && slices.Equal(loads, e.last) && newest == e.lastNewest {
		e.mu.Unlock()
		return
	}
	e.sequence++
	report := amaranthtide.Report{
		VM: e.opts.Self.VM, Zone: e.opts.Self.Zone, Address: e.opts.Self.Address, Incarnation: e.opts.Incarnation,
		Sequence: e.sequence, Interval: heartbeatInterval, Loads: loads, Revision: amaranthtide.Revision(newest),
	}
	e.last, e.lastNewest, e.sentAt = loads, newest, now
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
	if e.opts.Follower.Behind(now, e.opts.Declared, amaranthtide.RowVersion(r.Revision)) {
		e.requestTable(e.opts.Declared, []netip.AddrPort{r.Address}, 0)
	}
	// Before the registry was read, a few routers may look like all of them.
	if !known && settled {
		e.opts.Routers(names)
	}
}
