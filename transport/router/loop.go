package router

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// loopTable updates the state that other components derive from the table. It runs
// on every change, and once a second because the set of reachable zones changes
// without a change of the table.
func (r *Router) loopTable() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		changed := r.table.Changed()
		r.onTableChanged(time.Now())
		select {
		case <-r.ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Router) onTableChanged(now time.Time) {
	r.control.TableChanged(now)
	for model, groups := range r.groupsInService(now) {
		r.loadTracker.SetGroups(model, groups)
	}
}

// groupsInService returns, by model and group, the number of engines in service in
// the reachable zones.
func (r *Router) groupsInService(now time.Time) map[amaranthtide.ModelName]map[amaranthtide.GroupName]int {
	all := make(map[amaranthtide.ModelName]map[amaranthtide.GroupName]int)
	for _, model := range r.table.Models() {
		groups := make(map[amaranthtide.GroupName]int)
		for _, zone := range r.table.Zones() {
			r.countZoneGroups(now, model, amaranthtide.ZoneName(zone.Key.Name), groups)
		}
		all[model] = groups
	}
	return all
}

func (r *Router) countZoneGroups(now time.Time, model amaranthtide.ModelName, zone amaranthtide.ZoneName, groups map[amaranthtide.GroupName]int) {
	if z, ok := r.table.Zone(zone); !ok || z.OutOfService {
		return
	}
	if _, reachable := r.control.LiveIn(now, zone); !reachable {
		return
	}
	rows := r.table.ServersOfModel(model, zone)
	for _, row := range rows {
		server, ok := row.Value.(amaranthtide.BackendServer)
		if ok && !server.Leaving {
			groups[placement.Group(amaranthtide.BackendServerName(row.Key.Name), server, len(rows))]++
		}
	}
}

// loopVMs periodically reads the platform's list of VMs.
func (r *Router) loopVMs() {
	ticker := time.NewTicker(r.cfg.Platform.VMListInterval)
	defer ticker.Stop()
	for {
		r.listVMs()
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) listVMs() {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.Platform.Timeout)
	defer cancel()
	vms, err := r.platform.ListVMs(ctx)
	if err != nil {
		r.opts.Logger.Debug("failed to read the list of VMs", "error", err)
		return
	}
	r.control.SetListedVMs(time.Now(), vms)
}
