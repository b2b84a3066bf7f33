package control

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
	"amaranthtide/protocol/message"
	"amaranthtide/state/load"
	"amaranthtide/state/table"
)

const serversPerRouter = 7

// newObserver returns a Control that is not started, with servers for the given number
// of routers.
func newObserver(routers int) *Control {
	var all []amaranthtide.BackendServerName
	for i := range routers * serversPerRouter {
		all = append(all, serverName(i))
	}
	l := load.New("self")
	for m := range 17 {
		var servers []amaranthtide.BackendServerName
		for i := m; i < len(all); i += 17 {
			servers = append(servers, all[i])
		}
		l.SetServers(amaranthtide.ModelName(fmt.Sprintf("model-%02d", m)), servers)
	}
	return New(Options{VM: "self", Zone: "a", BytesPerSecond: 600, Table: table.New(), LoadTracker: l})
}

func serverName(i int) amaranthtide.BackendServerName {
	return amaranthtide.BackendServerName(fmt.Sprintf("engine-a-%04d", i))
}

func reportOf(router int, sequence uint64) amaranthtide.RouterReport {
	r := amaranthtide.RouterReport{
		VM: amaranthtide.VMName(fmt.Sprintf("router-a-%03d", router)), Zone: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(router)}), 7000),
		Incarnation: 1, Sequence: sequence, Interval: 750 * time.Millisecond,
	}
	for i := range serversPerRouter {
		r.Loads = append(r.Loads, amaranthtide.ServerLoad{
			Server: serverName(router*serversPerRouter + i), Boot: amaranthtide.BootID(fmt.Sprintf("%024x", router)), InFlight: 40, Allowance: 64, CompletionsPerSecond: 7.5,
		})
	}
	return r
}

// BenchmarkHeartbeat measures the time to decode and apply one heartbeat and the memory
// used per router with 7 servers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, routers := range []int{12, 70, 140} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			before := heapInUse()
			c := newObserver(routers)
			now := time.Now()
			var beats [][]byte
			for i := range routers {
				report := reportOf(i, 1)
				c.bases.Update(report.VM, func(b heartbeat.Base, _ bool) (heartbeat.Base, bool) { return b.With(report, 1), true })
				c.applyReport(now, report, true)
			}
			used := heapInUse() - before
			for i := range routers {
				data, err := message.Append(nil, message.NewHeartbeat(heartbeat.FromReport(reportOf(i, 2), 1)))
				if err != nil {
					b.Fatal(err)
				}
				beats = append(beats, data)
			}
			sequence := uint64(2)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				var m message.Heartbeat
				if err := message.Decode(beats[n%routers], &m); err != nil {
					b.Fatal(err)
				}
				sequence++
				m.Sequence = sequence
				base, _ := c.bases.Get(amaranthtide.VMName(m.VM))
				report, known, ok := base.Report(m.ToDomain())
				if !known || !ok {
					b.Fatal("loads are not known")
				}
				c.applyReport(now, report, known)
				n++
			}
			b.ReportMetric(float64(used)/float64(routers), "B/router")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkDigest measures the time to decode and apply the digest of another zone and
// the memory used per server.
func BenchmarkDigest(b *testing.B) {
	for _, servers := range []int{20, 100, 500} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newObserver(servers/serversPerRouter + 1)
			d := amaranthtide.ZoneDigest{Zone: "b", From: "router-b-00"}
			for i := range servers {
				d.Loads = append(d.Loads, amaranthtide.ServerLoad{Server: serverName(i), InFlight: 40, CompletionsPerSecond: 7.5})
			}
			for i := range servers / serversPerRouter {
				d.Live = append(d.Live, amaranthtide.VMName(fmt.Sprintf("router-b-%03d", i)))
			}
			data, err := message.Append(nil, message.NewDigest(d))
			if err != nil {
				b.Fatal(err)
			}
			before := heapInUse()
			now, sequence := time.Now(), uint64(0)
			for b.Loop() {
				var m message.Digest
				if err := message.Decode(data, &m); err != nil {
					b.Fatal(err)
				}
				sequence++
				m.Sequence = sequence
				c.applyDigest(now, netip.AddrPort{}, m.ToDomain())
			}
			b.ReportMetric(float64(len(data)), "B/message")
			b.ReportMetric(float64(heapInUse()-before)/float64(servers), "B/server")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkOwns measures Control.Owns, which every request and probe calls.
func BenchmarkOwns(b *testing.B) {
	for _, routers := range []int{4, 12, 70, 140} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			c := newObserver(routers)
			now := time.Now()
			for i := range routers - 1 {
				c.applyReport(now, reportOf(i, 1), true)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Owns(now, "engine-a-0001")
			}
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
