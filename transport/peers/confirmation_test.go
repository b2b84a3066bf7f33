package peers_test

import (
	"testing"
	"testing/synctest"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/message"
)

// awaitOperatorRow waits until all routers have the operators' row of a version.
func awaitOperatorRow(t *testing.T, zones map[string][]*node, version amaranthtide.StoreVersion, within time.Duration) {
	t.Helper()
	start := time.Now()
	for _, nodes := range zones {
		for _, n := range nodes {
			for n.rows.MaxRowVersion(operatorTable).Before(version) && time.Since(start) <= within {
				time.Sleep(10 * time.Millisecond)
			}
			if got := n.rows.MaxRowVersion(operatorTable); got.Before(version) {
				t.Errorf("%s: got: version %v after %v, want: %v", n.entry.VM, got, within, version)
			}
		}
	}
}

// firstReader returns the router that reads for the fleet.
func firstReader(t *testing.T, zones map[string][]*node) *node {
	t.Helper()
	for _, nodes := range zones {
		for _, n := range nodes {
			if now := time.Now(); n.Position(now).IsFirst() && n.follow.Reading(now) {
				return n
			}
		}
	}
	t.Fatal("got: no reader, want: one")
	return nil
}

// Guards against a fleet that goes by an old configuration although all routers but one could read the
// newest one: the calls of the reader fail for the operators' table only.
func TestReaderWithoutOperatorTableIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "abc", 6)
		defer closeAll(zones)
		time.Sleep(40 * time.Second) // the calls have ended that all routers make as they start
		reader := firstReader(t, zones)
		for range 3 {
			f.setRefused(reader.entry.VM, true)
			time.Sleep(100 * time.Millisecond)
			awaitOperatorRow(t, zones, f.changeOperatorRow(), bound)
			time.Sleep(5 * time.Second)
			before := f.calls(serversTable, operatorTable, registryTable)
			time.Sleep(10 * time.Second)
			// Two routers poll the list each 0.7 s; one of them repeats its calls for the other table.
			if calls := f.calls(serversTable, operatorTable, registryTable) - before; calls > 2*15+10+8 {
				t.Errorf("got: %d calls in 10 s, want: at most those of two readers", calls)
			}
			f.setRefused(reader.entry.VM, false)
			time.Sleep(5 * time.Second)
			if !reader.follow.Reading(time.Now()) {
				t.Errorf("%s: got: doesn't read once its calls succeed, want: reads", reader.entry.VM)
			}
		}
	})
}

// Guards against a fleet in which every router relays the list for as long as no router can read another
// table, or calls the feed more often than while all of it is down.
func TestTableThatNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "ab", 20)
		defer closeAll(zones)
		time.Sleep(40 * time.Second)
		for _, nodes := range zones {
			for _, n := range nodes {
				f.setRefused(n.entry.VM, true)
			}
		}
		time.Sleep(5 * time.Second)
		calls, messages := f.calls(operatorTable), f.count(&f.messages)
		time.Sleep(10 * time.Second)
		if got := f.calls(operatorTable) - calls; got > 2*(2*10+5*10) {
			t.Errorf("got: %d calls for the table in 10 s, want: at most %d", got, 2*(2*10+5*10))
		}
		// Two readers of each zone relay to 40 routers with each poll, and each router asks another one
		// twice a second for three tables and reports its load.
		if got := f.count(&f.messages) - messages; got > 4*15*40+40*20*6 {
			t.Errorf("got: %d messages in 10 s, want: at most %d", got, 4*15*40+40*20*6)
		}
		for _, nodes := range zones {
			for _, n := range nodes {
				f.setRefused(n.entry.VM, false)
			}
		}
		awaitOperatorRow(t, zones, f.changeOperatorRow(), 2*bound)
	})
}

// Guards against a router that takes the view of a reader for its own while the rows that the view is of
// never reach it.
func TestViewOfLostRowsDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "abc", 6)
		defer closeAll(zones)
		time.Sleep(40 * time.Second)
		last := zones["c"][5].entry.VM
		f.mu.Lock()
		f.lose = func(to amaranthtide.VMName, topic string, payload []byte) bool {
			var rows message.Rows
			return to == last && topic == message.TopicRows && message.Decode(payload, &rows) == nil && rows.Table == string(operatorTable)
		}
		f.mu.Unlock()
		awaitOperatorRow(t, zones, f.changeOperatorRow(), 2*bound) // the bound begins anew once the rows are known to be lost
	})
}
