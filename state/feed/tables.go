// Package feed holds the rows that the platform's feed delivered, with their versions, so
// that routers can pass them on to routers that don't reach the feed.
//
// # Usage
//
//	t := feed.New()
//	changed := t.Apply("servers", page) // rows that are news, removals included
//	page := t.Since("servers", 41)
//
// A row never gives way to an older version of itself.
package feed

import (
	"cmp"
	"slices"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// maxRemoved bounds the removals that are remembered per table. A router that
// missed more gets the whole table.
const maxRemoved = 1024

// Tables is concurrent-safe. Use New.
type Tables struct {
	tables *shard.Map[amaranthtide.FeedTable, *table]
}

type table struct {
	version amaranthtide.RowVersion
	// newest is the greatest version of a row that was delivered.
	newest amaranthtide.RowVersion
	// from is the version from which removals are remembered.
	from    amaranthtide.RowVersion
	rows    map[string]amaranthtide.FeedRow
	removed int
}

// New returns Tables without rows.
func New() *Tables {
	return &Tables{shard.New[amaranthtide.FeedTable, *table]()}
}

// Version returns the version up to which the table is known; absent if it is not.
// An empty table may be known up to version 0.
func (t *Tables) Version(name amaranthtide.FeedTable) amaranthtide.Option[amaranthtide.RowVersion] {
	v := amaranthtide.None[amaranthtide.RowVersion]()
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			v = amaranthtide.Some(tab.version)
		}
	})
	return v
}

// Newest returns the greatest version of a row of the table that was delivered; 0 if
// there was none.
func (t *Tables) Newest(name amaranthtide.FeedTable) amaranthtide.RowVersion {
	var newest amaranthtide.RowVersion
	t.tables.With(name, func(tab *table, ok bool) {
		if ok {
			newest = tab.newest
		}
	})
	return newest
}

// Apply takes a page of a table and returns the rows that are news, in the order of
// their versions. A removed row has no value.
func (t *Tables) Apply(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	var news []amaranthtide.FeedRow
	t.tables.Update(name, func(tab *table, ok bool) (*table, bool) {
		if !ok {
			tab = &table{rows: make(map[string]amaranthtide.FeedRow)}
		}
		news = tab.apply(name, page)
		return tab, true
	})
	slices.SortStableFunc(news, func(a, b amaranthtide.FeedRow) int { return cmp.Compare(a.Version, b.Version) })
	return news
}

func (t *table) apply(name amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	var news []amaranthtide.FeedRow
	listed := amaranthtide.NewSet[string]()
	for _, row := range page.Rows {
		t.newest = max(t.newest, row.Version)
		listed.Add(row.Key)
		if t.put(row) {
			news = append(news, row)
		}
	}
	if page.Whole && page.Version >= t.version {
		for key, row := range t.rows {
			if listed.Has(key) || row.Value == nil || row.Version > page.Version {
				continue
			}
			gone := amaranthtide.FeedRow{Table: name, Key: key, Version: page.Version}
			t.put(gone)
			news = append(news, gone)
		}
		if t.version == 0 {
			t.from = page.Version
		}
	}
	t.version = max(t.version, page.Version)
	t.prune()
	return news
}

func (t *table) put(row amaranthtide.FeedRow) bool {
	old, ok := t.rows[row.Key]
	if ok && row.Version <= old.Version {
		return false
	}
	if row.Value == nil && (!ok || old.Value != nil) {
		t.removed++
	}
	if row.Value != nil && ok && old.Value == nil {
		t.removed--
	}
	t.rows[row.Key] = row
	return ok || row.Value != nil
}

// prune forgets all removals once there are too many.
func (t *table) prune() {
	if t.removed <= maxRemoved {
		return
	}
	for key, row := range t.rows {
		if row.Value == nil {
			delete(t.rows, key)
		}
	}
	t.removed, t.from = 0, t.version
}

// Since returns what changed after a version: the whole table if the removals since
// then are not known. It returns false if the table isn't known or nothing changed.
func (t *Tables) Since(name amaranthtide.FeedTable, after amaranthtide.RowVersion) (amaranthtide.FeedPage, bool) {
	page := amaranthtide.FeedPage{}
	t.tables.With(name, func(tab *table, ok bool) {
		if !ok || tab.version <= after {
			return
		}
		page.Version = tab.version
		page.Whole = after < tab.from
		for _, row := range tab.rows {
			if page.Whole && row.Value != nil || !page.Whole && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
	})
	slices.SortFunc(page.Rows, func(a, b amaranthtide.FeedRow) int { return cmp.Compare(a.Version, b.Version) })
	return page, page.Version > 0
}
