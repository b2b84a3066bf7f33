package traffic_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/state/traffic"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against loads that count twice, stay after their end, or come from a router
// that has fallen silent.
func TestLoad(t *testing.T) {
	is := is.New(t)
	tr := traffic.New()
	tr.Begin("e1")
	tr.Begin("e1")
	report := amaranthtide.Report{VM: "vm-2", Incarnation: 1, Sequence: 2, Loads: []amaranthtide.ServerLoad{{Server: "e1", InFlight: 3}}}
	is.True(tr.Observe(start, report))
	is.Equal(tr.Load(start, "e1"), 5)

	old := report
	old.Sequence, old.Loads = 1, nil
	is.True(!tr.Observe(start, old))
	report.Sequence, report.Loads = 3, []amaranthtide.ServerLoad{{Server: "e1", InFlight: 1}}
	is.True(tr.Observe(start.Add(time.Second), report))
	is.Equal(tr.Load(start.Add(time.Second), "e1"), 3)
	is.Equal(tr.Load(start.Add(time.Second+traffic.MaxAge+time.Millisecond), "e1"), 2)

	tr.ServerReported(start, "e1", amaranthtide.ServerReport{InFlight: 7, Waiting: 1})
	is.Equal(tr.Load(start.Add(100*time.Millisecond), "e1"), 8)
	is.Equal(tr.Load(start.Add(2*time.Second), "e1"), 3)
	tr.End("e1")
	tr.End("e1")
	is.Equal(len(tr.Own()), 0)
}
