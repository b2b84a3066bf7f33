// Package control exchanges reports and digests between routers. From them it derives
// which routers are live, which router owns a backend server and the load of each
// backend server.
//
// Every router sends reports to the routers of its zone, most of them as heartbeats
// (see package coordination/heartbeat). The first two live routers of a zone, its
// contacts, also send a digest of the zone to the contacts of the other zones, which
// relay it to the routers of their own zone.
//
// # Usage
//
//	c := control.New(control.Options{VM: "vm-1", Zone: "a", Mesh: m, Table: t, LoadTracker: l,
//		Loads: o.Loads, ...})
//	if err := c.Start(); err != nil {
//		return err
//	}
//	defer c.Close()
//	owner, ok := c.Owner(now, "engine-1")
//
// A Control is safe for concurrent use.
package control

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
	"amaranthtide/coordination/membership"
	"amaranthtide/protocol/message"
	"amaranthtide/state/load"
	"amaranthtide/state/roster"
	"amaranthtide/state/shard"
	"amaranthtide/state/table"
)

// Mesh is the part of transport/mesh that a Control uses.
type Mesh interface {
	Publisher() watermill.Publisher
	Subscriber() watermill.Subscriber
}

// Options holds the settings and dependencies of a Control. All fields but Seeds and
// Logger are required.
type Options struct {
	VM      amaranthtide.VMName
	Zone    amaranthtide.ZoneName
	Address netip.AddrPort
	// Incarnation must be higher than that of any earlier process on this VM.
	Incarnation amaranthtide.Incarnation
	// Seeds are the addresses of routers given in the settings. Reports are sent to
	// them until the first peer is known.
	Seeds []netip.AddrPort
	// BytesPerSecond is the send budget for reports, which sets their interval.
	BytesPerSecond int
	// DigestInterval is the time between digests to other zones.
	DigestInterval time.Duration

	Mesh        Mesh
	Table       *table.Table
	LoadTracker *load.Tracker
	// Loads returns the loads of the backend servers that this router runs requests on.
	Loads func(now time.Time) []amaranthtide.ServerLoad
	// OnNewerRevision is called when a peer reports a newer revision of the table.
	OnNewerRevision func(peer netip.AddrPort, revision amaranthtide.Revision)
	Logger          hclog.Logger
}

// receivedLoad is the last known load of a backend server and the router that reported
// it.
type receivedLoad struct {
	load     amaranthtide.ServerLoad
	sender   amaranthtide.VMName
	received time.Time
}

// Control keeps the membership view and the known loads up to date. Create one with New.
type Control struct {
	opts   Options
	roster *roster.Roster
	loads  *shard.Map[amaranthtide.BackendServerName, receivedLoad]
	bases  *shard.Map[amaranthtide.VMName, heartbeat.Base]

	// mu guards the fields of this block. Every routing decision locks it for about a
	// microsecond to query view.
	mu        sync.Mutex
	view      *membership.View
	leaving   bool
	listedVMs map[amaranthtide.VMName]amaranthtide.ListedVM
	sequence  uint64
	sender    heartbeat.ReportPlanner
	// fullReportSize and heartbeatSize are the frame sizes of the last full report and
	// the last heartbeat.
	fullReportSize int
	heartbeatSize  int
	// lastRelayed holds, by zone, when the other contact last relayed a digest to this
	// router.
	lastRelayed map[amaranthtide.ZoneName]time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// maxTransitTime bounds the age of a report on arrival. A report waits in a send queue
// only while the few frames before it are written.
const maxTransitTime = 50 * time.Millisecond

// initialReportSize is the assumed size of a report until one has been encoded.
const initialReportSize = 200

// maxReportInterval limits the interval that follows from BytesPerSecond. A dead
// router is detected after five intervals, which must take less than 4 s in zones of
// any size, and loads older than 2 s are excluded from the mean.
const maxReportInterval = 700 * time.Millisecond

// New returns a Control that sends and receives nothing until Start is called.
func New(opts Options) *Control {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Control{
		opts:           opts,
		roster:         roster.New(),
		loads:          shard.New[amaranthtide.BackendServerName, receivedLoad](),
		bases:          shard.New[amaranthtide.VMName, heartbeat.Base](),
		view:           membership.New(time.Now(), membership.Config{Self: opts.VM, Zone: opts.Zone}, membership.Interval(1, initialReportSize, opts.BytesPerSecond)),
		fullReportSize: initialReportSize,
		heartbeatSize:  initialReportSize,
		lastRelayed:    make(map[amaranthtide.ZoneName]time.Time),
		ctx:            ctx,
		cancel:         cancel,
	}
}

// Start subscribes to reports and digests and starts to send them.
func (c *Control) Start() error {
	sub := c.opts.Mesh.Subscriber()
	reports, err := sub.Subscribe(c.ctx, message.TopicReport)
	if err != nil {
		return err
	}
	heartbeats, err := sub.Subscribe(c.ctx, message.TopicHeartbeat)
	if err != nil {
		return err
	}
	requests, err := sub.Subscribe(c.ctx, message.TopicReportRequest)
	if err != nil {
		return err
	}
	digests, err := sub.Subscribe(c.ctx, message.TopicDigest)
	if err != nil {
		return err
	}
	c.wg.Go(func() { c.loopReports(reports) })
	c.wg.Go(func() { c.loopHeartbeats(heartbeats) })
	c.wg.Go(func() { c.loopReportRequests(requests) })
	c.wg.Go(func() { c.loopDigests(digests) })
	c.wg.Go(c.run)
	return nil
}

// Close stops sending and receiving and waits for all goroutines.
func (c *Control) Close() {
	c.cancel()
	c.wg.Wait()
}

// run sends reports and digests until Close.
func (c *Control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastDigest time.Time
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		timer.Reset(c.sendReport(now))
		if now.Sub(lastDigest) >= c.opts.DigestInterval {
			c.sendDigest(now)
			lastDigest = now
		}
		c.expirePeers(now.Add(-peerStateTTL))
	}
}

// peerStateTTL is the time after which the state of a router that stopped reporting
// is deleted. It exceeds every time for which a report is used.
const peerStateTTL = time.Minute

// Leave announces to the other routers that this one is shutting down and no longer
// owns any backend server.
func (c *Control) Leave(now time.Time) {
	c.mu.Lock()
	c.view.Leave(now)
	c.leaving = true
	c.mu.Unlock()
	c.sendReport(now)
}

// SetListedVMs replaces the platform's list of VMs. For a VM that is a backend server, only
// the field Leaving is used.
func (c *Control) SetListedVMs(now time.Time, vms []amaranthtide.ListedVM) {
	listed := make(map[amaranthtide.VMName]amaranthtide.ListedVM, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = vm
	}
	declared := c.declaredRouters()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedVMs = listed
	c.view.SetListedVMs(now, mergeDeclared(c.listedRouters(), declared))
}

// listedRouters returns the entries of the platform's list that are not backend
// servers. The caller must hold mu.
func (c *Control) listedRouters() []amaranthtide.ListedVM {
	var routers []amaranthtide.ListedVM
	for _, vm := range c.listedVMs {
		if _, isServer := c.opts.Table.BackendServer(amaranthtide.BackendServerName(vm.Name)); !isServer {
			routers = append(routers, vm)
		}
	}
	return routers
}

// declaredRouters returns the routers that have a row in the table.
func (c *Control) declaredRouters() []amaranthtide.ListedVM {
	var vms []amaranthtide.ListedVM
	for _, row := range c.opts.Table.Rows(amaranthtide.RowVM) {
		if vm, ok := row.Value.(amaranthtide.VM); ok {
			vms = append(vms, amaranthtide.ListedVM{Name: amaranthtide.VMName(row.Key.Name), Zone: vm.Zone, Address: vm.Address})
		}
	}
	return vms
}

// mergeDeclared adds the declared routers that are not in the platform's list. That list
// lags behind and may be unavailable; a report to a router that no longer exists only
// costs a failed dial.
func mergeDeclared(listed, declared []amaranthtide.ListedVM) []amaranthtide.ListedVM {
	listedNames := amaranthtide.NewSet[amaranthtide.VMName]()
	for _, vm := range listed {
		listedNames.Add(vm.Name)
	}
	all := slices.Clone(listed)
	for _, vm := range declared {
		if !listedNames.Has(vm.Name) {
			all = append(all, vm)
		}
	}
	return all
}

// TableChanged updates the declared routers and the VMs and zones that are out of
// service. It must be called after each change of the table.
func (c *Control) TableChanged(now time.Time) {
	revision := c.opts.Table.Revision()
	outOfService := amaranthtide.NewSet[amaranthtide.VMName]()
	for _, row := range c.opts.Table.Rows(amaranthtide.RowVM) {
		vm, ok := row.Value.(amaranthtide.VM)
		if !ok {
			continue
		}
		if vm.OutOfService {
			outOfService.Add(amaranthtide.VMName(row.Key.Name))
		}
	}
	zone, _ := c.opts.Table.Zone(c.opts.Zone)
	declared := c.declaredRouters()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetListedVMs(now, mergeDeclared(c.listedRouters(), declared))
	c.view.SetOutOfService(now, revision, outOfService, zone.OutOfService)
}
