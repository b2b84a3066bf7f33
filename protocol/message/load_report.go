package message

import (
	"github.com/vmihailenco/msgpack/v5"

	"amaranthtide"
)

// LoadReport is the encoded form of amaranthtide.LoadReport.
type LoadReport struct {
	VM              string
	Zone            string
	Address         []byte
	Incarnation     uint64
	Sequence        uint64
	DeclaredVersion uint64
	RegistryVersion uint64
	Hubs            []string
	Loads           []ServerInFlight
	LinkMegabits    uint32
	EvidenceHash    uint64
	// DeclaredEra and RegistryEra are the eras of the versions above.
	DeclaredEra uint64
	RegistryEra uint64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m LoadReport) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 11, m.VM, m.Zone, m.Address, m.Incarnation, m.Sequence, m.DeclaredVersion, m.RegistryVersion, m.Hubs, m.Loads, m.LinkMegabits, m.EvidenceHash, m.DeclaredEra, m.RegistryEra)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *LoadReport) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 11, &m.VM, &m.Zone, &m.Address, &m.Incarnation, &m.Sequence, &m.DeclaredVersion, &m.RegistryVersion, &m.Hubs, &m.Loads, &m.LinkMegabits, &m.EvidenceHash, &m.DeclaredEra, &m.RegistryEra)
}

// NewLoadReport converts r to a message.
func NewLoadReport(r amaranthtide.LoadReport) *LoadReport {
	hubs := make([]string, len(r.Hubs))
	for i, vm := range r.Hubs {
		hubs[i] = string(vm)
	}
	loads := make([]ServerInFlight, len(r.Loads))
	for i, l := range r.Loads {
		loads[i] = newServerInFlight(l)
	}
	return &LoadReport{
		VM: string(r.From.VM), Zone: string(r.From.Zone), Address: addressBytes(r.From.Address),
		Incarnation: uint64(r.Incarnation), Sequence: r.Sequence,
		DeclaredVersion: r.DeclaredVersion.Number(), RegistryVersion: r.RegistryVersion.Number(), Hubs: hubs, Loads: loads, LinkMegabits: clampCount(r.From.LinkMegabits),
		EvidenceHash: uint64(r.EvidenceHash), DeclaredEra: uint64(r.DeclaredVersion.Era()), RegistryEra: uint64(r.RegistryVersion.Era()),
	}
}

// ToDomain converts the message to the domain type. An invalid address is an error.
func (m *LoadReport) ToDomain() (amaranthtide.LoadReport, error) {
	addr, err := parseAddress(m.Address)
	if err != nil {
		return amaranthtide.LoadReport{}, err
	}
	hubs := make([]amaranthtide.VMName, len(m.Hubs))
	for i, vm := range m.Hubs {
		hubs[i] = amaranthtide.VMName(vm)
	}
	loads := make([]amaranthtide.ServerLoad, len(m.Loads))
	for i, l := range m.Loads {
		loads[i] = l.toDomain()
	}
	return amaranthtide.LoadReport{
		From:        amaranthtide.RouterEntry{VM: amaranthtide.VMName(m.VM), Zone: amaranthtide.ZoneName(m.Zone), Address: addr, LinkMegabits: int(m.LinkMegabits)},
		Incarnation: amaranthtide.Incarnation(m.Incarnation), Sequence: m.Sequence,
		DeclaredVersion: storeVersion(m.DeclaredEra, m.DeclaredVersion), RegistryVersion: storeVersion(m.RegistryEra, m.RegistryVersion), Hubs: hubs, Loads: loads,
		EvidenceHash: amaranthtide.EvidenceHash(m.EvidenceHash),
	}, nil
}

func (m *LoadReport) check() error {
	if err := checkNames(m.VM, m.Zone, string(m.Address)); err != nil {
		return err
	}
	if err := checkNameList("hubs", m.Hubs, MaxVMs); err != nil {
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
