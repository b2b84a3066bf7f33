package message

import (
	"time"

	"amaranthtide"
)

// GroupLoad is the encoded form of amaranthtide.GroupLoad. It is encoded as an
// array to keep it small, since it is sent on almost every change of a load.
type GroupLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Group                string
	Model                string
	From                 string
	Incarnation          uint64
	Sequence             uint64
	Servers              uint32
	InFlight             uint32
	Waiting              uint32
	RateMilli            uint32
	MaxReportDelayMillis uint32
}

// NewGroupLoad converts g to a message. The maximum report delay is rounded up to
// milliseconds.
func NewGroupLoad(g amaranthtide.GroupLoad) *GroupLoad {
	return &GroupLoad{
		Group: string(g.Group), Model: string(g.Model), From: string(g.From),
		Incarnation: uint64(g.Incarnation), Sequence: g.Sequence,
		Servers: clampCount(g.Servers), InFlight: clampCount(g.InFlight), Waiting: clampCount(g.Waiting),
		RateMilli: ceilRateMilli(g.CompletionsPerSecond), MaxReportDelayMillis: ceilMillis(g.MaxReportDelay),
	}
}

// ToDomain converts the message to the domain type.
func (m *GroupLoad) ToDomain() amaranthtide.GroupLoad {
	return amaranthtide.GroupLoad{
		Group: amaranthtide.GroupName(m.Group), Model: amaranthtide.ModelName(m.Model), From: amaranthtide.VMName(m.From),
		Incarnation: amaranthtide.Incarnation(m.Incarnation), Sequence: m.Sequence,
		Servers: int(m.Servers), InFlight: int(m.InFlight), Waiting: int(m.Waiting),
		CompletionsPerSecond: float64(m.RateMilli) / 1000,
		MaxReportDelay:       time.Duration(m.MaxReportDelayMillis) * time.Millisecond,
	}
}

func (m *GroupLoad) check() error { return checkNames(m.Group, m.Model, m.From) }
