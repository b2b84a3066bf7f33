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

// fixture is a driver with a platform and an engine.
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
	b := &fixture{is: is.New(t), table: table.New(), control: &fakeControl{}}
	var err error
	b.platform, err = standin.New(standin.Config{ReservationsPerSecond: 1000})
	b.is.NoErr(err)
	t.Cleanup(b.platform.Close)
	b.engine, err = engine.New(engine.Config{CheckFencing: checksFencing})
	b.is.NoErr(err)
	t.Cleanup(b.engine.Close)
	b.client = platform.New(platform.Config{Addr: b.platform.Addr()})
	t.Cleanup(b.client.Close)
	control := engines.New(engines.Config{})
	t.Cleanup(control.Close)
	b.control.first.Store(true)
	b.options = orders.Options{VM: "vm-1", Zone: "a", Holder: "vm-1/1", Table: b.table, Platform: b.client, Weights: b.client,
		Engines: control, Control: b.control, LongestOrder: 200 * time.Millisecond, LeaseDuration: 5 * time.Second}
	b.table.Load([]amaranthtide.Row{
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}, Revision: 1, Value: amaranthtide.Zone{}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowModel, Name: "m"}, Revision: 1, Value: amaranthtide.Model{}},
	}, 1)
	return b
}

func (b *fixture) declare(version string, checksFencing bool) {
	b.table.Apply([]amaranthtide.Change{{Revision: b.table.Revision() + 1, Key: amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: "e"},
		After: amaranthtide.BackendServer{Zone: "a", Address: b.engine.Addr(), Model: "m", Capacity: 1, ColdLimit: 1, Version: version, ChecksFencing: checksFencing}}})
}

func (b *fixture) run(t *testing.T, o orders.Options) *orders.Driver {
	d := orders.New(o)
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// eventually fails the test if a condition does not come true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never came true: %s", what)
		}
	}
}

func (b *fixture) records() []operation.Order {
	rows, err := b.client.List(context.Background(), orders.ZonePrefix("a"), "", 100)
	b.is.NoErr(err)
	var list []operation.Order
	for _, r := range rows {
		o, err := orders.DecodeRecord(r)
		b.is.NoErr(err)
		list = append(list, o)
	}
	return list
}

func (b *fixture) state() operation.OrdersStatus {
	row, err := b.client.Get(context.Background(), orders.StateKey("a"))
	b.is.NoErr(err)
	stored, ok := row.Get()
	if !ok {
		return operation.OrdersStatus{}
	}
	s, err := orders.DecodeState(stored)
	b.is.NoErr(err)
	return s
}

// Guards against an engine that does not get its declared placement, and against an
// order that the audit trail does not show.
func TestDeclaredPlacementIsOrderedAndRecorded(t *testing.T) {
	b := newFixture(t, true)
	b.run(t, b.options)
	b.declare("1", true)
	eventually(t, "first order", func() bool { return len(b.engine.Orders()) == 1 })
	b.declare("2", true)
	eventually(t, "second order", func() bool { return len(b.engine.Orders()) == 2 })
	b.is.Equal(b.engine.Orders()[1].Order.Version, "2")
	eventually(t, "outcome of both", func() bool {
		list := b.records()
		return len(list) == 2 && list[0].Outcome == "done" && list[1].Outcome == "done"
	})
	got := b.records()[1]
	b.is.Equal([]any{got.Version, got.VM, got.Server, got.Fencing}, []any{"2", amaranthtide.VMName("vm-1"), amaranthtide.BackendServerName("e"), amaranthtide.FencingNumber(1)})
}

// Guards against orders to engines whose rows declare no placement, and against a
// lease that is taken for nothing.
func TestEnginesWithoutPlacementGetNoOrders(t *testing.T) {
	b := newFixture(t, true)
	b.run(t, b.options)
	b.declare("", true)
	time.Sleep(1500 * time.Millisecond) // more than one idle pause
	b.is.Equal(len(b.engine.Orders()), 0)
	b.is.Equal(b.platform.Counts().Writes, 0)
}

// Guards against orders by a router that is not the first contact or lost the lease
// to another one.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	b := newFixture(t, true)
	b.control.first.Store(false)
	b.declare("1", true)
	b.run(t, b.options)
	time.Sleep(1200 * time.Millisecond)
	b.is.Equal(len(b.engine.Orders()), 0)
	other := b.options
	other.VM, other.Holder, other.Control = "vm-2", "vm-2/1", alwaysFirst{}
	b.run(t, other)
	eventually(t, "order of the other router", func() bool { return len(b.engine.Orders()) == 1 })
	b.control.first.Store(true)
	time.Sleep(1500 * time.Millisecond) // within the other's lease
	b.is.Equal(len(b.engine.Orders()), 1)
}

type alwaysFirst struct{}

func (alwaysFirst) IsContact(time.Time) (bool, bool) { return true, true }

// Guards against an order to an engine that ignores fencing when the lease does not
// outlast it, and against silence about the reason.
func TestShortLeaseSendsNoUnfencedOrders(t *testing.T) {
	b := newFixture(t, false)
	b.options.LeaseDuration = 400 * time.Millisecond
	b.options.LongestOrder = time.Minute
	b.declare("1", false)
	b.run(t, b.options)
	eventually(t, "reason in the state", func() bool {
		s := b.state()
		return len(s.Pending) == 1 && strings.Contains(s.Pending[0].Reason, "lease")
	})
	b.is.Equal(len(b.engine.Orders()), 0)
	b.is.Equal(len(b.records()), 0)
}

// refuseRecords refuses to store orders and passes everything else on.
type refuseRecords struct{ orders.TableCaller }

func (u refuseRecords) Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult {
	if strings.HasPrefix(string(call.Key), string(orders.RecordPrefix)) {
		return amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "refused by the test")}
	}
	return u.TableCaller.Do(ctx, call)
}

// Guards against an order that leaves no trace in the audit trail.
func TestUnrecordedOrderIsNotSent(t *testing.T) {
	b := newFixture(t, true)
	b.options.Platform = refuseRecords{b.client}
	b.declare("1", true)
	b.run(t, b.options)
	eventually(t, "failure in the state", func() bool {
		s := b.state()
		return len(s.Pending) == 1 && s.Pending[0].Failed && strings.Contains(s.Pending[0].Reason, "recorded")
	})
	b.is.Equal(len(b.engine.Orders()), 0)
}
