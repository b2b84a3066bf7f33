package dispatch

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/route"
)

// routeZones returns the servers that can serve the request with their known loads, in the
// order of its chat: one entry for each engine group, or one for each zone if the request
// is for a plain service.
func (d *Dispatcher) routeZones(now time.Time, req *amaranthtide.Request) []route.Zone {
	servers := d.serversByZone(req)
	weights := make([]placement.Zone, 0, len(servers))
	for zone, rows := range servers {
		weights = append(weights, placement.Zone{Name: zone, Capacity: d.zoneCapacity(now, zone, rows)})
	}
	place := placement.New(placement.ChatKey(req.Workspace, req.Chat))
	zones := make([]route.Zone, 0, len(weights))
	for _, z := range place.Zones(weights) {
		if z.Capacity == 0 {
			continue
		}
		zones = append(zones, d.zoneGroups(place, z.Name, servers[z.Name])...)
	}
	return zones
}

// zoneGroups returns the groups of a zone's servers in the order of the chat: the group of
// the chat's first server, then that of the first server outside of that group, and so on.
// The servers of a plain service form a single entry, since each has its own owner.
func (d *Dispatcher) zoneGroups(place placement.Placement, zone amaranthtide.ZoneName, rows []amaranthtide.Row) []route.Zone {
	candidates := place.Servers(d.candidates(rows))
	var groups []route.Zone
	index := make(map[amaranthtide.GroupName]int)
	for _, c := range candidates {
		row, ok := d.opts.Table.BackendServer(c.Server)
		if !ok {
			continue
		}
		var name amaranthtide.GroupName
		if row.Model != "" {
			name = placement.Group(c.Server, row, len(rows))
		}
		i, ok := index[name]
		if !ok {
			i = len(groups)
			index[name] = i
			groups = append(groups, route.Zone{Name: zone, OwnerOverflows: row.Model != ""})
		}
		groups[i].Candidates = append(groups[i].Candidates, c)
	}
	return groups
}

func (d *Dispatcher) serversByZone(req *amaranthtide.Request) map[amaranthtide.ZoneName][]amaranthtide.Row {
	servers := make(map[amaranthtide.ZoneName][]amaranthtide.Row)
	if req.Model != "" {
		for _, zone := range d.opts.Table.Zones() {
			name := amaranthtide.ZoneName(zone.Key.Name)
			servers[name] = d.opts.Table.ServersOfModel(req.Model, name)
		}
		return servers
	}
	for _, row := range d.opts.Table.ServersOfRoute(req.Route) {
		if s, ok := row.Value.(amaranthtide.BackendServer); ok {
			servers[s.Zone] = append(servers[s.Zone], row)
		}
	}
	return servers
}

// zoneCapacity returns the weight of a zone; 0 if it can't serve requests. It depends only
// on the table and on which zones are reachable, so that a chat stays in its zone.
func (d *Dispatcher) zoneCapacity(now time.Time, zone amaranthtide.ZoneName, rows []amaranthtide.Row) int {
	if z, ok := d.opts.Table.Zone(zone); !ok || z.OutOfService {
		return 0
	}
	if _, reachable := d.opts.Control.LiveIn(now, zone); !reachable {
		return 0
	}
	sum := 0
	for _, row := range rows {
		if s, ok := row.Value.(amaranthtide.BackendServer); ok && !s.Leaving {
			sum += s.Capacity
		}
	}
	return sum
}

func (d *Dispatcher) candidates(rows []amaranthtide.Row) []amaranthtide.Candidate {
	out := make([]amaranthtide.Candidate, 0, len(rows))
	for _, row := range rows {
		s, ok := row.Value.(amaranthtide.BackendServer)
		if !ok {
			continue
		}
		name := amaranthtide.BackendServerName(row.Key.Name)
		load, received := d.opts.Control.Load(name)
		limit := s.Capacity
		if load.Allowance > 0 {
			limit = min(limit, load.Allowance)
		}
		out = append(out, amaranthtide.Candidate{
			Server:   name,
			Zone:     s.Zone,
			InFlight: load.InFlight,
			Limit:    limit,
			LoadTime: received,
		})
	}
	return out
}

// inService reports whether a server may currently get new requests.
func (d *Dispatcher) inService(zone amaranthtide.ZoneName, server amaranthtide.BackendServerName) bool {
	if z, ok := d.opts.Table.Zone(zone); !ok || z.OutOfService {
		return false
	}
	s, ok := d.opts.Table.BackendServer(server)
	return ok && !s.Leaving && !d.opts.Control.Leaving(server)
}
