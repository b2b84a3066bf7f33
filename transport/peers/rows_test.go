package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/reading"
)

// Guards against calls to the feed that grow with the number of routers or zones, and
// against routers whose view ages although one router reads the feed.
func TestOneReaderServesTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "abc", 12)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		before := f.calls(serversTable, operatorTable, registryTable)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			checkViews(t, "steady state", zones, reading.NewSchedule(bound).Poll+200*time.Millisecond)
		}
		// One reader polls the list each 0.7 s and waits 30 s for changes of the others.
		if calls := f.calls(serversTable, operatorTable, registryTable) - before; calls > 18 {
			t.Errorf("got: %d calls in 10 s, want: at most 18", calls)
		}
	})
}

// checkViews checks the age of the view of all routers but the given ones.
func checkViews(t *testing.T, when string, zones map[string][]*node, most time.Duration, except ...*node) {
	t.Helper()
	for _, nodes := range zones {
		for _, n := range nodes {
			if view, known := n.follow.View(time.Now()).Get(); !slices.Contains(except, n) && (!known || view.Age > most) {
				t.Errorf("%s: %s: got: a view of %v (known: %v), want: at most %v", when, n.entry.VM, view.Age, known, most)
			}
		}
	}
}

// Guards against routers that lag beyond the bound of a change because the reader, or the
// reader and its standby, are gone without a word: each of them is disconnected from the
// other routers while it still reads the feed.
func TestReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "abc", 6)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		var gone []*node
		for _, router := range []int{0, 1} {
			for _, n := range zones["a"] {
				if n.Position(time.Now()).Router != router || slices.Contains(gone, n) {
					continue
				}
				gone = append(gone, n)
				f.setDisconnected(n.entry.VM, true)
				break
			}
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				checkViews(t, fmt.Sprintf("%d readers disconnected", len(gone)), zones, bound, gone...)
			}
		}
		if len(gone) != 2 {
			t.Errorf("got: %d readers, want: 2", len(gone))
		}
	})
}

// Guards against calls that grow with the size of the fleet while the feed is down, and
// against routers that all call it at the moment when it recovers.
func TestCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "ab", 40)
		defer closeAll(zones)
		time.Sleep(8 * time.Second)
		f.setFeedDown(true)
		time.Sleep(4 * time.Second)
		before := f.calls(serversTable, operatorTable, registryTable)
		time.Sleep(10 * time.Second)
		// Two readers of each zone call once in 1.2 s, and its other routers together four
		// times in a second.
		if calls := f.calls(serversTable, operatorTable, registryTable) - before; calls > 2*(2*10+5*10) {
			t.Errorf("got: %d calls in 10 s, want: at most %d", calls, 2*(2*10+5*10))
		}
		f.setFeedDown(false)
		time.Sleep(2 * time.Second)
		checkViews(t, "feed returned", zones, bound)
	})
}

// Guards against a restart of all routers in which each router sends the whole list of
// servers to every other one: a zone of 33 routers with 1,000 servers then took 10 s until
// it served requests again.
func TestWholeTablesAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "a", 8)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		page := amaranthtide.FeedPage{Whole: true, Version: ver(900)}
		for i := range 1000 {
			page.Rows = append(page.Rows, amaranthtide.FeedRow{Table: serversTable, Key: fmt.Sprint("e", i), Version: ver(900), Value: make([]byte, 100)})
		}
		changed := amaranthtide.FeedPage{Version: ver(901), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e0", Version: ver(901), Value: make([]byte, 100)}}}
		for _, n := range zones["a"] {
			// The messages are counted but not delivered: answers to the requests that follow would
			// count too, if they came in time.
			sent := func(relay func()) int {
				f.setDisconnected(n.entry.VM, true)
				defer f.setDisconnected(n.entry.VM, false)
				synctest.Wait()
				f.mu.Lock()
				before := f.bytes[n.entry.VM]
				f.mu.Unlock()
				relay()
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.bytes[n.entry.VM] - before
			}
			n.rows.Apply(serversTable, page)
			if got := sent(func() { n.Relay(serversTable, amaranthtide.None[amaranthtide.StoreVersion]()) }); got > 1000 {
				t.Errorf("%s: got: %d bytes for a whole table, want: a notice to 7 routers", n.entry.VM, got)
			}
			n.rows.Apply(serversTable, changed)
			if got := sent(func() { n.Relay(serversTable, amaranthtide.Some(page.Version)) }); got < 7*100 || got > 7*1000 {
				t.Errorf("%s: got: %d bytes for a change, want: the change to 7 routers", n.entry.VM, got)
			}
		}
	})
}

// Guards against a hub or a reader on a VM with a slow link while its zone has faster ones:
// a document sent to 48 routers over 10 Mbit/s delayed later changes by up to 3.5 s.
func TestDutiesFallToFastLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.linkMegabits = func(i int) int {
			if i == 4 || i == 9 {
				return 200
			}
			return 10
		}
		zones := startZones(t, f, "ab", 12)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		for _, nodes := range zones {
			readers := 0
			for _, n := range nodes {
				if n.Position(time.Now()).Router == reading.NotReader {
					continue
				}
				readers++
				if n.entry.LinkMegabits != 200 {
					t.Errorf("got: %s with %d Mbit/s is a reader, want: only VMs with 200 Mbit/s", n.entry.VM, n.entry.LinkMegabits)
				}
			}
			if readers != 2 {
				t.Errorf("got: %d readers, want: 2", readers)
			}
		}
	})
}

// Guards against routers that never get a row: the reader had it from another router before
// it read it from the feed, and relayed only what was new to itself.
func TestRelayIncludesRowsKnownBefore(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "a", 3)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		known := amaranthtide.FeedRow{Table: serversTable, Key: "e1", Version: ver(901), Value: []byte("x")}
		added := amaranthtide.FeedRow{Table: serversTable, Key: "e2", Version: ver(902), Value: []byte("x")}
		for _, n := range zones["a"] {
			n.rows.Apply(serversTable, amaranthtide.FeedPage{Whole: true, Version: ver(900)})
		}
		reader := zones["a"][0]
		reader.rows.Apply(serversTable, amaranthtide.FeedPage{Version: ver(900), Rows: []amaranthtide.FeedRow{known}})
		reader.rows.Apply(serversTable, amaranthtide.FeedPage{Version: ver(902), Rows: []amaranthtide.FeedRow{known, added}})
		reader.Relay(serversTable, amaranthtide.Some(ver(900)))
		time.Sleep(100 * time.Millisecond)
		for _, n := range zones["a"] {
			page, _ := n.rows.Since(serversTable, ver(900))
			is.Equal(len(page.Rows), 2)
		}
	})
}

// Guards against two routers that exchange requests and answers without end: one names a row
// that it can't deliver, since the rows before it are missing, or that the other one knows
// to be removed, since its table is complete beyond it.
func TestUndeliverableRowsAreNotRequestedAgain(t *testing.T) {
	for name, rows := range map[string]struct{ sender, receiver amaranthtide.FeedPage }{
		"beyond a gap": {
			amaranthtide.FeedPage{Rows: []amaranthtide.FeedRow{{Table: operatorTable, Key: "a", Version: ver(900), Value: []byte("x")}}},
			amaranthtide.FeedPage{},
		},
		"removed": {
			amaranthtide.FeedPage{Version: ver(900), Rows: []amaranthtide.FeedRow{{Table: operatorTable, Key: "a", Version: ver(900)}}},
			amaranthtide.FeedPage{Whole: true, Version: ver(950)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				zones := startZones(t, f, "a", 2)
				defer closeAll(zones)
				time.Sleep(6 * time.Second)
				f.limitMessages(f.count(&f.messages) + 2*15*5)
				zones["a"][0].rows.Apply(operatorTable, rows.sender)
				zones["a"][1].rows.Apply(operatorTable, rows.receiver)
				time.Sleep(5 * time.Second)
				if f.messagesLeft() == 0 {
					t.Error("got: more than 15 messages per second and router, want: at most 15")
				}
			})
		})
	}
}

// Guards against routers whose views age because the feed is silent for the whole zone that
// reads it, while the reader of a later zone has taken over: it relayed to its own zone and
// to later ones only. The first zone's views stay below the age at which routers other than
// readers take over, two checks and a request included.
func TestFirstZoneIsSilencedAtTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "abcde", 24)
		defer closeAll(zones)
		time.Sleep(8 * time.Second)
		f.mu.Lock()
		for _, n := range zones["a"] {
			f.silent.Add(n.entry.VM)
		}
		f.mu.Unlock()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			checkViews(t, "first zone silenced", zones, 1700*time.Millisecond)
		}
	})
}

// Guards against a router that takes its view for fresh although it has missed rows: a
// notice without rows confirmed it, and a server that had left stayed in use for 3.4 s.
func TestNoticeShowsMissedRows(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		zones := startZones(t, f, "a", 4)
		defer closeAll(zones)
		time.Sleep(6 * time.Second)
		sender := zones["a"][0]
		sender.rows.Apply(serversTable, amaranthtide.FeedPage{Version: ver(901), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e1", Version: ver(901), Value: []byte("x")}}})
		sender.Relay(serversTable, amaranthtide.Some(ver(901))) // nothing new after that version
		time.Sleep(50 * time.Millisecond)
		for _, n := range zones["a"] {
			is.Equal(n.rows.MaxRowVersion(serversTable), ver(901))
		}
	})
}
