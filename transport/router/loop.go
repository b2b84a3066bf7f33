package router

import (
	"context"
	"time"
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
