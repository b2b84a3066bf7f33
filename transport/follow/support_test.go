package follow_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
