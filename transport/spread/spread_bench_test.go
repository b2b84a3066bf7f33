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

// log is a table service that holds only the change log, and a peer without a table.
type log struct {
	mu    sync.Mutex
	rows  []amaranthtide.StoredRow
	reads atomic.Uint64
	bytes atomic.Uint64
}

func (l *log) add(c amaranthtide.Change) {
	data, err := change.EncodeChange(c)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = append(l.rows, amaranthtide.StoredRow{Key: change.LogStoredKey(c.Revision), Value: data})
}

func (l *log) List(_ context.Context, prefix, after amaranthtide.StoredKey, limit int) ([]amaranthtide.StoredRow, error) {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []amaranthtide.StoredRow
	for _, r := range l.rows {
		if strings.HasPrefix(string(r.Key), string(prefix)) && r.Key > after && len(found) < limit {
			found = append(found, r)
			l.bytes.Add(uint64(len(r.Key) + len(r.Value)))
		}
	}
	return found, nil
}

func (l *log) Commit(context.Context, amaranthtide.Transaction) ([]amaranthtide.RowVersion, error) {
	return nil, nil
}

func (l *log) Get(context.Context, amaranthtide.StoredKey) (amaranthtide.Option[amaranthtide.StoredRow], error) {
	return amaranthtide.None[amaranthtide.StoredRow](), nil
}
func (l *log) PutObject(context.Context, string, []byte) error { return nil }

func (l *log) GetObject(context.Context, string) (amaranthtide.Option[[]byte], error) {
	data, err := decision.EncodeSnapshot(workspaces(10), 10)
	return amaranthtide.Some(data), err
}

func (l *log) Do(context.Context, amaranthtide.TableCall) amaranthtide.TableResult {
	return amaranthtide.TableResult{}
}

func (l *log) Forward(context.Context, netip.AddrPort, amaranthtide.BackendServerName, *amaranthtide.Request, amaranthtide.AnswerWriter) error {
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "no table")
}

// member is one router: its mesh in memory and what it knows of its zone.
type member struct {
	addr     netip.AddrPort
	place    int
	peers    []membership.Peer
	all      map[netip.AddrPort]*member
	table    *table.Table
	spreader *spread.Spreader

	mu     sync.Mutex
	topics map[string]chan *watermill.Message
	sent   atomic.Uint64
}

func (m *member) Publisher() watermill.Publisher   { return m }
func (m *member) Subscriber() watermill.Subscriber { return m }
func (m *member) Close() error                     { return nil }

func (m *member) IsContact(time.Time) (contact, first bool) { return m.place < 2, m.place == 0 }
func (m *member) Peers(time.Time) []membership.Peer         { return m.peers }

func (m *member) Subscribe(_ context.Context, topic string) (<-chan *watermill.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics[topic] = make(chan *watermill.Message, 256)
	return m.topics[topic], nil
}

func (m *member) Publish(topic string, messages ...*watermill.Message) error {
	for _, msg := range messages {
		payload, err := message.Append(nil, &message.Control{Topic: topic, Payload: msg.Payload})
		if err != nil {
			return err
		}
		for addr := range strings.SplitSeq(msg.Metadata.Get(mesh.MetadataPeers), ",") {
			m.sent.Add(uint64(frame.HeaderSize + len(payload)))
			peer := m.all[netip.MustParseAddrPort(addr)]
			copied := watermill.NewMessage("", msg.Payload)
			copied.Metadata.Set(mesh.MetadataSender, m.addr.String())
			peer.mu.Lock()
			in := peer.topics[topic]
			peer.mu.Unlock()
			in <- copied
		}
	}
	return nil
}

// close ends the subscriptions, on which the spreader's goroutines wait.
func (m *member) close() {
	m.mu.Lock()
	for _, in := range m.topics {
		close(in)
	}
	m.mu.Unlock()
	m.spreader.Close()
}

const zones = 3

func startFleet(b *testing.B, routers int, l *log) []*member {
	b.Helper()
	all := make(map[netip.AddrPort]*member)
	var members []*member
	for i := range routers {
		m := &member{
			addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % zones), byte(i >> 8), byte(i)}), 7000),
			place: i / zones, all: all, table: table.New(), topics: make(map[string]chan *watermill.Message),
		}
		all[m.addr] = m
		members = append(members, m)
	}
	for i, m := range members {
		for j, p := range members {
			if i != j && i%zones == j%zones {
				m.peers = append(m.peers, membership.Peer{Name: amaranthtide.VMName(p.addr.String()), Address: p.addr})
			}
		}
		// The first question to peers at the start fails, as they have no table yet.
		m.spreader = spread.New(spread.Options{Table: m.table, Mesh: m, Platform: l, Control: m, Forwarder: l, Interval: time.Second})
	}
	for _, m := range members {
		if m.place < 2 {
			time.Sleep(rand.N(300 * time.Millisecond)) // spreads the polls of the readers
		}
		if err := m.spreader.Start(); err != nil {
			b.Fatal(err)
		}
	}
	for _, m := range members {
		<-m.spreader.Loaded()
	}
	return members
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
// over an in-memory network. Each operation commits 12 changes with pauses of up to
// 1 s, each at another router, and measures the time until each is in force at the
// routers. Bytes are per change, so that the rate of changes can be put in.
func BenchmarkPushChanges(b *testing.B) {
	const changes, longestPause = 12, time.Second
	for _, routers := range []int{12, 120, 600} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			l := &log{}
			members := startFleet(b, routers, l)
			revision := amaranthtide.Revision(10)
			var half, most, last []time.Duration
			before := uint64(0)
			for _, m := range members {
				before += m.sent.Load()
			}
			reads, began := l.reads.Load(), time.Now()
			for b.Loop() {
				for range changes {
					revision++
					c := amaranthtide.Change{
						Revision: revision, Time: time.Now(), Operator: "operator-1",
						Key:    amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "workspace-00001"},
						Before: workspace(int(revision)), After: workspace(int(revision) + 1),
					}
					l.add(c)
					committed := time.Now()
					times := make([]time.Duration, routers)
					var wg sync.WaitGroup
					for i, m := range members {
						wg.Go(func() {
							_ = m.table.Wait(context.Background(), c.Revision)
							times[i] = time.Since(committed)
						})
					}
					members[int(revision)%routers].spreader.Push([]amaranthtide.Change{c})
					wg.Wait()
					slices.Sort(times)
					half = append(half, times[routers/2])
					most = append(most, times[routers*99/100])
					last = append(last, times[routers-1])
					time.Sleep(rand.N(longestPause)) // not in step with the polls
				}
			}
			span := time.Since(began)
			after := uint64(0)
			for _, m := range members {
				after += m.sent.Load()
			}
			b.ReportMetric(float64(after-before)/float64(len(last))/float64(routers), "sent-B/change/router")
			b.ReportMetric(float64(l.reads.Load()-reads)/span.Seconds(), "reads/s")
			for _, q := range []struct {
				name  string
				times []time.Duration
			}{{"half", half}, {"99%", most}, {"all", last}} {
				slices.Sort(q.times)
				b.ReportMetric(float64(q.times[len(q.times)/2].Microseconds())/1000, q.name+"-median-ms")
				b.ReportMetric(float64(q.times[len(q.times)-1].Microseconds())/1000, q.name+"-max-ms")
			}
			for _, m := range members {
				m.close()
			}
		})
	}
}

// BenchmarkFullTable measures the encoded size of the table, and the time to encode
// and to decode and load it.
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
