package stored_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/quarantine/stored"
)

func some(q amaranthtide.StoredQuarantine) amaranthtide.Option[amaranthtide.StoredQuarantine] {
	return amaranthtide.Some(q)
}

// row returns the row of a quarantine that expires after a time.
func row(slot int, version amaranthtide.StoreVersion, part amaranthtide.PromptPart, level int, left time.Duration) amaranthtide.QuarantineRow {
	return amaranthtide.QuarantineRow{Slot: slot, Version: version, Quarantine: some(amaranthtide.StoredQuarantine{Service: "pool", Part: part, Level: level, ExpiresAt: start.Add(left)})}
}

func inForce(part amaranthtide.PromptPart, level int) []amaranthtide.Quarantine {
	return []amaranthtide.Quarantine{{Service: "pool", Part: part, Level: level, LastCrash: start}}
}

// due returns a table of the first writer that has known of the quarantines for long enough.
func due(now time.Time, qs []amaranthtide.Quarantine, rows ...amaranthtide.QuarantineRow) *stored.Table {
	t := stored.New()
	t.Update(now.Add(-time.Minute), qs)
	t.Read(now, rows)
	return t
}

// Guards against rows that hold requests back without a reason or for longer than any quarantine.
func TestRowsAreChecked(t *testing.T) {
	long := amaranthtide.PromptPart(strings.Repeat("x", 257))
	many := row(7, ver(1), "p", 1, time.Minute)
	many.Quarantine = some(amaranthtide.StoredQuarantine{Service: "pool", Part: "p", Level: 1, ExpiresAt: start.Add(time.Minute), Companions: make([]amaranthtide.PromptPart, 65)})
	for name, r := range map[string]amaranthtide.QuarantineRow{
		"unreadable": {Slot: 1, Version: ver(1), Err: errors.New("injected failure")}, "no part": row(1, ver(1), "", 1, time.Minute),
		"long part": row(1, ver(1), long, 1, time.Minute), "no level": row(1, ver(1), "p", 0, time.Minute), "companions": many,
		"first of a request": row(1, ver(1), "request:1", 1, time.Second), "no expiry": row(1, ver(1), "p", 1, -start.Sub(time.Unix(0, 0))),
	} {
		if got := stored.New().Read(start, []amaranthtide.QuarantineRow{r}); len(got) != 0 || stored.Problem(r) == nil {
			t.Errorf("%s: got: %v, problem %v, want: no quarantine and a problem", name, got, stored.Problem(r))
		}
	}
	is := is.New(t)
	is.Equal(len(stored.New().Read(start, []amaranthtide.QuarantineRow{row(1, ver(1), "p", 1, 0), row(-1, ver(1), "q", 1, time.Minute)})), 0)
	got := stored.New().Read(start, []amaranthtide.QuarantineRow{row(1, ver(1), "p", 9, 100*24*time.Hour)})
	is.Equal(got[0].LastCrash, start) // level 9 lasts for an hour, the longest quarantine
}

// Guards against writes beyond the ones that are called for.
func TestWhatIsWritten(t *testing.T) {
	now := start.Add(10 * time.Second)
	for name, c := range map[string]struct {
		current []amaranthtide.Quarantine
		row     amaranthtide.QuarantineRow
		puts    int
	}{
		"new":                     {inForce("p", 1), row(1, ver(1), "q", 1, time.Minute), 1},
		"stored":                  {inForce("p", 1), row(1, ver(1), "p", 1, time.Minute), 0},
		"extended by a half":      {inForce("p", 1), row(1, ver(1), "p", 1, 30*time.Second), 0},
		"extended by more":        {inForce("p", 1), row(1, ver(1), "p", 1, 29*time.Second), 1},
		"first of a request":      {inForce("request:1", 1), row(1, ver(1), "q", 1, time.Minute), 0},
		"second of a request":     {inForce("request:1", 2), row(1, ver(1), "q", 1, time.Minute), 1},
		"name too long for a row": {inForce(amaranthtide.PromptPart(strings.Repeat("x", 257)), 1), row(1, ver(1), "q", 1, time.Minute), 0},
	} {
		if w := due(now, c.current, c.row).Plan(now, 0, c.current); len(w.Puts) != c.puts {
			t.Errorf("%s: got: %d puts, want: %d", name, len(w.Puts), c.puts)
		}
	}
}

// Guards against all routers writing, and against calls of a router that is not the first one before
// the first one has had its turn.
func TestWritersTakeTurns(t *testing.T) {
	is := is.New(t)
	table := stored.New()
	table.Update(start, inForce("p", 1))
	for position, wait := range []time.Duration{250 * time.Millisecond, 5250 * time.Millisecond, 10250 * time.Millisecond} {
		is.Equal(table.Next(position).Or(start), start.Add(wait))
	}
	for _, position := range []int{-1, 3, 769} {
		_, ok := table.Next(position).Get()
		is.True(!ok)
	}
	table.Failed(start, amaranthtide.QuarantineWrite{})
	table.Failed(start, amaranthtide.QuarantineWrite{})
	is.Equal(table.Next(0).Or(start), start.Add(4*time.Second))
}

// Guards against a table that grows, and against expired and malformed rows that take the place of
// quarantines.
func TestTableIsFull(t *testing.T) {
	is := is.New(t)
	rows := make([]amaranthtide.QuarantineRow, 0, amaranthtide.QuarantineSlots)
	for i := range amaranthtide.QuarantineSlots {
		rows = append(rows, row(i, ver(5), amaranthtide.PromptPart(fmt.Sprint("p", i)), 3, 2*time.Minute+time.Duration(i)*time.Millisecond))
	}
	table := due(start, inForce("new", 1), rows...)
	is.Equal(len(table.Plan(start, 0, inForce("new", 1)).Puts), 0) // it ends before all others
	_, again := table.Next(0).Get()
	is.True(!again)
	w := due(start, inForce("new", 2), rows...).Plan(start, 0, inForce("new", 2))
	is.Equal(len(w.Puts), 0) // two minutes, not later than any
	w = due(start, inForce("new", 3), rows...).Plan(start, 0, inForce("new", 3))
	is.Equal(w.Puts[0].Slot, 0) // expires first
	rows[9], rows[11] = amaranthtide.QuarantineRow{Slot: 9, Version: ver(6), Err: errors.New("injected failure")}, row(11, ver(7), "old", 3, -2*time.Minute)
	w = due(start, inForce("new", 1), rows...).Plan(start, 0, inForce("new", 1))
	is.True(len(w.Puts) == 1 && (w.Puts[0].Slot == 9 && w.Puts[0].Version == ver(6) || w.Puts[0].Slot == 11 && w.Puts[0].Version == ver(7)))
}

// Guards against a quarantine that an answer has ended and that comes back: by its row, or by a write
// whose response was lost and that is applied after the answer.
func TestReleasedRowStaysReleased(t *testing.T) {
	is := is.New(t)
	now, later := start.Add(time.Second), start.Add(20*time.Second)
	table := due(now, inForce("p", 3))
	w := table.Plan(now, 0, inForce("p", 3))
	table.Failed(now, w)
	table.Release(now, "pool", "p")
	table.Read(later, nil) // not applied yet
	fence := table.Plan(later, 0, nil)
	is.Equal(len(fence.Puts), 1)
	is.Equal(fence.Puts[0].Slot, w.Puts[0].Slot)
	is.Equal(fence.Puts[0].Version, w.Puts[0].Version)
	q, _ := fence.Puts[0].Quarantine.Get()
	is.True(!q.ExpiresAt.After(later))
	table.Done(later, fence)
	_, again := table.Next(0).Get()
	is.True(!again)

	// The row that keeps the late write out is removed with a later write, not at once.
	fence.Puts[0].Version = ver(9)
	for left, want := range map[time.Duration]int{30 * time.Second: 0, 61 * time.Second: 1} {
		w := due(later.Add(left), inForce("q", 4), fence.Puts[0]).Plan(later.Add(left), 0, inForce("q", 4))
		is.Equal(len(w.Removals), want)
	}
}

// Guards against an answer that is lost because it arrives while the quarantine is being written.
func TestReleaseDuringWrite(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Second)
	table := due(now, inForce("p", 3))
	w := table.Plan(now, 0, inForce("p", 3))
	table.Release(now, "pool", "p")
	table.Done(now, w)
	_, due := table.Next(0).Get()
	is.True(due)
}

// Guards against memory that a router which doesn't write, or whose store is down, keeps for each
// quarantine that has ever ended.
func TestReleasesAreForgotten(t *testing.T) {
	is := is.New(t)
	table := due(start, inForce("p", 9))
	table.Failed(start, table.Plan(start, 0, inForce("p", 9)))
	table.Release(start, "pool", "p")
	_, isDue := table.Next(0).Get()
	is.True(isDue)
	later := start.Add(time.Hour + time.Second) // the longest quarantine
	table.Update(later, nil)
	_, isDue = table.Next(0).Get()
	is.True(!isDue)
	table.Read(later, nil)
	table.Release(later, "pool", "p")
	is.Equal(len(table.Plan(later.Add(time.Minute), 0, nil).Puts), 0)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
