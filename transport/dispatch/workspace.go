package dispatch

import (
	"time"

	"amaranthtide"
)

// admit counts a request of the workspace against its limits, or refuses it.
func (d *Dispatcher) admit(now time.Time, name amaranthtide.WorkspaceName) error {
	ws, _ := d.opts.Table.Workspace(name)
	routers := d.liveRouters(now)
	var err error
	d.workspaces.Update(name, func(limits *workspaceLimits, ok bool) (*workspaceLimits, bool) {
		if !ok {
			limits = &workspaceLimits{}
		}
		if err = limits.limiter.Admit(now, ws, routers); err == nil {
			limits.budget.Earn()
		}
		return limits, true
	})
	return err
}

func (d *Dispatcher) release(name amaranthtide.WorkspaceName) {
	d.workspaces.With(name, func(limits *workspaceLimits, ok bool) {
		if ok {
			limits.limiter.Release()
		}
	})
}

func (d *Dispatcher) takeRetry(name amaranthtide.WorkspaceName) bool {
	taken := false
	d.workspaces.With(name, func(limits *workspaceLimits, ok bool) { taken = ok && limits.budget.Take() })
	return taken
}

// liveRouters returns the number of live routers in all reachable zones.
func (d *Dispatcher) liveRouters(now time.Time) int {
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
