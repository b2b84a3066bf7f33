package dispatch

import (
	"time"

	"amaranthtide"
)

// enter counts a request of the workspace in, or refuses it.
func (d *Dispatcher) enter(now time.Time, name amaranthtide.WorkspaceName) error {
	ws, _ := d.opts.Table.Workspace(name)
	routers := d.routers(now)
	var err error
	d.workspaces.Update(name, func(a *allowance, ok bool) (*allowance, bool) {
		if !ok {
			a = &allowance{}
		}
		if err = a.limiter.Admit(now, ws, routers); err == nil {
			a.budget.Earn()
		}
		return a, true
	})
	return err
}

func (d *Dispatcher) leave(name amaranthtide.WorkspaceName) {
	d.workspaces.With(name, func(a *allowance, ok bool) {
		if ok {
			a.limiter.Release()
		}
	})
}

func (d *Dispatcher) takeRetry(name amaranthtide.WorkspaceName) bool {
	taken := false
	d.workspaces.With(name, func(a *allowance, ok bool) { taken = ok && a.budget.Take() })
	return taken
}

// routers returns the number of live routers in all reachable zones.
func (d *Dispatcher) routers(now time.Time) int {
	n := len(d.opts.Control.Live(now))
	for _, row := range d.opts.Table.Zones() {
		zone := amaranthtide.ZoneName(row.Key.Name)
		if zone == d.opts.Zone {
			continue
		}
		if live, ok := d.opts.Control.LiveIn(now, zone); ok {
			n += len(live)
		}
	}
	return n
}
