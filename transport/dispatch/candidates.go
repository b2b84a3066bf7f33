package dispatch

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/mean"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/route"
)

// zones returns the zones of the request in the order of its chat, each with its
// servers and what is known of their load.
func (d *Dispatcher) zones(now time.Time, req *amaranthtide.Request) []route.Zone {
	servers := d.servers(req)
	weights := make([]placement.Zone, 0, len(servers))
	for zone, rows := range servers {
		weights = append(weights, placement.Zone{Name: zone, Capacity: d.capacity(now, zone, rows)})
	}
	limit := d.modelLimit(now, req.Model)
	place := placement.New(placement.Key(req.Workspace, req.Chat))
	zones := make([]route.Zone, 0, len(weights))
	for _, z := range place.Zones(weights) {
		if z.Capacity == 0 {
			continue
		}
		zones = append(zones, route.Zone{Name: z.Name, Candidates: d.candidates(servers[z.Name], limit)})
	}
	return zones
}

func (d *Dispatcher) servers(req *amaranthtide.Request) map[amaranthtide.ZoneName][]amaranthtide.Row {
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

// capacity returns the weight of a zone; 0 if it can't take work. It depends on the
// table and on which zones are reachable only, so that a chat stays in its zone.
func (d *Dispatcher) capacity(now time.Time, zone amaranthtide.ZoneName, rows []amaranthtide.Row) int {
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

// modelLimit returns the present cap of a server of the model as far as this
// router knows.
func (d *Dispatcher) modelLimit(now time.Time, name amaranthtide.ModelName) int {
	if name == "" {
		return unlimited
	}
	model, _ := d.opts.Table.Model(name)
	view := d.opts.Ledger.View(now, name)
	if view.Servers == 0 {
		return unlimited
	}
	e := mean.Estimate{Own: view.Own, Servers: view.Servers}
	for _, p := range view.Peers {
		e.Add(now, p.Taken, p.Sum)
	}
	return mean.Cap(e.Total()+1, view.Servers, model.CapMultiple, model.CapFloor)
}

const unlimited = 1 << 30

func (d *Dispatcher) candidates(rows []amaranthtide.Row, limit int) []amaranthtide.Candidate {
	out := make([]amaranthtide.Candidate, 0, len(rows))
	for _, row := range rows {
		s, ok := row.Value.(amaranthtide.BackendServer)
		if !ok {
			continue
		}
		name := amaranthtide.BackendServerName(row.Key.Name)
		load, received := d.opts.Control.Load(name)
		most := s.Capacity
		if load.Allowance > 0 {
			most = min(most, load.Allowance)
		}
		out = append(out, amaranthtide.Candidate{
			Server:   name,
			Zone:     s.Zone,
			InFlight: load.InFlight,
			Limit:    min(most, limit),
			LoadTime: received,
		})
	}
	return out
}

// inService reports whether a server may get new work at this moment.
func (d *Dispatcher) inService(zone amaranthtide.ZoneName, server amaranthtide.BackendServerName) bool {
	if z, ok := d.opts.Table.Zone(zone); !ok || z.OutOfService {
		return false
	}
	s, ok := d.opts.Table.BackendServer(server)
	return ok && !s.Leaving && !d.opts.Control.Leaving(server)
}
