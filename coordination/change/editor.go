// Package change decides how a batch of edits to the configuration table is
// committed in the table service, and defines how the table is stored there.
//
// A batch is atomic. One transaction writes each row on the condition that it is at
// its expected revision, one log entry per edit at the revisions that follow the head,
// and the head itself. The condition on the head orders all batches, so revisions
// increase without gaps. The log is the audit trail.
//
// If the answer to a commit was lost, the commit is read back: the log entry at the
// first of the batch's revisions carries the token of the batch that wrote it. If the
// entry is missing, the commit may still be in progress, and the same transaction is
// sent again; its conditions ensure that it takes effect at most once. An edit is
// reported as accepted only if the commit was confirmed or read back.
//
// # Usage
//
// An Editor is a state machine. Its driver runs the step that it returns and
// passes the outcome back:
//
//	e := change.New(change.Config{
//		Operator: "jo", Edits: edits, Token: amaranthtide.NewWriteToken(), Deadline: deadline,
//	})
//	step := e.Start(now)
//	for {
//		result, done := step.Result.Get()
//		if done {
//			return result
//		}
//		sleep(step.Wait)
//		step = e.Next(now, run(step.Call))
//	}
//
// An Editor does no I/O, holds no lock and serves one batch.
package change

import (
	"time"

	"amaranthtide"
)

// MaxEdits is the maximum number of edits in a batch. It keeps the transaction small.
const MaxEdits = 128

const (
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// Config describes one batch.
type Config struct {
	Operator amaranthtide.OperatorName
	Edits    []amaranthtide.Edit
	// Token identifies the batch and must be unique.
	Token amaranthtide.WriteToken
	// Deadline is the time after which the batch is no longer retried.
	Deadline time.Time
}

// Step is what the driver does next. If Result is set, the batch is finished.
// Otherwise the driver sleeps for Wait, runs Call and passes its outcome to Next.
type Step struct {
	Wait   time.Duration
	Call   amaranthtide.TableCall
	Result amaranthtide.Option[Result]
}

// Result is the outcome of a batch.
type Result struct {
	// Err is nil if the batch was accepted. It is KindBadRequest for invalid edits,
	// KindConflict if a row is not at its expected revision, KindPlatformDown if the
	// batch did not and will not take effect, and KindOutcomeUnknown if it may have
	// taken effect or may still do so.
	Err error
	// Changes are the accepted changes in the order of the edits.
	Changes []amaranthtide.Change
	// Fields are the fields with invalid values, by row.
	Fields map[amaranthtide.RowKey][]amaranthtide.FieldError
	// Conflict is set for KindConflict.
	Conflict amaranthtide.Option[Conflict]
}

// Conflict describes the row that another batch had changed.
type Conflict struct {
	Key amaranthtide.RowKey
	// Row is the current row. It is absent if the row does not exist.
	Row amaranthtide.Option[amaranthtide.Row]
	// Change is the last change of the row. It is absent if the row does not exist,
	// since a deleted row holds no reference to the log, or if the platform did not
	// answer in time.
	Change amaranthtide.Option[amaranthtide.Change]
}

type phase uint8

const (
	readHead phase = iota
	readRow
	commit
	readBack
	readConflictCause
	finished
)

// Editor is the state machine of one batch. Create one with New.
type Editor struct {
	cfg   Config
	phase phase
	// head, headVersion and rows are the state that the transaction is based on.
	head        amaranthtide.Revision
	headVersion amaranthtide.RowVersion
	rows        []rowState
	// tx is the current transaction. If its outcome is unknown, it is not rebuilt until
	// the log shows whether it took effect.
	tx             amaranthtide.Transaction
	changes        []amaranthtide.Change
	outcomeUnknown bool
	conflict       Conflict
	backoff        time.Duration
}

type rowState struct {
	row     amaranthtide.Option[amaranthtide.Row]
	version amaranthtide.RowVersion
}

// New returns an Editor for one batch.
func New(cfg Config) *Editor { return &Editor{cfg: cfg, backoff: backoffMin} }

// Start checks the edits and returns the first step.
func (e *Editor) Start(time.Time) Step {
	if r := e.checkBatch(); r.Err != nil {
		return e.finish(r)
	}
	return e.restart()
}

// Next takes the outcome of the last step's call and returns the next step. It
// must not be called after a result.
func (e *Editor) Next(now time.Time, r amaranthtide.TableResult) Step {
	switch e.phase {
	case readHead:
		return e.handleHead(now, r)
	case readRow:
		return e.handleRow(now, r)
	case commit:
		return e.handleCommit(now, r)
	case readBack:
		return e.handleReadBack(now, r)
	case readConflictCause:
		return e.handleConflictCause(now, r)
	default:
		return e.fail(amaranthtide.KindInternal, "change editor: Next called after the result")
	}
}

func (e *Editor) restart() Step {
	e.phase, e.rows, e.outcomeUnknown = readHead, e.rows[:0], false
	return readStep(HeadKey)
}

func (e *Editor) handleHead(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return e.retryPhase(now, r.Err)
	}
	revision, err := DecodeHead(r.Row)
	if err != nil {
		return e.finish(Result{Err: err})
	}
	e.head, e.headVersion = revision, versionOf(r.Row)
	e.phase = readRow
	return readStep(RowStoredKey(e.cfg.Edits[0].Key))
}

func (e *Editor) handleRow(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return e.retryPhase(now, r.Err)
	}
	edit := e.cfg.Edits[len(e.rows)]
	state := rowState{version: versionOf(r.Row)}
	if stored, ok := r.Row.Get(); ok {
		row, err := DecodeRow(stored)
		if err != nil {
			return e.finish(Result{Err: err})
		}
		state.row = amaranthtide.Some(row)
	}
	row, ok := state.row.Get()
	if row.Revision != edit.Expected {
		e.conflict = Conflict{Key: edit.Key, Row: state.row}
		if !ok {
			return e.finishConflict()
		}
		e.phase = readConflictCause
		return readStep(LogStoredKey(row.Revision))
	}
	e.rows = append(e.rows, state)
	if len(e.rows) < len(e.cfg.Edits) {
		return readStep(RowStoredKey(e.cfg.Edits[len(e.rows)].Key))
	}
	return e.commit(now)
}

func (e *Editor) commit(now time.Time) Step {
	if now.After(e.cfg.Deadline) {
		return e.fail(amaranthtide.KindPlatformDown, "the change was not committed before its deadline")
	}
	if err := e.buildTransaction(now); err != nil {
		return e.finish(Result{Err: err})
	}
	e.phase = commit
	return Step{Call: amaranthtide.TableCall{Transaction: amaranthtide.Some(e.tx)}}
}

func (e *Editor) buildTransaction(now time.Time) error {
	tx := amaranthtide.Transaction{Token: e.cfg.Token}
	e.changes = make([]amaranthtide.Change, len(e.cfg.Edits))
	for i, edit := range e.cfg.Edits {
		before, _ := e.rows[i].row.Get()
		c := amaranthtide.Change{
			Revision: e.head + 1 + amaranthtide.Revision(i),
			// Round strips the monotonic clock reading, which means nothing on other
			// routers.
			Time:     now.Round(0).UTC(),
			Operator: e.cfg.Operator,
			Key:      edit.Key,
			Before:   before.Value,
			After:    edit.Value,
		}
		entry, err := EncodeChange(c)
		if err != nil {
			return err
		}
		row, err := encodeNewRow(c)
		if err != nil {
			return err
		}
		key := RowStoredKey(edit.Key)
		tx.Conditions = append(tx.Conditions, amaranthtide.Condition{Key: key, Version: e.rows[i].version})
		tx.Writes = append(tx.Writes, amaranthtide.Write{Key: key, Value: row},
			amaranthtide.Write{Key: LogStoredKey(c.Revision), Value: entry})
		e.changes[i] = c
	}
	value, err := EncodeHead(e.head + amaranthtide.Revision(len(e.changes)))
	if err != nil {
		return err
	}
	tx.Conditions = append(tx.Conditions, amaranthtide.Condition{Key: HeadKey, Version: e.headVersion})
	tx.Writes = append(tx.Writes, amaranthtide.Write{Key: HeadKey, Value: value})
	e.tx = tx
	return nil
}

// encodeNewRow returns the stored form of the changed row. It returns nil for a
// deletion, which deletes the stored row.
func encodeNewRow(c amaranthtide.Change) ([]byte, error) {
	if c.After == nil {
		return nil, nil
	}
	return EncodeRow(amaranthtide.Row{Key: c.Key, Revision: c.Revision, Value: c.After})
}

func (e *Editor) handleCommit(now time.Time, r amaranthtide.TableResult) Step {
	switch {
	case r.Err == nil:
		return e.finish(Result{Changes: e.changes})
	case amaranthtide.IsKind(r.Err, amaranthtide.KindConflict):
		// The conflict may be with an earlier commit of this batch, whose answer was
		// lost here or inside the platform's client.
	case amaranthtide.IsKind(r.Err, amaranthtide.KindPlatformDown):
		if !e.outcomeUnknown {
			return e.retryPhase(now, r.Err)
		}
	default:
		e.outcomeUnknown = true
	}
	e.phase = readBack
	return readStep(LogStoredKey(e.head + 1))
}

func (e *Editor) handleReadBack(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return e.retryPhase(now, r.Err)
	}
	stored, ok := r.Row.Get()
	switch {
	case ok && stored.Token == e.cfg.Token:
		return e.finish(Result{Changes: e.changes})
	case ok:
		// Another batch has used these revisions, so the condition on the head
		// prevents this transaction from ever taking effect.
		return e.restart()
	case e.outcomeUnknown:
		// The commit may still be in progress.
		return e.retryPhase(now, nil)
	default:
		step := e.restart()
		step.Wait = e.nextBackoff()
		return step
	}
}

func (e *Editor) handleConflictCause(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil && !now.After(e.cfg.Deadline) {
		return Step{Wait: e.nextBackoff(), Call: amaranthtide.TableCall{Key: LogStoredKey(e.conflictRevision())}}
	}
	if stored, ok := r.Row.Get(); ok && r.Err == nil {
		if c, err := DecodeChange(stored); err == nil {
			e.conflict.Change = amaranthtide.Some(c)
		}
	}
	return e.finishConflict()
}

func (e *Editor) conflictRevision() amaranthtide.Revision {
	row, _ := e.conflict.Row.Get()
	return row.Revision
}

func (e *Editor) finishConflict() Step {
	return e.finish(Result{
		Err:      amaranthtide.Errorf(amaranthtide.KindConflict, "row %s is at revision %d", e.conflict.Key, e.conflictRevision()),
		Conflict: amaranthtide.Some(e.conflict),
	})
}

// retryPhase repeats the current phase after a backoff, or ends the batch after its
// deadline. A commit whose outcome is unknown is repeated with the same transaction.
func (e *Editor) retryPhase(now time.Time, cause error) Step {
	if now.After(e.cfg.Deadline) {
		if e.outcomeUnknown {
			return e.fail(amaranthtide.KindOutcomeUnknown, "the change may have been accepted: not confirmed before its deadline")
		}
		return e.finish(Result{Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the change was not accepted: %w", cause)})
	}
	step := Step{Wait: e.nextBackoff()}
	switch {
	case e.phase == readHead:
		step.Call.Key = HeadKey
	case e.phase == readRow:
		step.Call.Key = RowStoredKey(e.cfg.Edits[len(e.rows)].Key)
	case e.phase == readBack && cause != nil:
		step.Call.Key = LogStoredKey(e.head + 1)
	default:
		e.phase = commit
		step.Call.Transaction = amaranthtide.Some(e.tx)
	}
	return step
}

func (e *Editor) nextBackoff() time.Duration {
	d := e.backoff
	e.backoff = min(2*e.backoff, backoffMax)
	return d
}

func (e *Editor) fail(kind amaranthtide.Kind, message string) Step {
	return e.finish(Result{Err: amaranthtide.Errorf(kind, "%s", message)})
}

func (e *Editor) finish(r Result) Step {
	e.phase = finished
	return Step{Result: amaranthtide.Some(r)}
}

func readStep(key amaranthtide.StoredKey) Step {
	return Step{Call: amaranthtide.TableCall{Key: key}}
}

func versionOf(row amaranthtide.Option[amaranthtide.StoredRow]) amaranthtide.RowVersion {
	stored, _ := row.Get()
	return stored.Version
}
