package peers

import (
	"time"

	"amaranthtide"
)

const (
	// registryInterval is how often the registry is read if no router reports a newer
	// version.
	registryInterval      = time.Minute
	registryRetryInterval = time.Second
	// registryBatchDelay is the pause before the registry is read again, so that one read
	// covers the entries of routers that start at the same time.
	registryBatchDelay = time.Second
)

// syncRegistry keeps this router's entry registered and reads the entries of the others.
func (e *Exchange) syncRegistry() {
	for e.ctx.Err() == nil {
		registered, err := e.readRegistry()
		switch {
		case err != nil:
			e.opts.Logger.Debug("registry of routers unavailable", "error", err)
			e.sleep(registryRetryInterval)
		case !registered:
			e.sleep(registryBatchDelay)
		default:
			e.awaitRegistryChange(registryInterval)
			e.sleep(registryBatchDelay)
		}
	}
}

// readRegistry reads the registry. If this router's entry is missing, it registers the
// entry and returns false, since the registry then has to be read again.
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

// awaitRegistryChange waits until another router reports a newer version of the registry,
// at most for the given timeout.
func (e *Exchange) awaitRegistryChange(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.registryStale:
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// observeRegistryVersion handles the registry version that another router reports, and
// wakes syncRegistry if it is newer than all known ones.
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

// applyRegistry updates the known routers from the registry and reports whether it has the
// entry of this router.
func (e *Exchange) applyRegistry(now time.Time, page amaranthtide.FeedPage) (registered bool) {
	e.mu.Lock()
	for _, row := range page.Rows {
		decoded, err := e.opts.Decoder.Decode(now, row)
		entry, ok := decoded.Router.Get()
		if err != nil || !ok {
			e.opts.Logger.Warn("unreadable registry entry skipped", "key", row.Key, "error", err)
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
			e.detector.MessageReceived(name)
		}
	}
	e.registryRead = true
	if e.newestRegistryVersion <= e.registryVersion { // this read covers the reported change
		select {
		case <-e.registryStale:
		default:
		}
	}
	names := e.routerNames()
	e.mu.Unlock()
	e.opts.OnRoutersChanged(names)
	return registered
}
