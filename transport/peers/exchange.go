// Package peers lets routers without owners tell each other how many requests each
// has at which server, and pass on rows of the platform's feed to routers that
// can't read it.
//
// Loads are gathered along a tree, so that the messages of a router don't grow with
// the fleet. The routers of a zone report to its hub, the first of them in an order
// that all compute alike. Hubs tell each other the sums of their zones, and tell the
// totals to the routers that report to them. A router whose hub leaves its reports
// unanswered reports to the next one; it asks the silent one again now and then.
//
// Routers are known from the platform's registry, from the settings and from their
// own messages.
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
	"sync"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/suspicion"
	"amaranthtide/protocol/message"
	"amaranthtide/state/feed"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/mesh"
)

const (
	// tickInterval is how often a router looks what it has to send.
	tickInterval = 250 * time.Millisecond
	// requestInterval is how often a router without the feed asks another router.
	requestInterval = 500 * time.Millisecond
	// answerTimeout is how long the answer of a router is awaited before another one is
	// asked for the same table.
	answerTimeout = 1500 * time.Millisecond
	// liveAge is the age of a router's last message up to which it counts as live.
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
	// routers are the registered routers and those that sent a message, but this one.
	routers  map[amaranthtide.VMName]router
	detector *suspicion.Detector
	sequence uint64
	// report is the last report to the hub, sent at reportedAt.
	report       amaranthtide.LoadReport
	reportSentAt time.Time
	// totalsSentAt is when totals were sent last, zonesAt when the hubs of other zones were
	// told the sum of this one.
	totalsSentAt    time.Time
	zoneLoadsSentAt time.Time
	// hub is the last hub of this zone as this router sees it, hubs those of other zones
	// as the hub has told.
	hub        amaranthtide.VMName
	remoteHubs []amaranthtide.VMName
	// registryVersion is the newest row of the table of routers that was read, newer the newest
	// one that other routers know.
	registryVersion       amaranthtide.RowVersion
	newestRegistryVersion amaranthtide.RowVersion

	rowsRequestedAt time.Time
	// pendingRequests holds when rows of a table were requested that have not come.
	pendingRequests map[amaranthtide.FeedTable]time.Time
	// rotation rotates the routers that are asked for rows.
	rotation int
	// registryRead is set once the registry was read.
	registryRead bool
	// registryStale holds a token while the registry has news.
	registryStale chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an Exchange that does nothing until Start.
func New(opts Options) *Exchange {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	e := &Exchange{
		opts: opts, routers: make(map[amaranthtide.VMName]router), detector: suspicion.New(),
		pendingRequests: make(map[amaranthtide.FeedTable]time.Time), registryStale: make(chan struct{}, 1),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start subscribes to the other routers' messages and begins to send.
func (e *Exchange) Start() error {
	sub := e.opts.Mesh.Subscriber()
	handlers := map[string]func(*watermill.Message){
		message.TopicLoads: e.handleLoads, message.TopicZoneLoads: e.handleZoneLoads, message.TopicTotals: e.handleTotals,
		message.TopicRowsWanted: e.handleRowsWanted, message.TopicRows: e.handleRows,
	}
	for topic, handle := range handlers {
		messages, err := sub.Subscribe(e.ctx, topic)
		if err != nil {
			return err
		}
		e.wg.Go(func() { e.handleMessages(messages, handle) })
	}
	e.wg.Go(e.run)
	e.wg.Go(e.syncRegistry)
	return nil
}

// Close ends the exchange and waits.
func (e *Exchange) Close() {
	e.cancel()
	e.wg.Wait()
}

func (e *Exchange) handleMessages(messages <-chan *watermill.Message, handle func(*watermill.Message)) {
	for msg := range messages {
		handle(msg)
		msg.Ack()
	}
}

// run sends loads and asks for rows.
func (e *Exchange) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.sendReport(now)
			e.sendTotals(now)
			e.sendZoneLoads(now)
			e.requestRows(now)
			e.opts.Traffic.Forget(now.Add(-forgetAge))
		}
	}
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

// senderAddress returns the address of the router that has sent a message.
func (e *Exchange) senderAddress(msg *watermill.Message) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
	if err != nil {
		e.opts.Logger.Warn("message of a router without an address", "error", err)
	}
	return addr, err == nil
}
