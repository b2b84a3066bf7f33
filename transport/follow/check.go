package follow

import (
	"time"

	"amaranthtide"
)

// checkTables is called after each answer for the polled table. It reads each other table
// whose version has stayed behind the polled one for the time of a poll: the versions of all
// tables come from one counter, so its waiting call may have missed a change. Without this
// check, a call that the feed didn't wake delayed a configuration by feedWait.
func (f *Follower) checkTables(now time.Time) {
	newest := f.opts.Rows.Version(f.opts.PolledTable).Or(amaranthtide.StoreVersion{})
	for _, table := range f.opts.Tables {
		version, known := f.opts.Rows.Version(table).Get()
		if table != f.opts.PolledTable && known && f.mustCheck(now, table, version, newest) {
			f.wg.Go(func() { f.checkTable(table) })
		}
	}
}

// mustCheck reports whether a table has stayed at a version before the newest one for the time
// of a poll since the last check. A change in transfer usually arrives within that time.
func (f *Follower) mustCheck(now time.Time, table amaranthtide.FeedTable, version, newest amaranthtide.StoreVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, behind := f.unchecked.Behind(now, table, version, newest)
	_, failing := f.failures[table] // its calls are repeated
	if !behind || failing || f.checking.Has(table) {
		return false
	}
	// The waiting call may have been made in another history, or by a router that hasn't read since.
	unknown := version.Era() < newest.Era() || !f.own.HasAnswer(table)
	if !unknown && age < f.opts.Schedule.Poll {
		return false
	}
	f.unchecked.Restart(now, table, version)
	f.checking.Add(table)
	return true
}

// checkTable reads the changes of a table without a wait, while its waiting call stays in
// flight. If that call has missed changes, it is canceled. A failed check is repeated after a
// later poll.
func (f *Follower) checkTable(table amaranthtide.FeedTable) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.checking.Remove(table)
	}()
	after := f.opts.Rows.Version(table)
	started := time.Now()
	page, err := f.opts.Feed.Next(f.ctx, table, after, 0)
	f.opts.Observe(table, err)
	now := time.Now()
	completes := f.recordCheck(table, earliest(now, started.Add(maxAnswerDelay)), err)
	if err != nil {
		return
	}
	changed := f.Apply(now, table, page)
	if len(changed) == 0 {
		f.relay(now, table, after, false, completes)
		return
	}
	f.opts.Logger.Warn("waiting call missed changes", "table", table, "version", after.Or(amaranthtide.StoreVersion{}).String(), "newest", page.Version.String())
	f.cancelCall(table)
	f.relay(now, table, after, true, completes)
}

// recordCheck records the end of a check, whose answer confirms the table as of the given time. It reports
// whether it was the last table that the own view lacked.
func (f *Follower) recordCheck(table amaranthtide.FeedTable, confirmedAt time.Time, err error) (completes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.ownView()
	switch {
	case err == nil:
		f.own.Answered(table, confirmedAt)
	case f.ctx.Err() == nil:
		f.own.Failed(table)
		f.opts.Logger.Warn("check of a table failed", "table", table, "error", err)
	}
	return f.ownView().After(before)
}

// cancelCall cancels a table's call in flight.
func (f *Follower) cancelCall(table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel, ok := f.cancelCalls[table]; ok {
		cancel()
	}
}
