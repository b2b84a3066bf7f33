package deployment

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/internal/port"
	"amaranthtide/protocol/settings"
	"amaranthtide/transport/router"
)

const (
	fleetKey = "key of an embedded deployment"
	// seedCount is the maximum number of seeds in a router's settings.
	seedCount     = 3
	shutdownGrace = 500 * time.Millisecond
)

type routerHost struct {
	vm     amaranthtide.VMName
	zone   amaranthtide.ZoneName
	listen netip.AddrPort
	router *router.Router
}

func (r *routerHost) row() rowChange {
	return rowChange{amaranthtide.RowVM, string(r.vm), amaranthtide.VM{Zone: r.zone, Address: r.listen}}
}

// placeRouter adds a router with a new name and address without starting it.
func (d *Deployment) placeRouter(zone amaranthtide.ZoneName) (*routerHost, error) {
	addr, err := port.Free()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	vm := amaranthtide.VMName(fmt.Sprintf("vm-%s-%d", zone, d.lastNumber))
	r := &routerHost{vm: vm, zone: zone, listen: addr}
	d.routers = append(d.routers, r)
	d.network.setZone(addr, zone)
	return r, nil
}

func (d *Deployment) startRouter(r *routerHost) error {
	cfg := settings.Default()
	cfg.Router.VM, cfg.Router.Zone, cfg.Router.Listen = r.vm, r.zone, r.listen
	cfg.Router.Callers, cfg.Router.Console = loopback, loopback
	cfg.Router.FleetKey, cfg.Router.ShutdownGrace = fleetKey, shutdownGrace
	cfg.Platform.Address = d.relays[r.zone].addr()
	cfg.Platform.VMListInterval = time.Second
	for _, other := range d.routerHosts() {
		if other != r && len(cfg.Router.Seeds) < seedCount {
			cfg.Router.Seeds = append(cfg.Router.Seeds, other.listen)
		}
	}
	started, err := router.New(cfg, router.Options{
		Logger: d.cfg.Logger.Named(string(r.vm)), Policy: d.cfg.Policy, Unbounded: d.cfg.Unbounded,
		Dialer: d.network.dialer(r.zone),
	})
	if err != nil {
		return fmt.Errorf("router %s: %w", r.vm, err)
	}
	d.mu.Lock()
	r.router = started
	d.mu.Unlock()
	return nil
}

func (d *Deployment) routerHosts() []*routerHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.routers)
}

// Routers returns the names of the running routers.
func (d *Deployment) Routers() []amaranthtide.VMName {
	var names []amaranthtide.VMName
	for _, r := range d.routerHosts() {
		names = append(names, r.vm)
	}
	return names
}

// CallerAddresses returns the addresses at which the running routers accept callers.
func (d *Deployment) CallerAddresses() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []netip.AddrPort
	for _, r := range d.routers {
		if r.router != nil {
			addrs = append(addrs, r.router.CallerAddr())
		}
	}
	return addrs
}

// ControlBytes returns the number of control bytes that all routers have sent so far,
// including removed ones.
func (d *Deployment) ControlBytes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.removedControlBytes
	for _, r := range d.routers {
		if r.router != nil {
			sum += r.router.ControlBytes()
		}
	}
	return sum
}

// removeRouter removes a router from the deployment.
func (d *Deployment) removeRouter(vm amaranthtide.VMName) (*routerHost, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, r := range d.routers {
		if r.vm == vm {
			d.routers = slices.Delete(slices.Clone(d.routers), i, i+1)
			return r, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", vm, errUnknownServer)
}

// KillRouter stops a router without a graceful shutdown. Its row and its entry in the
// callers' load balancer stay, but it is removed from the list of VMs.
func (d *Deployment) KillRouter(vm amaranthtide.VMName) error {
	r, err := d.removeRouter(vm)
	if err != nil {
		return err
	}
	r.router.Kill()
	d.recordRemoval(r)
	return nil
}

// ReplaceRouter adds a router with another name in the same zone, waits until it is
// ready and then shuts the old one down gracefully.
func (d *Deployment) ReplaceRouter(ctx context.Context, vm amaranthtide.VMName) error {
	r, err := d.removeRouter(vm)
	if err != nil {
		return err
	}
	if err := d.AddRouter(ctx, r.zone); err != nil {
		return err
	}
	err = r.router.Close()
	d.recordRemoval(r)
	if err != nil {
		return err
	}
	return d.edit(ctx, rowChange{amaranthtide.RowVM, string(vm), nil})
}

// AddRouter starts a router, waits until it is ready and informs the callers of it.
func (d *Deployment) AddRouter(ctx context.Context, zone amaranthtide.ZoneName) error {
	r, err := d.placeRouter(zone)
	if err != nil {
		return err
	}
	if err := d.edit(ctx, r.row()); err != nil {
		return err
	}
	d.updateVMList()
	if err := d.startRouter(r); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	load := d.load
	d.mu.Unlock()
	if load != nil {
		load.SetRouters(d.CallerAddresses())
	}
	return nil
}

// recordRemoval updates the control bytes and the list of VMs after a router was removed.
func (d *Deployment) recordRemoval(r *routerHost) {
	d.mu.Lock()
	d.removedControlBytes += r.router.ControlBytes()
	d.mu.Unlock()
	d.updateVMList()
}

// updateVMList replaces the platform's list of VMs by the current routers and engines.
func (d *Deployment) updateVMList() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var vms []amaranthtide.ListedVM
	for _, r := range d.routers {
		vms = append(vms, amaranthtide.ListedVM{Name: r.vm, Zone: r.zone, Address: r.listen})
	}
	for _, e := range d.engines {
		vms = append(vms, amaranthtide.ListedVM{
			Name: amaranthtide.VMName(e.name), Zone: e.zone, Address: e.server.Addr(), Leaving: e.leaving,
		})
	}
	d.platform.SetVMs(vms)
}
