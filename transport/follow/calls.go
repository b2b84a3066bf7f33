package follow

import (
	"context"
	"time"

	"amaranthtide"
)

// callFeed reads the next page of a table from the feed. Behind and recordFailure may
// cancel the call.
func (f *Follower) callFeed(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion], wait time.Duration) (amaranthtide.FeedPage, error) {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelCalls[table] = cancel
	f.mu.Unlock()
	page, err := f.opts.Feed.Next(ctx, table, after, wait)
	f.opts.Observe(table, err)
	return page, err
}

// Behind compares this router's version of a table with the newest row that another router
// knows. It reports true if this router has lagged behind without progress for maxLag, and
// then cancels the call in flight, whose connection is assumed to be lost.
func (f *Follower) Behind(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.StoreVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{})
	if age, behind := f.reported.Behind(now, table, version, newest); !behind || age < maxLag {
		return false
	}
	f.reported.Forget(table)
	if cancel, ok := f.cancelCalls[table]; ok {
		cancel()
	}
	f.opts.Logger.Warn("feed is behind other routers", "table", table, "version", version.String(), "newest", newest.String())
	return true
}

// recordFailure records a failed call and returns the mean wait before the next one. If
// the polled table can't be read, the other calls in flight probably hang as well and are
// canceled.
func (f *Follower) recordFailure(now time.Time, table amaranthtide.FeedTable, err error) time.Duration {
	position := f.opts.Position(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return time.Millisecond
	}
	failed, repeated := f.failures[table]
	if !repeated {
		failed.since = now
		f.opts.Logger.Warn("feed lost", "table", table, "version", f.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{}).String(), "error", err)
		if table == f.opts.PolledTable {
			for _, cancel := range f.cancelCalls {
				cancel()
			}
		}
	}
	failed.calls++
	f.failures[table] = failed
	f.own.Failed(table)
	f.updateListReadability(now)
	return f.opts.Schedule.RetryWait(position, failed.calls)
}

// recordSuccess records a call that confirmed the table as of the given time, and named the newest
// version of the store. It reports whether it was the last table that the own view lacked.
func (f *Follower) recordSuccess(now time.Time, table amaranthtide.FeedTable, confirmedAt time.Time, newest amaranthtide.StoreVersion) (completes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.ownView()
	f.own.Answered(table, confirmedAt)
	if failed, ok := f.failures[table]; ok {
		delete(f.failures, table)
		f.opts.Logger.Info("feed returned", "table", table, "away", now.Sub(failed.since), "calls", failed.calls)
	}
	if table == f.opts.PolledTable {
		f.confirmOthers(now, confirmedAt, newest)
		f.updateListReadability(now)
		close(f.readable)
		f.readable = make(chan struct{})
	}
	return table != f.opts.PolledTable && f.ownView().After(before)
}

// ownView returns the time as of which this router's own calls have confirmed its copies of all tables; zero
// if they never have. The caller holds mu.
func (f *Follower) ownView() time.Time { return f.own.At(f.opts.Tables...) }

// relay relays what a call for a table has shown: its changes, and that this router reads the polled table,
// or, once an answer for another table completes its view, all of them.
func (f *Follower) relay(now time.Time, table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.StoreVersion], changed, completesView bool) {
	if !f.mustRelay(now) {
		return
	}
	if changed || table == f.opts.PolledTable {
		f.opts.Relay(table, after)
	} else if completesView {
		f.opts.Relay(f.opts.PolledTable, f.opts.Rows.Version(f.opts.PolledTable))
	}
}

// confirmOthers records what an answer for the polled table, which names the newest version of the
// store, says of the other tables. The caller holds mu.
func (f *Follower) confirmOthers(now, at time.Time, newest amaranthtide.StoreVersion) {
	var unconfirmed amaranthtide.FeedTable
	for _, table := range f.opts.Tables {
		version, known := f.opts.Rows.Version(table).Get()
		if table != f.opts.PolledTable && known && !f.own.Named(table, at, version, newest) {
			unconfirmed = table
		}
	}
	if unconfirmed == f.unconfirmedTable {
		return
	}
	f.unconfirmedTable = unconfirmed
	if unconfirmed == "" {
		f.opts.Logger.Info("answers of the feed confirm all tables", "newest", newest.String())
		return
	}
	f.opts.Logger.Warn("answers of the feed don't confirm a table", "table", unconfirmed, "newest", newest.String(),
		"version", f.opts.Rows.Version(unconfirmed).Or(amaranthtide.StoreVersion{}).String(), "since", now.Sub(f.own.At(unconfirmed)))
}

// TableAges returns, for each table, the time since this router's own calls last confirmed its copy; tables
// that they never have are missing.
func (f *Follower) TableAges(now time.Time) map[amaranthtide.FeedTable]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make(map[amaranthtide.FeedTable]time.Duration)
	for _, table := range f.opts.Tables {
		if age, ok := viewAge(now, f.own.At(table)).Get(); ok {
			ages[table] = age
		}
	}
	return ages
}

func (f *Follower) hasFailed(table amaranthtide.FeedTable) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.failures[table]
	return ok
}

// awaitPoll waits until this router reads the polled table the next time, but not longer
// than a poll may take.
func (f *Follower) awaitPoll() {
	f.mu.Lock()
	next := f.readable
	f.mu.Unlock()
	timer := time.NewTimer(f.opts.Schedule.Poll + maxAnswerDelay)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// awaitReadable waits until this router reads the polled table without failures. It
// returns false once the Follower is closed.
func (f *Follower) awaitReadable() bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		_, failing := f.failures[f.opts.PolledTable]
		ready, next := f.reads && !failing && !f.starting && !f.own.At(f.opts.PolledTable).IsZero(), f.readable
		f.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-next:
		case <-f.ctx.Done():
		}
	}
	return false
}
