package peers_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/state/feed"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/crashes"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/peers"
)

var addr = netip.MustParseAddrPort("127.0.0.1:9")

const (
	serversTable  = amaranthtide.FeedTable("listing")
	operatorTable = amaranthtide.FeedTable("operator")
	registryTable = amaranthtide.FeedTable("routers")
)

// network is a peers.Mesh that counts published messages and delivers those of a test.
type network struct {
	mu        sync.Mutex
	published map[string]int
	topics    map[string]chan *watermill.Message
}

func newNetwork() *network {
	return &network{published: make(map[string]int), topics: make(map[string]chan *watermill.Message)}
}

func (n *network) Publisher() watermill.Publisher   { return n }
func (n *network) Subscriber() watermill.Subscriber { return n }

func (n *network) Publish(topic string, messages ...*watermill.Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.published[topic] += len(messages)
	return nil
}

func (n *network) Subscribe(ctx context.Context, topic string) (<-chan *watermill.Message, error) {
	in := make(chan *watermill.Message)
	n.mu.Lock()
	n.topics[topic] = in
	n.mu.Unlock()
	return subscription(ctx, in), nil
}

// subscription forwards messages until ctx ends.
func subscription(ctx context.Context, in <-chan *watermill.Message) <-chan *watermill.Message {
	out := make(chan *watermill.Message)
	go func() {
		defer close(out)
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-in:
				out <- m
			}
		}
	}()
	return out
}

func (n *network) Close() error { return nil }

func (n *network) count(topic string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published[topic]
}

// deliver delivers a message with addr as its sender.
func (n *network) deliver(t *testing.T, topic string, m message.Message) {
	t.Helper()
	payload, err := message.Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	in := n.topics[topic]
	n.mu.Unlock()
	msg := watermill.NewMessage("1", payload)
	msg.Metadata.Set(mesh.MetadataSender, addr.String())
	in <- msg
}

// follower is a peers.Follower whose feed never fails.
type follower struct {
	reading atomic.Bool
}

func (*follower) ApplyFromPeer(time.Time, amaranthtide.FeedTable, amaranthtide.FeedPage, amaranthtide.Option[amaranthtide.FeedView]) []amaranthtide.FeedRow {
	return nil
}
func (*follower) View(time.Time) amaranthtide.Option[amaranthtide.FeedView] {
	return amaranthtide.Some(amaranthtide.FeedView{})
}
func (*follower) RestoreAge(time.Time, amaranthtide.FeedTable) time.Duration { return 0 }

func (*follower) Behind(time.Time, amaranthtide.FeedTable, amaranthtide.StoreVersion) bool {
	return false
}
func (*follower) Lacks(time.Time, amaranthtide.FeedTable, amaranthtide.StoreVersion) bool {
	return false
}
func (f *follower) Reading(time.Time) bool { return f.reading.Load() }
func (*follower) Stale(time.Time) bool     { return false }

// registrar accepts all entries.
type registrar struct{}

func (registrar) Register(context.Context, amaranthtide.RouterEntry) error { return nil }

func start(t *testing.T, name amaranthtide.VMName, n *network, f *follower) *peers.Exchange {
	t.Helper()
	e := peers.New(peers.Options{
		Self: amaranthtide.RouterEntry{VM: name, Zone: "a", Address: addr}, Incarnation: 1, Mesh: n, Traffic: traffic.New(),
		Follower: f, Rows: feed.New(), PolledTable: serversTable, DeclaredTable: operatorTable, RegistryTable: registryTable,
		Registrar: registrar{}, Evidence: crashes.New(crashes.Options{}), OnRoutersChanged: func([]amaranthtide.VMName) {},
	})
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// Guards against a standby reader that misses rows forwarded by the active reader and never
// requests them, so that it keeps using servers that are leaving.
func TestStandbyReaderRequestsRows(t *testing.T) {
	for _, name := range []amaranthtide.VMName{"vm-a", "vm-z"} { // the active and the standby reader, in some order
		n, f := newNetwork(), &follower{}
		e := start(t, name, n, f)
		n.deliver(t, message.TopicLoads, message.NewLoadReport(amaranthtide.LoadReport{
			From: amaranthtide.RouterEntry{VM: "vm-m", Zone: "a", Address: addr}, Incarnation: 1, Sequence: 1,
		}))
		time.Sleep(1500 * time.Millisecond)
		if n.count(message.TopicRowsRequest) == 0 {
			t.Errorf("%s, reader rank %d: got: no request for rows, want: two per second", name, e.Position(time.Now()).Router)
		}
		f.reading.Store(true)
		time.Sleep(300 * time.Millisecond) // lets a request in progress finish
		before := n.count(message.TopicRowsRequest)
		time.Sleep(1200 * time.Millisecond)
		if after := n.count(message.TopicRowsRequest); after != before && e.Position(time.Now()).IsFirst() {
			t.Errorf("%s: got: %d requests of a router that reads the table, want: none", name, after-before)
		}
	}
}

// Guards against a router that detects missed changes but waits for the next periodic
// request to fetch them.
func TestMissedRowsAreRequestedImmediately(t *testing.T) {
	n := newNetwork()
	start(t, "vm-a", n, &follower{})
	before := n.count(message.TopicRowsRequest)
	page := amaranthtide.FeedPage{Version: ver(7), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e1", Version: ver(7), Value: []byte("{}")}}}
	n.deliver(t, message.TopicRows, message.NewRows(serversTable, ver(5), page, amaranthtide.Some(amaranthtide.FeedView{})))
	for deadline := time.Now().Add(200 * time.Millisecond); n.count(message.TopicRowsRequest) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got: no request within 200 ms, want: one")
		}
	}
}

// Guards against requests without end to a router whose answers aren't applied, because this
// router waits for the end of its own calls to the feed: each answer led to the next request.
func TestDeclinedRowsAreNotRequestedAgain(t *testing.T) {
	n := newNetwork()
	start(t, "vm-a", n, &follower{})
	page := amaranthtide.FeedPage{Whole: true, Version: ver(9), Rows: []amaranthtide.FeedRow{{Table: registryTable, Key: "vm-b", Version: ver(9), Value: []byte("{}")}}}
	answer := message.NewRows(registryTable, ver(0), page, amaranthtide.None[amaranthtide.FeedView]())
	answer.Answer, answer.Newest = true, []message.TableVersion{message.NewTableVersion(registryTable, ver(9))}
	before := n.count(message.TopicRowsRequest)
	const answers = 20
	for range answers {
		n.deliver(t, message.TopicRows, answer)
	}
	// One request for the named row and a periodic one may be sent in this time.
	if got := n.count(message.TopicRowsRequest) - before; got > 2 {
		t.Errorf("got: %d requests after %d declined answers, want: at most 2", got, answers)
	}
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
