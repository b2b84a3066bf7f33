// Package spread decides how a router gets the configuration table: from its peers,
// from the snapshot in the object store, from the stored rows, and from the change
// log.
//
// At the start of a router, a Loader asks peers, then the object store, then the
// table service, and returns rows and the revision that they belong to. Since rows
// may change while the stored rows are being listed, the Loader first reads the head,
// then lists the rows, and then merges the log entries after that head. The merged
// rows belong to the revision of the last entry.
//
// After the start, the contacts of each zone (see placement.Contacts) poll the log from
// the revisions of their tables. All changes are applied to table.Table, which ignores
// older revisions and reports gaps. An outdated snapshot therefore only means that the
// next poll returns more entries.
//
// # Usage
//
//	l := spread.New(deadline)
//	step := l.Start(now)
//	for step.Do != spread.Load {
//		if step.Do == spread.Fail {
//			return step.Err
//		}
//		step = l.Next(now, run(step))
//	}
//	t.Load(step.Rows, step.Revision)
//
//	page := spread.LogPage(t.Revision(), 0)
//	rows, err := service.List(ctx, page.Prefix, page.After, page.Limit)
//	changes, err := spread.DecodeChanges(rows)
//	t.Apply(changes)
//
//	if spread.SnapshotDue(written, t.Revision()) {
//		data, err := spread.EncodeSnapshot(t.Snapshot())
//		err = objects.PutObject(ctx, spread.SnapshotName, data)
//	}
//
// A Loader does no I/O, holds no lock and serves one start.
package spread

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/change"
)

// PageSize is the number of rows in one listing.
const PageSize = 512

const retryDelay = 500 * time.Millisecond

// Page describes a listing of stored rows in the table service.
type Page struct {
	Prefix amaranthtide.StoredKey
	After  amaranthtide.StoredKey
	Limit  int
}

// Action is what the driver of a Loader does next.
type Action uint8

// The actions of a Loader's driver.
const (
	// AskPeers requests a snapshot from peers; the answer sets Snapshot.
	AskPeers Action = iota
	// GetObject reads the object SnapshotName; the answer sets Snapshot.
	GetObject
	// Get runs Call; the answer sets Result.
	Get
	// List runs the listing Page; the answer sets Listed.
	List
	// Wait sleeps for Pause; the answer is empty.
	Wait
	// Load ends the start; the driver loads the table with Rows at Revision.
	Load
	// Fail ends the start; no source delivered the table before the deadline.
	Fail
)

// Step is what the driver does next. Do determines which other fields are set.
type Step struct {
	Do       Action
	Call     amaranthtide.TableCall
	Page     Page
	Pause    time.Duration
	Rows     []amaranthtide.Row
	Revision amaranthtide.Revision
	Err      error
}

// Answer is the outcome of a step.
type Answer struct {
	// Snapshot is absent if neither peers nor the object store have one.
	Snapshot amaranthtide.Option[Snapshot]
	Result   amaranthtide.TableResult
	Listed   []amaranthtide.StoredRow
	Err      error
}

// Loader is the state machine of a router's start. Create one with New.
type Loader struct {
	deadline time.Time
	current  Action
	// mergingLog is false while the stored rows are listed and true while the log is.
	mergingLog bool
	revision   amaranthtide.Revision
	// lastKey is the last stored row that was listed.
	lastKey amaranthtide.StoredKey
	rows    map[amaranthtide.RowKey]amaranthtide.Row
}

// New returns a Loader that gives up at the deadline.
func New(deadline time.Time) *Loader { return &Loader{deadline: deadline} }

// Start returns the first step.
func (l *Loader) Start(time.Time) Step { return l.begin(AskPeers) }

// Next takes the outcome of the last step and returns the next one.
func (l *Loader) Next(now time.Time, a Answer) Step {
	switch l.current {
	case AskPeers, GetObject:
		if s, ok := a.Snapshot.Get(); ok && a.Err == nil && s.Revision > 0 {
			return Step{Do: Load, Rows: s.Rows, Revision: s.Revision}
		}
		return l.begin(l.current + 1)
	case Get:
		return l.handleHead(now, a)
	case List:
		return l.handleListing(now, a)
	default:
		return l.begin(AskPeers)
	}
}

func (l *Loader) begin(do Action) Step {
	l.current = do
	switch do {
	case Get:
		return Step{Do: Get, Call: amaranthtide.TableCall{Key: change.HeadKey}}
	case List:
		if l.mergingLog {
			return Step{Do: List, Page: LogPage(l.revision, PageSize)}
		}
		return Step{Do: List, Page: Page{change.RowPrefix, l.lastKey, PageSize}}
	default:
		return Step{Do: do}
	}
}

func (l *Loader) handleHead(now time.Time, a Answer) Step {
	if a.Result.Err != nil {
		return l.retryLater(now, a.Result.Err)
	}
	revision, err := change.DecodeHead(a.Result.Row)
	if err != nil {
		return l.retryLater(now, err)
	}
	l.revision, l.mergingLog, l.lastKey = revision, false, ""
	l.rows = make(map[amaranthtide.RowKey]amaranthtide.Row)
	return l.begin(List)
}

func (l *Loader) handleListing(now time.Time, a Answer) Step {
	if a.Err != nil {
		return l.retryLater(now, a.Err)
	}
	if l.mergingLog {
		return l.mergeLog(now, a.Listed)
	}
	for _, stored := range a.Listed {
		row, err := change.DecodeRow(stored)
		if err != nil {
			return l.retryLater(now, err)
		}
		l.rows[row.Key] = row
		l.lastKey = stored.Key
	}
	l.mergingLog = len(a.Listed) < PageSize
	return l.begin(List)
}

// mergeLog updates the listed rows to the end of the log. Since the log is read after
// the rows, it covers at least the revisions of all of them.
func (l *Loader) mergeLog(now time.Time, listed []amaranthtide.StoredRow) Step {
	changes, err := DecodeChanges(listed)
	if err != nil {
		return l.retryLater(now, err)
	}
	for _, c := range changes {
		if c.Revision != l.revision+1 {
			return l.retryLater(now, amaranthtide.Errorf(amaranthtide.KindInternal, "change log: entry %d follows entry %d", c.Revision, l.revision))
		}
		l.revision = c.Revision
		if c.After == nil {
			delete(l.rows, c.Key)
			continue
		}
		l.rows[c.Key] = amaranthtide.Row{Key: c.Key, Revision: c.Revision, Value: c.After}
	}
	if len(listed) == PageSize {
		return l.begin(List)
	}
	rows := make([]amaranthtide.Row, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, row)
	}
	return Step{Do: Load, Rows: rows, Revision: l.revision}
}

// retryLater starts again with the peers after a delay, or fails after the deadline.
func (l *Loader) retryLater(now time.Time, cause error) Step {
	if now.After(l.deadline) {
		return Step{Do: Fail, Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the configuration table could not be loaded before the deadline: %w", cause)}
	}
	l.current = Wait
	return Step{Do: Wait, Pause: retryDelay}
}
