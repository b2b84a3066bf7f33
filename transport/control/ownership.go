package control

import (
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/membership"
	"amaranthtide/coordination/placement"
	"amaranthtide/state/roster"
)

// groupOf returns the group and the zone of a server.
func (c *Control) groupOf(server amaranthtide.BackendServerName) (amaranthtide.GroupName, amaranthtide.ZoneName, bool) {
	row, ok := c.opts.Table.BackendServer(server)
	if !ok {
		return "", "", false
	}
	engines := len(c.opts.Table.ServersOfModel(row.Model, row.Zone))
	return placement.Group(server, row, engines), row.Zone, true
}

// Owner returns the owner of a server. It returns false if the server is unknown, its
// zone is unreachable or no router of the zone is live.
func (c *Control) Owner(now time.Time, server amaranthtide.BackendServerName) (amaranthtide.VMName, bool) {
	group, zone, ok := c.groupOf(server)
	if !ok {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone {
		return c.view.Owner(now, group)
	}
	live, ok := c.view.LiveIn(now, zone)
	if !ok {
		return "", false
	}
	return placement.Owner(group, live)
}

// Owns reports whether this router owns the server and whether the ownership is
// settled, see membership.View.Settled.
func (c *Control) Owns(now time.Time, server amaranthtide.BackendServerName) (owns, settled bool) {
	group, zone, ok := c.groupOf(server)
	if !ok || zone != c.opts.Zone {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, ok := c.view.Owner(now, group)
	if !ok || owner != c.opts.VM {
		return false, false
	}
	return true, c.view.Settled(now, group)
}

// Live returns the live routers of this zone.
func (c *Control) Live(now time.Time) []amaranthtide.VMName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Live(now)
}

// LiveIn returns the live routers of a zone and whether the zone is reachable.
func (c *Control) LiveIn(now time.Time, zone amaranthtide.ZoneName) ([]amaranthtide.VMName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.LiveIn(now, zone)
}

// Contacts returns the contacts of a zone.
func (c *Control) Contacts(now time.Time, zone amaranthtide.ZoneName) []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Contacts(now, zone)
}

// IsContact reports whether this router is a contact of its zone, which also reads the
// table for it, and whether it is the first contact.
func (c *Control) IsContact(now time.Time) (contact, first bool) {
	i := slices.Index(placement.Contacts(c.opts.Zone, c.representatives(now)), c.opts.VM)
	return i >= 0, i == 0
}

// representatives returns the routers among which the contacts of this zone are chosen,
// see membership.View.Representatives.
func (c *Control) representatives(now time.Time) []amaranthtide.VMName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Representatives(now)
}

// MayOwn reports whether this router may own backend servers: its peers have reported
// since its start or last pause, and it is not leaving. See membership.View.MayOwn.
func (c *Control) MayOwn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.MayOwn(now)
}

// Peers returns the other routers of this zone that this router sends reports to.
func (c *Control) Peers(now time.Time) []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Peers(now)
}

// Address returns the address of a router from its last report, its row in the table
// or the platform's list, in this order.
func (c *Control) Address(vm amaranthtide.VMName) (netip.AddrPort, bool) {
	if p, ok := c.roster.Peer(vm); ok {
		return p.Report.Address, true
	}
	if row, ok := c.opts.Table.VM(vm); ok {
		return row.Address, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.listedVMs[vm]
	return entry.Address, ok
}

// Leaving reports whether the platform's list marks a backend server as leaving.
func (c *Control) Leaving(server amaranthtide.BackendServerName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedVMs[amaranthtide.VMName(server)].Leaving
}

// Load returns the last known load of a server and when it was received. The time is
// zero if no load is known.
func (c *Control) Load(server amaranthtide.BackendServerName) (amaranthtide.ServerLoad, time.Time) {
	k, _ := c.loads.Get(server)
	return k.load, k.received
}

// ResumableLoad returns the load of a server that was reported at most age ago, so that a
// new owner can continue with its allowance. It returns false if there is none or it
// names no boot.
func (c *Control) ResumableLoad(now time.Time, server amaranthtide.BackendServerName, age time.Duration) (amaranthtide.ServerLoad, bool) {
	k, ok := c.loads.Get(server)
	if !ok || k.load.Boot == "" || now.Sub(k.received) > age {
		return amaranthtide.ServerLoad{}, false
	}
	return k.load, true
}

// Roster returns the last reports and digests of other routers.
func (c *Control) Roster() *roster.Roster { return c.roster }
