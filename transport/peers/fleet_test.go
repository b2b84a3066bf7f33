package peers_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/reading"
	"amaranthtide/protocol/frame"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/servers"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/crashes"
	"amaranthtide/transport/follow"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/peers"
)

// fleet connects the exchanges of several routers within one process. Single routers can be
// disconnected, and the registry can fail.
type fleet struct {
	mu           sync.Mutex
	nodes        map[netip.AddrPort]*node
	disconnected amaranthtide.Set[amaranthtide.VMName]
	// silent holds the routers whose calls the feed doesn't answer.
	silent amaranthtide.Set[amaranthtide.VMName]
	// refused holds the routers whose calls for the operators' table fail.
	refused amaranthtide.Set[amaranthtide.VMName]
	// operatorRow is the only row of the operators' table, without a value if there is none.
	operatorRow amaranthtide.FeedRow
	// lose reports whether a message to a router is lost; nil loses none.
	lose           func(to amaranthtide.VMName, topic string, payload []byte) bool
	registry       map[amaranthtide.VMName]amaranthtide.FeedRow
	entries        map[string]amaranthtide.RouterEntry
	version        amaranthtide.StoreVersion
	feedDown       bool
	feedCalls      map[amaranthtide.FeedTable]int
	registryWrites int
	// registeredAt holds the times of these writes.
	registeredAt []time.Time
	messages     int
	// messageLimit is the number of messages after which further ones are dropped, so that
	// an exchange without end fails a test instead of hanging it; 0 is no limit.
	messageLimit int
	// linkMegabits returns the link of the i-th router of a zone; nil is 0 for all.
	linkMegabits func(i int) int
	// newRollouts returns what a router knows of rollouts; nil if the fleet has none.
	newRollouts func(vm amaranthtide.VMName) peers.Rollouts
	// bytes counts the bytes that each router has sent.
	bytes map[amaranthtide.VMName]int
}

// node is the peers.Mesh of one router and its client of the registry.
type node struct {
	fleet   *fleet
	entry   amaranthtide.RouterEntry
	topics  map[string]chan *watermill.Message
	load    *traffic.Counter
	rows    *feed.Tables
	follow  *follow.Follower
	crashes *crashes.Tracker
	*peers.Exchange

	mu    sync.Mutex
	names []amaranthtide.VMName
}

func newFleet() *fleet {
	return &fleet{
		nodes: make(map[netip.AddrPort]*node), disconnected: amaranthtide.NewSet[amaranthtide.VMName](), silent: amaranthtide.NewSet[amaranthtide.VMName](), refused: amaranthtide.NewSet[amaranthtide.VMName](),
		registry: make(map[amaranthtide.VMName]amaranthtide.FeedRow), entries: make(map[string]amaranthtide.RouterEntry),
		bytes: make(map[amaranthtide.VMName]int), feedCalls: make(map[amaranthtide.FeedTable]int),
	}
}

func (n *node) Publisher() watermill.Publisher   { return n }
func (n *node) Subscriber() watermill.Subscriber { return n }
func (n *node) Close() error                     { return nil }

func (n *node) Publish(topic string, messages ...*watermill.Message) error {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, msg := range messages {
		for part := range strings.SplitSeq(msg.Metadata.Get(mesh.MetadataPeers), ",") {
			if f.messageLimit > 0 && f.messages >= f.messageLimit {
				return nil
			}
			f.messages++
			f.bytes[n.entry.VM] += frame.HeaderSize + len(topic) + len(msg.Payload)
			to := f.nodes[netip.MustParseAddrPort(part)]
			if to == nil || f.disconnected.Has(n.entry.VM) || f.disconnected.Has(to.entry.VM) || to.topics[topic] == nil {
				continue
			}
			if f.lose != nil && f.lose(to.entry.VM, topic, msg.Payload) {
				continue
			}
			sent := watermill.NewMessage("1", msg.Payload)
			sent.Metadata.Set(mesh.MetadataSender, n.entry.Address.String())
			to.topics[topic] <- sent
		}
	}
	return nil
}

func (n *node) Subscribe(ctx context.Context, topic string) (<-chan *watermill.Message, error) {
	in := make(chan *watermill.Message, 4096)
	n.fleet.mu.Lock()
	n.topics[topic] = in
	n.fleet.mu.Unlock()
	return subscription(ctx, in), nil
}

// Next implements amaranthtide.Feed. Only the table of routers has rows.
func (n *node) Next(ctx context.Context, table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion], wait time.Duration) (amaranthtide.FeedPage, error) {
	f := n.fleet
	f.mu.Lock()
	f.feedCalls[table]++
	f.mu.Unlock()
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			return amaranthtide.FeedPage{}, ctx.Err()
		}
		f.mu.Lock()
		page, down, silent := f.page(table), f.feedDown || table == operatorTable && f.refused.Has(n.entry.VM), f.silent.Has(n.entry.VM)
		f.mu.Unlock()
		if silent {
			if time.Now().After(deadline.Add(callTimeout)) {
				return amaranthtide.FeedPage{}, amaranthtide.Errorf(amaranthtide.KindPlatformDown, "feed does not answer")
			}
			continue
		}
		if down {
			return amaranthtide.FeedPage{}, amaranthtide.Errorf(amaranthtide.KindPlatformDown, "feed is unavailable")
		}
		from, known := after.Get()
		changed := slices.ContainsFunc(page.Rows, func(row amaranthtide.FeedRow) bool { return row.Version.After(from) })
		if !known || changed || from.Era() != page.Version.Era() {
			return page, nil
		}
		if !time.Now().Before(deadline) {
			return amaranthtide.FeedPage{Version: page.Version}, nil
		}
	}
}

// page returns a whole table. The caller holds mu.
func (f *fleet) page(table amaranthtide.FeedTable) amaranthtide.FeedPage {
	page := amaranthtide.FeedPage{Whole: true, Version: amaranthtide.NewStoreVersion(f.version.Era(), max(1, f.version.Number()))}
	if table == operatorTable && f.operatorRow.Value != nil {
		page.Rows = append(page.Rows, f.operatorRow)
	}
	if table != registryTable {
		return page
	}
	for _, row := range f.registry {
		page.Rows = append(page.Rows, row)
	}
	return page
}

func (n *node) Register(_ context.Context, e amaranthtide.RouterEntry) error {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registryWrites++
	f.version = amaranthtide.NewStoreVersion(f.version.Era(), f.version.Number()+1)
	f.registeredAt = append(f.registeredAt, time.Now())
	f.entries[string(e.VM)] = e
	f.registry[e.VM] = amaranthtide.FeedRow{Key: string(e.VM), Version: f.version, Table: registryTable, Value: []byte("{}")}
	return nil
}

func (n *node) Decode(_ time.Time, row amaranthtide.FeedRow) (amaranthtide.DecodedRow, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if row.Table != registryTable {
		return amaranthtide.DecodedRow{}, nil
	}
	return amaranthtide.DecodedRow{Router: amaranthtide.Some(n.fleet.entries[row.Key])}, nil
}

func (n *node) setNames(names []amaranthtide.VMName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names = names
}

func (n *node) knownRouters() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.names)
}

// start adds the i-th router of a zone to the fleet.
func (f *fleet) start(t *testing.T, zone string, i int, seeds ...netip.AddrPort) *node {
	t.Helper()
	n := &node{
		fleet: f, topics: make(map[string]chan *watermill.Message), load: traffic.New(), crashes: crashes.New(crashes.Options{}),
		entry: amaranthtide.RouterEntry{
			VM: amaranthtide.VMName(fmt.Sprintf("vm-%s%d", zone, i)), Zone: amaranthtide.ZoneName(zone),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, zone[0], 0, byte(i)}), 7000),
		},
	}
	if f.linkMegabits != nil {
		n.entry.LinkMegabits = f.linkMegabits(i)
	}
	n.rows = feed.New()
	n.follow = follow.New(follow.Options{
		VM: n.entry.VM, Feed: n, Decoder: n, Tables: []amaranthtide.FeedTable{serversTable, operatorTable, registryTable}, PolledTable: serversTable, BatchedTables: []amaranthtide.FeedTable{serversTable, registryTable}, Rows: n.rows,
		Configuration: declared.New(), Servers: servers.New(), Schedule: reading.NewSchedule(bound),
		Position: func(now time.Time) reading.Position { return n.Position(now) },
		Relay: func(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion]) {
			n.Relay(table, after)
		},
		OnRoutersChanged: func(now time.Time, registered []amaranthtide.RouterEntry, removed []amaranthtide.VMName) {
			n.ApplyRegistry(now, registered, removed)
		},
	})
	opts := peers.Options{
		Self: n.entry, Incarnation: amaranthtide.Incarnation(time.Now().UnixNano()), Seeds: seeds, Mesh: n, Traffic: n.load,
		Follower: n.follow, Rows: n.rows, PolledTable: serversTable, DeclaredTable: operatorTable, RegistryTable: registryTable,
		Registrar: n, Evidence: n.crashes, OnRoutersChanged: n.setNames,
	}
	if f.newRollouts != nil {
		opts.Rollouts = f.newRollouts(n.entry.VM)
	}
	n.Exchange = peers.New(opts)
	f.mu.Lock()
	f.nodes[n.entry.Address] = n
	f.mu.Unlock()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	n.follow.Start()
	return n
}

func (n *node) close() {
	n.follow.Close()
	n.Exchange.Close()
}

// setDisconnected disconnects or reconnects a router.
func (f *fleet) setDisconnected(vm amaranthtide.VMName, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if disconnected {
		f.disconnected.Add(vm)
	} else {
		f.disconnected.Remove(vm)
	}
}

// bytesSent returns the number of bytes that all routers have sent.
func (f *fleet) bytesSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.bytes {
		sum += n
	}
	return sum
}

func (f *fleet) setFeedDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feedDown = down
}

// restore makes the feed come back in the next era from an empty copy.
func (f *fleet) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = amaranthtide.NewStoreVersion(f.version.Era()+1, 0)
	f.registry = make(map[amaranthtide.VMName]amaranthtide.FeedRow)
	f.feedDown, f.registryWrites, f.registeredAt = false, 0, nil
	clear(f.feedCalls)
}

// changeOperatorRow writes the operators' row and returns its version.
func (f *fleet) changeOperatorRow() amaranthtide.StoreVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = amaranthtide.NewStoreVersion(f.version.Era(), f.version.Number()+1)
	f.operatorRow = amaranthtide.FeedRow{Key: "config", Version: f.version, Table: operatorTable, Value: []byte("{}")}
	return f.version
}

// setRefused sets whether a router's calls for the operators' table fail.
func (f *fleet) setRefused(vm amaranthtide.VMName, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if refused {
		f.refused.Add(vm)
	} else {
		f.refused.Remove(vm)
	}
}

func (f *fleet) limitMessages(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messageLimit = limit
}

func (f *fleet) messagesLeft() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messageLimit - f.messages
}

// count returns the value of one of the fleet's counters.
func (f *fleet) count(n *int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *n
}

// calls returns the number of calls to the feed for the given tables.
func (f *fleet) calls(tables ...amaranthtide.FeedTable) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, table := range tables {
		n += f.feedCalls[table]
	}
	return n
}

// expectedHub returns the node that comes first in the hub order of its zone.
func expectedHub(nodes []*node) *node {
	names := make([]amaranthtide.VMName, len(nodes))
	for i, n := range nodes {
		names[i] = n.entry.VM
	}
	first := placement.TopRouters("hub", names, 1)[0]
	for _, n := range nodes {
		if n.entry.VM == first {
			return n
		}
	}
	return nil
}

func startZones(t *testing.T, f *fleet, zones string, perZone int) map[string][]*node {
	t.Helper()
	all := make(map[string][]*node)
	for _, zone := range zones {
		for i := range perZone {
			n := f.start(t, string(zone), i+1)
			n.load.Begin("e1")
			all[string(zone)] = append(all[string(zone)], n)
		}
	}
	return all
}

func closeAll(zones map[string][]*node) {
	for _, nodes := range zones {
		for _, n := range nodes {
			n.close()
		}
	}
}

func checkLoads(t *testing.T, when string, nodes []*node, least, most int) {
	t.Helper()
	for _, n := range nodes {
		if got := n.load.Load(time.Now(), "e1"); got < least || got > most {
			t.Errorf("%s: %s: got: load %d, want: %d to %d", when, n.entry.VM, got, least, most)
		}
	}
}
