package orders_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/operation"
	"amaranthtide/standin/engine"
	standin "amaranthtide/standin/platform"
	"amaranthtide/state/table"
	engines "amaranthtide/transport/engine"
	"amaranthtide/transport/orders"
	"amaranthtide/transport/platform"
)

type fakeControl struct{ first atomic.Bool }

func (c *fakeControl) IsContact(time.Time) (bool, bool) { return c.first.Load(), c.first.Load() }

// fixture holds the stand-ins and options that a driver under test runs with.
type fixture struct {
	is       *is.I
	platform *standin.Server
	client   *platform.Client
	engine   *engine.Server
	table    *table.Table
	control  *fakeControl
	options  orders.Options
}

func newFixture(t *testing.T, checksFencing bool) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t), table: table.New(), control: &fakeControl{}}
	var err error
	f.platform, err = standin.New(standin.Config{ReservationsPerSecond: 1000})
	f.is.NoErr(err)
	t.Cleanup(f.platform.Close)
	f.engine, err = engine.New(engine.Config{CheckFencing: checksFencing})
	f.is.NoErr(err)
	t.Cleanup(f.engine.Close)
	f.client = platform.New(platform.Config{Addr: f.platform.Addr()})
	t.Cleanup(f.client.Close)
	engineClient := engines.New(engines.Config{})
	t.Cleanup(engineClient.Close)
	f.control.first.Store(true)
	f.options = orders.Options{VM: "vm-1", Zone: "a", Holder: "vm-1/1", Table: f.table, Platform: f.client, Weights: f.client,
		Engines: engineClient, Control: f.control, OrderTimeout: 200 * time.Millisecond, LeaseDuration: 5 * time.Second}
	f.table.Load([]amaranthtide.Row{
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}, Revision: 1, Value: amaranthtide.Zone{}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowModel, Name: "m"}, Revision: 1, Value: amaranthtide.Model{}},
	}, 1)
	return f
}

func (f *fixture) declare(version string, checksFencing bool) {
	f.table.Apply([]amaranthtide.Change{{Revision: f.table.Revision() + 1, Key: amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: "e"},
		After: amaranthtide.BackendServer{Zone: "a", Address: f.engine.Addr(), Model: "m", Capacity: 1, ColdLimit: 1, Version: version, ChecksFencing: checksFencing}}})
}

func (f *fixture) run(t *testing.T, o orders.Options) *orders.Driver {
	d := orders.New(o)
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// eventually fails the test if a condition is not met within 10 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

func (f *fixture) records() []operation.Order {
	rows, err := f.client.List(context.Background(), orders.ZonePrefix("a"), "", 100)
	f.is.NoErr(err)
	var list []operation.Order
	for _, r := range rows {
		o, err := orders.DecodeRecord(r)
		f.is.NoErr(err)
		list = append(list, o)
	}
	return list
}

func (f *fixture) state() operation.OrdersStatus {
	row, err := f.client.Get(context.Background(), orders.StateKey("a"))
	f.is.NoErr(err)
	stored, ok := row.Get()
	if !ok {
		return operation.OrdersStatus{}
	}
	s, err := orders.DecodeState(stored)
	f.is.NoErr(err)
	return s
}

// Guards against an engine that never gets its declared placement, and against orders
// that are missing from the audit trail.
func TestDeclaredPlacementIsOrderedAndRecorded(t *testing.T) {
	f := newFixture(t, true)
	f.run(t, f.options)
	f.declare("1", true)
	eventually(t, "first order", func() bool { return len(f.engine.Orders()) == 1 })
	f.declare("2", true)
	eventually(t, "second order", func() bool { return len(f.engine.Orders()) == 2 })
	f.is.Equal(f.engine.Orders()[1].Order.Version, "2")
	eventually(t, "outcome of both", func() bool {
		list := f.records()
		return len(list) == 2 && list[0].Outcome == "done" && list[1].Outcome == "done"
	})
	got := f.records()[1]
	f.is.Equal([]any{got.Version, got.VM, got.Server, got.Fencing}, []any{"2", amaranthtide.VMName("vm-1"), amaranthtide.BackendServerName("e"), amaranthtide.FencingNumber(1)})
}

// Guards against orders to engines whose rows declare no placement, and against
// acquiring a lease that no engine needs.
func TestEnginesWithoutPlacementGetNoOrders(t *testing.T) {
	f := newFixture(t, true)
	f.run(t, f.options)
	f.declare("", true)
	time.Sleep(1500 * time.Millisecond) // longer than the driver's idleInterval
	f.is.Equal(len(f.engine.Orders()), 0)
	f.is.Equal(f.platform.Counts().Writes, 0)
}

// Guards against orders from a router that is not the first contact, or that becomes
// first contact while another router holds the lease.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	f := newFixture(t, true)
	f.control.first.Store(false)
	f.declare("1", true)
	f.run(t, f.options)
	time.Sleep(1200 * time.Millisecond)
	f.is.Equal(len(f.engine.Orders()), 0)
	other := f.options
	other.VM, other.Holder, other.Control = "vm-2", "vm-2/1", alwaysFirst{}
	f.run(t, other)
	eventually(t, "order of the other router", func() bool { return len(f.engine.Orders()) == 1 })
	f.control.first.Store(true)
	time.Sleep(1500 * time.Millisecond) // within the other's lease
	f.is.Equal(len(f.engine.Orders()), 1)
}

type alwaysFirst struct{}

func (alwaysFirst) IsContact(time.Time) (bool, bool) { return true, true }

// Guards against an order that may outlast the lease to an engine that ignores
// fencing numbers, and against a stored state that doesn't say why the order waits.
func TestShortLeaseSendsNoUnfencedOrders(t *testing.T) {
	f := newFixture(t, false)
	f.options.LeaseDuration = 400 * time.Millisecond
	f.options.OrderTimeout = time.Minute
	f.declare("1", false)
	f.run(t, f.options)
	eventually(t, "reason in the state", func() bool {
		s := f.state()
		return len(s.Pending) == 1 && strings.Contains(s.Pending[0].Reason, "lease")
	})
	f.is.Equal(len(f.engine.Orders()), 0)
	f.is.Equal(len(f.records()), 0)
}

// refuseRecords is a TableCaller that fails to store orders and forwards all other
// calls.
type refuseRecords struct{ orders.TableCaller }

func (r refuseRecords) Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult {
	if strings.HasPrefix(string(call.Key), string(orders.RecordPrefix)) {
		return amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "refused by the test")}
	}
	return r.TableCaller.Do(ctx, call)
}

// Guards against sending an order that the audit trail doesn't contain.
func TestUnrecordedOrderIsNotSent(t *testing.T) {
	f := newFixture(t, true)
	f.options.Platform = refuseRecords{f.client}
	f.declare("1", true)
	f.run(t, f.options)
	eventually(t, "failure in the state", func() bool {
		s := f.state()
		return len(s.Pending) == 1 && s.Pending[0].Failed && strings.Contains(s.Pending[0].Reason, "recorded")
	})
	f.is.Equal(len(f.engine.Orders()), 0)
}
