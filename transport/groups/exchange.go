// Package groups exchanges the loads of engine groups between the routers that own
// groups of the same model, so that the cap of an engine follows the mean load of
// the model over all reachable zones.
//
// A changed load is sent immediately, subject to a minimum interval between
// messages. An unchanged load is sent again about twice a second.
//
// # Usage
//
//	e := groups.New(groups.Options{VM: "vm-1", Incarnation: inc, Mesh: m, Table: t,
//		LoadTracker: l, Control: c, Owner: o})
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

// Owner reports the loads of the groups that this router owns.
type Owner interface {
	GroupLoads(now time.Time) []amaranthtide.GroupLoad
	// LoadChanged returns a channel that receives a value when a load may have changed.
	LoadChanged() <-chan struct{}
}

// Control resolves the owners of other groups and their addresses.
type Control interface {
	Owner(now time.Time, server amaranthtide.BackendServerName) (amaranthtide.VMName, bool)
	Address(vm amaranthtide.VMName) (netip.AddrPort, bool)
}

// Options holds the dependencies of an Exchange. All fields but Logger are required.
type Options struct {
	VM          amaranthtide.VMName
	Incarnation amaranthtide.Incarnation
	Mesh        Mesh
	Table       *table.Table
	LoadTracker *load.Tracker
	Control     Control
	Owner       Owner
	Logger      hclog.Logger
}

const (
	// minSendInterval limits each group to 40 messages per second. A shorter interval
	// would not improve the caps at small loads, since the transit time outweighs the gain.
	minSendInterval = 25 * time.Millisecond
	// bytesPerSecond limits the send rate of an owner with many receivers: with 32
	// groups per model, which is the target size, each receiver gets a message about
	// every 0.4 s.
	bytesPerSecond = 5000
	// approxMessageSize is the assumed size of a message in bytes.
	approxMessageSize = 64
	// resendInterval is the time after which an unchanged load is sent again.
	resendInterval = 500 * time.Millisecond
)

// Exchange sends the loads of the groups of this router to the owners of the other
// groups and applies the loads that they send. It is safe for concurrent use. Create
// one with New.
type Exchange struct {
	opts     Options
	sequence uint64
	lastSent map[amaranthtide.GroupName]sentLoad
	// receivers holds the owners of the other groups of each model, updated once per
	// resendInterval.
	receivers          map[amaranthtide.ModelName][]netip.AddrPort
	receiversUpdatedAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// sentLoad is the load of a group as it was last sent.
type sentLoad struct {
	servers, inFlight, waiting int
	sentAt                     time.Time
}

// New returns an Exchange that sends and receives nothing until Start is called.
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

// Start subscribes to the loads of other groups and starts to send those of this router.
func (e *Exchange) Start() error {
	messages, err := e.opts.Mesh.Subscriber().Subscribe(e.ctx, message.TopicGroupLoad)
	if err != nil {
		return err
	}
	e.wg.Go(func() { e.loop(messages) })
	e.wg.Go(e.run)
	return nil
}

// Close stops the exchange and waits for its goroutines.
func (e *Exchange) Close() {
	e.cancel()
	e.wg.Wait()
}

// loop applies the loads that other routers send.
func (e *Exchange) loop(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.GroupLoad
		if err := message.Decode(msg.Payload, &m); err != nil {
			e.opts.Logger.Warn("invalid group load dropped", "error", err)
			continue
		}
		e.opts.LoadTracker.ApplyGroup(time.Now(), m.ToDomain())
	}
}

// run sends loads after each change, but at least every resendInterval.
func (e *Exchange) run() {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.opts.Owner.LoadChanged():
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

// sendLoads sends the loads that have changed or are due and returns how long to wait
// before the next call.
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
		g.From, g.Incarnation, g.Sequence, g.MaxReportDelay = e.opts.VM, e.opts.Incarnation, e.sequence, interval
		e.publish(g)
	}
	return interval
}

// sendInterval returns the interval between messages that keeps the send rate to all
// receivers below bytesPerSecond.
func (e *Exchange) sendInterval(loads []amaranthtide.GroupLoad) time.Duration {
	receivers := 0
	for _, g := range loads {
		receivers += len(e.receivers[g.Model])
	}
	return max(minSendInterval, time.Duration(receivers)*approxMessageSize*time.Second/bytesPerSecond)
}

// updateReceivers looks up the owners of the other groups of each model in loads.
func (e *Exchange) updateReceivers(now time.Time, loads []amaranthtide.GroupLoad) {
	e.receiversUpdatedAt = now
	clear(e.receivers)
	for _, g := range loads {
		if _, done := e.receivers[g.Model]; !done {
			e.receivers[g.Model] = e.ownersOf(now, g.Model)
		}
	}
}

// ownersOf returns the addresses of the other routers that own groups of a model.
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

// publish sends a load to the receivers of its model.
func (e *Exchange) publish(g amaranthtide.GroupLoad) {
	receivers := e.receivers[g.Model]
	if len(receivers) == 0 {
		return
	}
	payload, err := message.Append(nil, message.NewGroupLoad(g))
	if err != nil {
		e.opts.Logger.Error("failed to encode group load", "error", err)
		return
	}
	if err := e.opts.Mesh.Publisher().Publish(message.TopicGroupLoad, mesh.NewMessage(payload, receivers)); err != nil {
		e.opts.Logger.Debug("failed to publish group load", "error", err)
	}
}
