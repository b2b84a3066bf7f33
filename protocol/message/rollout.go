package message

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"amaranthtide"
	"amaranthtide/state/outcomes"
)

// Limits on the contents of messages about rollouts.
const (
	// MaxOutcomes is the largest number of counts, and of lists, in an Outcomes. With all their
	// buckets, they stay within MaxItems.
	MaxOutcomes = 1024
	// MaxRollbacks is the largest number of rollbacks in a Rollbacks.
	MaxRollbacks = 256
)

// Outcomes carries the outcomes of requests that routers have counted, by the version of the
// server.
type Outcomes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Lists []OutcomeList
}

// OutcomeList is the encoded form of an outcomes.List.
type OutcomeList struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	VM          string
	Incarnation uint64
	Service     string
	Counts      []OutcomeCount
}

// OutcomeCount is the encoded form of an amaranthtide.VersionOutcomes.
type OutcomeCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Version  string
	Route    string
	Zone     string
	Answers  uint64
	Failures uint64
	// Durations are the buckets of the histogram from FirstBucket on, without the empty ones at its
	// end.
	FirstBucket uint32
	Durations   []uint32
}

// NewOutcomes converts lists to messages of at most MaxOutcomes counts each. A list isn't split
// over two messages; counts of one list beyond the limit are left out.
func NewOutcomes(lists []outcomes.List) []*Outcomes {
	var out []*Outcomes
	counts := 0 // in the last message
	for _, l := range lists {
		if len(l.Outcomes) == 0 {
			continue
		}
		encoded := newOutcomeList(l)
		if counts += len(encoded.Counts); len(out) == 0 || counts > MaxOutcomes {
			out, counts = append(out, &Outcomes{}), len(encoded.Counts)
		}
		last := out[len(out)-1]
		last.Lists = append(last.Lists, encoded)
	}
	return out
}

func newOutcomeList(l outcomes.List) OutcomeList {
	encoded := OutcomeList{VM: string(l.VM), Incarnation: uint64(l.Incarnation), Service: string(l.Outcomes[0].Service)}
	for _, o := range l.Outcomes[:min(len(l.Outcomes), MaxOutcomes)] {
		first, durations := withoutEmptyEnds(o.Durations[:])
		encoded.Counts = append(encoded.Counts, OutcomeCount{
			Version: string(o.Version), Route: string(o.Route), Zone: string(o.Zone), Answers: o.Answers, Failures: o.Failures,
			FirstBucket: uint32(first), Durations: durations,
		})
	}
	return encoded
}

// withoutEmptyEnds returns the buckets between the empty ones at both ends, and the index of the
// first.
func withoutEmptyEnds(buckets []uint32) (first int, out []uint32) {
	end := len(buckets)
	for end > 0 && buckets[end-1] == 0 {
		end--
	}
	for first < end && buckets[first] == 0 {
		first++
	}
	return first, slices.Clone(buckets[first:end])
}

// ToDomain converts the message to the domain type.
func (m *Outcomes) ToDomain() []outcomes.List {
	out := make([]outcomes.List, len(m.Lists))
	for i, l := range m.Lists {
		out[i] = outcomes.List{VM: amaranthtide.VMName(l.VM), Incarnation: amaranthtide.Incarnation(l.Incarnation)}
		for _, c := range l.Counts {
			o := amaranthtide.VersionOutcomes{
				Service: amaranthtide.ServiceName(l.Service), Version: amaranthtide.VersionName(c.Version), Route: amaranthtide.RouteName(c.Route),
				Zone: amaranthtide.ZoneName(c.Zone), Answers: c.Answers, Failures: c.Failures,
			}
			copy(o.Durations[c.FirstBucket:], c.Durations)
			out[i].Outcomes = append(out[i].Outcomes, o)
		}
	}
	return out
}

func (m *Outcomes) check() error {
	if err := checkLength("lists", len(m.Lists), MaxOutcomes); err != nil {
		return err
	}
	counts := 0
	for _, l := range m.Lists {
		if err := checkNames(l.VM, l.Service); err != nil {
			return err
		}
		counts += len(l.Counts)
		for _, c := range l.Counts {
			if err := c.check(); err != nil {
				return err
			}
		}
	}
	return checkLength("counts", counts, MaxOutcomes)
}

func (c *OutcomeCount) check() error {
	if err := checkNames(c.Version, c.Route, c.Zone); err != nil {
		return err
	}
	buckets := len(amaranthtide.DurationHistogram{})
	if uint64(c.FirstBucket)+uint64(len(c.Durations)) > uint64(buckets) {
		return badMessage("%d durations from bucket %d on, must be at most %d in all", len(c.Durations), c.FirstBucket, buckets)
	}
	if c.Failures > c.Answers {
		return badMessage("%d failures of %d answers", c.Failures, c.Answers)
	}
	return nil
}

// Rollbacks carries the rollouts that were rolled back and whose recorded state may not show it.
type Rollbacks struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Rollbacks []Rollback
}

// Rollback is the encoded form of an amaranthtide.RolloutState of the stage RolloutRolledBack.
type Rollback struct {
	Service        string
	Order          uint64
	To             string
	StartedMillis  int64
	DeadlineMillis int64
	Reason         string
	// OrderEra is the era of Order.
	OrderEra uint64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m Rollback) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 6, m.Service, m.Order, m.To, m.StartedMillis, m.DeadlineMillis, m.Reason, m.OrderEra)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *Rollback) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 6, &m.Service, &m.Order, &m.To, &m.StartedMillis, &m.DeadlineMillis, &m.Reason, &m.OrderEra)
}

// NewRollbacks converts rollbacks to a message. It leaves out what exceeds MaxRollbacks.
func NewRollbacks(states []amaranthtide.RolloutState) *Rollbacks {
	m := &Rollbacks{}
	for _, s := range states[:min(len(states), MaxRollbacks)] {
		m.Rollbacks = append(m.Rollbacks, Rollback{
			Service: string(s.Service), Order: s.Order.Number(), OrderEra: uint64(s.Order.Era()), To: string(s.To),
			StartedMillis: s.StartedAt.UnixMilli(), DeadlineMillis: s.Deadline.UnixMilli(), Reason: s.Reason[:min(len(s.Reason), MaxErrorText)],
		})
	}
	return m
}

// ToDomain converts the message to the domain type.
func (m *Rollbacks) ToDomain() []amaranthtide.RolloutState {
	out := make([]amaranthtide.RolloutState, len(m.Rollbacks))
	for i, r := range m.Rollbacks {
		out[i] = amaranthtide.RolloutState{
			Service: amaranthtide.ServiceName(r.Service), Order: storeVersion(r.OrderEra, r.Order), To: amaranthtide.VersionName(r.To),
			Stage: amaranthtide.RolloutRolledBack, StartedAt: time.UnixMilli(r.StartedMillis), Deadline: time.UnixMilli(r.DeadlineMillis), Reason: r.Reason,
		}
	}
	return out
}

func (m *Rollbacks) check() error {
	if err := checkLength("rollbacks", len(m.Rollbacks), MaxRollbacks); err != nil {
		return err
	}
	for _, r := range m.Rollbacks {
		if err := checkNames(r.Service, r.To); err != nil {
			return err
		}
		if err := checkLength("reason", len(r.Reason), MaxErrorText); err != nil {
			return err
		}
		if r.Service == "" || r.To == "" || r.Order == 0 {
			return badMessage("rollback of service %q to version %q has order %d", r.Service, r.To, r.Order)
		}
	}
	return nil
}
