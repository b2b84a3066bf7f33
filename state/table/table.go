// Package table holds a router's copy of the configuration table: the rows, the
// revision of the last applied change and the most recent changes.
//
// Changes may arrive out of order, repeatedly and from several sources: pushed by
// other routers, read from the log and loaded as snapshots. A Table applies each
// change exactly once and in the order of revisions, so that a row never returns
// to an older value.
//
// Workspaces, models and routes, which requests look up by name, are kept in
// shards, each under its own lock. Backend servers, VMs and zones, which readers
// list by group, are kept in an immutable index that is replaced as a whole;
// readers of the index take no lock. Each row is in only one of the two, so that
// the two can't hold different values of a row.
//
// # Usage
//
//	t := table.New()
//	t.Load(rows, revision)
//	if _, gap := t.Apply(changes); gap {
//		// Request the changes after t.Revision() from another router or the log.
//	}
//	w, ok := t.Workspace("small-club")
//	for _, r := range t.ServersOfModel("large", "north-a") {
//		server := r.Value.(amaranthtide.BackendServer)
//	}
//
// Slices that a Table returns are shared and must not be modified, unless the
// method says otherwise.
package table

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// Table is a router's copy of the configuration table. It is safe for concurrent use.
// Create one with New.
type Table struct {
	// mu serializes Apply and Load and guards log and changed.
	mu      sync.Mutex
	log     changeLog
	changed chan struct{}

	revision atomic.Uint64
	content  atomic.Pointer[content]
}

// content holds the rows of a Table. Load replaces it as a whole; Apply modifies it.
type content struct {
	// unindexed holds the rows that are not in the index.
	unindexed *shard.Map[amaranthtide.RowKey, amaranthtide.Row]
	index     atomic.Pointer[index]
}

func newContent() *content {
	c := &content{unindexed: shard.New[amaranthtide.RowKey, amaranthtide.Row]()}
	c.index.Store(newIndex(nil))
	return c
}

// New returns an empty Table at revision 0.
func New() *Table {
	t := &Table{changed: make(chan struct{})}
	t.content.Store(newContent())
	return t
}

// Apply applies changes, which must be in ascending order of revisions. It ignores
// those that the table already has and stops at the first one that does not directly
// follow the table's revision; gap is then true. It returns the number of changes
// applied.
func (t *Table) Apply(changes []amaranthtide.Change) (applied int, gap bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision := amaranthtide.Revision(t.revision.Load())
	accepted := changes[:0:0]
	for _, c := range changes {
		if c.Revision <= revision {
			continue
		}
		if c.Revision != revision+1 {
			gap = true
			break
		}
		accepted = append(accepted, c)
		revision = c.Revision
	}
	if len(accepted) == 0 {
		return 0, gap
	}
	t.content.Load().apply(accepted)
	for _, c := range accepted {
		t.log.add(c)
	}
	t.publish(revision)
	return len(accepted), gap
}

func (c *content) apply(changes []amaranthtide.Change) {
	var indexed []amaranthtide.Change
	for _, ch := range changes {
		switch {
		case isIndexed(ch.Key.Kind):
			indexed = append(indexed, ch)
		case ch.After == nil:
			c.unindexed.Delete(ch.Key)
		default:
			c.unindexed.Set(ch.Key, amaranthtide.Row{Key: ch.Key, Revision: ch.Revision, Value: ch.After})
		}
	}
	if len(indexed) > 0 {
		c.index.Store(c.index.Load().withChanges(indexed))
	}
}

// Load replaces all rows with a snapshot of the given revision. It does nothing
// and returns false unless the snapshot is newer than the table. The log of recent
// changes restarts after that revision.
func (t *Table) Load(rows []amaranthtide.Row, revision amaranthtide.Revision) bool {
	next := newContent()
	var indexed []amaranthtide.Row
	for _, r := range rows {
		if isIndexed(r.Key.Kind) {
			indexed = append(indexed, r)
			continue
		}
		next.unindexed.Set(r.Key, r)
	}
	next.index.Store(newIndex(indexed))

	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= amaranthtide.Revision(t.revision.Load()) {
		return false
	}
	t.content.Store(next)
	t.log.reset(revision)
	t.publish(revision)
	return true
}

// publish sets the revision and wakes waiting readers. It runs after the rows are
// stored, so that a reader that sees the revision also sees its rows. The caller
// holds mu.
func (t *Table) publish(revision amaranthtide.Revision) {
	t.revision.Store(uint64(revision))
	close(t.changed)
	t.changed = make(chan struct{})
}

// Revision returns the revision of the last applied change or snapshot.
func (t *Table) Revision() amaranthtide.Revision {
	return amaranthtide.Revision(t.revision.Load())
}

// Changed returns a channel that is closed at the next change of the table. Call it
// before reading the table, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Wait blocks until the table has reached the revision. If ctx is done first, Wait
// returns its error.
func (t *Table) Wait(ctx context.Context, revision amaranthtide.Revision) error {
	for {
		changed := t.Changed()
		if t.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Changes returns up to limit changes after a revision, in order. ok is false if
// the log of recent changes doesn't reach back that far; a snapshot is then needed.
// The slice is a copy.
func (t *Table) Changes(after amaranthtide.Revision, limit int) (changes []amaranthtide.Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.after(after, limit)
}

// Snapshot returns all rows, ordered by kind and name, and their revision. The
// slice is a copy. Writers, but not readers, wait while it is made.
func (t *Table) Snapshot() ([]amaranthtide.Row, amaranthtide.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []amaranthtide.Row
	for _, kind := range amaranthtide.RowKinds() {
		rows = append(rows, t.Rows(kind)...)
	}
	return rows, amaranthtide.Revision(t.revision.Load())
}

// Rows returns the rows of a kind, ordered by name. The slice is a copy. Changes
// that are applied during the call may or may not be included; use Snapshot for
// rows of one revision.
func (t *Table) Rows(kind amaranthtide.RowKind) []amaranthtide.Row {
	c := t.content.Load()
	var rows []amaranthtide.Row
	if isIndexed(kind) {
		for key, r := range c.index.Load().rows {
			if key.Kind == kind {
				rows = append(rows, r)
			}
		}
	} else {
		c.unindexed.Range(func(key amaranthtide.RowKey, r amaranthtide.Row) bool {
			if key.Kind == kind {
				rows = append(rows, r)
			}
			return true
		})
	}
	sortByName(rows)
	return rows
}

// Row returns a row with its revision, and whether there is one.
func (t *Table) Row(key amaranthtide.RowKey) (amaranthtide.Row, bool) {
	c := t.content.Load()
	if isIndexed(key.Kind) {
		r, ok := c.index.Load().rows[key]
		return r, ok
	}
	return c.unindexed.Get(key)
}

func sortByName(rows []amaranthtide.Row) {
	slices.SortFunc(rows, func(a, b amaranthtide.Row) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
}
