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
	// feedWait is how long a call waits for changes. Each call is priced; a call that
	// was lost with its connection is noticed after this time at the latest.
	feedWait = 5 * time.Second
	// relayedWait is the same for the relayed table. Few routers read it, and others
	// rely on them.
	relayedWait = 2 * time.Second
	// retryWait is the mean wait after a failed call. It keeps a router that returns
	// from a cut well inside the bound of a change.
	retryWait = 400 * time.Millisecond
	// awayAfter is how long calls must fail until rows are asked from other routers.
	awayAfter = 300 * time.Millisecond
	// peerReadAge is how long the word of another router that it can read the list counts.
	// It covers two questions to other routers, and leaves time to read the list within
	// the bound for servers that leave.
	peerReadAge = 1300 * time.Millisecond
	// batchInterval is how long a reader of the relayed table lets changes gather after
	// a page, since each call is priced and changes come in bursts.
	batchInterval = 150 * time.Millisecond
	// turnInterval is how often a router that relies on others looks whether it must
	// read a table itself.
	turnInterval = 200 * time.Millisecond
	// expireInterval is how often lapsed servers are looked at.
	expireInterval = 250 * time.Millisecond
)

// Options are the parts that a Follower works with. All but Gone and Logger are
// required.
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
	// Relay is called with each page of the relayed table that this router has read.
	Relay func(after amaranthtide.RowVersion, page amaranthtide.FeedPage)
	// Reads reports whether this router reads the relayed table now.
	Reads func(now time.Time) bool
	// Gone is called with each server that has left the list.
	Gone   func(amaranthtide.BackendServerName)
	Logger hclog.Logger
}

// Follower is concurrent-safe. Use New.
type Follower struct {
	opts Options

	mu      sync.Mutex
	listing *registration.Registration
	// servers and zones tell which row names which server or zone.
	servers map[rowKey]amaranthtide.BackendServerName
	zones   map[rowKey]amaranthtide.ZoneName
	// reading tells whether this router reads the relayed table itself.
	reading bool
	// peerRead is when another router last said that it can read the list of servers.
	peerRead time.Time
	// failing holds the time of the first failed call since the last good one.
	failing map[amaranthtide.FeedTable]time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
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
	f := &Follower{
		opts:    opts,
		listing: registration.New(),
		servers: make(map[rowKey]amaranthtide.BackendServerName),
		zones:   make(map[rowKey]amaranthtide.ZoneName),
		failing: make(map[amaranthtide.FeedTable]time.Time),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start begins to follow the tables.
func (f *Follower) Start() {
	for _, table := range f.opts.Tables {
		f.wg.Go(func() { f.loop(table) })
	}
	f.wg.Go(f.run)
}

// Close ends the calls in flight and waits.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// loop follows one table.
func (f *Follower) loop(table amaranthtide.FeedTable) {
	for f.ctx.Err() == nil {
		if table == f.opts.Relayed && !f.reads(time.Now()) {
			f.sleep(turnInterval)
			continue
		}
		// A feed that was lost is asked without a wait, so that its return shows soon.
		wait := feedWait
		switch {
		case f.failed(table):
			wait = 0
		case table == f.opts.Relayed:
			wait = relayedWait
		}
		after := f.opts.Rows.Version(table)
		page, err := f.opts.Feed.Next(f.ctx, table, after, wait)
		now := time.Now()
		if err != nil {
			f.lost(now, table, err)
			f.sleep(retryWait/2 + rand.N(retryWait))
			continue
		}
		f.returned(now, table)
		f.Apply(now, table, page)
		if table == f.opts.Relayed && len(page.Rows) > 0 {
			f.opts.Relay(after.Or(0), page)
			f.sleep(batchInterval)
		}
	}
}

// reads reports whether this router must read the relayed table itself: while it is
// one of its zone's readers, or no other router is known to read it.
func (f *Follower) reads(now time.Time) bool {
	if _, known := f.opts.Rows.Version(f.opts.Relayed).Get(); !known || f.opts.Reads(now) {
		f.setReading(now, true)
		return true
	}
	f.mu.Lock()
	peerRead := now.Sub(f.peerRead) <= peerReadAge
	f.mu.Unlock()
	f.setReading(now, !peerRead)
	return !peerRead
}

// setReading notes whether this router reads the relayed table itself. What it knew
// of the feed's failures is of no use once it doesn't.
func (f *Follower) setReading(now time.Time, reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading == reading {
		return
	}
	f.reading = reading
	if !reading {
		delete(f.failing, f.opts.Relayed)
	}
	f.updateListing(now)
}

func (f *Follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// run removes lapsed servers in time.
func (f *Follower) run() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case now := <-ticker.C:
			f.expire(now)
		}
	}
}

func (f *Follower) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := f.listing.Expire(now)
	if len(gone) == 0 {
		return
	}
	f.opts.Logger.Info("servers lapsed", "servers", gone)
	f.publish(now, gone)
}

func (f *Follower) lost(now time.Time, table amaranthtide.FeedTable, err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.failing[table]; ok {
		f.updateListing(now)
		return
	}
	f.failing[table] = now
	f.updateListing(now)
	f.opts.Logger.Warn("feed lost", "table", table, "version", f.opts.Rows.Version(table).Or(0), "error", err)
}

func (f *Follower) returned(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.failing[table]
	if !ok {
		return
	}
	delete(f.failing, table)
	f.updateListing(now)
	f.opts.Logger.Info("feed returned", "table", table, "away", now.Sub(since))
}

func (f *Follower) failed(table amaranthtide.FeedTable) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.failing[table]
	return ok
}

// updateListing sets whether removals from the listing are final: while this router or
// another one can read the list of servers, they can.
func (f *Follower) updateListing(now time.Time) {
	_, failing := f.failing[f.opts.Relayed]
	if (failing || !f.reading) && now.Sub(f.peerRead) > peerReadAge {
		f.listing.Lost()
		return
	}
	f.listing.Returned(now)
}

// Away returns the tables whose feed has failed for a while.
func (f *Follower) Away(now time.Time) []amaranthtide.FeedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	var away []amaranthtide.FeedTable
	for _, table := range f.opts.Tables {
		if since, ok := f.failing[table]; ok && now.Sub(since) >= awayAfter {
			away = append(away, table)
		}
	}
	return away
}

// Reading reports whether this router reads the table itself, and can.
func (f *Follower) Reading(_ time.Time, table amaranthtide.FeedTable) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, failing := f.failing[table]
	return !failing && (table != f.opts.Relayed || f.reading)
}

// PeerReads notes that another router can read the table's feed.
func (f *Follower) PeerReads(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.opts.Relayed {
		f.peerRead = now
		f.updateListing(now)
	}
}

// Apply takes rows of a table, from the feed or from another router.
func (f *Follower) Apply(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.opts.Rows.Apply(table, page)
	if len(news) == 0 {
		return
	}
	var gone []amaranthtide.BackendServerName
	for _, row := range news {
		gone = append(gone, f.take(now, row)...)
	}
	f.publish(now, gone)
}
