// Package feed holds the rows that the platform's feed delivered, with their versions,
// so that a router can forward them to routers that can't reach the feed.
//
// # Usage
//
//	t := feed.New()
//	changed := t.Apply("servers", page) // new, changed and removed rows
//	page, ok := t.Since("servers", 41)
//
// An older version of a row never replaces a newer one.
package feed

import (
	"cmp"
	"slices"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// maxRemoved bounds the removed rows that are kept per table. A router that missed
// more removals gets the whole table.
const maxRemoved = 1024

// Tables holds the rows of several tables. It is safe for concurrent use. Create one
// with New.
type Tables struct {
	tables *shard.Map[amaranthtide.FeedTable, *table]
}

type table struct {
	// version is the version up to which all changes were applied.
	version amaranthtide.RowVersion
	// maxRowVersion is the highest version of any delivered row.
	maxRowVersion amaranthtide.RowVersion
	// removalsAfter is the version after which all removals are kept.
	removalsAfter amaranthtide.RowVersion
	// rows includes removed rows, which have no value.
	rows map[string]amaranthtide.FeedRow
	// removedCount is the number of removed rows in rows.
	removedCount int
}

// New returns Tables without rows.
func New() *Tables {
	return &Tables{shard.New[amaranthtide.FeedTable, *table]()}
}

// Version returns the version up to which the table is complete; absent if no page of
// the table was applied. A known table without rows may have version 0.
func (t *Tables) Version(name amaranthtide.FeedTable) amaranthtide.Option[amaranthtide.RowVersion] {
	v := amaranthtide.None[amaranthtide.RowVersion]()
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			v = amaranthtide.Some(tab.version)
		}
	})
	return v
}

// MaxRowVersion returns the highest version of any delivered row of the table; 0 if
// there was none.
func (t *Tables) MaxRowVersion(name amaranthtide.FeedTable) amaranthtide.RowVersion {
	var newest amaranthtide.RowVersion
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			newest = tab.maxRowVersion
		}
	})
	return newest
}

// Apply applies a page of a table and returns the new, changed and removed rows in the
// order of their versions. A removed row has no value.
func (t *Tables) Apply(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	var changed []amaranthtide.FeedRow
	t.tables.Update(name, func(tab *table, ok bool) (*table, bool) {
		if !ok {
			tab = &table{rows: make(map[string]amaranthtide.FeedRow)}
		}
		changed = tab.apply(name, page)
		return tab, true
	})
	slices.SortStableFunc(changed, func(a, b amaranthtide.FeedRow) int { return cmp.Compare(a.Version, b.Version) })
	return changed
}

func (t *table) apply(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	var changed []amaranthtide.FeedRow
	listed := amaranthtide.NewSet[string]()
	for _, row := range page.Rows {
		t.maxRowVersion = max(t.maxRowVersion, row.Version)
		listed.Add(row.Key)
		if t.put(row) {
			changed = append(changed, row)
		}
	}
	if page.Whole && page.Version >= t.version {
		for key, row := range t.rows {
			if listed.Has(key) || row.Value == nil || row.Version > page.Version {
				continue
			}
			removal := amaranthtide.FeedRow{Table: name, Key: key, Version: page.Version}
			t.put(removal)
			changed = append(changed, removal)
		}
		if t.version == 0 {
			t.removalsAfter = page.Version
		}
	}
	t.version = max(t.version, page.Version)
	t.prune()
	return changed
}

// put stores a row unless the stored version is at least as new. It reports whether
// Apply returns the row: the removal of an unknown row is stored but not returned.
func (t *table) put(row amaranthtide.FeedRow) bool {
	old, ok := t.rows[row.Key]
	if ok && row.Version <= old.Version {
		return false
	}
	// The table is complete up to its version: an unknown row of that age was removed, and
	// comes from a late message or from a router with an older table.
	if !ok && row.Version <= t.version {
		return false
	}
	if row.Value == nil && (!ok || old.Value != nil) {
		t.removedCount++
	}
	if row.Value != nil && ok && old.Value == nil {
		t.removedCount--
	}
	t.rows[row.Key] = row
	return ok || row.Value != nil
}

// prune drops all removed rows once there are more than maxRemoved.
func (t *table) prune() {
	if t.removedCount <= maxRemoved {
		return
	}
	for key, row := range t.rows {
		if row.Value == nil {
			delete(t.rows, key)
		}
	}
	t.removedCount, t.removalsAfter = 0, t.version
}

// Since returns the changes after a version, or the whole table if the removals since
// then are no longer kept. It returns false if the table is unknown or unchanged.
func (t *Tables) Since(name amaranthtide.FeedTable, after amaranthtide.RowVersion) (amaranthtide.FeedPage, bool) {
	page := amaranthtide.FeedPage{}
	t.tables.With(name, func(tab *table, ok bool) {
		if !ok || tab.version <= after {
			return
		}
		page.Version = tab.version
		page.Whole = after < tab.removalsAfter
		for _, row := range tab.rows {
			if page.Whole && row.Value != nil || !page.Whole && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
	})
	slices.SortFunc(page.Rows, func(a, b amaranthtide.FeedRow) int { return cmp.Compare(a.Version, b.Version) })
	return page, page.Version > 0
}
