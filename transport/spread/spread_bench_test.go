package spread_test

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
	"amaranthtide/coordination/change"
	"amaranthtide/coordination/membership"
	decision "amaranthtide/coordination/spread"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/state/table"
	"amaranthtide/transport/mesh"
	"amaranthtide/transport/spread"
)

// fakePlatform is a table service that holds only the change log, an object store with a
// small snapshot, and a peer that has no table.
type fakePlatform struct {
	mu    sync.Mutex
	rows  []amaranthtide.StoredRow
	reads atomic.Uint64
	bytes atomic.Uint64
}

func (p *fakePlatform) add(c amaranthtide.Change) {
	data, err := change.EncodeChange(c)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = append(p.rows, amaranthtide.StoredRow{Key: change.LogStoredKey(c.Revision), Value: data})
}

func (p *fakePlatform) List(_ context.Context, prefix, after amaranthtide.StoredKey, limit int) ([]amaranthtide.StoredRow, error) {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []amaranthtide.StoredRow
	for _, r := range p.rows {
		if strings.HasPrefix(string(r.Key), string(prefix)) && r.Key > after && len(found) < limit {
			found = append(found, r)
			p.bytes.Add(uint64(len(r.Key) + len(r.Value)))
		}
	}
	return found, nil
}

func (p *fakePlatform) Commit(context.Context, amaranthtide.Transaction) ([]amaranthtide.RowVersion, error) {
	return nil, nil
}

func (p *fakePlatform) Get(context.Context, amaranthtide.StoredKey) (amaranthtide.Option[amaranthtide.StoredRow], error) {
	return amaranthtide.None[amaranthtide.StoredRow](), nil
}
func (p *fakePlatform) PutObject(context.Context, string, []byte) error { return nil }

func (p *fakePlatform) GetObject(context.Context, string) (amaranthtide.Option[[]byte], error) {
	data, err := decision.EncodeSnapshot(workspaces(10), 10)
	return amaranthtide.Some(data), err
}

func (p *fakePlatform) Do(context.Context, amaranthtide.TableCall) amaranthtide.TableResult {
	return amaranthtide.TableResult{}
}

func (p *fakePlatform) Forward(context.Context, netip.AddrPort, amaranthtide.BackendServerName, *amaranthtide.Request, amaranthtide.AnswerWriter) error {
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "no table")
}

// fakeRouter is one router with an in-memory mesh and a fixed list of peers.
type fakeRouter struct {
	addr        netip.AddrPort
	contactRank int
	peers       []membership.Peer
	byAddress   map[netip.AddrPort]*fakeRouter
	table       *table.Table
	spreader    *spread.Spreader

	mu     sync.Mutex
	topics map[string]chan *watermill.Message
	sent   atomic.Uint64
}

func (r *fakeRouter) Publisher() watermill.Publisher   { return r }
func (r *fakeRouter) Subscriber() watermill.Subscriber { return r }
func (r *fakeRouter) Close() error                     { return nil }

func (r *fakeRouter) IsContact(time.Time) (contact, first bool) {
	return r.contactRank < 2, r.contactRank == 0
}
func (r *fakeRouter) Peers(time.Time) []membership.Peer { return r.peers }

func (r *fakeRouter) Subscribe(_ context.Context, topic string) (<-chan *watermill.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics[topic] = make(chan *watermill.Message, 256)
	return r.topics[topic], nil
}

func (r *fakeRouter) Publish(topic string, messages ...*watermill.Message) error {
	for _, msg := range messages {
		payload, err := message.Append(nil, &message.Control{Topic: topic, Payload: msg.Payload})
		if err != nil {
			return err
		}
		for addr := range strings.SplitSeq(msg.Metadata.Get(mesh.MetadataPeers), ",") {
			r.sent.Add(uint64(frame.HeaderSize + len(payload)))
			peer := r.byAddress[netip.MustParseAddrPort(addr)]
			copied := watermill.NewMessage("", msg.Payload)
			copied.Metadata.Set(mesh.MetadataSender, r.addr.String())
			peer.mu.Lock()
			in := peer.topics[topic]
			peer.mu.Unlock()
			in <- copied
		}
	}
	return nil
}

// close ends the subscriptions, which the spreader's goroutines read from, and the
// spreader.
func (r *fakeRouter) close() {
	r.mu.Lock()
	for _, in := range r.topics {
		close(in)
	}
	r.mu.Unlock()
	r.spreader.Close()
}

const zones = 3

func startFleet(b *testing.B, routers int, platform *fakePlatform) []*fakeRouter {
	b.Helper()
	all := make(map[netip.AddrPort]*fakeRouter)
	var fleet []*fakeRouter
	for i := range routers {
		m := &fakeRouter{
			addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % zones), byte(i >> 8), byte(i)}), 7000),
			contactRank: i / zones, byAddress: all, table: table.New(), topics: make(map[string]chan *watermill.Message),
		}
		all[m.addr] = m
		fleet = append(fleet, m)
	}
	for i, m := range fleet {
		for j, p := range fleet {
			if i != j && i%zones == j%zones {
				m.peers = append(m.peers, membership.Peer{Name: amaranthtide.VMName(p.addr.String()), Address: p.addr})
			}
		}
		// Requests for the table fail at start, since no peer has one yet.
		m.spreader = spread.New(spread.Options{Table: m.table, Mesh: m, Platform: platform, Membership: m, Forwarder: platform, Interval: time.Second})
	}
	for _, m := range fleet {
		if m.contactRank < 2 {
			time.Sleep(rand.N(300 * time.Millisecond)) // keeps the contacts from polling at the same time
		}
		if err := m.spreader.Start(); err != nil {
			b.Fatal(err)
		}
	}
	for _, m := range fleet {
		<-m.spreader.Loaded()
	}
	return fleet
}

func workspaces(n int) []amaranthtide.Row {
	rows := make([]amaranthtide.Row, n)
	for i := range rows {
		rows[i] = amaranthtide.Row{
			Key:      amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: fmt.Sprintf("workspace-%05d", i)},
			Revision: amaranthtide.Revision(i + 1), Value: workspace(1),
		}
	}
	return rows
}

func workspace(weight int) amaranthtide.Workspace {
	return amaranthtide.Workspace{Weight: weight, MaxInFlight: 100, CallerKeySHA256: strings.Repeat("a", 64)}
}

// BenchmarkPushChanges runs the spreaders of all routers of three zones in one process
// over an in-memory network. Each operation commits 12 changes, each at another router
// and with pauses of up to 1 s, and measures the time until half, 99% and all of the
// routers have applied a change. Bytes are reported per change, to be multiplied by a
// rate of changes.
func BenchmarkPushChanges(b *testing.B) {
	const changes, longestPause = 12, time.Second
	for _, routers := range []int{12, 120, 600} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			platform := &fakePlatform{}
			fleet := startFleet(b, routers, platform)
			revision := amaranthtide.Revision(10)
			var medians, p99s, maxima []time.Duration
			sentBefore := uint64(0)
			for _, m := range fleet {
				sentBefore += m.sent.Load()
			}
			readsBefore, start := platform.reads.Load(), time.Now()
			for b.Loop() {
				for range changes {
					revision++
					c := amaranthtide.Change{
						Revision: revision, Time: time.Now(), Operator: "operator-1",
						Key:    amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "workspace-00001"},
						Before: workspace(int(revision)), After: workspace(int(revision) + 1),
					}
					platform.add(c)
					committed := time.Now()
					times := make([]time.Duration, routers)
					var wg sync.WaitGroup
					for i, m := range fleet {
						wg.Go(func() {
							_ = m.table.Wait(context.Background(), c.Revision)
							times[i] = time.Since(committed)
						})
					}
					fleet[int(revision)%routers].spreader.Push([]amaranthtide.Change{c})
					wg.Wait()
					slices.Sort(times)
					medians = append(medians, times[routers/2])
					p99s = append(p99s, times[routers*99/100])
					maxima = append(maxima, times[routers-1])
					time.Sleep(rand.N(longestPause)) // keeps the changes from coinciding with the polls
				}
			}
			elapsed := time.Since(start)
			sentAfter := uint64(0)
			for _, m := range fleet {
				sentAfter += m.sent.Load()
			}
			b.ReportMetric(float64(sentAfter-sentBefore)/float64(len(maxima))/float64(routers), "sent-B/change/router")
			b.ReportMetric(float64(platform.reads.Load()-readsBefore)/elapsed.Seconds(), "reads/s")
			for _, q := range []struct {
				name  string
				times []time.Duration
			}{{"half", medians}, {"99%", p99s}, {"all", maxima}} {
				slices.Sort(q.times)
				b.ReportMetric(float64(q.times[len(q.times)/2].Microseconds())/1000, q.name+"-median-ms")
				b.ReportMetric(float64(q.times[len(q.times)-1].Microseconds())/1000, q.name+"-max-ms")
			}
			for _, m := range fleet {
				m.close()
			}
		})
	}
}

// BenchmarkFullTable measures the encoded size of the whole table, the time to encode it,
// and the time to decode and load it.
func BenchmarkFullTable(b *testing.B) {
	for _, n := range []int{1900, 19_000, 38_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			rows := workspaces(n)
			var data []byte
			var encoding, loading time.Duration
			for b.Loop() {
				began := time.Now()
				var err error
				if data, err = decision.EncodeSnapshot(rows, amaranthtide.Revision(n)); err != nil {
					b.Fatal(err)
				}
				encoding += time.Since(began)
				began = time.Now()
				s, err := decision.DecodeSnapshot(data)
				if err != nil {
					b.Fatal(err)
				}
				table.New().Load(s.Rows, s.Revision)
				loading += time.Since(began)
			}
			b.ReportMetric(float64(len(data)), "B/table")
			b.ReportMetric(float64(len(data))/float64(n), "B/row")
			b.ReportMetric(encoding.Seconds()*1000/float64(b.N), "encode-ms")
			b.ReportMetric(loading.Seconds()*1000/float64(b.N), "decode-load-ms")
		})
	}
}
