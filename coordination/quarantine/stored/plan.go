package stored

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

const (
	// maxPuts and maxRemovals limit the size of a transaction. The next round does the rest.
	maxPuts     = 32
	maxRemovals = 32
	// removalAge is the time after its expiry from which a row may be removed. Until then it keeps
	// a late write of the quarantine out, whose precondition is an older version or no row.
	removalAge = time.Minute
)

// Plan returns what the router at the position in the order of writers is to write now, according to
// the rows of the last Read. Expired rows are removed only together with a write.
func (t *Table) Plan(now time.Time, position int, current []amaranthtide.Quarantine) amaranthtide.QuarantineWrite {
	t.Update(now, current)
	var w amaranthtide.QuarantineWrite
	if position < 0 || position >= Writers {
		return w
	}
	taken := amaranthtide.NewSet[int]()
	put := func(n int, q amaranthtide.StoredQuarantine) {
		taken.Add(n)
		w.Puts = append(w.Puts, amaranthtide.QuarantineRow{Slot: n, Version: t.slots[n].version, Quarantine: amaranthtide.Some(q)})
	}
	t.planReleases(now, position, put)
	for _, q := range current {
		since, missing := t.missing[idOf(q)]
		if !missing || now.Before(dueAt(since, position)) || len(w.Puts) >= maxPuts {
			continue
		}
		n, ok := t.slotFor(now, q, taken)
		if !ok {
			t.declined[idOf(q)] = endOf(q)
			delete(t.missing, idOf(q))
			continue
		}
		put(n, contentOf(q))
	}
	if len(w.Puts) > 0 {
		w.Removals = t.removals(now, taken)
	}
	return w
}

// planReleases replaces the rows of quarantines that have ended early by expired ones.
func (t *Table) planReleases(now time.Time, position int, put func(int, amaranthtide.StoredQuarantine)) {
	ids := slices.SortedFunc(maps.Keys(t.released), func(a, b id) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.part, b.part))
	})
	n := 0
	for _, k := range ids {
		if now.Before(dueAt(t.released[k], position)) || n >= maxPuts/2 {
			continue
		}
		rows := t.rowsOf(now, k)
		if len(rows) == 0 {
			delete(t.released, k)
		}
		for row, q := range rows {
			q.ExpiresAt = now
			put(row, q)
			n++
		}
	}
}

// rowsOf returns the rows that hold a quarantine in force, or that will once an own write has been
// applied late. There may be several.
func (t *Table) rowsOf(now time.Time, k id) map[int]amaranthtide.StoredQuarantine {
	out := make(map[int]amaranthtide.StoredQuarantine)
	for n, s := range t.slots {
		if q, ok := s.content.Get(); ok && k.of(q) && q.ExpiresAt.After(now) {
			out[n] = q
		}
	}
	if row, ok := t.unconfirmed[k]; ok {
		out[row.Slot] = row.Quarantine.Or(amaranthtide.StoredQuarantine{})
	}
	return out
}

// slotFor returns the slot for a quarantine: its own, the first free one from its hash on, or that of
// the row which expires first and earlier than the quarantine.
func (t *Table) slotFor(now time.Time, q amaranthtide.Quarantine, taken amaranthtide.Set[int]) (int, bool) {
	k, free, earliest := idOf(q), -1, -1
	first := int(xxhash.Sum64String(string(q.Service)+"\x00"+string(q.Part)) % amaranthtide.QuarantineSlots)
	expiry := endOf(q)
	for i := range amaranthtide.QuarantineSlots {
		n := (first + i) % amaranthtide.QuarantineSlots
		if taken.Has(n) {
			continue
		}
		content, ok := t.slots[n].content.Get()
		if ok && k.of(content) {
			return n, true
		}
		isFree := !ok || !content.ExpiresAt.After(now)
		if isFree && free < 0 {
			free = n
		}
		if !isFree && content.ExpiresAt.Before(expiry) {
			earliest, expiry = n, content.ExpiresAt
		}
	}
	if free >= 0 {
		return free, true
	}
	return earliest, earliest >= 0
}

// removals returns the rows that expired long ago.
func (t *Table) removals(now time.Time, taken amaranthtide.Set[int]) []amaranthtide.QuarantineRow {
	var out []amaranthtide.QuarantineRow
	for n, s := range t.slots {
		q, ok := s.content.Get()
		if ok && !taken.Has(n) && now.Sub(q.ExpiresAt) > removalAge && len(out) < maxRemovals {
			out = append(out, amaranthtide.QuarantineRow{Slot: n, Version: s.version})
		}
	}
	return out
}
