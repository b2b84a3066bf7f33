package feed_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/state/feed"
)

const table = amaranthtide.FeedTable("t")

func row(key string, version amaranthtide.RowVersion, value string) amaranthtide.FeedRow {
	return amaranthtide.FeedRow{Table: table, Key: key, Version: version, Value: []byte(value)}
}

// Guards against an empty table that counts as unknown and is therefore requested
// again and again.
func TestEmptyTableHasVersion(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	_, known := f.Version(table).Get()
	is.True(!known)
	f.Apply(table, amaranthtide.FeedPage{Whole: true})
	v, known := f.Version(table).Get()
	is.True(known)
	is.Equal(v, amaranthtide.RowVersion(0))
}

// Guards against rows that stay although a whole page lacks them, and against old
// versions of rows that replace newer ones.
func TestApply(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: 5, Rows: []amaranthtide.FeedRow{row("a", 3, "1"), row("b", 5, "1")}})
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: 5, Rows: []amaranthtide.FeedRow{row("a", 2, "0")}})), 0)
	changed := f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: 8, Rows: []amaranthtide.FeedRow{row("b", 7, "2")}})
	is.Equal(len(changed), 2)
	is.Equal(changed[0].Key, "b")
	is.Equal(changed[1].Key, "a")
	is.True(changed[1].Value == nil)
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: 6, Rows: []amaranthtide.FeedRow{row("a", 6, "late")}})), 0)
}

// Guards against a removed row that an older page brings back, after its removal was
// dropped or was never seen.
func TestOldPageBringsNothingBack(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: 9, Rows: []amaranthtide.FeedRow{row("b", 7, "1")}})
	for _, whole := range []bool{true, false} {
		is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Whole: whole, Version: 5, Rows: []amaranthtide.FeedRow{row("a", 3, "old"), row("b", 5, "old")}})), 0)
	}
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: 11, Rows: []amaranthtide.FeedRow{row("a", 10, "new")}})), 1)
}

// Guards against a copy that differs from its source after any sequence of changes
// and updates by Since.
func TestSinceCopiesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := feed.New(), feed.New()
		rows := make(map[string]string)
		for version := range rapid.IntRange(1, 60).Draw(t, "changes") {
			v := amaranthtide.RowVersion(version + 1)
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			page := amaranthtide.FeedPage{Version: v, Rows: []amaranthtide.FeedRow{{Table: table, Key: key, Version: v}}}
			delete(rows, key)
			if rapid.Bool().Draw(t, "put") {
				page.Rows[0].Value = []byte(fmt.Sprint(v))
				rows[key] = fmt.Sprint(v)
			}
			source.Apply(table, page)
			if rapid.IntRange(0, 4).Draw(t, "pull") == 0 {
				pull(source, copied)
			}
		}
		pull(source, copied)
		whole, _ := copied.Since(table, 0)
		got := make(map[string]string)
		for _, r := range whole.Rows {
			if r.Value != nil {
				got[r.Key] = string(r.Value)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(rows) {
			t.Fatalf("got: %v, want: %v", got, rows)
		}
	})
}

func pull(source, copied *feed.Tables) {
	if page, ok := source.Since(table, copied.Version(table).Or(0)); ok {
		copied.Apply(table, page)
	}
}

// Guards against removed rows that are kept without bound: a router that missed dropped
// removals gets the whole table.
func TestSinceAfterDroppedRemovals(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	version := amaranthtide.RowVersion(0)
	for i := range 3000 {
		key := fmt.Sprint(i)
		version++
		f.Apply(table, amaranthtide.FeedPage{Version: version, Rows: []amaranthtide.FeedRow{row(key, version, "x")}})
		version++
		f.Apply(table, amaranthtide.FeedPage{Version: version, Rows: []amaranthtide.FeedRow{{Table: table, Key: key, Version: version}}})
	}
	page, ok := f.Since(table, 1)
	is.True(ok)
	is.True(page.Whole)
	is.Equal(len(page.Rows), 0)
}
