// Package groups tells the owners of a model's groups each other's loads, so that
// the cap of an engine follows the mean of the model over all reachable zones.
//
// A change is told at once, but not before the gap since the last message has
// passed, and each load is told about twice a second even without a change.
//
// # Usage
//
//	e := groups.New(groups.Options{VM: "vm-1", Incarnation: inc, Mesh: m, Table: t, Ledger: l,
//		Control: c, Owner: o})
//	if err := e.Start(); err != nil {
//		return err
//	}
//	defer e.Close()
package groups

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/protocol/message"
	"amaranthtide/state/load"
	"amaranthtide/state/table"
	"amaranthtide/transport/mesh"
)

// Mesh is the part of transport/mesh that an Exchange uses.
type Mesh interface {
	Publisher() watermill.Publisher
	Subscriber() watermill.Subscriber
}

// Owner tells the loads of the groups that this router owns.
type Owner interface {
	GroupLoads(now time.Time) []amaranthtide.GroupLoad
	// Changed gets a value when a load may have changed.
	Changed() <-chan struct{}
}

// Control tells who owns the other groups.
type Control interface {
	Owner(now time.Time, server amaranthtide.BackendServerName) (amaranthtide.VMName, bool)
	Address(vm amaranthtide.VMName) (netip.AddrPort, bool)
}

// Options are the parts that an Exchange works with. All but Logger are required.
type Options struct {
	VM          amaranthtide.VMName
	Incarnation amaranthtide.Incarnation
	Mesh        Mesh
	Table       *table.Table
	Ledger      *load.Ledger
	Control     Control
	Owner       Owner
	Logger      hclog.Logger
}

const (
	// minSendInterval bounds the messages of a group to 40 a second. Below it, the cap of small
	// loads gains nothing that the transit doesn't take.
	minSendInterval = 25 * time.Millisecond
	// bytesPerSecond paces an owner with many receivers: 32 groups of a model, as at
	// the target size, get a message about every 0.4 s.
	bytesPerSecond    = 5000
	approxMessageSize = 64
	// resendInterval is the time after which a load is told even without a change.
	resendInterval = 500 * time.Millisecond
)

// Exchange is concurrent-safe. Use New.
type Exchange struct {
	opts     Options
	sequence uint64
	lastSent map[amaranthtide.GroupName]sentLoad
	// receivers are the owners of the other groups of a model, looked up once a heartbeat.
	receivers          map[amaranthtide.ModelName][]netip.AddrPort
	receiversUpdatedAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type sentLoad struct {
	servers, inFlight, waiting int
	sentAt                     time.Time
}

// New returns an Exchange that does nothing until Start.
func New(opts Options) *Exchange {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{
		opts:      opts,
		lastSent:  make(map[amaranthtide.GroupName]sentLoad),
		receivers: make(map[amaranthtide.ModelName][]netip.AddrPort),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Start subscribes to the loads of other groups and begins to tell those of its own.
func (e *Exchange) Start() error {
	messages, err := e.opts.Mesh.Subscriber().Subscribe(e.ctx, message.TopicGroupLoad)
	if err != nil {
		return err
	}
	e.wg.Go(func() { e.receive(messages) })
	e.wg.Go(e.sendLoop)
	return nil
}

// Close stops the exchange and waits for its goroutines.
func (e *Exchange) Close() {
	e.cancel()
	e.wg.Wait()
}

func (e *Exchange) receive(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.GroupLoad
		if err := message.Decode(msg.Payload, &m); err != nil {
			e.opts.Logger.Warn("group load dropped", "error", err)
			continue
		}
		e.opts.Ledger.ApplyGroup(time.Now(), m.Root())
	}
}

// sendLoop tells loads when they have changed, and twice a second.
func (e *Exchange) sendLoop() {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.opts.Owner.Changed():
		case <-ticker.C:
		}
		interval := e.sendLoads(time.Now())
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// sendLoads sends the loads that have changed or are due and returns the gap until the
// next messages.
func (e *Exchange) sendLoads(now time.Time) time.Duration {
	loads := e.opts.Owner.GroupLoads(now)
	if now.Sub(e.receiversUpdatedAt) >= resendInterval {
		e.updateReceivers(now, loads)
	}
	interval := e.sendInterval(loads)
	for _, g := range loads {
		current := sentLoad{g.Servers, g.InFlight, g.Waiting, now}
		last := e.lastSent[g.Group]
		changed := last.servers != current.servers || last.inFlight != current.inFlight || last.waiting != current.waiting
		if !changed && now.Sub(last.sentAt) < resendInterval {
			continue
		}
		e.lastSent[g.Group] = current
		e.sequence++
		g.From, g.Incarnation, g.Sequence, g.Gap = e.opts.VM, e.opts.Incarnation, e.sequence, interval
		e.publish(g)
	}
	return interval
}

func (e *Exchange) sendInterval(loads []amaranthtide.GroupLoad) time.Duration {
	receivers := 0
	for _, g := range loads {
		receivers += len(e.receivers[g.Model])
	}
	return max(minSendInterval, time.Duration(receivers)*approxMessageSize*time.Second/bytesPerSecond)
}

// updateReceivers finds the owners of the other groups of the models of loads.
func (e *Exchange) updateReceivers(now time.Time, loads []amaranthtide.GroupLoad) {
	e.receiversUpdatedAt = now
	clear(e.receivers)
	for _, g := range loads {
		if _, done := e.receivers[g.Model]; !done {
			e.receivers[g.Model] = e.ownersOf(now, g.Model)
		}
	}
}

func (e *Exchange) ownersOf(now time.Time, model amaranthtide.ModelName) []netip.AddrPort {
	seenGroups := amaranthtide.NewSet[amaranthtide.GroupName]()
	var addrs []netip.AddrPort
	for _, zone := range e.opts.Table.Zones() {
		rows := e.opts.Table.ServersOfModel(model, amaranthtide.ZoneName(zone.Key.Name))
		for _, row := range rows {
			value, ok := row.Value.(amaranthtide.BackendServer)
			server := amaranthtide.BackendServerName(row.Key.Name)
			group := placement.Group(server, value, len(rows))
			if !ok || seenGroups.Has(group) {
				continue
			}
			seenGroups.Add(group)
			vm, ok := e.opts.Control.Owner(now, server)
			if !ok || vm == e.opts.VM {
				continue
			}
			if addr, ok := e.opts.Control.Address(vm); ok && !slices.Contains(addrs, addr) {
				addrs = append(addrs, addr)
			}
		}
	}
	return addrs
}

func (e *Exchange) publish(g amaranthtide.GroupLoad) {
	receivers := e.receivers[g.Model]
	if len(receivers) == 0 {
		return
	}
	payload, err := message.Append(nil, message.NewGroupLoad(g))
	if err != nil {
		e.opts.Logger.Error("group load can't be encoded", "error", err)
		return
	}
	if err := e.opts.Mesh.Publisher().Publish(message.TopicGroupLoad, mesh.To(payload, receivers)); err != nil {
		e.opts.Logger.Debug("publish group load", "error", err)
	}
}
