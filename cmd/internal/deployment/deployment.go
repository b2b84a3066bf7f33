// Package deployment runs a complete deployment in one process on loopback: the
// stand-ins for the platform, the engines and the plain services, and the routers.
//
// # Usage
//
//	d, err := deployment.New(ctx, deployment.Config{Profile: deployment.Demo()})
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	load := d.Load(20*time.Second, seed)
//	go func() { _ = d.SetZoneOutOfService(ctx, "b", true) }()
//	result := load.Run(ctx)
//	fmt.Println(d.Observer().Skew())
//
// The routers' dialer implements delays and cuts between zones. Each zone reaches the
// platform through a relay of its own, so that it can be cut off from the platform. A
// cut closes connections and refuses new ones.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/standin/application"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/observer"
	"amaranthtide/standin/platform"
	platformclient "amaranthtide/transport/platform"
)

// loopback is the address of all listeners.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	// vmLag is the time until a change of the platform's list of VMs becomes visible.
	vmLag = time.Second
)

// Config configures a Deployment.
type Config struct {
	Profile Profile
	Seed    uint64
	// Logger is the logger of the routers; nil disables logging.
	Logger hclog.Logger
	// Policy and Unbounded are as in router.Options.
	Policy    amaranthtide.PlacementPolicy
	Unbounded bool
}

// Deployment is a running deployment. It is safe for concurrent use.
type Deployment struct {
	cfg      Config
	observer *observer.Observer
	network  *network
	platform *platform.Server
	client   *platformclient.Client
	relays   map[amaranthtide.ZoneName]*relay
	services []*application.Server

	mu      sync.Mutex
	engines []*engineHost
	routers []*routerHost
	// zonesOut has the zones that are out of service.
	zonesOut amaranthtide.Set[amaranthtide.ZoneName]
	// lastNumber is the last number used in the name of a VM or an engine. Numbers are
	// not reused, so that replacements get new names.
	lastNumber int
	load       *caller.Load
	// removedControlBytes is the number of control bytes that removed routers sent.
	removedControlBytes uint64
}

// New starts a deployment and waits until all routers are ready.
func New(ctx context.Context, cfg Config) (*Deployment, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	d := &Deployment{
		cfg: cfg, observer: observer.New(), network: newNetwork(cfg.Profile.ZoneDelay),
		relays: make(map[amaranthtide.ZoneName]*relay), zonesOut: amaranthtide.NewSet[amaranthtide.ZoneName](),
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.platform, err = platform.New(platform.Config{Seed: d.cfg.Seed, VMLag: vmLag}); err != nil {
		return err
	}
	d.client = platformclient.New(platformclient.Config{Addr: d.platform.Addr()})
	p := d.cfg.Profile
	for _, z := range p.Zones {
		if d.relays[z], err = newRelay(d.platform.Addr()); err != nil {
			return err
		}
	}
	for i := range p.Services {
		s, err := application.New(application.Config{})
		if err != nil {
			return fmt.Errorf("service %d: %w", i, err)
		}
		d.services = append(d.services, s)
	}
	for i := range p.Engines {
		if _, err := d.addEngine(p.Zones[i%len(p.Zones)]); err != nil {
			return err
		}
	}
	for i := range p.RoutersPerZone * len(p.Zones) {
		if _, err := d.placeRouter(p.Zones[i%len(p.Zones)]); err != nil {
			return err
		}
	}
	if err := d.edit(ctx, d.initialRows()...); err != nil {
		return fmt.Errorf("initial table: %w", err)
	}
	d.updateVMList()
	for _, r := range d.routers {
		if err := d.startRouter(r); err != nil {
			return err
		}
	}
	for _, e := range d.engines {
		d.observer.PutInService(time.Now(), e.name)
	}
	return d.waitReady(ctx)
}

func (d *Deployment) initialRows() []rowChange {
	p := d.cfg.Profile
	rows := []rowChange{
		{amaranthtide.RowModel, string(Model), amaranthtide.Model{}},
		{amaranthtide.RowRoute, string(Route), amaranthtide.Route{}},
	}
	for _, z := range p.Zones {
		rows = append(rows, rowChange{amaranthtide.RowZone, string(z), amaranthtide.Zone{}})
	}
	for _, w := range p.Workspaces {
		rows = append(rows, rowChange{amaranthtide.RowWorkspace, string(w.Name),
			amaranthtide.Workspace{Weight: max(1, p.Weight[w.Name]), Model: Model}})
	}
	for _, e := range d.engines {
		rows = append(rows, d.engineRow(e))
	}
	for i, s := range d.services {
		rows = append(rows, rowChange{amaranthtide.RowBackendServer, fmt.Sprintf("service-%d", i), amaranthtide.BackendServer{
			Zone: p.Zones[i%len(p.Zones)], Address: s.Addr(), Route: Route, Capacity: serviceCapacity, ColdLimit: serviceCapacity,
		}})
	}
	for _, r := range d.routers {
		rows = append(rows, r.row())
	}
	return rows
}

// serviceCapacity exceeds the number of cashiers of any profile.
const serviceCapacity = 64

// waitReady waits until every router is ready.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	for _, r := range d.routerHosts() {
		for r.router != nil && !isReady(ctx, r.router.ConsoleAddr()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("router %s is not ready after %v", r.vm, readyTimeout)
			case <-t.C:
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, console netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+console.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Observer returns the observer that watches the engines.
func (d *Deployment) Observer() *observer.Observer { return d.observer }

// Platform returns the stand-in for the platform, for example to set its faults.
func (d *Deployment) Platform() *platform.Server { return d.platform }

// Load returns a load by the profile's callers. It is informed of routers that are
// replaced while it runs.
func (d *Deployment) Load(duration time.Duration, seed uint64) *caller.Load {
	cfg := d.LoadConfig()
	cfg.Duration, cfg.Seed = duration, seed
	l := caller.New(cfg)
	d.mu.Lock()
	d.load = l
	d.mu.Unlock()
	return l
}

// LoadConfig returns the configuration of a load without its duration and seed.
func (d *Deployment) LoadConfig() caller.Config {
	p := d.cfg.Profile
	return caller.Config{
		Routers: d.CallerAddresses(), Model: Model, Route: Route, Workspaces: p.Workspaces, Pause: p.Pause,
		Observer: d.observer, Effects: d.Effects,
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			var n net.Dialer
			c, err := n.DialContext(ctx, "tcp", addr.String())
			if err != nil {
				return nil, err
			}
			return delayed(c, p.ClientDelay), nil
		},
	}
}

// Effects returns how often the requests with each idempotency key took effect at the
// plain services.
func (d *Deployment) Effects() map[amaranthtide.IdempotencyKey]int {
	sum := make(map[amaranthtide.IdempotencyKey]int)
	for _, s := range d.services {
		for key, n := range s.Stats().Effects {
			sum[amaranthtide.IdempotencyKey(key)] += n
		}
	}
	return sum
}

// SetZoneOutOfService takes a zone out of service or returns it by a change of the
// table. It returns when the change is accepted.
func (d *Deployment) SetZoneOutOfService(ctx context.Context, zone amaranthtide.ZoneName, out bool) error {
	if !out {
		// The change may be in force before its acceptance is known here.
		d.observeZone(zone, out)
	}
	err := d.edit(ctx, rowChange{amaranthtide.RowZone, string(zone), amaranthtide.Zone{OutOfService: out}})
	if err == nil && out {
		d.observeZone(zone, out)
	}
	return err
}

// observeZone tells the observer that the engines of a zone leave service or return.
func (d *Deployment) observeZone(zone amaranthtide.ZoneName, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if out {
		d.zonesOut.Add(zone)
	} else {
		d.zonesOut.Remove(zone)
	}
	for _, e := range d.engines {
		switch {
		case e.zone != zone || e.down:
		case out:
			d.observer.TakeOutOfService(time.Now(), e.name)
		default:
			d.observer.PutInService(time.Now(), e.name)
		}
	}
}

// Cut cuts a zone off from the other zones and from the platform.
func (d *Deployment) Cut(zone amaranthtide.ZoneName) { d.setCut(zone, true) }

// Heal ends a Cut.
func (d *Deployment) Heal(zone amaranthtide.ZoneName) { d.setCut(zone, false) }

func (d *Deployment) setCut(zone amaranthtide.ZoneName, cut bool) {
	d.network.setCut(zone, cut)
	d.relays[zone].setCut(cut)
}

// Close stops the deployment without a graceful shutdown.
func (d *Deployment) Close() {
	d.mu.Lock()
	routers, engines := d.routers, d.engines
	d.routers, d.engines = nil, nil
	d.mu.Unlock()
	for _, r := range routers {
		if r.router != nil {
			r.router.Kill()
		}
	}
	for _, e := range engines {
		e.server.Close()
	}
	for _, s := range d.services {
		s.Close()
	}
	for _, r := range d.relays {
		if r != nil {
			r.close()
		}
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

func addrOf(l net.Listener) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(l.Addr().String())
	return addr
}

var errUnknownServer = errors.New("no such router or engine in this deployment")
