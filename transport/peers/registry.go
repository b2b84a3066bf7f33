package peers

import (
	"time"

	"amaranthtide"
)

const (
	// registryInterval is how often the registry is read without a sign of news.
	registryInterval = time.Minute
	registryRetry    = time.Second
	// registryPause lets the entries of routers that start together gather before the
	// registry is read again.
	registryPause = time.Second
)

// register keeps the own entry in the registry and reads those of the others.
func (e *Exchange) register() {
	for e.ctx.Err() == nil {
		registered, err := e.refresh()
		switch {
		case err != nil:
			e.opts.Logger.Debug("registry of routers not reached", "error", err)
			e.sleep(registryRetry)
		case !registered:
			e.sleep(registryPause)
		default:
			e.await(registryInterval)
			e.sleep(registryPause)
		}
	}
}

// refresh reads the registry. If the own entry is not there, it writes it and returns
// false: what was read is then outdated.
func (e *Exchange) refresh() (registered bool, err error) {
	page, err := e.opts.Registry.Next(e.ctx, e.opts.RegistryTable, amaranthtide.None[amaranthtide.RowVersion](), 0)
	if err != nil {
		return false, err
	}
	if e.listed(time.Now(), page) {
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

// await waits until the registry has news, at most for the given time.
func (e *Exchange) await(most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-e.outdated:
	case <-timer.C:
	case <-e.ctx.Done():
	}
}

// learn takes the newest row of the registry that another router knows.
func (e *Exchange) learn(version amaranthtide.RowVersion) {
	e.mu.Lock()
	news := version > max(e.registry, e.newer)
	e.newer = max(e.newer, version)
	e.mu.Unlock()
	if !news {
		return
	}
	select {
	case e.outdated <- struct{}{}:
	default:
	}
}

// listed takes the registry and reports whether it has the own entry.
func (e *Exchange) listed(now time.Time, page amaranthtide.FeedPage) (registered bool) {
	e.mu.Lock()
	for _, row := range page.Rows {
		fact, err := e.opts.Reader.Read(now, row)
		entry, ok := fact.Router.Get()
		if err != nil || !ok {
			e.opts.Logger.Warn("entry of the registry can't be read", "key", row.Key, "error", err)
			continue
		}
		e.registry = max(e.registry, row.Version)
		if entry.VM == e.opts.Self.VM {
			registered = entry == e.opts.Self
			continue
		}
		r := e.routers[entry.VM]
		r.registered = true
		if now.Sub(r.heard) > liveAge {
			r.addr, r.zone = entry.Address, entry.Zone
		}
		e.routers[entry.VM] = r
	}
	for name, r := range e.routers {
		if !r.registered && now.Sub(r.heard) > forgetAge {
			delete(e.routers, name)
			e.detector.Heard(name)
		}
	}
	e.settled = true
	if e.newer <= e.registry { // the news came before this was read
		select {
		case <-e.outdated:
		default:
		}
	}
	names := e.names()
	e.mu.Unlock()
	e.opts.Routers(names)
	return registered
}
