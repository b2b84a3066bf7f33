package router

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/state/table"
)

// loopTable passes changes of the table on to the parts that hold what they derive
// from it.
func (r *Router) loopTable() {
	for {
		changed := r.table.Changed()
		r.tableChanged(time.Now())
		select {
		case <-r.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (r *Router) tableChanged(now time.Time) {
	r.control.TableChanged(now)
	for model, servers := range inService(r.table) {
		r.ledger.SetServers(model, servers)
	}
}

// inService returns the servers of each model that count in its mean.
func inService(t *table.Table) map[amaranthtide.ModelName][]amaranthtide.BackendServerName {
	servers := make(map[amaranthtide.ModelName][]amaranthtide.BackendServerName)
	for _, name := range t.Models() {
		servers[name] = nil
	}
	for _, row := range t.Rows(amaranthtide.RowBackendServer) {
		s, ok := row.Value.(amaranthtide.BackendServer)
		if !ok || s.Leaving {
			continue
		}
		if zone, ok := t.Zone(s.Zone); !ok || zone.OutOfService {
			continue
		}
		servers[s.Model] = append(servers[s.Model], amaranthtide.BackendServerName(row.Key.Name))
	}
	return servers
}

// loopVMs reads the platform's list of VMs.
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
		r.opts.Logger.Debug("list of VMs not read", "error", err)
		return
	}
	r.control.List(time.Now(), vms)
}
