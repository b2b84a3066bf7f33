package table_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/state/table"
)

func servers(n int) []amaranthtide.Row {
	rows := make([]amaranthtide.Row, n)
	for i := range rows {
		rows[i] = amaranthtide.Row{
			Key:      amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: fmt.Sprintf("engine-%05d", i)},
			Revision: amaranthtide.Revision(i + 1),
			Value: amaranthtide.BackendServer{
				Zone: amaranthtide.ZoneName(fmt.Sprintf("zone-%02d", i%11)), Model: amaranthtide.ModelName(fmt.Sprintf("model-%02d", i%17)),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000), Capacity: 64, ColdLimit: 4,
				RampDuration: amaranthtide.Duration(time.Minute), Version: "v1",
			},
		}
	}
	return rows
}

// BenchmarkTableSize measures the memory per row of a table, the time to load the table
// and the time to apply one change.
func BenchmarkTableSize(b *testing.B) {
	for _, kind := range []struct {
		name string
		rows func(n int) []amaranthtide.Row
		n    [3]int
	}{{"workspaces", workspaces, [3]int{1900, 19_000, 38_000}}, {"servers", servers, [3]int{550, 5500, 11_000}}} {
		for _, n := range kind.n {
			b.Run(fmt.Sprintf("%s=%d", kind.name, n), func(b *testing.B) { measureTable(b, kind.rows, n) })
		}
	}
}

func measureTable(b *testing.B, newRows func(n int) []amaranthtide.Row, n int) {
	before := heap()
	rows := newRows(n)
	rowBytes := heap() - before
	tab := table.New()
	start := time.Now()
	tab.Load(rows, amaranthtide.Revision(n))
	elapsed := time.Since(start)
	tableBytes := heap() - before - rowBytes
	revision, i := amaranthtide.Revision(n), 0
	for b.Loop() {
		revision++
		tab.Apply([]amaranthtide.Change{{Revision: revision, Key: rows[i%n].Key, Before: rows[i%n].Value, After: rows[i%n].Value}})
		i++
	}
	b.ReportMetric(float64(tableBytes)/float64(n), "B/row")
	b.ReportMetric(float64(tableBytes+rowBytes)/float64(n), "B/row-with-values")
	b.ReportMetric(float64(elapsed.Microseconds())/1000, "load-ms")
	runtime.KeepAlive(tab)
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
