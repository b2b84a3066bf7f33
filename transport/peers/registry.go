package peers

import (
	"time"

	"amaranthtide"
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
	for e.ctx.Err() == nil {
		if !e.registrationMissing() {
			e.sleep(registrationCheckInterval)
			continue
		}
		if err := e.opts.Registrar.Register(e.ctx, e.opts.Self); err != nil {
			e.opts.Logger.Warn("registration of this router failed", "error", err)
			e.sleep(registrationCheckInterval)
			continue
		}
		e.sleep(registrationInterval)
	}
}

func (e *Exchange) registrationMissing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registryKnown() && e.registeredEntry != e.opts.Self
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
