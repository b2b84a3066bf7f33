package deployment

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"time"

	"amaranthtide"
	"amaranthtide/standin/engine"
)

// drainTimeout limits the time that a replaced engine has to finish its work.
const drainTimeout = 20 * time.Second

type engineHost struct {
	name   amaranthtide.BackendServerName
	zone   amaranthtide.ZoneName
	server *engine.Server
	// down is set while the engine itself is out of service, be it killed or leaving.
	// leaving is set once LeaveEngine was called.
	down, leaving bool
}

func (d *Deployment) addEngine(zone amaranthtide.ZoneName) (*engineHost, error) {
	p := d.cfg.Profile
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	name := amaranthtide.BackendServerName(fmt.Sprintf("engine-%d", d.lastNumber))
	cfg := p.Engine
	cfg.Model, cfg.ReportLag, cfg.Seed = Model, reportLag, d.cfg.Seed+uint64(d.lastNumber)
	s, err := engine.New(d.observer.Watch(name, cfg))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	d.observer.SetEngine(name, s)
	e := &engineHost{name: name, zone: zone, server: s}
	d.engines = append(d.engines, e)
	return e, nil
}

// reportLag is the age of the engines' load reports.
const reportLag = 200 * time.Millisecond

func (d *Deployment) engineRow(e *engineHost) rowChange {
	p := d.cfg.Profile.Engine
	capacity := cmp.Or(p.Capacity, engine.DefaultCapacity)
	return rowChange{amaranthtide.RowBackendServer, string(e.name), amaranthtide.BackendServer{
		Zone: e.zone, Address: e.server.Addr(), Model: Model,
		Capacity: capacity, ColdLimit: cmp.Or(p.ColdLimit, capacity), RampDuration: amaranthtide.Duration(p.Warmup),
	}}
}

// Engines returns the names of the engines in the order in which they were started.
func (d *Deployment) Engines() []amaranthtide.BackendServerName {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]amaranthtide.BackendServerName, len(d.engines))
	for i, e := range d.engines {
		names[i] = e.name
	}
	return names
}

// withEngine calls f for the named engine while it holds the lock of the deployment.
func (d *Deployment) withEngine(name amaranthtide.BackendServerName, f func(*engineHost)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.engines {
		if e.name == name {
			f(e)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", name, errUnknownServer)
}

// KillEngine breaks all connections of an engine. It is unreachable until
// RestartEngine.
func (d *Deployment) KillEngine(name amaranthtide.BackendServerName) error {
	return d.withEngine(name, func(e *engineHost) {
		e.down = true
		d.observer.TakeOutOfService(time.Now(), name)
		e.server.Kill()
	})
}

// RestartEngine restarts an engine after KillEngine. The engine is cold.
func (d *Deployment) RestartEngine(name amaranthtide.BackendServerName) error {
	return d.withEngine(name, func(e *engineHost) {
		e.down = false
		e.server.Restart()
		if !d.zonesOut.Has(e.zone) {
			d.observer.PutInService(time.Now(), name)
		}
	})
}

// RebootEngine reboots an engine without notice. The engine is cold afterwards.
func (d *Deployment) RebootEngine(name amaranthtide.BackendServerName) error {
	return d.withEngine(name, func(e *engineHost) {
		d.observer.TakeOutOfService(time.Now(), name)
		e.server.Reboot()
		if !d.zonesOut.Has(e.zone) {
			d.observer.PutInService(time.Now(), name)
		}
	})
}

// LeaveEngine makes an engine report that it leaves and refuse new work, and marks
// it in the list of VMs.
func (d *Deployment) LeaveEngine(name amaranthtide.BackendServerName) error {
	err := d.withEngine(name, func(e *engineHost) {
		e.down, e.leaving = true, true
		d.observer.TakeOutOfService(time.Now(), name)
		e.server.Leave()
	})
	d.updateVMList()
	return err
}

// ReplaceEngine replaces an engine by a new one with another name. It returns when the
// old one has left, finished its work and closed.
func (d *Deployment) ReplaceEngine(ctx context.Context, name amaranthtide.BackendServerName) error {
	if err := d.LeaveEngine(name); err != nil {
		return err
	}
	var old *engineHost
	if err := d.withEngine(name, func(e *engineHost) { old = e }); err != nil {
		return err
	}
	e, err := d.addEngine(old.zone)
	if err != nil {
		return err
	}
	err = d.edit(ctx, d.engineRow(e), rowChange{amaranthtide.RowBackendServer, string(name), nil})
	if err != nil {
		return err
	}
	_ = d.withEngine(e.name, func(e *engineHost) {
		if !d.zonesOut.Has(e.zone) {
			d.observer.PutInService(time.Now(), e.name)
		}
	})
	d.updateVMList()
	d.drain(ctx, old)
	d.removeEngine(old)
	old.server.Close()
	return nil
}

func (d *Deployment) drain(ctx context.Context, e *engineHost) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	for e.server.Counters().InFlight > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Deployment) removeEngine(e *engineHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, x := range d.engines {
		if x == e {
			d.engines = append(d.engines[:i:i], d.engines[i+1:]...)
			return
		}
	}
}

// EngineAddresses returns the addresses of the engines for calls that bypass the routers.
func (d *Deployment) EngineAddresses() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	addrs := make([]netip.AddrPort, len(d.engines))
	for i, e := range d.engines {
		addrs[i] = e.server.Addr()
	}
	return addrs
}

// OutputTokens returns the number of tokens in all finished answers of the engines.
func (d *Deployment) OutputTokens() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, e := range d.engines {
		sum += e.server.Counters().OutputTokens
	}
	return sum
}

// InFlight returns the number of requests in flight at each engine.
func (d *Deployment) InFlight() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make([]int, len(d.engines))
	for i, e := range d.engines {
		loads[i] = e.server.Counters().InFlight
	}
	return loads
}
