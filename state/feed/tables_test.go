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

func row(key string, version amaranthtide.StoreVersion, value string) amaranthtide.FeedRow {
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
	is.Equal(v, ver(0))
}

// Guards against rows that stay although a whole page lacks them, and against old
// versions of rows that replace newer ones.
func TestApply(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: ver(5), Rows: []amaranthtide.FeedRow{row("a", ver(3), "1"), row("b", ver(5), "1")}})
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: ver(5), Rows: []amaranthtide.FeedRow{row("a", ver(2), "0")}})), 0)
	changed := f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: ver(8), Rows: []amaranthtide.FeedRow{row("b", ver(7), "2")}})
	is.Equal(len(changed), 2)
	is.Equal(changed[0].Key, "b")
	is.Equal(changed[1].Key, "a")
	is.True(changed[1].Value == nil)
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: ver(6), Rows: []amaranthtide.FeedRow{row("a", ver(6), "late")}})), 0)
}

// Guards against a removed row that an older page brings back, after its removal was
// dropped or was never seen.
func TestOldPageBringsNothingBack(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: ver(9), Rows: []amaranthtide.FeedRow{row("b", ver(7), "1")}})
	for _, whole := range []bool{true, false} {
		is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Whole: whole, Version: ver(5), Rows: []amaranthtide.FeedRow{row("a", ver(3), "old"), row("b", ver(5), "old")}})), 0)
	}
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: ver(11), Rows: []amaranthtide.FeedRow{row("a", ver(10), "new")}})), 1)
}

// Guards against a copy that differs from its source after any sequence of changes
// and updates by Since.
func TestSinceCopiesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := feed.New(), feed.New()
		rows := make(map[string]string)
		for version := range rapid.IntRange(1, 60).Draw(t, "changes") {
			v := ver(uint64(version + 1))
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
		whole, _ := copied.Since(table, ver(0))
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
	if page, ok := source.Since(table, copied.Version(table).Or(ver(0))); ok {
		copied.Apply(table, page)
	}
}

// Guards against removed rows that are kept without bound: a router that missed dropped
// removals gets the whole table.
func TestSinceAfterDroppedRemovals(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	version := ver(0)
	for i := range 3000 {
		key := fmt.Sprint(i)
		version = ver(version.Number() + 1)
		f.Apply(table, amaranthtide.FeedPage{Version: version, Rows: []amaranthtide.FeedRow{row(key, version, "x")}})
		version = ver(version.Number() + 1)
		f.Apply(table, amaranthtide.FeedPage{Version: version, Rows: []amaranthtide.FeedRow{{Table: table, Key: key, Version: version}}})
	}
	page, ok := f.Since(table, ver(1))
	is.True(ok)
	is.True(page.Whole)
	is.Equal(len(page.Rows), 0)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }

func at(era amaranthtide.StoreEra, n uint64) amaranthtide.StoreVersion {
	return amaranthtide.NewStoreVersion(era, n)
}

// Guards against rows of two histories that are taken for one: a page of a later era with lower versions that is
// ignored, one that isn't whole and is applied, and one of an earlier era that arrives late.
func TestRestore(t *testing.T) {
	is := is.New(t)
	f := feed.New()
	inEra := func(era amaranthtide.StoreEra, key string, n uint64, value string) amaranthtide.FeedRow {
		return amaranthtide.FeedRow{Table: table, Key: key, Version: at(era, n), Value: []byte(value)}
	}
	first := amaranthtide.FeedPage{Whole: true, Version: at(0, 90), Rows: []amaranthtide.FeedRow{inEra(0, "same", 3, "1"), inEra(0, "newer", 80, "2"), inEra(0, "lost", 85, "1"), inEra(0, "gone", 9, "1")}}
	f.Apply(table, first)
	f.Apply(table, amaranthtide.FeedPage{Version: at(0, 91), Rows: []amaranthtide.FeedRow{{Table: table, Key: "gone", Version: at(0, 91)}}})

	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: at(1, 9), Rows: []amaranthtide.FeedRow{inEra(1, "other", 9, "1")}})), 0)
	copied := amaranthtide.FeedPage{Whole: true, Version: at(1, 10), Rows: []amaranthtide.FeedRow{inEra(1, "same", 3, "1"), inEra(1, "newer", 4, "1"), inEra(1, "gone", 9, "1")}}
	is.True(f.Restores(table, copied))
	is.Equal(len(f.Apply(table, copied)), 4) // with the removal of the row that is lost
	var held []string
	for _, row := range f.Held(table) {
		held = append(held, row.Key)
	}
	is.Equal(held, []string{"newer", "lost", "gone"})
	is.Equal(len(f.Apply(table, first)), 0) // late
	is.Equal(f.Version(table).Or(ver(0)), at(1, 10))

	page, _ := f.Since(table, at(0, 91))
	is.True(page.Whole)
	is.Equal(len(page.Held), 3)
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Version: at(1, 11), Rows: []amaranthtide.FeedRow{{Table: table, Key: "lost", Version: at(1, 11)}}})), 1) // ends what is held
	f.Release(table, "newer")
	is.Equal(len(f.Apply(table, amaranthtide.FeedPage{Whole: true, Version: at(2, 5)})), 3) // the second copy has nothing
	is.Equal(len(f.Held(table)), 3)
}
