package peers

import (
	"slices"
	"time"

	"amaranthtide"
)

// register writes the own entry and reads those of the others.
func (e *Exchange) register() {
	registered := false
	for e.ctx.Err() == nil {
		wait := registryInterval
		if err := e.refresh(&registered); err != nil {
			e.opts.Logger.Debug("registry of routers not reached", "error", err)
			wait = registryRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
		}
		timer.Stop()
	}
}

func (e *Exchange) refresh(registered *bool) error {
	if !*registered {
		if err := e.opts.Registrar.Register(e.ctx, e.opts.Self); err != nil {
			return err
		}
		*registered = true
	}
	page, err := e.opts.Registry.Next(e.ctx, e.opts.RegistryTable, amaranthtide.None[amaranthtide.RowVersion](), 0)
	if err != nil {
		return err
	}
	e.listed(time.Now(), page)
	return nil
}

// listed takes the registry.
func (e *Exchange) listed(now time.Time, page amaranthtide.FeedPage) {
	e.mu.Lock()
	for _, row := range page.Rows {
		fact, err := e.opts.Reader.Read(now, row)
		entry, ok := fact.Router.Get()
		if err != nil || !ok {
			e.opts.Logger.Warn("entry of the registry can't be read", "key", row.Key, "error", err)
			continue
		}
		if entry.VM == e.opts.Self.VM {
			continue
		}
		r := e.routers[entry.VM]
		r.zone, r.registered = entry.Zone, true
		if now.Sub(r.heard) > liveAge {
			r.addr = entry.Address
		}
		e.routers[entry.VM] = r
	}
	for name, r := range e.routers {
		if !r.registered && now.Sub(r.heard) > forgetAge {
			delete(e.routers, name)
		}
	}
	e.settled = true
	names := e.names()
	e.mu.Unlock()
	e.opts.Routers(names)
}

// names returns all known routers, this one among them.
func (e *Exchange) names() []amaranthtide.VMName {
	names := make([]amaranthtide.VMName, 0, len(e.routers)+1)
	names = append(names, e.opts.Self.VM)
	for name := range e.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
