package message

import "amaranthtide"

// Digest is the encoded form of amaranthtide.ZoneDigest. Its loads hold only the
// server, the requests in flight and the completion rate.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Zone     string     `msgpack:"zone"`
	From     string     `msgpack:"from"`
	Sequence uint64     `msgpack:"sequence"`
	Revision uint64     `msgpack:"revision"`
	Live     []string   `msgpack:"live"`
	Loads    []ZoneLoad `msgpack:"loads"`
}

// NewDigest converts d to a message.
func NewDigest(d amaranthtide.ZoneDigest) *Digest {
	live := make([]string, len(d.Live))
	for i, vm := range d.Live {
		live[i] = string(vm)
	}
	return &Digest{
		Zone: string(d.Zone), From: string(d.From), Sequence: d.Sequence,
		Revision: uint64(d.Revision), Live: live, Loads: newZoneLoads(d.Loads),
	}
}

// ToDomain converts the message to the domain type.
func (m *Digest) ToDomain() amaranthtide.ZoneDigest {
	live := make([]amaranthtide.VMName, len(m.Live))
	for i, vm := range m.Live {
		live[i] = amaranthtide.VMName(vm)
	}
	return amaranthtide.ZoneDigest{
		Zone: amaranthtide.ZoneName(m.Zone), From: amaranthtide.VMName(m.From), Sequence: m.Sequence,
		Revision: amaranthtide.Revision(m.Revision), Live: live, Loads: domainZoneLoads(m.Loads),
	}
}

func (m *Digest) check() error {
	if err := checkNames(m.Zone, m.From); err != nil {
		return err
	}
	if err := checkNameList("live", m.Live, MaxVMs); err != nil {
		return err
	}
	if err := checkLength("loads", len(m.Loads), MaxLoads); err != nil {
		return err
	}
	for _, l := range m.Loads {
		if err := checkNames(l.Server); err != nil {
			return err
		}
	}
	return nil
}
