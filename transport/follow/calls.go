package follow

import (
	"context"
	"time"

	"amaranthtide"
)

// next calls the feed. Behind may end the call.
func (f *Follower) next(table amaranthtide.FeedTable, after amaranthtide.Option[amaranthtide.RowVersion], wait time.Duration) (amaranthtide.FeedPage, error) {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	f.mu.Lock()
	f.calls[table] = cancel
	f.mu.Unlock()
	page, err := f.opts.Feed.Next(ctx, table, after, wait)
	f.opts.Observe(table, err)
	return page, err
}

// Behind takes the version of the newest row of a table that another router knows. It
// reports whether this router should have that row by now, since nothing has come for a
// while: the call in flight is then lost, and ends.
func (f *Follower) Behind(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.RowVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.opts.Rows.Version(table).Or(0)
	if version >= newest {
		delete(f.behind, table)
		return false
	}
	known, ok := f.behind[table]
	if !ok || known.version != version {
		f.behind[table] = lag{now, version}
		return false
	}
	if now.Sub(known.since) < behindAge {
		return false
	}
	delete(f.behind, table)
	if cancel, ok := f.calls[table]; ok {
		cancel()
	}
	f.opts.Logger.Warn("feed is behind other routers", "table", table, "version", version, "newest", newest)
	return true
}

// lost notes a failed call and returns the mean wait until the next one.
func (f *Follower) lost(now time.Time, table amaranthtide.FeedTable, err error) time.Duration {
	if f.ctx.Err() != nil {
		return retryWait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, again := f.failing[table]
	if !again {
		failed.since = now
		f.opts.Logger.Warn("feed lost", "table", table, "version", f.opts.Rows.Version(table).Or(0), "error", err)
	}
	failed.calls++
	f.failing[table] = failed
	f.updateListing(now)
	return min(retryWait<<min(failed.calls-1, maxDoublings), maxRetryWait)
}

// maxDoublings is enough to get from retryWait to maxRetryWait.
const maxDoublings = 4

func (f *Follower) returned(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, ok := f.failing[table]
	if !ok {
		return
	}
	delete(f.failing, table)
	f.updateListing(now)
	f.opts.Logger.Info("feed returned", "table", table, "away", now.Sub(failed.since), "calls", failed.calls)
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
		if failed, ok := f.failing[table]; ok && now.Sub(failed.since) >= awayAfter {
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
