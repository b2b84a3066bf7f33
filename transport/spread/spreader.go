// Package spread keeps a router's copy of the configuration table up to date: it
// loads the table at start, polls the change log while this router is a contact of
// its zone, pushes changes to the other routers of the zone and requests missed
// changes from peers.
//
// # Usage
//
//	s := spread.New(spread.Options{Table: t, Mesh: m, Platform: platform, ...})
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Close()
//	<-s.Loaded() // the router becomes ready once the table is loaded
package spread

import (
	"context"
	"net/netip"
	"sync"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/membership"
	"amaranthtide/coordination/spread"
	"amaranthtide/protocol/message"
	"amaranthtide/state/table"
	"amaranthtide/transport/mesh"
)

// Platform is the part of the platform's services that a Spreader uses.
type Platform interface {
	amaranthtide.TableService
	amaranthtide.ObjectStore
	Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult
}

// Membership tells a Spreader which routers are its peers.
type Membership interface {
	// IsContact reports whether this router is a contact of its zone, and whether it is
	// the first one.
	IsContact(now time.Time) (contact, first bool)
	// Peers returns the other routers of the zone.
	Peers(now time.Time) []membership.Peer
}

// Mesh is the part of transport/mesh that a Spreader uses.
type Mesh interface {
	Publisher() watermill.Publisher
	Subscriber() watermill.Subscriber
}

// Options are the dependencies and settings of a Spreader. All but Logger are required.
type Options struct {
	Table      *table.Table
	Mesh       Mesh
	Platform   Platform
	Membership Membership
	// Forwarder requests the table from peers.
	Forwarder amaranthtide.Forwarder
	// Seeds are the addresses to request the table from while no peer is known.
	Seeds []netip.AddrPort
	// Interval is the time between a contact's polls of the change log.
	Interval time.Duration
	Logger   hclog.Logger
}

// Spreader loads the configuration table and exchanges its changes with the routers of
// the zone. It is safe for concurrent use. Use New.
type Spreader struct {
	opts       Options
	loaded     chan struct{}
	loadedOnce sync.Once
	// snapshotRevision is the revision that this router last loaded or wrote as a
	// snapshot.
	snapshotRevision amaranthtide.Revision
	// newerPeers holds a peer that has changes which this router lacks.
	newerPeers chan netip.AddrPort

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Spreader that does nothing until Start.
func New(opts Options) *Spreader {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Spreader{
		opts:       opts,
		loaded:     make(chan struct{}),
		newerPeers: make(chan netip.AddrPort, 1),
		ctx:        ctx,
		cancel:     cancel,
	}
}

// Start subscribes to changes and starts loading the table in the background.
func (s *Spreader) Start() error {
	sub := s.opts.Mesh.Subscriber()
	changes, err := sub.Subscribe(s.ctx, message.TopicChanges)
	if err != nil {
		return err
	}
	requests, err := sub.Subscribe(s.ctx, message.TopicChangesRequest)
	if err != nil {
		return err
	}
	s.wg.Go(func() { s.loopChanges(changes) })
	s.wg.Go(func() { s.loopRequests(requests) })
	s.wg.Go(s.run)
	s.wg.Go(s.loopNewerPeers)
	return nil
}

// Close stops the Spreader and waits for its goroutines.
func (s *Spreader) Close() {
	s.cancel()
	s.wg.Wait()
}

// Loaded returns a channel that is closed once the table is loaded.
func (s *Spreader) Loaded() <-chan struct{} { return s.loaded }

// ReportNewerPeer requests the changes of a peer that has a newer revision. The call has
// no effect while an earlier one is pending.
func (s *Spreader) ReportNewerPeer(peer netip.AddrPort) {
	select {
	case s.newerPeers <- peer:
	default:
	}
}

// run loads the table and then polls the change log while this router is a contact.
func (s *Spreader) run() {
	s.load()
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			if contact, first := s.opts.Membership.IsContact(now); contact {
				s.poll(first)
			}
		}
	}
}

// poll reads the changes after the table's revision from the change log and pushes them.
// The first contact of the zone also writes a snapshot when one is due.
func (s *Spreader) poll(first bool) {
	for {
		page := spread.LogPage(s.opts.Table.Revision(), 0)
		rows, err := s.opts.Platform.List(s.ctx, page.Prefix, page.After, page.Limit)
		if err != nil {
			s.opts.Logger.Debug("failed to poll the change log", "error", err)
			return
		}
		changes, err := spread.DecodeChanges(rows)
		if err != nil {
			s.opts.Logger.Error("invalid entry in the change log", "error", err)
			return
		}
		s.Push(changes)
		if len(rows) < page.Limit {
			break
		}
	}
	if first && spread.SnapshotDue(s.snapshotRevision, s.opts.Table.Revision()) {
		s.writeSnapshot()
	}
}

func (s *Spreader) writeSnapshot() {
	rows, revision := s.opts.Table.Snapshot()
	data, err := spread.EncodeSnapshot(rows, revision)
	if err != nil {
		s.opts.Logger.Error("failed to encode the table snapshot", "error", err)
		return
	}
	if err := s.opts.Platform.PutObject(s.ctx, spread.SnapshotName, data); err != nil {
		s.opts.Logger.Debug("failed to write the table snapshot", "error", err)
		return
	}
	s.snapshotRevision = revision
}

// Push applies changes that this router read or committed, and sends those that were
// new to the other routers of the zone.
func (s *Spreader) Push(changes []amaranthtide.Change) {
	applied, gap := s.opts.Table.Apply(changes)
	if gap {
		s.opts.Logger.Debug("changes skip revisions that the table lacks", "revision", s.opts.Table.Revision())
	}
	if applied == 0 {
		return
	}
	var receivers []netip.AddrPort
	for _, p := range s.opts.Membership.Peers(time.Now()) {
		receivers = append(receivers, p.Address)
	}
	s.send(changes[len(changes)-applied:], receivers)
}

func (s *Spreader) send(changes []amaranthtide.Change, receivers []netip.AddrPort) {
	m, err := message.NewChanges(changes[0].Revision-1, changes)
	if err != nil {
		s.opts.Logger.Error("failed to encode changes", "error", err)
		return
	}
	s.publish(message.TopicChanges, m, receivers)
}

func (s *Spreader) publish(topic string, m message.Message, receivers []netip.AddrPort) {
	if len(receivers) == 0 {
		return
	}
	payload, err := message.Append(nil, m)
	if err != nil {
		s.opts.Logger.Error("failed to encode control message", "topic", topic, "error", err)
		return
	}
	if err := s.opts.Mesh.Publisher().Publish(topic, mesh.NewMessage(payload, receivers)); err != nil {
		s.opts.Logger.Debug("failed to publish control message", "topic", topic, "error", err)
	}
}

// loopChanges applies the changes that peers send.
func (s *Spreader) loopChanges(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Changes
		if err := message.Decode(msg.Payload, &m); err != nil {
			s.opts.Logger.Warn("invalid changes dropped", "error", err)
			continue
		}
		_, changes, err := m.ToDomain()
		if err != nil {
			s.opts.Logger.Warn("invalid changes dropped", "error", err)
			continue
		}
		if _, gap := s.opts.Table.Apply(changes); gap {
			if sender, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender)); err == nil {
				s.ReportNewerPeer(sender)
			}
		}
	}
}

const (
	// requestInterval is the shortest time between two requests for changes.
	requestInterval = 50 * time.Millisecond
	// maxFailedRequests is the number of consecutive requests without effect after which
	// a peer's whole table is loaded. An answer may be lost, but a peer that started from
	// a snapshot can't send changes from before it at all.
	maxFailedRequests = 5
)

// loopNewerPeers requests missed changes from the peers in newerPeers.
func (s *Spreader) loopNewerPeers() {
	failed := 0
	for {
		select {
		case <-s.ctx.Done():
			return
		case peer := <-s.newerPeers:
			before := s.opts.Table.Revision()
			s.publish(message.TopicChangesRequest, &message.ChangesRequest{After: uint64(before)}, []netip.AddrPort{peer})
			s.sleep(requestInterval)
			if s.opts.Table.Revision() != before {
				failed = 0
				continue
			}
			if failed++; failed >= maxFailedRequests && before > 0 {
				s.loadFromPeer(peer)
				failed = 0
			}
		}
	}
}

// loadFromPeer loads a peer's whole table. An older one than this router's is ignored.
func (s *Spreader) loadFromPeer(peer netip.AddrPort) {
	snapshot, err := s.snapshotFromPeer(peer)
	if err != nil {
		s.opts.Logger.Debug("failed to get the table from a peer", "peer", peer, "error", err)
		return
	}
	s.opts.Table.Load(snapshot.Rows, snapshot.Revision)
}

func (s *Spreader) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// maxChangesPerAnswer limits the changes sent in answer to one request of a peer.
const maxChangesPerAnswer = 256

// loopRequests sends changes to the peers that request them.
func (s *Spreader) loopRequests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.ChangesRequest
		if err := message.Decode(msg.Payload, &m); err != nil {
			continue
		}
		sender, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
		if err != nil {
			continue
		}
		changes, ok := s.opts.Table.Changes(amaranthtide.Revision(m.After), maxChangesPerAnswer)
		if !ok || len(changes) == 0 {
			continue // after maxFailedRequests the peer loads a whole table
		}
		s.send(changes, []netip.AddrPort{sender})
	}
}
