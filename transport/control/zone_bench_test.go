package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/membership"
	"amaranthtide/coordination/placement"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/protocol/settings"
	"amaranthtide/state/load"
	"amaranthtide/state/table"
	"amaranthtide/transport/control"
	"amaranthtide/transport/mesh"
)

// network delivers control messages in memory and counts the bytes that they would
// take as frames of transport/mesh.
type network struct {
	mu    sync.RWMutex
	nodes map[netip.AddrPort]*node
}

// node is a router in a network. It implements control.Mesh, the publisher and the
// subscriber.
type node struct {
	network *network
	addr    netip.AddrPort
	control *control.Control

	mu     sync.Mutex
	topics map[string]chan *watermill.Message
	// dropMessage selects the messages to this node that are lost; nil loses none.
	dropMessage atomic.Pointer[func(topic string) bool]
	bytesSent   atomic.Uint64
	messages    atomic.Uint64
}

func (n *node) Publisher() watermill.Publisher   { return n }
func (n *node) Subscriber() watermill.Subscriber { return n }
func (n *node) Close() error                     { return nil }

func (n *node) Subscribe(ctx context.Context, topic string) (<-chan *watermill.Message, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in, out := make(chan *watermill.Message, 1024), make(chan *watermill.Message)
	n.topics[topic] = in
	go func() {
		defer close(out)
		for {
			select {
			case <-ctx.Done():
				return
			case msg := <-in:
				select {
				case out <- msg:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out, nil
}

func (n *node) Publish(topic string, messages ...*watermill.Message) error {
	for _, msg := range messages {
		payload, err := message.Append(nil, &message.Control{Topic: topic, Payload: msg.Payload})
		if err != nil {
			return err
		}
		for addr := range strings.SplitSeq(msg.Metadata.Get(mesh.MetadataPeers), ",") {
			n.bytesSent.Add(uint64(frame.HeaderSize + len(payload)))
			n.messages.Add(1)
			n.network.mu.RLock()
			peer := n.network.nodes[netip.MustParseAddrPort(addr)]
			n.network.mu.RUnlock()
			if peer != nil {
				peer.deliver(topic, msg.Payload, n.addr)
			}
		}
	}
	return nil
}

func (n *node) deliver(topic string, payload []byte, sender netip.AddrPort) {
	if drop := n.dropMessage.Load(); drop != nil && (*drop)(topic) {
		return
	}
	copied := watermill.NewMessage("", payload)
	copied.Metadata.Set(mesh.MetadataSender, sender.String())
	n.mu.Lock()
	in := n.topics[topic]
	n.mu.Unlock()
	select {
	case in <- copied:
	default:
	}
}

// fleet runs a Control for each router of several zones in one process.
type fleet struct {
	network *network
	nodes   []*node
	// servers holds the backend servers of the first zone.
	servers []amaranthtide.BackendServerName
	// owned holds the servers that each router owns while all routers are live.
	owned map[amaranthtide.VMName][]amaranthtide.BackendServerName
}

func zoneName(z int) amaranthtide.ZoneName {
	return amaranthtide.ZoneName(fmt.Sprintf("pl-north-%c", 'a'+z))
}

func vmName(z, i int) amaranthtide.VMName {
	return amaranthtide.VMName(fmt.Sprintf("router-%c-%02d", 'a'+z, i))
}

// newFleet starts a fleet with the given number of zones, and of routers and servers in
// each zone.
func newFleet(tb testing.TB, zones, routers, servers int) *fleet {
	tb.Helper()
	f := &fleet{
		network: &network{nodes: make(map[netip.AddrPort]*node)},
		owned:   make(map[amaranthtide.VMName][]amaranthtide.BackendServerName),
	}
	var vms []amaranthtide.ListedVM
	var all []amaranthtide.BackendServerName
	var rows []amaranthtide.Row
	for zi := range zones {
		rows = append(rows, amaranthtide.Row{
			Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: string(zoneName(zi))}, Revision: 1, Value: amaranthtide.Zone{},
		})
		var names []amaranthtide.VMName
		for i := range routers {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(zi), byte(i)}), 7000)
			names = append(names, vmName(zi, i))
			vms = append(vms, amaranthtide.ListedVM{Name: vmName(zi, i), Zone: zoneName(zi), Address: addr})
		}
		for i := range servers {
			s := amaranthtide.BackendServerName(fmt.Sprintf("engine-%c-%03d", 'a'+zi, i))
			owner, _ := placement.Owner(amaranthtide.GroupName(s), names)
			f.owned[owner] = append(f.owned[owner], s)
			all = append(all, s)
		}
	}
	f.servers = all[:servers]
	for _, vm := range vms {
		n := &node{network: f.network, addr: vm.Address, topics: make(map[string]chan *watermill.Message)}
		tracker := load.New(vm.Name)
		tracker.SetServers("model", all)
		tab := table.New()
		tab.Load(rows, 20_000)
		n.control = control.New(control.Options{
			VM: vm.Name, Zone: vm.Zone, Address: vm.Address, Incarnation: amaranthtide.Incarnation(time.Now().UnixNano()),
			BytesPerSecond: settings.Default().Control.BytesPerSecond, DigestInterval: time.Second,
			Mesh: n, Table: tab, LoadTracker: tracker,
			Loads:           func(time.Time) []amaranthtide.ServerLoad { return loads(f.owned[vm.Name]) },
			OnNewerRevision: func(netip.AddrPort, amaranthtide.Revision) {},
		})
		n.control.SetListedVMs(time.Now(), vms)
		f.network.nodes[vm.Address] = n
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.control.Start(); err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(n.control.Close)
	}
	return f
}

// loads returns random loads, which therefore change with every report as under full
// traffic.
func loads(servers []amaranthtide.BackendServerName) []amaranthtide.ServerLoad {
	all := make([]amaranthtide.ServerLoad, len(servers))
	for i, s := range servers {
		all[i] = amaranthtide.ServerLoad{
			Server: s, Boot: amaranthtide.BootID(fmt.Sprintf("%024x", 1<<60+i)),
			InFlight: 20 + rand.IntN(40), Allowance: 64, CompletionsPerSecond: 7 + rand.Float64(),
		}
	}
	return all
}

// probeBytes is the traffic of the load probes of one owned engine, in bytes per second.
const probeBytes = 400

// BenchmarkZone measures the traffic of reports and digests, the age of known loads and
// the time until all routers of a zone detect a dead one, with the default settings.
// One operation takes about 10 s.
func BenchmarkZone(b *testing.B) {
	for _, size := range []struct{ zones, routers, servers int }{{3, 4, 7}, {3, 12, 20}, {1, 70, 490}} {
		b.Run(fmt.Sprintf("zones=%d/routers=%d", size.zones, size.routers), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size.zones, size.routers, size.servers)
				f.measureTraffic(b, size.routers)
				f.measureDetection(b, size.routers)
				for _, n := range f.nodes {
					n.control.Close()
				}
			}
		})
	}
}

func (f *fleet) traffic() (bytes, messages []uint64) {
	for _, n := range f.nodes {
		bytes = append(bytes, n.bytesSent.Load())
		messages = append(messages, n.messages.Load())
	}
	return bytes, messages
}

func (f *fleet) measureTraffic(b *testing.B, routers int) {
	const warmup, duration, step = 3 * time.Second, 6 * time.Second, 50 * time.Millisecond
	time.Sleep(warmup)
	before, beforeMessages := f.traffic()
	var oldest, sum time.Duration
	samples := 0
	began := time.Now()
	for time.Since(began) < duration {
		time.Sleep(step)
		n := f.nodes[rand.IntN(routers)]
		for _, s := range f.servers {
			_, received := n.control.Load(s)
			if received.IsZero() {
				continue // no report received yet
			}
			age := time.Since(received)
			oldest, sum = max(oldest, age), sum+age
			samples++
		}
	}
	elapsed := time.Since(began).Seconds()
	after, afterMessages := f.traffic()
	var total, messages, most, mostWithProbes float64
	for i := range after {
		rate := float64(after[i]-before[i]) / elapsed
		total += rate
		messages += float64(afterMessages[i] - beforeMessages[i])
		most = max(most, rate)
		mostWithProbes = max(mostWithProbes, rate+float64(probeBytes*len(f.owned[vmName(i/routers, i%routers)])))
	}
	b.ReportMetric(total/float64(len(f.nodes)), "mean-B/s/router")
	b.ReportMetric(most, "most-B/s/router")
	b.ReportMetric(mostWithProbes, "most-with-probes-B/s/router")
	b.ReportMetric(total*elapsed/max(1, messages), "B/message")
	b.ReportMetric(float64(oldest.Milliseconds()), "oldest-load-ms")
	b.ReportMetric(float64(sum.Milliseconds())/float64(max(1, samples)), "mean-load-ms")
}

func (f *fleet) measureDetection(b *testing.B, routers int) {
	const timeout = 10 * time.Second
	p, _ := f.nodes[1].control.Roster().Peer(vmName(0, 0))
	b.ReportMetric(float64(membership.Suspicion(p.Report.Interval).Milliseconds()), "suspicion-ms")
	f.nodes[0].control.Close()
	died := time.Now()
	for detected := 0; detected < routers-1 && time.Since(died) < timeout; {
		detected = 0
		for _, n := range f.nodes[1:routers] {
			if !slices.Contains(n.control.Live(time.Now()), vmName(0, 0)) {
				detected++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(died).Milliseconds()), "detection-ms")
}
