package peers

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/restore"
)

const (
	// registrationCheckInterval is how often a router checks that the registry has its entry.
	registrationCheckInterval = 500 * time.Millisecond
	// registrationInterval is the shortest time between two writes of the entry. The feed
	// shows the entry well before its end.
	registrationInterval = 5 * time.Second
)

// keepRegistered writes this router's entry to the registry whenever the registry is known
// and lacks it.
func (e *Exchange) keepRegistered() {
	era := amaranthtide.None[amaranthtide.StoreEra]()
	for e.ctx.Err() == nil {
		if !e.registrationMissing() {
			e.sleep(registrationCheckInterval)
			continue
		}
		if previous, current := era, e.registryEra(); previous != amaranthtide.Some(current) {
			era = amaranthtide.Some(current)
			if previous != amaranthtide.None[amaranthtide.StoreEra]() {
				e.sleep(rand.N(restore.Spread(e.routerCount()))) // all routers of the fleet write theirs
				continue
			}
		}
		if err := e.opts.Registrar.Register(e.ctx, e.opts.Self); err != nil {
			e.opts.Logger.Warn("registration of this router failed", "error", err)
			e.sleep(registrationCheckInterval)
			continue
		}
		e.opts.Logger.Info("router registered", "era", uint64(e.registryEra()))
		e.sleep(registrationInterval)
	}
}

// registryEra returns the era of the store that the known registry is of.
func (e *Exchange) registryEra() amaranthtide.StoreEra {
	return e.opts.Rows.Version(e.opts.RegistryTable).Or(amaranthtide.StoreVersion{}).Era()
}

func (e *Exchange) routerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.routers) + 1
}

// registrationMissing reports whether the registry lacks this router's entry, whose key is the name of the
// VM. An entry that only holds against a restored store is missing there.
func (e *Exchange) registrationMissing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	isLost := e.opts.Rows.IsHeld(e.opts.RegistryTable, string(e.opts.Self.VM))
	return e.registryKnown() && (isLost || e.registeredEntry != e.opts.Self)
}

// registryKnown reports whether this router has the table of routers. Until then the known
// routers may be a fraction of the fleet.
func (e *Exchange) registryKnown() bool {
	_, known := e.opts.Rows.Version(e.opts.RegistryTable).Get()
	return known
}

func (e *Exchange) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// ApplyRegistry updates the known routers from changes of the registry.
func (e *Exchange) ApplyRegistry(now time.Time, registered []amaranthtide.RouterEntry, removed []amaranthtide.VMName) {
	e.mu.Lock()
	for _, entry := range registered {
		if entry.VM == e.opts.Self.VM {
			e.registeredEntry = entry
			continue
		}
		r := e.routers[entry.VM]
		r.registered = true
		if now.Sub(r.lastMessageAt) > liveAge {
			r.addr, r.zone, r.linkMegabits = entry.Address, entry.Zone, entry.LinkMegabits
		}
		e.routers[entry.VM] = r
	}
	for _, vm := range removed {
		e.removeRegistration(vm)
	}
	names := e.routerNames()
	e.mu.Unlock()
	e.opts.OnRoutersChanged(names)
}

// removeRegistration records that the registry no longer has an entry. The caller holds mu.
func (e *Exchange) removeRegistration(vm amaranthtide.VMName) {
	if vm == e.opts.Self.VM {
		e.registeredEntry = amaranthtide.RouterEntry{}
		return
	}
	if r, ok := e.routers[vm]; ok {
		r.registered = false
		e.routers[vm] = r
	}
}

// forgetRouters removes the routers that are not registered and have been silent for
// forgetAge.
func (e *Exchange) forgetRouters(now time.Time) {
	e.mu.Lock()
	forgotten := false
	for name, r := range e.routers {
		if !r.registered && now.Sub(r.lastMessageAt) > forgetAge {
			delete(e.routers, name)
			e.detector.MessageReceived(name)
			forgotten = true
		}
	}
	names := e.routerNames()
	e.mu.Unlock()
	if forgotten && e.registryKnown() {
		e.opts.OnRoutersChanged(names)
	}
}
