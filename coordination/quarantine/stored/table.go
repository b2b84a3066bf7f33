// Package stored decides which quarantines are written to the table of quarantines in the
// platform's store, when and by which router, and what a router takes from its rows. It does no
// I/O; docs/design/quarantine.md has the reasons.
//
// Each row has one of amaranthtide.QuarantineSlots keys, so that the table stays small whatever
// writes are applied late or twice. Only the first routers of a fixed order write, one after the
// other, so that usually the first one does. A round reads the table before it writes.
//
// # Usage
//
//	t := stored.New()
//	t.BeginLoad(now) // only if this router reads the platform's tables at its start
//	t.Update(now, current) // after each change of the quarantines
//	t.Release(now, service, part)
//	if at, ok := t.Next(position).Get(); ok && !now.Before(at) {
//		// read the rows; t.Failed(now, amaranthtide.QuarantineWrite{}) on failure
//		quarantines := t.Read(now, rows)
//		w := t.Plan(now, position, current)
//		// write w unless it is empty; t.Failed(now, w) on failure
//		t.Done(now, w)
//	}
package stored

import (
	"maps"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/quarantine"
)

const (
	// Writers is the number of routers that write: the first ones of the order.
	Writers = 3
	// batchDelay is how long the first writer waits for further quarantines of the same cause.
	batchDelay = 250 * time.Millisecond
	// standbyDelay is how much later each further writer begins. A round of the one before takes
	// two calls.
	standbyDelay = 5 * time.Second
	// roundInterval is the shortest time between two rounds of a router, since calls are billed.
	roundInterval = 2 * time.Second
	// maxRetryDelay limits the time between rounds that fail, which doubles from roundInterval on.
	maxRetryDelay = time.Minute
	// firstLoadDelay is the time until a failed load is repeated. It doubles with each failure.
	firstLoadDelay = 100 * time.Millisecond
	// releaseAge is the time after which the rows of a quarantine that has ended have expired: the
	// longest duration of a quarantine.
	releaseAge = time.Hour
	// maxLoads is the number of reads after BeginLoad: the last one is 12.7 s later.
	maxLoads = 8
)

// Table is what one router knows of the table of quarantines. It is not safe for concurrent use.
// Create one with New.
type Table struct {
	slots [amaranthtide.QuarantineSlots]slot
	// stored holds the expiry times of the known rows, declined the end times of the quarantines that
	// the table has no slot for.
	stored, declined map[id]time.Time
	// missing holds since when a quarantine has not been stored, released since when a stored one
	// has ended early.
	missing, released map[id]time.Time
	// unconfirmed holds the rows of writes whose outcome is unknown and that may still be applied.
	unconfirmed map[id]amaranthtide.QuarantineRow
	// failures counts the failed calls since the last successful round. No round is due before
	// notBefore.
	failures  int
	notBefore time.Time
	// loads counts the reads of a router that starts. It is loading until one succeeds.
	loads   int
	loading bool
	loadAt  time.Time
}

type id struct {
	service amaranthtide.ServiceName
	part    amaranthtide.PromptPart
}

func idOf(q amaranthtide.Quarantine) id              { return id{q.Service, q.Part} }
func (k id) of(q amaranthtide.StoredQuarantine) bool { return k == id{q.Service, q.Part} }

// New returns a Table that knows no rows.
func New() *Table {
	return &Table{
		stored: make(map[id]time.Time), declined: make(map[id]time.Time), missing: make(map[id]time.Time), released: make(map[id]time.Time),
		unconfirmed: make(map[id]amaranthtide.QuarantineRow),
	}
}

// BeginLoad makes a round due although nothing is to be written: this router starts and reads the
// platform's tables. It is called with each attempt to do so.
func (t *Table) BeginLoad(now time.Time) { t.loading, t.loadAt, t.loads = true, now, 0 }

// Forget forgets which quarantines are stored, so that those in force are stored again: the store has come
// back from an older copy.
func (t *Table) Forget() {
	clear(t.stored)
	clear(t.declined)
	clear(t.unconfirmed)
}

// Loading reports whether the rows are still to be read because of BeginLoad. What Read returns
// then is to be added to the evidence of this router; later rows are no news to it.
func (t *Table) Loading() bool { return t.loading }

// Update records which quarantines are in force. Each of them is to be stored unless it is already,
// with an expiry time that lacks at most half of the quarantine's time.
func (t *Table) Update(now time.Time, current []amaranthtide.Quarantine) {
	missing := make(map[id]time.Time)
	for _, q := range current {
		k := idOf(q)
		delete(t.released, k)
		if !isStorable(q) || t.isStored(k, q) {
			continue
		}
		missing[k] = now
		if since, ok := t.missing[k]; ok {
			missing[k] = since
		}
	}
	t.missing = missing
	maps.DeleteFunc(t.declined, func(_ id, end time.Time) bool { return now.After(end) })
	maps.DeleteFunc(t.released, func(_ id, at time.Time) bool { return now.Sub(at) > releaseAge })
	maps.DeleteFunc(t.unconfirmed, func(_ id, row amaranthtide.QuarantineRow) bool {
		q, _ := row.Quarantine.Get()
		return !q.ExpiresAt.After(now)
	})
}

func (t *Table) isStored(k id, q amaranthtide.Quarantine) bool {
	enough := endOf(q).Add(-quarantine.Duration(q.Part, q.Level) / 2)
	return !t.stored[k].Before(enough) || !t.declined[k].Before(enough)
}

// Release records that an answer has ended a quarantine. A row that still holds it is to be
// replaced, or a restart would reject sound requests again.
func (t *Table) Release(now time.Time, service amaranthtide.ServiceName, part amaranthtide.PromptPart) {
	k := id{service, part}
	_, missing := t.missing[k]
	delete(t.missing, k)
	if missing || t.stored[k].After(now) {
		t.released[k] = now
	}
}

// Next returns when the next round of a router is due, absent if none is. position is its position
// in the order of writers, negative if it isn't known.
func (t *Table) Next(position int) amaranthtide.Option[time.Time] {
	var next time.Time
	add := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if position >= 0 && position < Writers {
		for _, since := range t.missing {
			add(dueAt(since, position))
		}
		for _, since := range t.released {
			add(dueAt(since, position))
		}
	}
	if !next.IsZero() && next.Before(t.notBefore) {
		next = t.notBefore
	}
	if t.loading {
		add(t.loadAt)
	}
	if next.IsZero() {
		return amaranthtide.None[time.Time]()
	}
	return amaranthtide.Some(next)
}

// dueAt returns when a writer acts on what it has known since the given time.
func dueAt(since time.Time, position int) time.Time {
	return since.Add(batchDelay + time.Duration(position)*standbyDelay)
}

// Failed records a call without success; w is the write whose outcome is unknown, if any. The round
// is repeated later, and begins with a read again, since the write may have been applied.
func (t *Table) Failed(now time.Time, w amaranthtide.QuarantineWrite) {
	for _, row := range w.Puts {
		q, _ := row.Quarantine.Get()
		t.unconfirmed[id{q.Service, q.Part}] = row
	}
	if t.loading {
		t.loadAt = now.Add(firstLoadDelay << t.loads)
		t.loads++
		t.loading = t.loads < maxLoads
	}
	t.notBefore = now.Add(min(roundInterval<<min(t.failures, 8), maxRetryDelay))
	t.failures++
}

// Done records a successful round, which has written w.
func (t *Table) Done(now time.Time, w amaranthtide.QuarantineWrite) {
	t.failures, t.notBefore = 0, now.Add(roundInterval)
	for _, row := range w.Puts {
		q, _ := row.Quarantine.Get()
		k := id{q.Service, q.Part}
		t.stored[k] = q.ExpiresAt
		if q.ExpiresAt.After(now) {
			delete(t.missing, k) // it may have been released since Plan
		} else {
			delete(t.released, k)
		}
	}
}

// isStorable reports whether a quarantine may be written. The first one of a whole request may not: it
// is short, since the request may have been at both crashed servers by chance.
func isStorable(q amaranthtide.Quarantine) bool {
	return check(contentOf(q)) == nil
}

func contentOf(q amaranthtide.Quarantine) amaranthtide.StoredQuarantine {
	return amaranthtide.StoredQuarantine{Service: q.Service, Part: q.Part, Companions: slices.Clone(q.Companions), Level: q.Level, ExpiresAt: endOf(q)}
}

func endOf(q amaranthtide.Quarantine) time.Time {
	return q.LastCrash.Add(quarantine.Duration(q.Part, q.Level))
}
