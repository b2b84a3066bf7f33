package message

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
)

// Heartbeat is the encoded form of heartbeat.Heartbeat.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	VM             string
	Incarnation    uint64
	Sequence       uint64
	Base           uint64
	Revision       uint64
	View           uint64
	Leaving        bool
	IntervalMillis uint32
	// Counts holds three numbers per server: the requests in flight, the allowance
	// and the completion rate, as in Load.
	Counts []uint32
}

const countsPerLoad = 3

// NewHeartbeat converts h to a message.
func NewHeartbeat(h heartbeat.Heartbeat) *Heartbeat {
	counts := make([]uint32, 0, countsPerLoad*len(h.Loads))
	for _, l := range h.Loads {
		counts = append(counts, clampCount(l.InFlight), clampCount(l.Allowance), ceilRateMilli(l.CompletionsPerSecond))
	}
	return &Heartbeat{
		VM: string(h.VM), Incarnation: uint64(h.Incarnation), Sequence: h.Sequence, Base: h.Base,
		Revision: uint64(h.Revision), View: uint64(h.View), Leaving: h.Leaving,
		IntervalMillis: ceilMillis(h.Interval), Counts: counts,
	}
}

// ToDomain converts the message to the domain type.
func (m *Heartbeat) ToDomain() heartbeat.Heartbeat {
	loads := make([]amaranthtide.ServerLoad, len(m.Counts)/countsPerLoad)
	for i := range loads {
		c := m.Counts[i*countsPerLoad:]
		loads[i] = amaranthtide.ServerLoad{InFlight: int(c[0]), Allowance: int(c[1]), CompletionsPerSecond: float64(c[2]) / 1000}
	}
	return heartbeat.Heartbeat{
		VM: amaranthtide.VMName(m.VM), Incarnation: amaranthtide.Incarnation(m.Incarnation), Sequence: m.Sequence, Base: m.Base,
		Revision: amaranthtide.Revision(m.Revision), View: amaranthtide.ViewHash(m.View), Leaving: m.Leaving,
		Interval: time.Duration(m.IntervalMillis) * time.Millisecond, Loads: loads,
	}
}

func (m *Heartbeat) check() error {
	if err := checkNames(m.VM); err != nil {
		return err
	}
	if len(m.Counts)%countsPerLoad != 0 {
		return badMessage("heartbeat has %d counts, want a multiple of %d", len(m.Counts), countsPerLoad)
	}
	return checkLength("counts", len(m.Counts), countsPerLoad*MaxLoads)
}

// ReportRequest requests a full report.
type ReportRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package
}

func (*ReportRequest) check() error { return nil }
