// Package follow keeps a router up to date with the servers that the platform lists and
// the configuration that operators declare. It follows the tables of the platform's feed,
// applies rows from other routers while the feed is unavailable, and updates the state
// that requests are served from.
//
// # Usage
//
//	f := follow.New(follow.Options{Feed: store, Decoder: reader, Tables: names, Rows: rows,
//		Configuration: c, Servers: s, RelayedTable: list, Relay: relay, ReaderRank: rank})
//	f.Start()
//	defer f.Close() // waits for all goroutines
//	if len(f.UnavailableTables(now)) > 0 { ... } // some tables can't be read
//	f.Apply(now, table, page)                    // rows from another router
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/registration"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/servers"
)

const (
	// feedWait is how long a call waits for changes. It is the longest wait that the feed
	// allows, since each call is billed. A call whose connection was lost is detected
	// through the reports of other routers (Behind), or at the latest after this time.
	feedWait = 30 * time.Second
	// relayedWait is the same for the relayed table. The few routers that read it wait
	// less, since the others depend on them.
	relayedWait = 2 * time.Second
	// minRetryWait is the mean wait after the first failed call. It doubles with each
	// further failure, since refused calls are billed too, up to maxRetryWait: a router
	// whose connection to the platform recovers then still applies a change within the time
	// allowed for it.
	minRetryWait = 300 * time.Millisecond
	maxRetryWait = 1200 * time.Millisecond
	// unavailableAfter is how long calls must have failed before rows are requested from
	// other routers.
	unavailableAfter = 300 * time.Millisecond
	// peerReadTimeout is how long another router's notice that it can read the server list
	// stays valid. It spans two requests to other routers, and leaves enough time to read
	// the list before a leaving server must be out of use.
	peerReadTimeout = 1300 * time.Millisecond
	// standbyTimeout is the same for the second reader of a zone, which reads the list once
	// the first reader sends no more notices. It spans one batchInterval and the
	// transmission.
	standbyTimeout = 700 * time.Millisecond
	// batchInterval is how long a reader of the relayed table waits after a page so that
	// changes accumulate, since each call is billed and changes come in bursts. It is a
	// small part of the time in which a leaving server must be out of use.
	batchInterval = 400 * time.Millisecond
	// maxLag is how long this router may lag behind the rows of another router before its
	// call in flight counts as lost. A large document takes part of a second on a slow
	// link. The rest of the time allowed for a change is left for requesting the rows from
	// another router.
	maxLag = time.Second
	// readerCheckInterval is how often a router that relies on other readers checks whether
	// it must read the relayed table itself.
	readerCheckInterval = 200 * time.Millisecond
	// expireInterval is how often lapsed servers are removed.
	expireInterval = 250 * time.Millisecond
)

// Options are the dependencies and settings of a Follower. All but Observe, OnServerGone
// and Logger are required.
type Options struct {
	Feed    amaranthtide.Feed
	Decoder amaranthtide.RowDecoder
	// Tables are the tables to follow.
	Tables        []amaranthtide.FeedTable
	Rows          *feed.Tables
	Configuration *declared.Configuration
	Servers       *servers.Directory
	// RelayedTable is the table that lists the servers. Only some routers of a zone read it
	// from the feed and forward it to the others: it changes so often that calls of all
	// routers would cost too much. It is one of Tables.
	RelayedTable amaranthtide.FeedTable
	// Relay is called with each page of the relayed table that this router reads, including
	// pages without rows.
	Relay func(after amaranthtide.RowVersion, page amaranthtide.FeedPage)
	// ReaderRank returns the position of this router among its zone's readers of the relayed
	// table, starting at 0, or NotReader.
	ReaderRank func(now time.Time) int
	// Observe is called at the end of each call to the feed; may be nil.
	Observe func(table amaranthtide.FeedTable, err error)
	// OnServerGone is called with each server that was removed from the list; may be nil.
	OnServerGone func(amaranthtide.BackendServerName)
	Logger       hclog.Logger
}

// NotReader is the rank of a router that is not one of its zone's readers.
const NotReader = -1

// Follower follows the tables of the platform's feed. It is safe for concurrent use. Use
// New.
type Follower struct {
	opts Options

	mu         sync.Mutex
	serverList *registration.Registration
	// serverNames and outZones map rows to the server that they list and to the zone that
	// they take out of service.
	serverNames map[rowKey]amaranthtide.BackendServerName
	outZones    map[rowKey]amaranthtide.ZoneName
	// readsRelayed tells whether this router reads the relayed table from the feed.
	readsRelayed bool
	// peerReadAt is when another router last gave notice that it can read the server list.
	peerReadAt time.Time
	// failures holds the failed calls of each table since its last successful one.
	failures map[amaranthtide.FeedTable]failure
	// cancelCalls holds the function that cancels a table's call in flight.
	cancelCalls map[amaranthtide.FeedTable]context.CancelFunc
	// lags holds the tables of which other routers know newer rows.
	lags map[amaranthtide.FeedTable]lag

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// failure counts consecutive failed calls.
type failure struct {
	since time.Time
	calls int
}

// lag records since when a table has been at a version while other routers know newer rows.
type lag struct {
	since   time.Time
	version amaranthtide.RowVersion
}

type rowKey struct {
	table amaranthtide.FeedTable
	key   string
}

// New returns a Follower that is idle until Start.
func New(opts Options) *Follower {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.OnServerGone == nil {
		opts.OnServerGone = func(amaranthtide.BackendServerName) {}
	}
	if opts.Observe == nil {
		opts.Observe = func(amaranthtide.FeedTable, error) {}
	}
	f := &Follower{
		opts:        opts,
		serverList:  registration.New(),
		serverNames: make(map[rowKey]amaranthtide.BackendServerName),
		outZones:    make(map[rowKey]amaranthtide.ZoneName),
		failures:    make(map[amaranthtide.FeedTable]failure),
		cancelCalls: make(map[amaranthtide.FeedTable]context.CancelFunc),
		lags:        make(map[amaranthtide.FeedTable]lag),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start starts following the tables.
func (f *Follower) Start() {
	for _, table := range f.opts.Tables {
		f.wg.Go(func() { f.loop(table) })
	}
	f.wg.Go(f.run)
}

// Close cancels the calls in flight and waits for all goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// loop follows one table until the Follower is closed.
func (f *Follower) loop(table amaranthtide.FeedTable) {
	for f.ctx.Err() == nil {
		if table == f.opts.RelayedTable && !f.updateReading(time.Now()) {
			f.sleep(readerCheckInterval)
			continue
		}
		// After a failure the feed is called without a wait, so that its recovery is
		// detected immediately.
		wait := feedWait
		switch {
		case f.hasFailed(table):
			wait = 0
		case table == f.opts.RelayedTable:
			wait = relayedWait
		}
		after := f.opts.Rows.Version(table)
		page, err := f.callFeed(table, after, wait)
		now := time.Now()
		if err != nil {
			meanWait := f.recordFailure(now, table, err)
			f.sleep(meanWait/2 + rand.N(meanWait))
			continue
		}
		f.recordSuccess(now, table)
		f.Apply(now, table, page)
		if table != f.opts.RelayedTable {
			continue
		}
		f.opts.Relay(after.Or(0), page)
		if len(page.Rows) > 0 {
			f.sleep(batchInterval)
		}
	}
}

func (f *Follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// run periodically removes lapsed servers.
func (f *Follower) run() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case now := <-ticker.C:
			f.expireServers(now)
		}
	}
}

func (f *Follower) expireServers(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := f.serverList.Expire(now)
	if len(removed) == 0 {
		return
	}
	f.opts.Logger.Info("servers lapsed", "servers", removed)
	f.publishServers(now, removed)
}

// Apply applies a page of a table, received from the feed or from another router.
func (f *Follower) Apply(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.opts.Rows.Apply(table, page)
	if len(changed) == 0 {
		return
	}
	var removed []amaranthtide.BackendServerName
	for _, row := range changed {
		removed = append(removed, f.applyRow(now, row)...)
	}
	f.publishServers(now, removed)
}
