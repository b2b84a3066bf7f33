// Package orders gives orders to the model engines of a zone: it runs the lease of
// the zone and the planner of package coordination/order against the platform and
// the engines.
//
// The first contact of the zone takes part in the lease. It orders the placement
// that the rows of the zone's engines declare by version, adapters or role; engines
// whose rows declare none of these are left alone. While no engine declares a
// placement, the lease is not taken.
//
// Each order is recorded in the table service under RecordKey before it is sent, and
// again with its outcome; an order that can't be recorded is not sent. The state of
// the zone's orders is stored under StateKey when it changes, so that every router
// can show it.
//
// # Usage
//
//	d := orders.New(orders.Options{VM: "vm-1", Zone: "a", Holder: "vm-1/17", Table: t,
//		Platform: platform, Weights: platform, Engines: engines, Control: c})
//	d.Start()
//	defer d.Close() // waits for orders under way to be given up
package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/lease"
	"amaranthtide/coordination/order"
	"amaranthtide/protocol/operation"
	"amaranthtide/state/table"
)

// TableCaller makes calls to the table service.
type TableCaller interface {
	Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult
}

// Control tells whether this router is the first contact of its zone.
type Control interface {
	IsContact(now time.Time) (contact, first bool)
}

// Options are the parts that a Driver works with. All but LeaseDuration,
// LongestOrder and Logger are required.
type Options struct {
	VM   amaranthtide.VMName
	Zone amaranthtide.ZoneName
	// Holder names this run of the router in the lease.
	Holder   string
	Table    *table.Table
	Platform TableCaller
	Weights  amaranthtide.WeightStore
	Engines  amaranthtide.EngineControl
	Control  Control
	// LeaseDuration is how long a lease lasts without renewal; 0 is 2.5 times the
	// longest order, so that most of the lease is usable for orders.
	LeaseDuration time.Duration
	// LongestOrder is the longest time of an order to a model that sets no own bound;
	// 0 is lease.DefaultLongestOrder.
	LongestOrder time.Duration
	Logger       hclog.Logger
}

const (
	// idleInterval is the time between looks while this router has nothing to do with
	// the lease.
	idleInterval = time.Second
	// minStateInterval is the least time between two writes of the state.
	minStateInterval = time.Second
	// maxRecordAttempts bounds the writes of an order's outcome.
	maxRecordAttempts = 3
)

// Driver is concurrent-safe. Use New.
type Driver struct {
	opts Options

	// mu guards the decisions. Calls to the platform and to engines are made without it.
	mu           sync.Mutex
	lease        *lease.Lease
	planner      *order.Planner
	longestOrder time.Duration
	state        operation.OrdersStatus

	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Driver that does nothing until Start.
func New(opts Options) *Driver {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.LongestOrder <= 0 {
		opts.LongestOrder = lease.DefaultLongestOrder
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{opts: opts, planner: order.New(order.Config{}), wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	d.lease = d.newLease(opts.LongestOrder)
	return d
}

// Start begins to take part in the lease and to give orders.
func (d *Driver) Start() {
	d.wg.Go(d.runLease)
	d.wg.Go(d.run)
}

// Close stops the driver and waits for its goroutines. An order under way is no
// longer waited for; the engine may still carry it out.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
}

func (d *Driver) newLease(longest time.Duration) *lease.Lease {
	d.longestOrder = longest
	duration := d.opts.LeaseDuration
	if duration <= 0 {
		duration = longest/2 + 2*longest
	}
	return lease.New(lease.Config{Zone: d.opts.Zone, Holder: d.opts.Holder, Duration: duration, LongestOrder: longest, NewToken: amaranthtide.NewToken})
}

// runLease takes part in the lease while this router is the first contact of its
// zone and engines declare a placement. Elsewhere a held lease runs out.
func (d *Driver) runLease() {
	var step lease.Step
	var current *lease.Lease
	for d.ctx.Err() == nil {
		if !d.shouldHoldLease(time.Now()) {
			d.sleep(idleInterval)
			continue
		}
		d.mu.Lock()
		if d.lease != current {
			current = d.lease
			step = current.Start(time.Now())
		}
		d.mu.Unlock()
		d.sleep(step.Wait)
		if !d.shouldHoldLease(time.Now()) || d.ctx.Err() != nil {
			continue
		}
		d.mu.Lock()
		call := current.Issue(time.Now(), step)
		d.mu.Unlock()
		result := d.opts.Platform.Do(d.ctx, call)
		d.mu.Lock()
		before := current.Fencing(time.Now())
		step = current.Next(time.Now(), result)
		after := current.Fencing(time.Now())
		d.mu.Unlock()
		if before != after {
			d.opts.Logger.Info("lease of the zone", "zone", d.opts.Zone, "held", after != 0, "fencing", after)
			d.notify()
		}
	}
}

func (d *Driver) shouldHoldLease(now time.Time) bool {
	_, first := d.opts.Control.IsContact(now)
	return first && len(d.managedServers()) > 0
}

// managedServers returns the rows of the zone's engines that declare a placement.
func (d *Driver) managedServers() []amaranthtide.Row {
	var rows []amaranthtide.Row
	for _, row := range d.opts.Table.Rows(amaranthtide.RowBackendServer) {
		s, ok := row.Value.(amaranthtide.BackendServer)
		declares := s.Version != "" || s.Role != "" || len(s.Adapters) > 0
		if ok && s.Zone == d.opts.Zone && s.Model != "" && declares && !s.Leaving {
			rows = append(rows, row)
		}
	}
	return rows
}

// run declares the placement and does what the planner says.
func (d *Driver) run() {
	known := amaranthtide.NewSet[amaranthtide.BackendServerName]()
	var lastStored time.Time
	for d.ctx.Err() == nil {
		changed := d.opts.Table.Changed()
		if _, first := d.opts.Control.IsContact(time.Now()); !first {
			d.waitForChange(changed, idleInterval)
			continue
		}
		d.updatePlanner(known)
		d.mu.Lock()
		now := time.Now()
		step := d.planner.Next(now, d.lease)
		d.mu.Unlock()
		switch step.Do {
		case order.Reserve:
			d.wg.Go(func() { d.reserve(step.Order) })
		case order.Send:
			d.wg.Go(func() { d.send(step) })
		default:
			if now.Sub(lastStored) >= minStateInterval {
				lastStored = now
				d.storeState(now)
			}
			d.waitForChange(changed, max(time.Millisecond, step.Until.Sub(now)))
		}
	}
}

// updatePlanner passes the rows on to the planner and begins a new lease if an order may
// take longer than the present one says.
func (d *Driver) updatePlanner(known amaranthtide.Set[amaranthtide.BackendServerName]) {
	rows := d.managedServers()
	d.mu.Lock()
	defer d.mu.Unlock()
	present := amaranthtide.NewSet[amaranthtide.BackendServerName]()
	longest := d.opts.LongestOrder
	for _, row := range rows {
		name := amaranthtide.BackendServerName(row.Key.Name)
		s, _ := row.Value.(amaranthtide.BackendServer)
		model, _ := d.opts.Table.Model(s.Model)
		timeout := time.Duration(model.OrderTimeout)
		if timeout <= 0 {
			timeout = d.opts.LongestOrder
		}
		longest = max(longest, timeout)
		d.planner.Declare(name, s, timeout)
		present.Add(name)
		known.Add(name)
	}
	for name := range known {
		if !present.Has(name) {
			d.planner.Remove(name)
			known.Remove(name)
		}
	}
	if longest > d.longestOrder {
		d.lease = d.newLease(longest)
	}
}

// reserve asks the weight store for leave to load the weights of an order.
func (d *Driver) reserve(o amaranthtide.Order) {
	wait, err := d.opts.Weights.Reserve(d.ctx, o.Model)
	d.mu.Lock()
	d.planner.Reserved(time.Now(), o.Server, wait, err)
	d.mu.Unlock()
	d.notify()
}

// send records an order, sends it and records its outcome.
func (d *Driver) send(step order.Step) {
	now := time.Now()
	o := step.Order
	record := operation.Order{Time: now, Zone: d.opts.Zone, VM: d.opts.VM, Server: o.Server, Fencing: o.Fencing,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role, Deadline: o.Deadline, Outcome: "sent"}
	key := RecordKey(d.opts.Zone, now, amaranthtide.NewToken())
	err := d.store(key, record)
	if err != nil {
		err = amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the order can't be recorded: %w", err)
	} else {
		err = d.sendOnce(step)
	}
	d.mu.Lock()
	d.planner.Ordered(time.Now(), o.Server, err)
	d.mu.Unlock()
	d.notify()
	record.Outcome = "done"
	if err != nil {
		record.Outcome = "failed: " + err.Error()
		d.opts.Logger.Warn("order failed", "server", o.Server, "fencing", o.Fencing, "error", err)
	} else {
		d.opts.Logger.Info("order done", "server", o.Server, "fencing", o.Fencing, "model", o.Model, "version", o.Version)
	}
	for attempt := range maxRecordAttempts {
		if d.store(key, record) == nil {
			return
		}
		d.sleep(idleInterval << attempt)
	}
	d.opts.Logger.Warn("outcome of an order not recorded", "server", o.Server, "outcome", record.Outcome)
}

func (d *Driver) sendOnce(step order.Step) error {
	d.mu.Lock()
	allowed := d.planner.MaySend(time.Now(), d.lease, step.Order)
	d.mu.Unlock()
	if !allowed {
		return amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the lease does not outlast the order any more")
	}
	ctx, cancel := context.WithDeadline(d.ctx, step.Order.Deadline)
	defer cancel()
	return d.opts.Engines.Order(ctx, step.Address, step.Order)
}

// storeState stores the state of the zone's orders if it has changed and this router
// holds the lease.
func (d *Driver) storeState(now time.Time) {
	d.mu.Lock()
	fencing := d.lease.Fencing(now)
	pending := d.planner.Pending()
	d.mu.Unlock()
	if fencing == 0 {
		return
	}
	state := operation.OrdersStatus{Zone: d.opts.Zone, VM: d.opts.VM, Fencing: fencing}
	for _, p := range pending {
		state.Pending = append(state.Pending, operation.PendingOrder{Server: p.Server, Reason: p.Reason, Since: p.Since.Round(0), Failed: isFailure(p.Reason)})
	}
	if sameState(state, d.state) {
		return
	}
	d.state = state
	state.Time = now
	if err := d.store(StateKey(d.opts.Zone), state); err != nil {
		d.state = operation.OrdersStatus{}
		d.opts.Logger.Debug("state of orders not stored", "error", err)
	}
}

func (d *Driver) store(key amaranthtide.StoredKey, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return d.opts.Platform.Do(d.ctx, amaranthtide.TableCall{Key: key, Transaction: amaranthtide.Some(amaranthtide.Transaction{
		Token:  amaranthtide.NewToken(),
		Writes: []amaranthtide.Write{{Key: key, Value: data}},
	})}).Err
}

func (d *Driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// waitForChange waits for a change of the table, an outcome or the end of a time.
func (d *Driver) waitForChange(changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-d.wake:
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

func (d *Driver) sleep(wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}
