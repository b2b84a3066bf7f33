package peers

import (
	"time"

	"amaranthtide"
)

const (
	// registryInterval is how often the registry is read without a sign of news.
	registryInterval      = time.Minute
	registryRetryInterval = time.Second
	// registryBatchDelay lets the entries of routers that start together gather before the
	// registry is read again.
	registryBatchDelay = time.Second
)

// syncRegistry keeps the own entry in the registry and reads those of the others.
func (e *Exchange) syncRegistry() {
	for e.ctx.Err() == nil {
		registered, err := e.readRegistry()
		switch {
		case err != nil:
			e.opts.Logger.Debug("registry of routers not reached", "error", err)
			e.sleep(registryRetryInterval)
		case !registered:
			e.sleep(registryBatchDelay)
		default:
			e.awaitRegistryChange(registryInterval)
			e.sleep(registryBatchDelay)
		}
	}
}

// readRegistry reads the registry. If the own entry is not there, it writes it and returns
// false: what was read is then outdated.
func (e *Exchange) readRegistry() (registered bool, err error) {
	page, err := e.opts.Registry.Next(e.ctx, e.opts.RegistryTable, amaranthtide.None[amaranthtide.RowVersion](), 0)
	if err != nil {
		return false, err
	}
	if e.applyRegistry(time.Now(), page) {
		return true, nil
	}
	return false, e.opts.Registrar.Register(e.ctx, e.opts.Self)
}

func (e *Exchange) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// awaitRegistryChange waits until the registry has news, at most for the given time.
func (e *Exchange) awaitRegistryChange(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.registryStale:
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// observeRegistryVersion takes the newest row of the registry that another router knows.
func (e *Exchange) observeRegistryVersion(version amaranthtide.RowVersion) {
	e.mu.Lock()
	isNewer := version > max(e.registryVersion, e.newestRegistryVersion)
	e.newestRegistryVersion = max(e.newestRegistryVersion, version)
	e.mu.Unlock()
	if !isNewer {
		return
	}
	select {
	case e.registryStale <- struct{}{}:
	default:
	}
}

// applyRegistry takes the registry and reports whether it has the own entry.
func (e *Exchange) applyRegistry(now time.Time, page amaranthtide.FeedPage) (registered bool) {
	e.mu.Lock()
	for _, row := range page.Rows {
		fact, err := e.opts.Reader.Read(now, row)
		entry, ok := fact.Router.Get()
		if err != nil || !ok {
			e.opts.Logger.Warn("entry of the registry can't be read", "key", row.Key, "error", err)
			continue
		}
		e.registryVersion = max(e.registryVersion, row.Version)
		if entry.VM == e.opts.Self.VM {
			registered = entry == e.opts.Self
			continue
		}
		r := e.routers[entry.VM]
		r.registered = true
		if now.Sub(r.lastMessageAt) > liveAge {
			r.addr, r.zone = entry.Address, entry.Zone
		}
		e.routers[entry.VM] = r
	}
	for name, r := range e.routers {
		if !r.registered && now.Sub(r.lastMessageAt) > forgetAge {
			delete(e.routers, name)
			e.detector.Heard(name)
		}
	}
	e.registryRead = true
	if e.newestRegistryVersion <= e.registryVersion { // the news came before this was read
		select {
		case <-e.registryStale:
		default:
		}
	}
	names := e.routerNames()
	e.mu.Unlock()
	e.opts.Routers(names)
	return registered
}
