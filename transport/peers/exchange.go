// Package peers exchanges load reports and feed rows between routers that run without
// owners. The load reports tell each router how many requests the fleet has in flight at
// each backend server. Routers that can't read the platform's feed get its rows from
// routers that can.
//
// Rows are pushed by the router that reads the feed, and requested by the others from time
// to time, which recovers rows that were lost and shows whether the reader can still read
// the feed.
//
// Load reports are aggregated along a tree, so that the number of messages per router does
// not grow with the fleet. The routers of a zone report to the zone's hub: the first
// responsive router in an order that all routers compute alike. Hubs exchange the sums of
// their zones and send the fleet's totals to the routers that report to them. A router
// whose hub doesn't answer its reports switches to the next router in that order and probes
// the unresponsive one from time to time.
//
// What the routers know about requests that crash servers travels along the same tree: each
// report carries a hash over it, and a router sends all that it knows to those of its neighbors
// that report another hash. While a rollout runs, so do the outcomes of requests by the version of
// their server, up to the hubs, and versions that were rolled back, to all routers.
//
// Routers are discovered through the registry, which is a table of the feed, through the
// settings and through the messages that they send.
//
// # Usage
//
//	e := peers.New(peers.Options{Self: entry, Incarnation: inc, Mesh: m, Traffic: t,
//		Follower: f, Rows: rows, PolledTable: "listing", DeclaredTable: "operator",
//		RegistryTable: "routers", Registrar: store, OnRoutersChanged: d.SetRouters})
//	if err := e.Start(); err != nil {
//		return err
//	}
//	defer e.Close() // waits for all goroutines
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
	// tickInterval is how often a router checks whether messages are due.
	tickInterval = 250 * time.Millisecond
	// requestInterval is how often a router that doesn't read the feed requests rows from
	// another router, in case that some were lost. staleRequestInterval is the same for a
	// router whose view is stale.
	requestInterval      = time.Second
	staleRequestInterval = 500 * time.Millisecond
	// answerTimeout is how long a router waits for requested rows of a table before it
	// requests them from another router.
	answerTimeout = 1500 * time.Millisecond
	// liveAge is the age of a router's last message up to which the router counts as live.
	liveAge = 3 * time.Second
	// forgetAge is the age of the last message after which an unregistered router is
	// removed.
	forgetAge = time.Minute
	// minViewProgress is how much newer than the last one a view must be that is relayed to
	// the zone without rows: answers to requests confirm the view that was pushed before.
	minViewProgress = 100 * time.Millisecond
)

// Mesh is the part of transport/mesh that an Exchange uses.
type Mesh interface {
	Publisher() watermill.Publisher
	Subscriber() watermill.Subscriber
}

// Follower reports the state of the feed and applies rows received from other routers.
type Follower interface {
	// ApplyFromPeer applies rows of a router with the given view of the feed.
	// It returns the rows that changed.
	ApplyFromPeer(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage, view amaranthtide.Option[amaranthtide.FeedView]) []amaranthtide.FeedRow
	// View returns this router's view of the feed, absent if the feed has never confirmed it.
	View(now time.Time) amaranthtide.Option[amaranthtide.FeedView]
	// Behind reports whether this router should have received a row of that version by now.
	Behind(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.StoreVersion) bool
	// Lacks reports whether this router has lacked rows of a table for too long, of which another
	// router has the newest one, to take that router's view for its own.
	Lacks(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.StoreVersion) bool
	// Reading reports whether this router reads the feed and the feed answers.
	Reading(now time.Time) bool
	// Stale reports whether rows should be requested from any router that may have them.
	Stale(now time.Time) bool
	// RestoreAge returns the time since this router learned that the store has come back from an older
	// copy of a table; 0 if it hasn't.
	RestoreAge(now time.Time, table amaranthtide.FeedTable) time.Duration
}

// Options are the dependencies and settings of an Exchange. All but Seeds, RolloutTable, Rollouts
// and Logger are required.
type Options struct {
	Self        amaranthtide.RouterEntry
	Incarnation amaranthtide.Incarnation
	// Seeds are the addresses of routers to contact before the registry has been read.
	Seeds    []netip.AddrPort
	Mesh     Mesh
	Traffic  *traffic.Counter
	Follower Follower
	Rows     *feed.Tables
	// PolledTable is the table that lists the servers, DeclaredTable the operators' table,
	// RegistryTable the table of routers.
	PolledTable   amaranthtide.FeedTable
	DeclaredTable amaranthtide.FeedTable
	RegistryTable amaranthtide.FeedTable
	// RolloutTable is the table with the states of rollouts, Rollouts what this router knows of
	// them; both are unset if the deployment has none.
	RolloutTable amaranthtide.FeedTable
	Rollouts     Rollouts
	Registrar    amaranthtide.Registrar
	// Evidence is what this router knows about requests that crash servers.
	Evidence Evidence
	// OnRoutersChanged is called with all known routers whenever the set may have changed.
	OnRoutersChanged func([]amaranthtide.VMName)
	Logger           hclog.Logger
}

// Exchange sends and receives the load reports and feed rows of one router. It is safe for
// concurrent use. Use New.
type Exchange struct {
	opts Options

	mu sync.Mutex
	// routers holds the other routers that are registered or have sent a message.
	routers  map[amaranthtide.VMName]router
	detector *suspicion.Detector
	sequence uint64
	// report is the last report to the hub, sent at reportSentAt.
	report       amaranthtide.LoadReport
	reportSentAt time.Time
	// totalsSentAt is when totals were last sent, zoneLoadsSentAt when the zone's loads were
	// last sent to the hubs of other zones.
	totalsSentAt    time.Time
	zoneLoadsSentAt time.Time
	// hub is the current hub of this zone as computed by this router, remoteHubs the hubs
	// of other zones as reported by that hub.
	hub        amaranthtide.VMName
	remoteHubs []amaranthtide.VMName
	// hubContactAt is when the hub last sent totals.
	hubContactAt time.Time
	// answersSent is the number of answers in the outcomes that were last sent, at outcomesSentAt. rollbacksSentAt is when rollbacks were last sent.
	answersSent     uint64
	outcomesSentAt  time.Time
	rollbacksSentAt time.Time
	// registeredEntry is this router's entry in the registry.
	registeredEntry amaranthtide.RouterEntry

	rowsRequestedAt time.Time
	// pendingRequests holds the times of the unanswered requests for missed rows.
	pendingRequests map[pendingRequest]time.Time
	// rotation advances with each periodic request for rows. It selects the routers from
	// which rows are requested and, in zones whose hub is unknown, the routers to which
	// this zone's loads are sent.
	rotation int
	// relayedView is the newest view that this router has relayed from another zone.
	relayedView time.Time
	// viewSource is the router of another zone that last relayed the feed to this one, at
	// viewSourceAt.
	viewSource   amaranthtide.VMName
	viewSourceAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an Exchange that is idle until Start.
func New(opts Options) *Exchange {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	e := &Exchange{
		opts: opts, routers: make(map[amaranthtide.VMName]router), detector: suspicion.New(),
		pendingRequests: make(map[pendingRequest]time.Time),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Start subscribes to the messages of other routers and starts to send reports and
// requests.
func (e *Exchange) Start() error {
	sub := e.opts.Mesh.Subscriber()
	handlers := map[string]func(*watermill.Message){
		message.TopicLoads: e.handleLoads, message.TopicZoneLoads: e.handleZoneLoads, message.TopicTotals: e.handleTotals,
		message.TopicRowsRequest: e.handleRowsRequest, message.TopicRows: e.handleRows,
		message.TopicCrashEvidence: e.handleEvidence,
	}
	if e.opts.Rollouts != nil {
		handlers[message.TopicOutcomes], handlers[message.TopicRollbacks] = e.handleOutcomes, e.handleRollbacks
	}
	for topic, handle := range handlers {
		messages, err := sub.Subscribe(e.ctx, topic)
		if err != nil {
			return err
		}
		e.wg.Go(func() { e.loop(messages, handle) })
	}
	e.requestTables(e.seedAddresses())
	e.wg.Go(e.run)
	e.wg.Go(e.keepRegistered)
	return nil
}

// Close stops the exchange and waits for its goroutines.
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

// run sends load reports and requests rows until the exchange is closed.
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
			e.sendEvidence(now)
			if e.opts.Rollouts != nil {
				e.sendOutcomes(now)
				e.resendRollbacks(now)
			}
			e.requestRows(now)
			e.forgetRouters(now)
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
		e.opts.Logger.Error("failed to encode control message", "topic", topic, "error", err)
		return
	}
	if err := e.opts.Mesh.Publisher().Publish(topic, mesh.NewMessage(payload, to)); err != nil {
		e.opts.Logger.Debug("failed to publish control message", "topic", topic, "error", err)
	}
}

func (e *Exchange) decode(msg *watermill.Message, m message.Message) bool {
	if err := message.Decode(msg.Payload, m); err != nil {
		e.opts.Logger.Warn("invalid control message dropped", "sender", msg.Metadata.Get(mesh.MetadataSender), "error", err)
		return false
	}
	return true
}

// senderAddress returns the address of the router that sent the message.
func (e *Exchange) senderAddress(msg *watermill.Message) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
	if err != nil {
		e.opts.Logger.Warn("control message has no valid sender address", "error", err)
	}
	return addr, err == nil
}
