// Package feed holds the rows that the platform's feed delivered, with their versions,
// so that a router can forward them to routers that can't reach the feed.
//
// # Usage
//
//	t := feed.New()
//	changed := t.Apply("servers", page) // new, changed and removed rows
//	page, ok := t.Since("servers", 41)
//
// An older version of a row never replaces a newer one, and a page of an earlier era changes nothing. The
// first page of a later era has to be whole. The rows that were known before and that the store lacks, or
// has in another form, are then held until they are released: the store may have come back without them.
//
//	if t.Restores("servers", page) {
//		changed = t.Apply("servers", page)
//		for _, row := range t.Held("servers") {
//			// Either it still holds, or: t.Release("servers", row.Key)
//		}
//	}
package feed

import (
	"bytes"
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
	version amaranthtide.StoreVersion
	// maxRowVersion is the highest version of any delivered row.
	maxRowVersion amaranthtide.StoreVersion
	// removalsAfter is the version after which all removals are kept.
	removalsAfter amaranthtide.StoreVersion
	// rows includes removed rows, which have no value.
	rows map[string]amaranthtide.FeedRow
	// removedCount is the number of removed rows in rows.
	removedCount int
	// held holds the rows of earlier eras that were known before the store came back, by key.
	held map[string]amaranthtide.FeedRow
}

// New returns Tables without rows.
func New() *Tables {
	return &Tables{shard.New[amaranthtide.FeedTable, *table]()}
}

// Version returns the version up to which the table is complete; absent if no page of
// the table was applied. A known table without rows may have version 0.
func (t *Tables) Version(name amaranthtide.FeedTable) amaranthtide.Option[amaranthtide.StoreVersion] {
	v := amaranthtide.None[amaranthtide.StoreVersion]()
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			v = amaranthtide.Some(tab.version)
		}
	})
	return v
}

// MaxRowVersion returns the highest version of any delivered row of the table; the lowest one of the
// table's era if there was none.
func (t *Tables) MaxRowVersion(name amaranthtide.FeedTable) amaranthtide.StoreVersion {
	var newest amaranthtide.StoreVersion
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			newest = tab.maxRowVersion.Max(amaranthtide.NewStoreVersion(tab.version.Era(), 0))
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
	slices.SortStableFunc(changed, func(a, b amaranthtide.FeedRow) int { return a.Version.Compare(b.Version) })
	return changed
}

// Restores reports whether the page is the first one of a later era that Apply accepts: the store has come
// back from an older copy, or another router holds rows against such a copy.
func (t *Tables) Restores(name amaranthtide.FeedTable, page amaranthtide.FeedPage) bool {
	version, known := t.Version(name).Get()
	if !known {
		return page.Whole && len(page.Held) > 0
	}
	return page.Whole && page.Version.Era() > version.Era()
}

// Held returns the rows that outlive a restore, in the order of their versions.
func (t *Tables) Held(name amaranthtide.FeedTable) []amaranthtide.FeedRow {
	var rows []amaranthtide.FeedRow
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			rows = tab.heldRows()
		}
	})
	return rows
}

// IsHeld reports whether a row with the key is held: the store lacks it, or has it in another form.
func (t *Tables) IsHeld(name amaranthtide.FeedTable, key string) bool {
	held := false
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			_, held = tab.held[key]
		}
	})
	return held
}

// Release forgets a held row.
func (t *Tables) Release(name amaranthtide.FeedTable, key string) {
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			delete(tab.held, key)
		}
	})
}

// Row returns the row that the store has, absent if it has none or the table is unknown.
func (t *Tables) Row(name amaranthtide.FeedTable, key string) amaranthtide.Option[amaranthtide.FeedRow] {
	out := amaranthtide.None[amaranthtide.FeedRow]()
	t.tables.With(name, func(tab *table, ok bool) {
		if !ok {
			return
		}
		if row, ok := tab.rows[key]; ok && row.Value != nil {
			out = amaranthtide.Some(row)
		}
	})
	return out
}

func (t *table) apply(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	switch page.Version.Compare(t.version) {
	case 1:
		if page.Version.Era() > t.version.Era() && !t.version.IsZero() {
			return t.restore(name, page)
		}
	case -1:
		if page.Version.Era() < t.version.Era() {
			return nil
		}
	}
	if t.version.IsZero() {
		t.hold(page.Held)
	}
	var changed []amaranthtide.FeedRow
	listed := amaranthtide.NewSet[string]()
	for _, row := range page.Rows {
		if row.Version.Era() > max(t.version.Era(), page.Version.Era()) {
			continue // its table has to be read as a whole first
		}
		t.maxRowVersion = t.maxRowVersion.Max(row.Version)
		listed.Add(row.Key)
		if t.put(row) {
			changed = append(changed, row)
		}
	}
	if page.Whole && !page.Version.Before(t.version) {
		for key, row := range t.rows {
			if listed.Has(key) || row.Value == nil || row.Version.After(page.Version) {
				continue
			}
			removal := amaranthtide.FeedRow{Table: name, Key: key, Version: page.Version}
			t.put(removal)
			changed = append(changed, removal)
		}
		if t.version.IsZero() {
			t.removalsAfter = page.Version
		}
	}
	t.version = t.version.Max(page.Version)
	t.prune()
	return changed
}

// restore replaces the rows by those of the first page of a later era, and holds what was known before and
// differs. Removed rows are held only if the page has them again. A page that isn't whole changes nothing.
func (t *table) restore(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	if !page.Whole {
		return nil
	}
	known := t.rows
	for key, row := range t.held {
		known[key] = row
	}
	*t = table{version: page.Version, removalsAfter: page.Version, rows: make(map[string]amaranthtide.FeedRow, len(page.Rows))}
	changed := slices.Clone(page.Rows)
	for _, row := range page.Rows {
		t.rows[row.Key] = row
		t.maxRowVersion = t.maxRowVersion.Max(row.Version)
	}
	var held []amaranthtide.FeedRow
	for key, row := range known {
		copied, listed := t.rows[key]
		if row.Value != nil && !listed {
			changed = append(changed, amaranthtide.FeedRow{Table: name, Key: key, Version: page.Version})
		}
		if listed != (row.Value != nil) || !bytes.Equal(row.Value, copied.Value) {
			held = append(held, row)
		}
	}
	t.hold(held)
	t.hold(page.Held)
	return changed
}

// hold adds rows to those held, of which the latest one of each key stays.
func (t *table) hold(rows []amaranthtide.FeedRow) {
	for _, row := range rows {
		if t.held == nil {
			t.held = make(map[string]amaranthtide.FeedRow)
		}
		if old, ok := t.held[row.Key]; !ok || old.Version.Before(row.Version) {
			t.held[row.Key] = row
		}
	}
}

func (t *table) heldRows() []amaranthtide.FeedRow {
	var rows []amaranthtide.FeedRow
	for _, row := range t.held {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b amaranthtide.FeedRow) int { return a.Version.Compare(b.Version) })
	return rows
}

// put stores a row unless the stored version is at least as new. It reports whether
// Apply returns the row: the removal of an unknown row is stored but not returned.
func (t *table) put(row amaranthtide.FeedRow) bool {
	old, ok := t.rows[row.Key]
	if ok && !row.Version.After(old.Version) {
		return false
	}
	// The table is complete up to its version: an unknown row of that age was removed, and
	// comes from a late message or from a router with an older table.
	if !ok && !row.Version.After(t.version) {
		return false
	}
	if row.Value == nil && (!ok || old.Value != nil) {
		t.removedCount++
	}
	if row.Value != nil && ok && old.Value == nil {
		t.removedCount--
	}
	t.rows[row.Key] = row
	_, held := t.held[row.Key]
	return ok || row.Value != nil || held
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
func (t *Tables) Since(name amaranthtide.FeedTable, after amaranthtide.StoreVersion) (amaranthtide.FeedPage, bool) {
	page := amaranthtide.FeedPage{}
	t.tables.With(name, func(tab *table, ok bool) {
		if !ok || !tab.version.After(after) {
			return
		}
		page.Version = tab.version
		page.Whole = after.Before(tab.removalsAfter)
		if page.Whole {
			page.Held = tab.heldRows()
		}
		for _, row := range tab.rows {
			if page.Whole && row.Value != nil || !page.Whole && row.Version.After(after) {
				page.Rows = append(page.Rows, row)
			}
		}
	})
	slices.SortFunc(page.Rows, func(a, b amaranthtide.FeedRow) int { return a.Version.Compare(b.Version) })
	return page, !page.Version.IsZero()
}
