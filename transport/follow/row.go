package follow

import (
	"time"

	"amaranthtide"
)

// effects collects what the rows of a page changed for other components.
type effects struct {
	goneServers []amaranthtide.BackendServerName
	routers     []amaranthtide.RouterEntry
	goneRouters []amaranthtide.VMName
	orders      []orderChange
	rollouts    []stateChange
}

type orderChange struct {
	service amaranthtide.ServiceName
	version amaranthtide.StoreVersion
	order   amaranthtide.Option[amaranthtide.RolloutOrder]
}

type stateChange struct {
	service amaranthtide.ServiceName
	version amaranthtide.StoreVersion
	state   amaranthtide.Option[amaranthtide.RolloutState]
}

// applyRow applies a row and adds its effects. The caller holds mu.
func (f *Follower) applyRow(now time.Time, row amaranthtide.FeedRow, e *effects) {
	key := rowKey{row.Table, row.Key}
	if row.Value == nil {
		f.removeRow(now, key, row.Version, e)
		return
	}
	decoded, err := f.opts.Decoder.Decode(now, row)
	if err != nil {
		f.opts.Logger.Warn("unreadable row treated as removed", "table", row.Table, "key", row.Key, "version", row.Version.String(), "error", err)
		f.removeRow(now, key, row.Version, e)
		return
	}
	if cfg, ok := decoded.Configuration.Get(); ok && f.opts.Configuration.Apply(cfg) {
		f.opts.Logger.Info("configuration applied", "revision", cfg.Revision, "rules", len(cfg.Rules), "keys", len(cfg.Keys))
	}
	if zone, ok := decoded.ZoneOutOfService.Get(); ok {
		f.outZones[key] = zone
		f.opts.Logger.Info("zone out of service", "zone", zone, "version", row.Version.String())
	}
	if order, ok := decoded.RolloutOrder.Get(); ok {
		f.orders[key] = order.Service
		e.orders = append(e.orders, orderChange{order.Service, row.Version, amaranthtide.Some(order)})
	}
	if state, ok := decoded.RolloutState.Get(); ok {
		f.rollouts[key] = state.Service
		e.rollouts = append(e.rollouts, stateChange{state.Service, row.Version, amaranthtide.Some(state)})
	}
	if in, ok := decoded.Instance.Get(); ok {
		f.serverNames[key] = in.Name
		if f.serverList.Put(now, in) {
			f.opts.Logger.Info("server listed", "server", in.Name, "service", in.Service, "zone", in.Zone,
				"leaving", in.Leaving, "cold", !in.ColdUntil.IsZero(), "version", row.Version.String())
		}
	}
	if router, ok := decoded.Router.Get(); ok {
		f.routers[key] = router.VM
		e.routers = append(e.routers, router)
	}
}

func (f *Follower) removeRow(now time.Time, key rowKey, version amaranthtide.StoreVersion, e *effects) {
	if service, ok := f.orders[key]; ok {
		delete(f.orders, key)
		e.orders = append(e.orders, orderChange{service, version, amaranthtide.None[amaranthtide.RolloutOrder]()})
	}
	if service, ok := f.rollouts[key]; ok {
		delete(f.rollouts, key)
		e.rollouts = append(e.rollouts, stateChange{service, version, amaranthtide.None[amaranthtide.RolloutState]()})
	}
	if vm, ok := f.routers[key]; ok {
		delete(f.routers, key)
		e.goneRouters = append(e.goneRouters, vm)
	}
	if zone, ok := f.outZones[key]; ok {
		delete(f.outZones, key)
		f.serverList.ZoneReturned(now, zone)
		f.opts.Logger.Info("zone back in service", "zone", zone)
	}
	name, ok := f.serverNames[key]
	if !ok {
		return
	}
	removed := f.serverList.Remove(now, name)
	f.opts.Logger.Info("server unlisted", "server", name, "gone", removed)
	if removed {
		delete(f.serverNames, key)
		e.goneServers = append(e.goneServers, name)
	}
}

// publishRollouts passes changes of rollouts to Options.Rollouts. The caller holds mu.
func (f *Follower) publishRollouts(now time.Time, e *effects) {
	if f.opts.Rollouts == nil {
		return
	}
	for _, c := range e.rollouts {
		f.opts.Rollouts.StateChanged(now, c.service, c.version, c.state)
	}
	for _, c := range e.orders {
		f.opts.Rollouts.OrderChanged(now, c.service, c.version, c.order)
	}
}

// publishServers stores the listed servers and the zones out of service in
// Options.Servers. The caller holds mu.
func (f *Follower) publishServers(now time.Time, removed []amaranthtide.BackendServerName) {
	outOfService := amaranthtide.NewSet[amaranthtide.ZoneName]()
	for _, zone := range f.outZones {
		outOfService.Add(zone)
	}
	f.opts.Servers.SetZonesOutOfService(outOfService)
	listed := f.serverList.Listed(now)
	if f.opts.Rollouts != nil {
		f.opts.Rollouts.ServersListed(now, listed)
	}
	f.opts.OnServersListed(now, listed)
	f.opts.Servers.Set(listed)
	for _, name := range removed {
		f.opts.OnServerGone(name)
	}
}
