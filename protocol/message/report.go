package message

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Report is the encoded form of amaranthtide.RouterReport.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	VM             string `msgpack:"vm"`
	Zone           string `msgpack:"zone"`
	Address        []byte `msgpack:"address"`
	Incarnation    uint64 `msgpack:"incarnation"`
	Sequence       uint64 `msgpack:"sequence"`
	Revision       uint64 `msgpack:"revision"`
	View           uint64 `msgpack:"view"`
	Leaving        bool   `msgpack:"leaving"`
	IntervalMillis uint32 `msgpack:"intervalMillis"`
	Loads          []Load `msgpack:"loads"`
	// Base is the number by which later heartbeats refer to this report, see package
	// coordination/heartbeat.
	Base uint64 `msgpack:"base"`
}

// NewReport converts r to a message. The interval is rounded up to milliseconds, so
// that receivers never expect the next report too early.
func NewReport(r amaranthtide.RouterReport) *Report {
	return &Report{
		VM: string(r.VM), Zone: string(r.Zone), Address: addressBytes(r.Address),
		Incarnation: uint64(r.Incarnation), Sequence: r.Sequence,
		Revision: uint64(r.Revision), View: uint64(r.View), Leaving: r.Leaving,
		IntervalMillis: ceilMillis(r.Interval), Loads: newLoads(r.Loads),
	}
}

// ToDomain converts the message to the domain type. An invalid address is an error.
func (m *Report) ToDomain() (amaranthtide.RouterReport, error) {
	addr, err := parseAddress(m.Address)
	if err != nil {
		return amaranthtide.RouterReport{}, err
	}
	return amaranthtide.RouterReport{
		VM: amaranthtide.VMName(m.VM), Zone: amaranthtide.ZoneName(m.Zone), Address: addr,
		Incarnation: amaranthtide.Incarnation(m.Incarnation), Sequence: m.Sequence,
		Revision: amaranthtide.Revision(m.Revision), View: amaranthtide.ViewHash(m.View), Leaving: m.Leaving,
		Interval: time.Duration(m.IntervalMillis) * time.Millisecond, Loads: domainLoads(m.Loads),
	}, nil
}

func (m *Report) check() error {
	if err := checkNames(m.VM, m.Zone, string(m.Address)); err != nil {
		return err
	}
	if err := checkLength("loads", len(m.Loads), MaxLoads); err != nil {
		return err
	}
	for _, l := range m.Loads {
		if err := checkNames(l.Server, l.Boot); err != nil {
			return err
		}
	}
	return nil
}

// addressBytes returns the binary form of a: the IP address followed by a two-byte
// port. An invalid address has no bytes.
func addressBytes(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary() // never returns an error
	return b
}

func parseAddress(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return netip.AddrPort{}, badMessage("invalid address: %w", err)
	}
	return a, nil
}

// ceilMillis returns d in milliseconds, rounded up and limited to the range of uint32.
func ceilMillis(d time.Duration) uint32 {
	const maxMillis = 1<<32 - 1
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, maxMillis))
}
