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
	"amaranthtide/state/load"
	"amaranthtide/state/table"
	"amaranthtide/transport/control"
	"amaranthtide/transport/mesh"
)

// network delivers control messages in memory and counts the bytes that they take
// as frames of transport/mesh.
type network struct {
	mu    sync.RWMutex
	nodes map[netip.AddrPort]*node
}

// node is one router's end of a network; it is its mesh, publisher and subscriber.
type node struct {
	network *network
	addr    netip.AddrPort
	control *control.Control

	mu     sync.Mutex
	topics map[string]chan *watermill.Message
	// lose tells which messages to this node are lost.
	lose  atomic.Pointer[func(topic string) bool]
	sent  atomic.Uint64
	count atomic.Uint64
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
			n.sent.Add(uint64(frame.HeaderSize + len(payload)))
			n.count.Add(1)
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
	if lose := n.lose.Load(); lose != nil && (*lose)(topic) {
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

// zone runs the control of all routers of one zone in one process.
type zone struct {
	network *network
	nodes   []*node
	servers []amaranthtide.BackendServerName
	// boots counts restarts of all servers.
	boots atomic.Int64
}

func vmName(i int) amaranthtide.VMName {
	return amaranthtide.VMName(fmt.Sprintf("router-a-%02d", i))
}

func newZone(tb testing.TB, routers, servers int) *zone {
	tb.Helper()
	z := &zone{network: &network{nodes: make(map[netip.AddrPort]*node)}}
	var vms []amaranthtide.ListedVM
	var names []amaranthtide.VMName
	for i := range routers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		names = append(names, vmName(i))
		vms = append(vms, amaranthtide.ListedVM{Name: vmName(i), Zone: "pl-north-a", Address: addr})
	}
	owned := make(map[amaranthtide.VMName][]amaranthtide.BackendServerName)
	for i := range servers {
		s := amaranthtide.BackendServerName(fmt.Sprintf("engine-a-%03d", i))
		owner, _ := placement.Owner(s, names)
		z.servers = append(z.servers, s)
		owned[owner] = append(owned[owner], s)
	}
	for _, vm := range vms {
		n := &node{network: z.network, addr: vm.Address, topics: make(map[string]chan *watermill.Message)}
		ledger := load.New(vm.Name)
		ledger.SetServers("model", z.servers)
		n.control = control.New(control.Options{
			VM: vm.Name, Zone: vm.Zone, Address: vm.Address, Incarnation: amaranthtide.Incarnation(time.Now().UnixNano()),
			BytesPerSecond: 1500, DigestInterval: time.Second,
			Mesh: n, Table: table.New(), Ledger: ledger,
			Loads:  func(time.Time) []amaranthtide.ServerLoad { return z.loads(owned[vm.Name]) },
			Behind: func(netip.AddrPort, amaranthtide.Revision) {},
		})
		n.control.List(time.Now(), vms)
		z.network.nodes[vm.Address] = n
		z.nodes = append(z.nodes, n)
	}
	for _, n := range z.nodes {
		if err := n.control.Start(); err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(n.control.Close)
	}
	return z
}

// loads returns loads that change with every report, as under full traffic.
func (z *zone) loads(servers []amaranthtide.BackendServerName) []amaranthtide.ServerLoad {
	loads := make([]amaranthtide.ServerLoad, len(servers))
	for i, s := range servers {
		loads[i] = amaranthtide.ServerLoad{
			Server: s, Boot: amaranthtide.BootID(fmt.Sprintf("%024x", 1<<60+z.boots.Load()+int64(i))),
			InFlight: 20 + rand.IntN(40), Allowance: 64, CompletionsPerSecond: 7 + rand.Float64(),
		}
	}
	return loads
}

// BenchmarkZone measures the traffic of reports, the age of known loads and the time
// until all routers miss a dead one, at three sizes with today's default settings.
func BenchmarkZone(b *testing.B) {
	for _, size := range []struct{ routers, servers int }{{4, 7}, {12, 20}, {70, 490}} {
		b.Run(fmt.Sprintf("routers=%d", size.routers), func(b *testing.B) {
			for b.Loop() {
				z := newZone(b, size.routers, size.servers)
				z.measureTraffic(b)
				z.measureDetection(b)
			}
		})
	}
}

func (z *zone) measureTraffic(b *testing.B) {
	const warm, span, step = 3 * time.Second, 4 * time.Second, 50 * time.Millisecond
	time.Sleep(warm)
	var before, beforeCount uint64
	for _, n := range z.nodes {
		before += n.sent.Load()
		beforeCount += n.count.Load()
	}
	var oldest, sum time.Duration
	var samples, unknown int
	began := time.Now()
	for time.Since(began) < span {
		time.Sleep(step)
		n := z.nodes[rand.IntN(len(z.nodes))]
		for _, s := range z.servers {
			now := time.Now()
			if owner, ok := n.control.Owner(now, s); !ok || owner == "" {
				unknown++
				continue
			}
			_, received := n.control.Load(s)
			if received.IsZero() {
				unknown++ // its own server, or not heard yet
				continue
			}
			oldest = max(oldest, now.Sub(received))
			sum += now.Sub(received)
			samples++
		}
	}
	took := time.Since(began).Seconds()
	var after, afterCount uint64
	for _, n := range z.nodes {
		after += n.sent.Load()
		afterCount += n.count.Load()
	}
	perRouter := float64(after-before) / took / float64(len(z.nodes))
	b.ReportMetric(perRouter, "B/s/router")
	b.ReportMetric(float64(after-before)/max(1, float64(afterCount-beforeCount)), "B/message")
	b.ReportMetric(float64(oldest.Milliseconds()), "oldest-load-ms")
	b.ReportMetric(float64(sum.Milliseconds())/float64(max(1, samples)), "mean-load-ms")
}

func (z *zone) measureDetection(b *testing.B) {
	const patience = 10 * time.Second
	p, _ := z.nodes[1].control.Roster().Peer(vmName(0))
	b.ReportMetric(float64(membership.Suspicion(p.Report.Interval).Milliseconds()), "suspicion-ms")
	z.nodes[0].control.Close()
	died := time.Now()
	for time.Since(died) < patience {
		missed := 0
		for _, n := range z.nodes[1:] {
			if !slices.Contains(n.control.Live(time.Now()), vmName(0)) {
				missed++
			}
		}
		if missed == len(z.nodes)-1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(died).Milliseconds()), "detection-ms")
}

