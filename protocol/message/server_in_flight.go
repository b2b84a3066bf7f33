package message

import (
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"amaranthtide"
)

// ServerInFlight is what is in flight at one server in a LoadReport, and the server's pace and limit. It is
// an array of the fields, without those at its end that are 0: routers of an earlier version know
// only Server and Count and reject others, and a report of a hub has up to 128 servers.
type ServerInFlight struct {
	Server string
	Count  uint32
	// Pace is in percent, 0 if it is unknown. PaceAge is in units of paceAgeUnit.
	Pace    uint32
	PaceAge uint32
	// BodyKiB is the size of the bodies in flight; 0 below minBodyBytes.
	BodyKiB uint32
	// Limit is the announced rate in thousandths of a request a second, endedLimit if it has ended, 0 if
	// none is known. LimitAge is in units of limitAgeUnit.
	Limit    uint32
	LimitAge uint32
}

const (
	// requiredFields is the number of fields that are always present.
	requiredFields = 2
	// paceAgeUnit keeps most ages in one byte.
	paceAgeUnit = 20 * time.Millisecond
	// minBodyBytes is the size of bodies at a server from which on it is reported. Ordinary
	// requests stay below it.
	minBodyBytes = 256 << 10
	kib          = 1 << 10
	// limitAgeUnit is shorter than the time between a server's announcement and a request that is sent
	// because of it. Ages are rounded down: a limit that seems newer ends only by later requests.
	limitAgeUnit = 10 * time.Millisecond
	// limitUnits is the number of units in a rate of one request a second.
	limitUnits = 1000
	// endedLimit is below any announced rate.
	endedLimit = 1
)

func newServerInFlight(l amaranthtide.ServerLoad) ServerInFlight {
	s := ServerInFlight{Server: string(l.Server), Count: clampCount(l.InFlight)}
	if l.Pace.Pace > 0 {
		s.Pace = clampCount(int(min(l.Pace.Pace, amaranthtide.MaxPace)))
		s.PaceAge = clampCount(int((l.Pace.Age + paceAgeUnit - 1) / paceAgeUnit))
	}
	if l.BodyBytes >= minBodyBytes {
		s.BodyKiB = uint32(min((l.BodyBytes+kib-1)/kib, math.MaxUint32))
	}
	s.setLimit(l.Limit)
	return s
}

func (s *ServerInFlight) setLimit(l amaranthtide.ServerLimit) {
	switch {
	case l.Ended:
		s.Limit = endedLimit
	case l.Rate > 0:
		s.Limit = clampCount(int(math.Round(float64(min(l.Rate, amaranthtide.MaxRequestRate)) * limitUnits)))
	default:
		return
	}
	s.LimitAge = clampCount(int(l.Age / limitAgeUnit))
}

func (s ServerInFlight) limit() amaranthtide.ServerLimit {
	age := time.Duration(s.LimitAge) * limitAgeUnit
	switch s.Limit {
	case 0:
		return amaranthtide.ServerLimit{}
	case endedLimit:
		return amaranthtide.ServerLimit{Ended: true, Age: age}
	default:
		return amaranthtide.ServerLimit{Rate: amaranthtide.NewRequestRate(float64(s.Limit) / limitUnits), Age: age}
	}
}

func (s ServerInFlight) toDomain() amaranthtide.ServerLoad {
	return amaranthtide.ServerLoad{
		Server: amaranthtide.BackendServerName(s.Server), InFlight: int(s.Count), BodyBytes: int64(s.BodyKiB) * kib,
		Pace:  amaranthtide.PaceEstimate{Pace: amaranthtide.Pace(min(s.Pace, uint32(amaranthtide.MaxPace))), Age: time.Duration(s.PaceAge) * paceAgeUnit},
		Limit: s.limit(),
	}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s ServerInFlight) EncodeMsgpack(enc *msgpack.Encoder) error {
	numbers := []uint32{s.Count, s.Pace, s.PaceAge, s.BodyKiB, s.Limit, s.LimitAge}
	for len(numbers) >= requiredFields && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	if err := enc.EncodeArrayLen(1 + len(numbers)); err != nil {
		return err
	}
	if err := enc.EncodeString(s.Server); err != nil {
		return err
	}
	for _, n := range numbers {
		if err := enc.EncodeUint(uint64(n)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. Fields of a later version are skipped.
func (s *ServerInFlight) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < requiredFields {
		return badMessage("load of a server has %d fields, must have at least %d", n, requiredFields)
	}
	if s.Server, err = dec.DecodeString(); err != nil {
		return err
	}
	numbers := []*uint32{&s.Count, &s.Pace, &s.PaceAge, &s.BodyKiB, &s.Limit, &s.LimitAge}
	for i := range n - 1 {
		if i >= len(numbers) {
			err = dec.Skip()
		} else {
			*numbers[i], err = dec.DecodeUint32()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
