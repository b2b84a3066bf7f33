package follow_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/servers"
	"amaranthtide/transport/follow"
)

// bound is the time within which a change must be in force.
const bound = 2 * time.Second

const (
	operatorTable = amaranthtide.FeedTable("operator")
	serversTable  = amaranthtide.FeedTable("listing")
)

// source is an amaranthtide.Feed whose pages and failures the test sets.
type source struct {
	mu    sync.Mutex
	pages map[amaranthtide.FeedTable]amaranthtide.FeedPage
	down  bool
	// hanging blocks calls with a wait until they are canceled.
	hanging bool
	// hangAfterFirst does the same for calls of the polled table after the first page.
	hangAfterFirst bool
	// silent keeps changes from ending the calls that wait for the operators' table: these
	// return at the end of their wait.
	silent bool
	// refused holds the tables whose calls fail.
	refused amaranthtide.Set[amaranthtide.FeedTable]
	calls   map[amaranthtide.FeedTable]int
}

func newSource() *source {
	return &source{pages: make(map[amaranthtide.FeedTable]amaranthtide.FeedPage), calls: make(map[amaranthtide.FeedTable]int), refused: amaranthtide.NewSet[amaranthtide.FeedTable]()}
}

func (s *source) Next(ctx context.Context, table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion], wait time.Duration) (amaranthtide.FeedPage, error) {
	s.mu.Lock()
	s.calls[table]++
	_, known := after.Get()
	silent := s.silent && known && table == operatorTable && wait > 0
	page, down, hanging := s.pages[table], s.down || s.refused.Has(table), s.hanging || s.hangAfterFirst && known && table == serversTable
	s.mu.Unlock()
	if silent {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.pages[table], nil
		case <-ctx.Done():
			return amaranthtide.FeedPage{}, ctx.Err()
		}
	}
	if hanging && wait > 0 {
		<-ctx.Done()
		return amaranthtide.FeedPage{}, ctx.Err()
	}
	if down {
		return amaranthtide.FeedPage{}, amaranthtide.Errorf(amaranthtide.KindPlatformDown, "injected failure")
	}
	if from, known := after.Get(); known && !page.Version.After(from) {
		select { // shortens the wait of a real feed
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
		return amaranthtide.FeedPage{Version: page.Version}, nil
	}
	return page, nil
}

func (s *source) set(table amaranthtide.FeedTable, version amaranthtide.StoreVersion, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := amaranthtide.FeedPage{Whole: true, Version: version}
	for _, name := range names {
		page.Rows = append(page.Rows, amaranthtide.FeedRow{Table: table, Key: name, Version: version, Value: []byte(name)})
	}
	s.pages[table] = page
}

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// refuse sets whether calls for a table fail.
func (s *source) refuse(table amaranthtide.FeedTable, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		s.refused.Add(table)
	} else {
		s.refused.Remove(table)
	}
}

func (s *source) setHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = hanging
}

func (s *source) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *source) count(table amaranthtide.FeedTable) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[table]
}

// reader reads the rows of the server list; rows with a key that starts with "bad" are
// unreadable.
type reader struct{}

func (reader) Decode(_ time.Time, row amaranthtide.FeedRow) (amaranthtide.DecodedRow, error) {
	if strings.HasPrefix(row.Key, "bad") {
		return amaranthtide.DecodedRow{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "injected failure")
	}
	if row.Table != serversTable {
		return amaranthtide.DecodedRow{}, nil
	}
	return amaranthtide.DecodedRow{Instance: amaranthtide.Some(amaranthtide.Instance{Name: amaranthtide.BackendServerName(row.Key), Service: "s"})}, nil
}

type fixture struct {
	*follow.Follower
	source  *source
	servers *servers.Directory
	rows    *feed.Tables
	// rank is the position of the router among the readers of its zone.
	rank atomic.Int32
	// relayed and relayedEmpty count the relayed pages with and without rows.
	relayed      atomic.Int32
	relayedEmpty atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	source := newSource()
	source.set(operatorTable, ver(1))
	source.set(serversTable, ver(1), "e1")
	f := startFixture(t, source)
	eventually(t, "the first server", func() bool { return f.servers.Len() == 1 })
	return f
}

// startFixture starts a router that follows the source.
func startFixture(t *testing.T, source *source) *fixture {
	t.Helper()
	return startFixtureWith(t, source, nil)
}

// startFixtureWith starts a router that also calls atStart.
func startFixtureWith(t *testing.T, source *source, atStart func(context.Context)) *fixture {
	t.Helper()
	f := &fixture{source: source, servers: servers.New(), rows: feed.New()}
	f.Follower = follow.New(follow.Options{
		AtStart: atStart,
		VM:      "vm-1", Feed: f.source, Decoder: reader{}, Tables: []amaranthtide.FeedTable{operatorTable, serversTable}, Rows: f.rows,
		Configuration: declared.New(), Servers: f.servers, PolledTable: serversTable, Schedule: reading.NewSchedule(bound),
		Relay: func(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion]) {
			page, _ := f.rows.Since(table, after.Or(ver(0)))
			switch {
			case len(page.Rows) > 0:
				f.relayed.Add(1)
			case table == serversTable:
				f.relayedEmpty.Add(1)
			default:
				t.Errorf("got: a page of %q without rows relayed, want: only pages of the polled table", table)
			}
		},
		Position: func(time.Time) reading.Position { return reading.Position{Router: int(f.rank.Load()), ZoneRouters: 3} },
	})
	f.Start()
	t.Cleanup(f.Close)
	return f
}

// observePeerRead delivers the notice of another router that has just read the feed.
func (f *fixture) observePeerRead() {
	f.ApplyFromPeer(time.Now(), serversTable, amaranthtide.FeedPage{}, amaranthtide.Some(amaranthtide.FeedView{Age: time.Duration(0), Reader: "vm-2"}))
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("got: not within 20 s, want: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

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
