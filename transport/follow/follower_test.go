package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/reading"
)

// Guards against all routers reading the server list, and against a router that keeps
// relying on readers that send no more notices.
func TestRouterReliesOnReaders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.rank.Store(reading.NotReader)
	f.observePeerRead()
	eventually(t, "a router that stops reading the list", func() bool { return !f.Reading(time.Now()) })
	before := f.source.count(serversTable)
	for range 10 {
		f.observePeerRead()
		time.Sleep(20 * time.Millisecond)
	}
	is.True(f.source.count(serversTable) <= before+1)
	eventually(t, "a router that reads the list", func() bool { return f.source.count(serversTable) > before+2 })
}

// Guards against a standby reader that reads while the active one does, and against one
// that takes over too late to learn of leaving servers in time.
func TestStandbyReader(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.rank.Store(1)
	f.observePeerRead()
	eventually(t, "a router that stops reading the list", func() bool { return !f.Reading(time.Now()) })
	before := f.source.count(serversTable)
	for range 20 {
		f.observePeerRead()
		time.Sleep(20 * time.Millisecond)
	}
	is.True(f.source.count(serversTable) <= before+1)
	lastNotice := time.Now()
	eventually(t, "a standby reader that reads the list", func() bool { return f.source.count(serversTable) > before+1 })
	is.True(time.Since(lastNotice) < 1200*time.Millisecond)
}

// Guards against a change that reaches a router only at the end of a long call because the
// connection of the call was lost.
func TestHungCallIsCanceled(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	now := time.Now()
	is.True(!f.Behind(now, operatorTable, ver(1)))
	f.source.setHanging(true)
	time.Sleep(100 * time.Millisecond) // lets the call in flight end, so that the next one hangs
	f.source.set(operatorTable, ver(2))
	is.True(!f.Behind(now, operatorTable, ver(2)))
	is.True(!f.Behind(now.Add(900*time.Millisecond), operatorTable, ver(2))) // the row may still be in transfer
	before := f.source.count(operatorTable)
	is.True(f.Behind(now.Add(time.Second), operatorTable, ver(2)))
	eventually(t, "another call", func() bool { return f.source.count(operatorTable) > before })
	eventually(t, "the new version", func() bool { return !f.Behind(now.Add(time.Second), operatorTable, ver(2)) })
}

// Guards against a change that reaches the fleet only after the longest wait of a call, because
// the feed doesn't wake the call: no configuration was applied for 30 s although polls were
// answered, and no other router knew newer rows.
func TestMissedChangeIsReadAfterPoll(t *testing.T) {
	f := newFixture(t)
	f.source.setSilent(true)
	time.Sleep(100 * time.Millisecond) // lets the call in flight end, so that the next one is silent
	for version := ver(2); version.Before(ver(5)); version = ver(version.Number() + 1) {
		start, relayed := time.Now(), f.relayed.Load()
		f.source.set(operatorTable, version, "configuration")
		f.source.set(serversTable, version, "e1") // answers for any table name the newest version
		eventually(t, "the change", func() bool { return f.rows.Version(operatorTable).Or(ver(0)) == version })
		eventually(t, "a relayed change of each table", func() bool { return f.relayed.Load() >= relayed+2 })
		if elapsed := time.Since(start); elapsed > bound {
			t.Errorf("got: version %d after %v, want: at most %v", version, elapsed, bound)
		}
	}
}

// Guards against checks that call the feed without need: calls are billed. A table that an answer
// has confirmed up to the newest version is not read again.
func TestConfirmedTableIsNotChecked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.source.setSilent(true)
	time.Sleep(100 * time.Millisecond) // lets the call in flight end, so that the next one is silent
	before := f.source.count(operatorTable)
	f.source.set(operatorTable, ver(2))
	f.source.set(serversTable, ver(2), "e1", "e2")
	eventually(t, "a check", func() bool { return f.rows.Version(operatorTable).Or(ver(0)) == ver(2) })
	time.Sleep(1600 * time.Millisecond) // more than two polls
	is.Equal(f.source.count(operatorTable), before+1)
}

// Guards against a router that starts and doesn't read the operators' table again while its
// second poll hangs.
func TestSecondPollHangs(t *testing.T) {
	source := newSource()
	source.set(operatorTable, ver(1))
	source.set(serversTable, ver(1), "e1")
	source.hangAfterFirst = true
	f := startFixture(t, source)
	eventually(t, "the first page", func() bool { return f.rows.Version(operatorTable).Or(ver(0)) == ver(1) })
	source.set(operatorTable, ver(2))
	start := time.Now()
	eventually(t, "the second page", func() bool { return f.rows.Version(operatorTable).Or(ver(0)) == ver(2) })
	if elapsed := time.Since(start); elapsed > bound {
		t.Errorf("got: the second page after %v, want: at most %v", elapsed, bound)
	}
}

// Guards against canceling the calls of a slow router while changes follow each other
// quickly: it makes progress with each call, even if it never has the newest row.
func TestCallsOfSlowRouterAreNotCanceled(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	now := time.Now()
	for i := range 5 {
		version := ver(uint64(2 + i))
		f.source.set(operatorTable, version)
		eventually(t, "the version", func() bool { return !f.rows.Version(operatorTable).Or(ver(0)).Before(version) })
		is.True(!f.Behind(now.Add(time.Duration(i)*800*time.Millisecond), operatorTable, ver(version.Number()+1)))
	}
}

// Guards against routers that flood a store that refuses their calls: refused calls are
// billed and count against the store's rate limit.
func TestFailedCallsBackOff(t *testing.T) {
	f := newFixture(t)
	f.source.setDown(true)
	eventually(t, "an unavailable feed", func() bool { return f.Stale(time.Now()) })
	before := f.source.count(operatorTable) + f.source.count(serversTable)
	time.Sleep(3 * time.Second)
	if calls := f.source.count(operatorTable) + f.source.count(serversTable) - before; calls > 6 {
		t.Errorf("got: %d calls in 3 s, want: at most 6", calls)
	}
}

// Guards against readers that don't relay changes of the server list.
func TestReaderRelays(t *testing.T) {
	f := newFixture(t)
	before := f.relayed.Load()
	f.source.set(serversTable, ver(2), "e1", "e2")
	eventually(t, "a relayed page", func() bool { return f.relayed.Load() > before })
	eventually(t, "both servers", func() bool { return f.servers.Len() == 2 })
}

// Guards against readers that relay nothing while no server changes: routers that restart
// together would not learn that another one reads the list, and all would keep reading it.
func TestReaderRelaysEmptyPages(t *testing.T) {
	f := newFixture(t)
	before := f.relayedEmpty.Load()
	eventually(t, "a relayed page without rows", func() bool { return f.relayedEmpty.Load() > before })
}

// Guards against removing all servers after an outage in which their entries lapsed, and
// against keeping those that do not register again.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.source.setDown(true)
	eventually(t, "an unavailable feed", func() bool { return f.Stale(time.Now()) })
	f.source.set(serversTable, ver(5))
	f.source.setDown(false)
	eventually(t, "an available feed", func() bool { return !f.Stale(time.Now()) })
	time.Sleep(100 * time.Millisecond) // lets the removal be applied
	is.Equal(f.servers.Len(), 1)
	eventually(t, "the end of the grace period", func() bool { return f.servers.Len() == 0 })
}

// Guards against a server that stays in use after its row became unreadable, and against
// unreadable rows that prevent other rows from being applied.
func TestUnreadableRows(t *testing.T) {
	f := newFixture(t)
	f.source.set(serversTable, ver(3), "bad-1", "e2")
	eventually(t, "the readable server only", func() bool {
		list := f.servers.ByService("s")
		return len(list) == 1 && list[0].Name == "e2"
	})
}

// Guards against a reader that counts as able to read the server list while its call hangs:
// the store has stopped answering, but no call has failed yet.
func TestReaderWithHungCallIsNotReading(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	eventually(t, "a reader", func() bool { return f.Reading(time.Now()) })
	f.source.setHanging(true)
	time.Sleep(1500 * time.Millisecond)
	is.True(!f.Reading(time.Now()))
}

// Guards against a reader that confirms the views of others by its calls for the list, while those for the
// operators' table fail.
func TestReaderWithoutOneTableDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	eventually(t, "a reader", func() bool { return f.Reading(time.Now()) })
	f.source.refuse(operatorTable, true)
	f.source.set(serversTable, ver(2), "e1", "e2") // the newest version of the store
	time.Sleep(1500 * time.Millisecond)
	is.Equal(f.servers.Len(), 2)
	is.True(!f.Reading(time.Now()))
	view, _ := f.View(time.Now()).Get()
	is.True(view.Age > time.Second)
	f.source.refuse(operatorTable, false)
	eventually(t, "a reader of both tables", func() bool { return f.Reading(time.Now()) })
}

// Guards against a router that stops reading because others confirm to it the view that it
// has relayed to them itself: with both readers of the first zone silent, the views of the
// fleet were up to 3 s old.
func TestOwnViewDoesNotEndReading(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.rank.Store(1)
	eventually(t, "a standby reader that reads", func() bool { return f.Reading(time.Now()) })
	before := f.source.count(serversTable)
	for range 40 {
		f.ApplyFromPeer(time.Now(), serversTable, amaranthtide.FeedPage{}, f.View(time.Now()))
		time.Sleep(25 * time.Millisecond)
	}
	is.True(f.Reading(time.Now()))
	is.True(f.source.count(serversTable) > before+1)
	eventually(t, "a standby reader that stops once another router reads", func() bool {
		f.observePeerRead()
		return !f.Reading(time.Now())
	})
}

// Guards against a server that stays in use although it has left, because the router's view
// was late: a removal may stand for a lapsed entry only if calls to the feed have failed.
func TestRemovalAfterLateViewIsFinal(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.rank.Store(reading.NotReader)
	now := time.Now()
	view := amaranthtide.Some(amaranthtide.FeedView{Reader: "vm-2"})
	f.ApplyFromPeer(now, serversTable, amaranthtide.FeedPage{}, view)

	late := now.Add(bound) // the readers have lost power
	f.Apply(late, serversTable, amaranthtide.FeedPage{Version: ver(1)})
	removal := amaranthtide.FeedPage{Version: ver(5), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e1", Version: ver(5)}}}
	f.ApplyFromPeer(late.Add(10*time.Millisecond), serversTable, removal, view)
	is.Equal(f.servers.Len(), 0)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
