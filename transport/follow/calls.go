package follow

import (
	"context"
	"time"

	"amaranthtide"
)

// callFeed reads the next page of a table from the feed. Behind may cancel the call.
func (f *Follower) callFeed(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.RowVersion], wait time.Duration) (amaranthtide.FeedPage, error) {
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
func (f *Follower) Behind(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.RowVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.opts.Rows.Version(table).Or(0)
	if version >= newest {
		delete(f.lags, table)
		return false
	}
	lagging, ok := f.lags[table]
	if !ok || lagging.version != version {
		f.lags[table] = lag{now, version}
		return false
	}
	if now.Sub(lagging.since) < maxLag {
		return false
	}
	delete(f.lags, table)
	if cancel, ok := f.cancelCalls[table]; ok {
		cancel()
	}
	f.opts.Logger.Warn("feed is behind other routers", "table", table, "version", version, "newest", newest)
	return true
}

// recordFailure records a failed call and returns the mean wait before the next one.
func (f *Follower) recordFailure(now time.Time, table amaranthtide.FeedTable, err error) time.Duration {
	if f.ctx.Err() != nil {
		return minRetryWait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, repeated := f.failures[table]
	if !repeated {
		failed.since = now
		f.opts.Logger.Warn("feed lost", "table", table, "version", f.opts.Rows.Version(table).Or(0), "error", err)
	}
	failed.calls++
	f.failures[table] = failed
	f.updateListReadability(now)
	return min(minRetryWait<<min(failed.calls-1, maxDoublings), maxRetryWait)
}

// maxDoublings suffices to get from minRetryWait to maxRetryWait.
const maxDoublings = 4

func (f *Follower) recordSuccess(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, ok := f.failures[table]
	if !ok {
		return
	}
	delete(f.failures, table)
	f.updateListReadability(now)
	f.opts.Logger.Info("feed returned", "table", table, "away", now.Sub(failed.since), "calls", failed.calls)
}

func (f *Follower) hasFailed(table amaranthtide.FeedTable) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.failures[table]
	return ok
}

// updateListReadability sets whether the server list can be read, by this router or by
// another one. Only then are removals from it final. The caller holds mu.
func (f *Follower) updateListReadability(now time.Time) {
	_, failing := f.failures[f.opts.RelayedTable]
	if (failing || !f.readsRelayed) && now.Sub(f.peerReadAt) > peerReadTimeout {
		f.serverList.MarkUnreadable()
		return
	}
	f.serverList.MarkReadable(now)
}

// UnavailableTables returns the tables whose feed has failed for at least unavailableAfter.
func (f *Follower) UnavailableTables(now time.Time) []amaranthtide.FeedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unavailable []amaranthtide.FeedTable
	for _, table := range f.opts.Tables {
		if failed, ok := f.failures[table]; ok && now.Sub(failed.since) >= unavailableAfter {
			unavailable = append(unavailable, table)
		}
	}
	return unavailable
}

// Reading reports whether this router reads the table from the feed and the last call
// succeeded.
func (f *Follower) Reading(_ time.Time, table amaranthtide.FeedTable) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, failing := f.failures[table]
	return !failing && (table != f.opts.RelayedTable || f.readsRelayed)
}
