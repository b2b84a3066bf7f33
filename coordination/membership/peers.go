package membership

import (
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Peer is another router and its address.
type Peer struct {
	Name    amaranthtide.VMName
	Zone    amaranthtide.ZoneName
	Address netip.AddrPort
}

// Peers returns the other routers of this zone to send reports to, sorted by name:
// seeds, listed routers and routers with a fresh report.
func (v *View) Peers(now time.Time) []Peer { return v.knownPeers(now, v.cfg.Zone) }

func (v *View) knownPeers(now time.Time, z amaranthtide.ZoneName) []Peer {
	byName := make(map[amaranthtide.VMName]Peer)
	for _, vms := range [][]amaranthtide.ListedVM{v.cfg.Seeds, v.listedVMs} {
		for _, vm := range vms {
			if vm.Zone == z && vm.Name != v.cfg.Self {
				byName[vm.Name] = Peer{vm.Name, vm.Zone, vm.Address}
			}
		}
	}
	for name, p := range v.peers {
		if z == v.cfg.Zone && v.isFresh(now, p) {
			byName[name] = Peer{name, p.report.Zone, p.report.Address}
		}
	}
	peers := make([]Peer, 0, len(byName))
	for _, p := range byName {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return peers
}

// LiveIn returns the live routers of a zone. It returns false if the zone is
// unreachable, that is, if it is another zone and its last digest is older than
// DigestMaxAge.
func (v *View) LiveIn(now time.Time, z amaranthtide.ZoneName) ([]amaranthtide.VMName, bool) {
	if z == v.cfg.Zone {
		return v.Live(now), true
	}
	zone, ok := v.zones[z]
	if !ok || now.Sub(zone.receivedAt) > DigestMaxAge {
		return nil, false
	}
	return slices.Clone(zone.live), true
}

// Contacts returns the contacts of a zone whose addresses are known, excluding this
// router. For a zone that is unreachable or out of service, they are chosen from the
// listed VMs that are not leaving, so that digests are still exchanged.
func (v *View) Contacts(now time.Time, z amaranthtide.ZoneName) []Peer {
	known := v.knownPeers(now, z)
	live, _ := v.LiveIn(now, z)
	if len(live) == 0 {
		for _, p := range known {
			if !v.isListedLeaving(p.Name) {
				live = append(live, p.Name)
			}
		}
	}
	contacts := placement.Contacts(z, live)
	return slices.DeleteFunc(known, func(p Peer) bool { return !slices.Contains(contacts, p.Name) })
}

func (v *View) isListedLeaving(name amaranthtide.VMName) bool {
	return slices.ContainsFunc(v.listedVMs, func(vm amaranthtide.ListedVM) bool { return vm.Name == name && vm.Leaving })
}
