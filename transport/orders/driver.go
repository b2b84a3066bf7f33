// Package orders sends orders to the model engines of a zone. It connects the zone's
// lease (package coordination/lease) and the planner (package coordination/order)
// to the platform and the engines.
//
// Only the first contact of the zone tries to acquire the lease. It orders the
// placement that the rows of the zone's engines declare by version, adapters or
// role. Engines whose rows declare none of these get no orders, and the lease is not
// acquired while no engine declares a placement.
//
// Each order is recorded in the table service under RecordKey before it is sent, and
// updated with its outcome; an order that can't be recorded is not sent. The state of
// the zone's orders is stored under StateKey when it changes, so that every router
// can show it.
//
// # Usage
//
//	d := orders.New(orders.Options{VM: "vm-1", Zone: "a", Holder: "vm-1/17", Table: t,
//		Platform: platform, Weights: platform, Engines: engines, Control: c})
//	d.Start()
//	defer d.Close() // cancels orders in progress
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

// Control reports whether this router is the first contact of its zone.
type Control interface {
	IsContact(now time.Time) (contact, first bool)
}

// Options holds the dependencies and settings of a Driver. All fields except
// LeaseDuration, OrderTimeout and Logger are required.
type Options struct {
	VM   amaranthtide.VMName
	Zone amaranthtide.ZoneName
	// Holder identifies this run of the router process in the lease.
	Holder   string
	Table    *table.Table
	Platform TableCaller
	Weights  amaranthtide.WeightStore
	Engines  amaranthtide.EngineControl
	Control  Control
	// LeaseDuration is how long a lease lasts without renewal; 0 is 2.5 times the
	// longest order timeout, so that orders can start during most of the lease.
	LeaseDuration time.Duration
	// OrderTimeout bounds orders to models that set no timeout; 0 is
	// lease.DefaultLongestOrder.
	OrderTimeout time.Duration
	Logger       hclog.Logger
}

const (
	// idleInterval is how often a router that doesn't need the lease checks whether it
	// does.
	idleInterval = time.Second
	// minStateInterval is the minimum time between two writes of the state.
	minStateInterval = time.Second
	// maxRecordAttempts bounds the attempts to store an order's outcome.
	maxRecordAttempts = 3
)

// Driver acquires the lease of a zone and sends orders to its engines. It is safe for
// concurrent use. Use New.
type Driver struct {
	opts Options

	// mu guards lease and planner. It isn't held during calls to the platform or to
	// engines.
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

// New returns a Driver that is idle until Start.
func New(opts Options) *Driver {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.OrderTimeout <= 0 {
		opts.OrderTimeout = lease.DefaultLongestOrder
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{opts: opts, planner: order.New(order.Config{}), wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	d.lease = d.newLease(opts.OrderTimeout)
	return d
}

// Start starts the goroutines that acquire the lease and send orders.
func (d *Driver) Start() {
	d.wg.Go(d.runLease)
	d.wg.Go(d.run)
}

// Close stops the driver and waits for its goroutines. Orders in progress are
// canceled, but their engines may still carry them out.
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
	return lease.New(lease.Config{Zone: d.opts.Zone, Holder: d.opts.Holder, Duration: duration, LongestOrder: longest, NewToken: amaranthtide.NewWriteToken})
}

// runLease acquires and renews the lease while this router is the first contact of
// its zone and engines declare a placement. Otherwise it lets a held lease expire.
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
		call := current.BeginCall(time.Now(), step)
		d.mu.Unlock()
		result := d.opts.Platform.Do(d.ctx, call)
		d.mu.Lock()
		before := current.Fencing(time.Now())
		step = current.Next(time.Now(), result)
		after := current.Fencing(time.Now())
		d.mu.Unlock()
		if before != after {
			d.opts.Logger.Info("lease state changed", "zone", d.opts.Zone, "held", after != 0, "fencing", after)
			d.notify()
		}
	}
}

func (d *Driver) shouldHoldLease(now time.Time) bool {
	_, first := d.opts.Control.IsContact(now)
	return first && len(d.managedServers()) > 0
}

// managedServers returns the rows of the zone's engines that declare a placement and
// aren't leaving.
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

// run passes the declared placement to the planner and carries out its steps.
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

// updatePlanner passes the declared placement to the planner. If an order may now take
// longer than the lease was created for, it replaces the lease.
func (d *Driver) updatePlanner(known amaranthtide.Set[amaranthtide.BackendServerName]) {
	rows := d.managedServers()
	d.mu.Lock()
	defer d.mu.Unlock()
	present := amaranthtide.NewSet[amaranthtide.BackendServerName]()
	longest := d.opts.OrderTimeout
	for _, row := range rows {
		name := amaranthtide.BackendServerName(row.Key.Name)
		s, _ := row.Value.(amaranthtide.BackendServer)
		model, _ := d.opts.Table.Model(s.Model)
		timeout := time.Duration(model.OrderTimeout)
		if timeout <= 0 {
			timeout = d.opts.OrderTimeout
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

// reserve requests permission from the weight store to load the weights of an order.
func (d *Driver) reserve(o amaranthtide.Order) {
	wait, err := d.opts.Weights.Reserve(d.ctx, o.Model)
	d.mu.Lock()
	d.planner.Reserved(time.Now(), o.Server, wait, err)
	d.mu.Unlock()
	d.notify()
}

// send records an order, sends it and records its outcome. An order that can't be
// recorded is not sent.
func (d *Driver) send(step order.Step) {
	now := time.Now()
	o := step.Order
	record := operation.Order{Time: now, Zone: d.opts.Zone, VM: d.opts.VM, Server: o.Server, Fencing: o.Fencing,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role, Deadline: o.Deadline, Outcome: "sent"}
	key := RecordKey(d.opts.Zone, now, amaranthtide.NewWriteToken())
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
	d.opts.Logger.Warn("failed to record the outcome of an order", "server", o.Server, "outcome", record.Outcome)
}

func (d *Driver) sendOnce(step order.Step) error {
	d.mu.Lock()
	allowed := d.planner.MaySend(time.Now(), d.lease, step.Order)
	d.mu.Unlock()
	if !allowed {
		return amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the lease no longer outlasts the order's deadline")
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
		d.opts.Logger.Debug("failed to store the state of orders", "error", err)
	}
}

func (d *Driver) store(key amaranthtide.StoredKey, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return d.opts.Platform.Do(d.ctx, amaranthtide.TableCall{Key: key, Transaction: amaranthtide.Some(amaranthtide.Transaction{
		Token:  amaranthtide.NewWriteToken(),
		Writes: []amaranthtide.Write{{Key: key, Value: data}},
	})}).Err
}

func (d *Driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// waitForChange waits until the table changes, notify is called or wait has passed.
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
