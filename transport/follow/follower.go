// Package follow keeps a router's picture of what the platform lists and operators
// declare: it follows the platform's feed, takes rows from other routers while the
// feed is away, and passes what the rows say to the state of the request path.
//
// # Usage
//
//	f := follow.New(follow.Options{Feed: store, Reader: reader, Tables: names, Rows: rows,
//		Configuration: c, Servers: s})
//	f.Start()
//	defer f.Close() // waits
//	if f.Away(now) { ... } // the feed can't be read
//	f.Apply(table, page)   // from another router
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
	// feedWait is how long a call waits for changes, the longest that the feed allows,
	// since each call is priced. A call that was lost with its connection is noticed by
	// the reports of other routers (Behind), or else after this time.
	feedWait = 30 * time.Second
	// relayedWait is the same for the relayed table. Few routers read it, and others
	// rely on them.
	relayedWait = 2 * time.Second
	// minRetryWait is the mean wait after the first failed call. It doubles up to
	// maxRetryWait, since refused calls are priced, too. The greatest wait keeps a
	// router that returns from a cut inside the bound of a change.
	minRetryWait = 300 * time.Millisecond
	maxRetryWait = 1200 * time.Millisecond
	// unavailableAfter is how long calls must fail until rows are asked from other routers.
	unavailableAfter = 300 * time.Millisecond
	// peerReadTimeout is how long the word of another router that it can read the list counts.
	// It covers two questions to other routers, and leaves time to read the list within
	// the bound for servers that leave.
	peerReadTimeout = 1300 * time.Millisecond
	// standbyTimeout is the same for the second reader of a zone, which reads while the first
	// is silent. It covers one batchInterval and a transit.
	standbyTimeout = 700 * time.Millisecond
	// batchInterval is how long a reader of the relayed table lets changes gather after
	// a page, since each call is priced and changes come in bursts. It is a small part
	// of the bound for servers that leave.
	batchInterval = 400 * time.Millisecond
	// maxLag is how long another router may know newer rows than this one until the
	// call in flight counts as lost. A large document takes part of a second on a slow
	// link; the rest of the bound of a change is left for asking another router.
	maxLag = time.Second
	// readerCheckInterval is how often a router that relies on others looks whether it must
	// read a table itself.
	readerCheckInterval = 200 * time.Millisecond
	// expireInterval is how often lapsed servers are looked at.
	expireInterval = 250 * time.Millisecond
)

// Options are the parts that a Follower works with. All but Observe, Gone and Logger
// are required.
type Options struct {
	Feed   amaranthtide.Feed
	Reader amaranthtide.FactReader
	// Tables are the tables to follow.
	Tables        []amaranthtide.FeedTable
	Rows          *feed.Tables
	Configuration *declared.Configuration
	Servers       *servers.Directory
	// Relayed is the table that lists the servers. Only some routers of a zone read it
	// and pass it on, since it changes so often that calls of all routers would cost
	// too much. It is one of Tables.
	Relayed amaranthtide.FeedTable
	// Relay is called with each page of the relayed table that this router has read, also
	// with one without rows.
	Relay func(after amaranthtide.RowVersion, page amaranthtide.FeedPage)
	// Rank returns the place of this router among the readers of the relayed table in
	// its zone, from 0, or NotReader.
	Rank func(now time.Time) int
	// Observe is called at the end of each call to the feed; nil is none.
	Observe func(table amaranthtide.FeedTable, err error)
	// Gone is called with each server that has left the list.
	Gone   func(amaranthtide.BackendServerName)
	Logger hclog.Logger
}

// NotReader is the rank of a router that is no reader of its zone.
const NotReader = -1

// Follower is concurrent-safe. Use New.
type Follower struct {
	opts Options

	mu         sync.Mutex
	serverList *registration.Registration
	// serverNames and zones tell which row names which server or zone.
	serverNames map[rowKey]amaranthtide.BackendServerName
	outZones    map[rowKey]amaranthtide.ZoneName
	// readsRelayed tells whether this router reads the relayed table itself.
	readsRelayed bool
	// peerReadAt is when another router last said that it can read the list of servers.
	peerReadAt time.Time
	// failures holds the failed calls since the last good one.
	failures map[amaranthtide.FeedTable]failure
	// cancelCalls holds what ends the call in flight of a table.
	cancelCalls map[amaranthtide.FeedTable]context.CancelFunc
	// lags holds since when other routers know newer rows.
	lags map[amaranthtide.FeedTable]lag

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// failure is a run of failed calls.
type failure struct {
	since time.Time
	calls int
}

// lag tells since when a table has stood at a version while others know newer rows.
type lag struct {
	since   time.Time
	version amaranthtide.RowVersion
}

type rowKey struct {
	table amaranthtide.FeedTable
	key   string
}

// New returns a Follower that does nothing until Start.
func New(opts Options) *Follower {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Gone == nil {
		opts.Gone = func(amaranthtide.BackendServerName) {}
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

// Start begins to follow the tables.
func (f *Follower) Start() {
	for _, table := range f.opts.Tables {
		f.wg.Go(func() { f.followTable(table) })
	}
	f.wg.Go(f.runExpiry)
}

// Close ends the calls in flight and waits.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// followTable follows one table.
func (f *Follower) followTable(table amaranthtide.FeedTable) {
	for f.ctx.Err() == nil {
		if table == f.opts.Relayed && !f.updateReading(time.Now()) {
			f.sleep(readerCheckInterval)
			continue
		}
		// A feed that was lost is asked without a wait, so that its return shows soon.
		wait := feedWait
		switch {
		case f.hasFailed(table):
			wait = 0
		case table == f.opts.Relayed:
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
		if table != f.opts.Relayed {
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

// runExpiry removes lapsed servers in time.
func (f *Follower) runExpiry() {
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

// Apply takes rows of a table, from the feed or from another router.
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
