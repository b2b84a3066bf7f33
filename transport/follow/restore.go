package follow

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/restore"
)

// applyRestored applies the first page of a table after the store has come back from an older copy, or a page
// of a router that holds rows against such a copy. It returns the rows that changed. The caller holds mu.
func (f *Follower) applyRestored(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage, e *effects) []amaranthtide.FeedRow {
	before := f.opts.Rows.Version(table).Or(amaranthtide.StoreVersion{})
	changed := f.opts.Rows.Apply(table, page)
	restoredAt := now.Add(-page.RestoreAge) // 0 for a page of the feed
	f.restoredAt[table] = restoredAt
	held := f.opts.Rows.Held(table)
	differs := amaranthtide.NewSet[string]()
	for _, row := range held {
		differs.Add(row.Key)
	}
	for _, row := range changed {
		if !differs.Has(row.Key) {
			f.applyRow(now, row, e)
		}
	}
	keeps := 0
	for _, row := range held {
		copied := f.opts.Rows.Row(table, row.Key)
		v := restore.Decide(restoredAt, f.decode(now, row), f.decodeStored(now, copied))
		if !v.Keeps(now) {
			f.release(now, rowKey{table, row.Key}, e)
			continue
		}
		keeps++
		f.kept[rowKey{table, row.Key}] = v
		f.applyRow(now, row, e)
		f.restoreState(now, row, copied)
	}
	f.opts.Logger.Warn("store came back from an older copy", "table", table, "oldEra", uint64(before.Era()), "era", uint64(page.Version.Era()),
		"versionBefore", before.String(), "version", page.Version.String(), "rows", len(page.Rows), "differ", len(held), "kept", keeps)
	return changed
}

// decode returns the content of a row, absent if it is removed, malformed or not used. applyRow logs what is
// malformed.
func (f *Follower) decode(now time.Time, row amaranthtide.FeedRow) amaranthtide.Option[amaranthtide.DecodedRow] {
	if row.Value == nil {
		return amaranthtide.None[amaranthtide.DecodedRow]()
	}
	decoded, err := f.opts.Decoder.Decode(now, row)
	if err != nil {
		return amaranthtide.None[amaranthtide.DecodedRow]()
	}
	return amaranthtide.Some(decoded)
}

func (f *Follower) decodeStored(now time.Time, row amaranthtide.Option[amaranthtide.FeedRow]) amaranthtide.Option[amaranthtide.DecodedRow] {
	r, ok := row.Get()
	if !ok {
		return amaranthtide.None[amaranthtide.DecodedRow]()
	}
	return f.decode(now, r)
}

// restoreState passes the state of a rollout, which is to be written again, and the version of the row that
// the store has instead.
func (f *Follower) restoreState(now time.Time, row amaranthtide.FeedRow, copied amaranthtide.Option[amaranthtide.FeedRow]) {
	decoded, _ := f.decode(now, row).Get()
	state, ok := decoded.RolloutState.Get()
	if !ok || f.opts.Rollouts == nil {
		return
	}
	version := amaranthtide.StoreVersion{}
	if r, ok := copied.Get(); ok {
		version = r.Version
	}
	f.opts.Rollouts.StateLost(now, state.Service, version)
}

// stillKept reports whether the row that was known before a restore holds against one that has been written
// since. The caller holds mu.
func (f *Follower) stillKept(now time.Time, row amaranthtide.FeedRow) bool {
	v, ok := f.kept[rowKey{row.Table, row.Key}]
	if !ok || !v.Until.IsZero() {
		return false
	}
	for _, held := range f.opts.Rows.Held(row.Table) {
		if held.Key == row.Key {
			return restore.Decide(now, f.decode(now, held), f.decode(now, row)).Keeps(now)
		}
	}
	return false
}

// applyChanged applies a row that has changed in the store, which ends what was held against it. The caller
// holds mu.
func (f *Follower) applyChanged(now time.Time, row amaranthtide.FeedRow, e *effects) {
	if f.stillKept(now, row) {
		return
	}
	delete(f.kept, rowKey{row.Table, row.Key})
	f.opts.Rows.Release(row.Table, row.Key)
	f.applyRow(now, row, e)
}

// release goes by the row of the store from now on. The caller holds mu.
func (f *Follower) release(now time.Time, key rowKey, e *effects) {
	delete(f.kept, key)
	f.opts.Rows.Release(key.table, key.key)
	row, ok := f.opts.Rows.Row(key.table, key.key).Get()
	if !ok {
		row = amaranthtide.FeedRow{Table: key.table, Key: key.key, Version: f.opts.Rows.Version(key.table).Or(amaranthtide.StoreVersion{})}
	}
	f.applyRow(now, row, e)
}

// releaseKept releases the rows whose time has passed. The caller holds mu.
func (f *Follower) releaseKept(now time.Time, e *effects) (released int) {
	for key, v := range f.kept {
		if !v.Keeps(now) {
			f.release(now, key, e)
			released++
		}
	}
	return released
}

// restoredEarlier records that the store had come back with a table before this router learned of it, because
// it was suspended or cut off. What it keeps for the time in which rows are written again ends as at the
// other routers. The caller holds mu.
func (f *Follower) restoredEarlier(table amaranthtide.FeedTable, at time.Time) {
	learned, ok := f.restoredAt[table]
	if !ok || !at.Before(learned) {
		return
	}
	f.restoredAt[table] = at
	for key, v := range f.kept {
		if key.table == table && !v.Until.IsZero() {
			v.Until = v.Until.Add(at.Sub(learned))
			f.kept[key] = v
		}
	}
}

// RestoreAge returns the time since this router learned that the store has come back from an older copy of the
// table; 0 if it hasn't.
func (f *Follower) RestoreAge(now time.Time, table amaranthtide.FeedTable) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.restoredAt[table]
	if !ok {
		return 0
	}
	return max(0, now.Sub(at))
}

// Kept returns the number of rows that this router holds against those of the store.
func (f *Follower) Kept() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.kept)
}
