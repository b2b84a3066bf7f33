package console

import (
	"context"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/membership"
	"amaranthtide/protocol/operation"
)

// inForcePollInterval is how often awaitInForce checks the roster. In a large fleet,
// reports arrive at least ten times less often.
const inForcePollInterval = 50 * time.Millisecond

// awaitInForce waits until all live routers of all zones have the revision, or until
// wait has passed. It returns how many routers have it then.
func (h *Handler) awaitInForce(ctx context.Context, revision amaranthtide.Revision, wait time.Duration) operation.Rollout {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		state := h.inForce(time.Now(), revision)
		if state.Everywhere {
			return state
		}
		select {
		case <-ctx.Done():
			return h.inForce(time.Now(), revision)
		case <-ticker.C:
		}
	}
}

// inForce counts the routers that have a revision. The digest of another zone contains
// only the lowest revision of its live routers, so either all or none of its routers
// are counted. For a zone without a recent digest, the routers in the table are
// counted as lacking the revision.
func (h *Handler) inForce(now time.Time, revision amaranthtide.Revision) operation.Rollout {
	out := operation.Rollout{Revision: revision, Everywhere: true}
	for _, z := range h.zones(now) {
		in := operation.ZoneRollout{Zone: z.Zone, Source: z.Source, Routers: z.Routers}
		switch z.Source {
		case operation.SourceReports:
			for _, vm := range h.localRouters(now) {
				if h.revisionOf(vm) >= revision {
					in.Updated++
				}
			}
		case operation.SourceDigest:
			if z.Revision >= revision {
				in.Updated = in.Routers
			}
		default:
			// Without a digest, it is unknown whether the zone's routers have the revision.
			in.Routers = len(h.opts.Table.VMsOfZone(z.Zone))
		}
		out.Updated += in.Updated
		out.Routers += in.Routers
		out.Everywhere = out.Everywhere && in.Updated == in.Routers
		out.Zones = append(out.Zones, in)
	}
	return out
}

// localRouters returns this router and the routers of its zone with recent reports,
// whether in service or not.
func (h *Handler) localRouters(now time.Time) []amaranthtide.VMName {
	vms := []amaranthtide.VMName{h.opts.VM}
	for _, p := range h.opts.Control.Roster().Peers() {
		if now.Sub(p.Received) <= membership.Suspicion(p.Report.Interval) {
			vms = append(vms, p.Report.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

// revisionOf returns the table revision of a router in this router's zone.
func (h *Handler) revisionOf(vm amaranthtide.VMName) amaranthtide.Revision {
	if vm == h.opts.VM {
		return h.opts.Table.Revision()
	}
	p, _ := h.opts.Control.Roster().Peer(vm)
	return p.Report.Revision
}

// zones returns the state of all zones in the table, and of this router's zone even if
// the table doesn't contain it.
func (h *Handler) zones(now time.Time) []operation.ZoneStatus {
	var zones []operation.ZoneStatus
	own := false
	for _, row := range h.opts.Table.Zones() {
		value, _ := row.Value.(amaranthtide.Zone)
		name := amaranthtide.ZoneName(row.Key.Name)
		own = own || name == h.opts.Zone
		zones = append(zones, h.zone(now, name, value.OutOfService))
	}
	if !own {
		zones = append(zones, h.zone(now, h.opts.Zone, false))
	}
	return zones
}

func (h *Handler) zone(now time.Time, name amaranthtide.ZoneName, out bool) operation.ZoneStatus {
	z := operation.ZoneStatus{Zone: name, OutOfService: out, Source: operation.SourceNone}
	if name == h.opts.Zone {
		live := h.localRouters(now)
		z.Source, z.Routers = operation.SourceReports, len(live)
		for i, vm := range live {
			if r := h.revisionOf(vm); i == 0 || r < z.Revision {
				z.Revision = r
			}
		}
		return z
	}
	live, reachable := h.opts.Control.LiveIn(now, name)
	d, ok := h.opts.Control.Roster().Digest(name)
	if ok {
		z.Age = age(now, d.Received)
	}
	if ok && reachable {
		z.Source, z.Routers, z.Revision = operation.SourceDigest, len(live), d.Digest.Revision
	}
	return z
}

// age returns the time since then, rounded to the precision of message receive times.
func age(now, then time.Time) amaranthtide.Duration {
	return amaranthtide.Duration(max(0, now.Sub(then)).Round(time.Millisecond))
}
