// Package follow keeps a router up to date with the servers that the platform lists, the
// configuration that operators declare and the registered routers. It follows the tables
// of the platform's feed, either by calls to the feed or by rows that other routers relay,
// and updates the state that requests are served from.
//
// One table, the server list, is polled: its calls return within a short time even if
// nothing has changed, and thereby show whether the feed can be read. Calls for the other
// tables wait for changes, as long as the polled table can be read.
//
// # Usage
//
//	f := follow.New(follow.Options{Feed: store, Decoder: decoder, Tables: names, PolledTable: list,
//		Rows: rows, Configuration: c, Servers: s, Schedule: schedule, Position: position,
//		Relay: relay, OnRoutersChanged: update})
//	f.Start()
//	defer f.Close() // waits for all goroutines
//	f.ApplyFromPeer(now, table, page, view) // rows from another router
//	if f.Stale(now) { ... }                    // rows should be requested from other routers
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	"amaranthtide/coordination/registration"
	"amaranthtide/coordination/restore"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/servers"
)

const (
	// feedWait is how long a call waits for changes of a table that is not polled. It is the
	// longest wait that the feed allows, since each call is billed.
	feedWait = 30 * time.Second
	// batchInterval is how long a reader waits after a page with servers or routers so that
	// changes accumulate, since each call is billed and these changes come in bursts. It is
	// a small part of the time in which a leaving server must be out of use.
	batchInterval = 400 * time.Millisecond
	// startPatience is how long a router that starts waits for rows from other routers
	// before it reads the feed, and for Options.AtStart after the polled table. The others answer
	// within milliseconds if they have any.
	startPatience = 200 * time.Millisecond
	// maxAnswerDelay is the time that an answer of the feed may take after the wait of its
	// call. An answer that was received later, for instance because this process was
	// suspended, confirms the view only up to then.
	maxAnswerDelay = 300 * time.Millisecond
	// maxLag is how long this router may lag behind the rows of another router before its
	// call in flight counts as lost. A large document takes part of a second on a slow
	// link. The rest of the time allowed for a change is left for requesting the rows from
	// another router.
	maxLag = time.Second
	// checkInterval is how often a router checks whether it must read the feed.
	// startCheckInterval is the same for a router that waits for rows after its start.
	checkInterval      = 200 * time.Millisecond
	startCheckInterval = 20 * time.Millisecond
	// expireInterval is how often lapsed servers are removed.
	expireInterval = 250 * time.Millisecond
)

// Rollouts receives the rows of rollouts. Its methods are called with the version of the row,
// and may be called in any order of versions.
type Rollouts interface {
	// OrderChanged is called with the order of a service, absent if it was withdrawn.
	OrderChanged(now time.Time, service amaranthtide.ServiceName, version amaranthtide.StoreVersion, order amaranthtide.Option[amaranthtide.RolloutOrder])
	// StateChanged is called with the recorded state of a service's rollout, absent if it was
	// removed.
	StateChanged(now time.Time, service amaranthtide.ServiceName, version amaranthtide.StoreVersion, state amaranthtide.Option[amaranthtide.RolloutState])
	// StateLost is called when the store has come back from a copy without the recorded state, which holds
	// nevertheless. version is that of the row that the store has instead, zero if it has none.
	StateLost(now time.Time, service amaranthtide.ServiceName, version amaranthtide.StoreVersion)
	// ServersListed is called with all listed servers after changes of the list, before requests
	// may be sent to them.
	ServersListed(now time.Time, listed []amaranthtide.Instance)
}

// Options are the dependencies and settings of a Follower. All but Observe, OnServerGone,
// OnRoutersChanged, OnServersListed, Rollouts and Logger are required.
type Options struct {
	// VM is the name of this router.
	VM      amaranthtide.VMName
	Feed    amaranthtide.Feed
	Decoder amaranthtide.RowDecoder
	// Tables are the tables to follow.
	Tables []amaranthtide.FeedTable
	// PolledTable is the table that lists the servers. It is one of Tables.
	PolledTable amaranthtide.FeedTable
	// BatchedTables are the tables whose changes may be delayed by batchInterval.
	BatchedTables []amaranthtide.FeedTable
	Rows          *feed.Tables
	Configuration *declared.Configuration
	Servers       *servers.Directory
	// Schedule and Position determine whether this router reads the feed.
	Schedule reading.Schedule
	Position func(now time.Time) reading.Position
	// Relay is called when this router has read changes of a table after the given version
	// from the feed, and after each page of the polled table, also if it has no rows. After
	// is absent if this is the first page of the table.
	Relay func(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion])
	// Observe is called at the end of each call to the feed; may be nil.
	Observe func(table amaranthtide.FeedTable, err error)
	// OnServerGone is called with each server that was removed from the list; may be nil.
	OnServerGone func(amaranthtide.BackendServerName)
	// OnRoutersChanged is called with the routers whose registrations were added, changed or
	// removed; may be nil.
	OnRoutersChanged func(now time.Time, registered []amaranthtide.RouterEntry, removed []amaranthtide.VMName)
	// OnServersListed is called with all listed servers after changes of the list, before requests may be
	// sent to them; may be nil.
	OnServersListed func(now time.Time, listed []amaranthtide.Instance)
	// Rollouts receives the rows of rollouts; nil if the deployment has none.
	Rollouts Rollouts
	// OnRestored is called when the store has come back from an older copy of a table; may be nil.
	OnRestored func(table amaranthtide.FeedTable)
	// AtStart is called together with each call for the polled table until that table is known, if
	// this router reads the feed to start. The other tables are read once it has returned or
	// startPatience has passed; may be nil.
	AtStart func(ctx context.Context)
	Logger  hclog.Logger
}

// Follower follows the tables of the platform's feed. It is safe for concurrent use. Use
// New.
type Follower struct {
	opts Options

	mu         sync.Mutex
	serverList *registration.Registration
	// serverNames, outZones and routers map rows to the server that they list, the zone
	// that they take out of service and the router that they register.
	serverNames map[rowKey]amaranthtide.BackendServerName
	outZones    map[rowKey]amaranthtide.ZoneName
	routers     map[rowKey]amaranthtide.VMName
	// orders and rollouts map rows to the service whose rollout they order or record.
	orders    map[rowKey]amaranthtide.ServiceName
	rollouts  map[rowKey]amaranthtide.ServiceName
	startedAt time.Time
	// reads tells whether this router reads the feed. readDelay is the current delay for
	// Schedule.MustRead.
	reads     bool
	readDelay time.Duration
	// starting is set while the other tables wait for Options.AtStart.
	starting bool
	// peersStart tells that another router has no view either: this router doesn't wait for
	// rows from others.
	peersStart bool
	// peerView is the time as of which the feed has confirmed this router's view through the
	// calls of peerReader. That of its own calls is ownView.
	peerView   time.Time
	peerReader amaranthtide.VMName
	// own records which copies this router's own calls have confirmed. unconfirmedTable is one that the
	// last answer for the polled table didn't confirm, empty if there was none.
	own              *reading.Confirmations
	unconfirmedTable amaranthtide.FeedTable
	// failures holds the failed calls of each table since its last successful one.
	failures map[amaranthtide.FeedTable]failure
	// cancelCalls holds the function that cancels a table's call in flight.
	cancelCalls map[amaranthtide.FeedTable]context.CancelFunc
	// reported and missed hold the tables of which other routers know newer rows, by their reports and
	// by their views.
	reported, missed reading.Lags
	// kept holds the rows that were known before the store came back from an older copy and hold against
	// those of the store. restoredAt is when this router learned of that, for each table.
	kept       map[rowKey]restore.Verdict
	restoredAt map[amaranthtide.FeedTable]time.Time
	// unchecked holds the tables whose version is lower than that of the polled table.
	// checking holds those that are read for that reason.
	unchecked reading.Lags
	checking  amaranthtide.Set[amaranthtide.FeedTable]
	// readable is closed, and replaced, whenever the polled table becomes readable by calls
	// of this router.
	readable chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// failure counts consecutive failed calls.
type failure struct {
	since time.Time
	calls int
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
	if opts.OnRoutersChanged == nil {
		opts.OnRoutersChanged = func(time.Time, []amaranthtide.RouterEntry, []amaranthtide.VMName) {}
	}
	if opts.OnServersListed == nil {
		opts.OnServersListed = func(time.Time, []amaranthtide.Instance) {}
	}
	if opts.OnRestored == nil {
		opts.OnRestored = func(amaranthtide.FeedTable) {}
	}
	if opts.Observe == nil {
		opts.Observe = func(amaranthtide.FeedTable, error) {}
	}
	f := &Follower{
		opts:        opts,
		serverList:  registration.New(),
		serverNames: make(map[rowKey]amaranthtide.BackendServerName),
		outZones:    make(map[rowKey]amaranthtide.ZoneName),
		routers:     make(map[rowKey]amaranthtide.VMName),
		orders:      make(map[rowKey]amaranthtide.ServiceName),
		rollouts:    make(map[rowKey]amaranthtide.ServiceName),
		own:         reading.NewConfirmations(opts.Schedule),
		failures:    make(map[amaranthtide.FeedTable]failure),
		cancelCalls: make(map[amaranthtide.FeedTable]context.CancelFunc),
		checking:    amaranthtide.NewSet[amaranthtide.FeedTable](),
		kept:        make(map[rowKey]restore.Verdict),
		restoredAt:  make(map[amaranthtide.FeedTable]time.Time),
		readable:    make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start starts following the tables.
func (f *Follower) Start() {
	f.startedAt = time.Now()
	for _, table := range f.opts.Tables {
		if table == f.opts.PolledTable {
			f.wg.Go(f.pollLoop)
		} else {
			f.wg.Go(func() { f.loop(table) })
		}
	}
	f.wg.Go(f.run)
}

// Close cancels the calls in flight and waits for all goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// pollLoop reads the polled table while this router must read the feed.
func (f *Follower) pollLoop() {
	wait := time.Duration(0)
	for f.ctx.Err() == nil {
		if !f.updateReading(time.Now()) {
			wait = 0 // a router that takes over is behind by the age of its view
			f.sleep(f.checkDelay(time.Now()))
			continue
		}
		if _, known := f.opts.Rows.Version(f.opts.PolledTable).Get(); !known && f.opts.AtStart != nil {
			f.readAtStart()
		} else {
			f.read(f.opts.PolledTable, wait)
		}
		wait = f.opts.Schedule.Poll
	}
}

// readAtStart reads the polled table while Options.AtStart runs, and keeps the other tables waiting
// for the end of both.
func (f *Follower) readAtStart() {
	f.setStarting(true)
	defer f.setStarting(false)
	done := make(chan struct{})
	f.wg.Go(func() {
		defer close(done)
		f.opts.AtStart(f.ctx)
	})
	f.read(f.opts.PolledTable, 0)
	timer := time.NewTimer(startPatience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// setStarting sets whether the other tables wait, and wakes those that do.
func (f *Follower) setStarting(starting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starting = starting
	close(f.readable)
	f.readable = make(chan struct{})
}

// loop reads a table that is not polled, while this router reads the polled one. It waits
// for another poll after the first page: by then, a router that started knows whether it
// has to read the feed, and saves the long call otherwise.
func (f *Follower) loop(table amaranthtide.FeedTable) {
	for f.awaitReadable() {
		_, known := f.opts.Rows.Version(table).Get()
		f.read(table, feedWait)
		if !known {
			f.awaitPoll()
		}
	}
}

// read calls the feed for a table, applies and relays the result, and waits until the next
// call is due. After a failure it calls without a wait, so that the recovery of the feed is
// detected immediately.
func (f *Follower) read(table amaranthtide.FeedTable, wait time.Duration) {
	if f.hasFailed(table) {
		wait = 0
	}
	started := time.Now()
	after := f.opts.Rows.Version(table)
	page, err := f.callFeed(table, after, wait)
	now := time.Now()
	if err != nil {
		meanWait := f.recordFailure(now, table, err)
		f.sleep(meanWait/2 + rand.N(meanWait))
		return
	}
	completes := f.recordSuccess(now, table, earliest(now, started.Add(wait+maxAnswerDelay)), page.Version)
	changed := f.Apply(now, table, page)
	f.relay(now, table, after, len(changed) > 0, completes)
	if table == f.opts.PolledTable {
		f.checkTables(now)
	}
	if len(page.Rows) > 0 && slices.Contains(f.opts.BatchedTables, table) {
		f.sleep(batchInterval)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *Follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}
