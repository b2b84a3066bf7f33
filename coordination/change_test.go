package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/coordination/spread"
	"amaranthtide/state/table"
)

type operator struct {
	editor *change.Editor
	cfg    change.Config
	step   change.Step
	result *amaranthtide.TableResult
}

func (o *operator) done() bool { _, ok := o.step.Result.Get(); return ok }

func (o *operator) advance(t *rapid.T, f *fakeTable, now time.Time) {
	switch {
	case o.done():
	case o.result != nil:
		r := *o.result
		o.result = nil
		o.step = o.editor.Next(now, r)
	default:
		r := f.call(t, o.step.Call)
		o.result = &r
	}
}

func newOperator(i int, edits []amaranthtide.Edit, now, deadline time.Time) *operator {
	o := &operator{cfg: change.Config{Operator: amaranthtide.OperatorName(fmt.Sprint("operator-", i)), Edits: edits,
		Token: amaranthtide.WriteToken(fmt.Sprint("batch-", i)), Deadline: deadline}}
	o.editor = change.New(o.cfg)
	o.step = o.editor.Start(now)
	return o
}

// replica is a router's copy of the table.
type replica struct {
	table           *table.Table
	startup         *spread.Loader
	startupStep     spread.Step
	highestRevision amaranthtide.Revision
}

type changeModel struct {
	table     *fakeTable
	now       time.Time
	operators []*operator
	replicas  []*replica
	snapshots []spread.Snapshot
	// cachedLog is the log at version cachedAt of the table service.
	cachedLog []amaranthtide.Change
	cachedAt  amaranthtide.RowVersion
}

func (m *changeModel) log(t *rapid.T) []amaranthtide.Change {
	if m.cachedLog != nil && m.cachedAt == m.table.version {
		return m.cachedLog
	}
	log, err := spread.DecodeChanges(m.table.list(change.LogPrefix, "", 10_000))
	if err != nil {
		t.Fatal(err)
	}
	m.cachedLog, m.cachedAt = log, m.table.version
	return log
}

func replay(log []amaranthtide.Change) map[amaranthtide.RowKey]amaranthtide.Row {
	rows := map[amaranthtide.RowKey]amaranthtide.Row{}
	for _, c := range log {
		rows[c.Key] = amaranthtide.Row{Key: c.Key, Revision: c.Revision, Value: c.After}
		if c.After == nil {
			delete(rows, c.Key)
		}
	}
	return rows
}

func (m *changeModel) edit(t *rapid.T) {
	if len(m.operators) >= 12 {
		return
	}
	rows := replay(m.log(t))
	var edits []amaranthtide.Edit
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID).Draw(t, "names") {
		key := amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: name}
		e := amaranthtide.Edit{Key: key, Expected: rows[key].Revision, Value: amaranthtide.Workspace{Weight: len(m.operators) + 1}}
		if e.Expected > 0 && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			e.Value = nil
		}
		edits = append(edits, e)
	}
	deadline := m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second)
	m.operators = append(m.operators, newOperator(len(m.operators), edits, m.now, deadline))
}

func (m *changeModel) readReplica(t *rapid.T) {
	r := m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(t, "reader")]
	switch rapid.SampledFrom([]string{"start", "start", "poll", "peer", "snapshot"}).Draw(t, "read") {
	case "start":
		m.advanceStartup(t, r)
	case "poll":
		page := spread.LogPage(r.table.Revision(), rapid.IntRange(1, 3).Draw(t, "limit"))
		list, _ := spread.DecodeChanges(m.table.list(page.Prefix, page.After, page.Limit))
		r.table.Apply(list)
	case "peer":
		peer := m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(t, "peer")]
		list, _ := peer.table.Changes(amaranthtide.Revision(rapid.IntRange(0, 20).Draw(t, "after")), 4)
		r.table.Apply(list)
	case "snapshot":
		data, err := spread.EncodeSnapshot(r.table.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		s, err := spread.DecodeSnapshot(data)
		if err != nil {
			t.Fatal(err)
		}
		m.snapshots = append(m.snapshots, s)
	}
}

// advanceStartup runs one step of a router's start. The object store may return any
// snapshot that was ever written.
func (m *changeModel) advanceStartup(t *rapid.T, r *replica) {
	if r.startup == nil {
		r.startup = spread.New(m.now.Add(time.Hour))
		r.startupStep = r.startup.Start(m.now)
		return
	}
	var a spread.Answer
	switch r.startupStep.Do {
	case spread.AskPeers, spread.GetObject:
		if i := rapid.IntRange(-4, len(m.snapshots)-1).Draw(t, "snapshot"); i >= 0 {
			a.Snapshot = amaranthtide.Some(m.snapshots[i])
		}
	case spread.Get:
		a.Result = m.table.call(t, r.startupStep.Call)
	case spread.List:
		a.Listed = m.table.list(r.startupStep.Page.Prefix, r.startupStep.Page.After, r.startupStep.Page.Limit)
	case spread.Load:
		r.table.Load(r.startupStep.Rows, r.startupStep.Revision)
		r.startup = nil
		return
	}
	r.startupStep = r.startup.Next(m.now, a)
}

func (m *changeModel) check(t *rapid.T) {
	log := m.log(t)
	values := map[amaranthtide.RowKey]amaranthtide.RowValue{}
	for i, c := range log {
		before := values[c.Key]
		values[c.Key] = c.After
		if c.Revision != amaranthtide.Revision(i+1) || c.Before != before {
			t.Fatalf("log entry %d got: %+v, want: before %v", i+1, c, before)
		}
	}
	if head, err := change.DecodeHead(amaranthtide.Some(m.table.rows[change.HeadKey])); len(log) > 0 && (err != nil || int(head) != len(log)) {
		t.Fatalf("head got: %d %v, want: %d", head, err, len(log))
	}
	for _, o := range m.operators {
		m.checkResult(t, o, log)
	}
	for i, r := range m.replicas {
		got, revision := r.table.Snapshot()
		if revision < r.highestRevision {
			t.Fatalf("replica %d got: revision %d after %d", i, revision, r.highestRevision)
		}
		r.highestRevision = revision
		want := replay(log[:revision])
		if len(got) != len(want) {
			t.Fatalf("replica %d at %d got: %v, want: %v", i, revision, got, want)
		}
		for _, row := range got {
			if row != want[row.Key] {
				t.Fatalf("replica %d at %d got: %v, want: %v", i, revision, row, want[row.Key])
			}
		}
	}
}

func (m *changeModel) checkResult(t *rapid.T, o *operator, log []amaranthtide.Change) {
	r, ok := o.step.Result.Get()
	if !ok {
		return
	}
	ownEntries := 0
	for _, c := range log {
		if c.Operator == o.cfg.Operator {
			ownEntries++
		}
	}
	switch kind := amaranthtide.KindOf(r.Err); {
	case r.Err == nil:
		if ownEntries != len(o.cfg.Edits) || len(r.Changes) != ownEntries {
			t.Fatalf("%s was accepted; log entries got: %d, want: %d", o.cfg.Operator, ownEntries, len(o.cfg.Edits))
		}
		for _, c := range r.Changes {
			if c != log[c.Revision-1] {
				t.Fatalf("accepted got: %+v, want: %+v", c, log[c.Revision-1])
			}
		}
	case kind != amaranthtide.KindOutcomeUnknown && ownEntries != 0:
		t.Fatalf("%s got error %v; log entries got: %d, want: 0", o.cfg.Operator, r.Err, ownEntries)
	case kind == amaranthtide.KindConflict:
		conflict, _ := r.Conflict.Get()
		row, exists := conflict.Row.Get()
		cause, known := conflict.Change.Get()
		if known && (!exists || cause != log[row.Revision-1] || row.Value != cause.After) {
			t.Fatalf("conflict got: row %+v with change %+v, want: the change that wrote the row", row, cause)
		}
	}
}

// Guards against accepted changes that are lost or reverted, gaps between revisions,
// wrong results of batches, and replicas that differ from the log at their revision or
// do not converge (P9).
func TestAcceptedChangesStay(t *testing.T) {
	checkTimes(t, 1, func(t *rapid.T) {
		m := &changeModel{table: newFakeTable(), now: epoch}
		for range 3 {
			m.replicas = append(m.replicas, &replica{table: table.New()})
		}
		advance := func(t *rapid.T) {
			if len(m.operators) > 0 {
				m.operators[rapid.IntRange(0, len(m.operators)-1).Draw(t, "operator")].advance(t, m.table, m.now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": m.edit, "advance1": advance, "advance2": advance, "advance3": advance, "advance4": advance, "advance5": advance,
			"read1": m.readReplica, "read2": m.readReplica, "lateCommit": m.table.commitLate,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			},
			"": m.check,
		})
		m.table.removeFaults(t)
		for _, o := range m.operators {
			for n := 0; !o.done(); n++ {
				if n > 400 {
					t.Fatalf("%s did not finish", o.cfg.Operator)
				}
				o.advance(t, m.table, m.now)
			}
		}
		log := m.log(t)
		for i, r := range m.replicas {
			if len(m.snapshots) > 0 {
				s := m.snapshots[0]
				r.table.Load(s.Rows, s.Revision)
			}
			r.table.Apply(log)
			if got := int(r.table.Revision()); got != len(log) {
				t.Fatalf("replica %d got: revision %d, want: %d", i, got, len(log))
			}
		}
		m.check(t)
	})
}

// Guards against concurrent edits of one row that are all accepted or all refused, and
// against a conflict that does not include the accepted row.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeTable()
		f.faultless = true
		key := amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}
		var ops []*operator
		for i := range rapid.IntRange(2, 4).Draw(t, "operators") {
			ops = append(ops, newOperator(i, []amaranthtide.Edit{{Key: key, Value: amaranthtide.Zone{Region: fmt.Sprint(i)}}}, epoch, epoch.Add(time.Hour)))
		}
		running := append([]*operator(nil), ops...)
		for len(running) > 0 {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "next")
			running[i].advance(t, f, epoch)
			if running[i].done() {
				running = append(running[:i], running[i+1:]...)
			}
		}
		var accepted []amaranthtide.Change
		for _, o := range ops {
			r, _ := o.step.Result.Get()
			accepted = append(accepted, r.Changes...)
		}
		if len(accepted) != 1 {
			t.Fatalf("accepted batches got: %d, want: 1", len(accepted))
		}
		for _, o := range ops {
			r, _ := o.step.Result.Get()
			if r.Err == nil {
				continue
			}
			conflict, _ := r.Conflict.Get()
			row, _ := conflict.Row.Get()
			cause, _ := conflict.Change.Get()
			if !amaranthtide.IsKind(r.Err, amaranthtide.KindConflict) || row.Value != accepted[0].After || cause != accepted[0] {
				t.Fatalf("refused operator got: %v %v %v, want: a conflict with %v", r.Err, row, cause, accepted[0])
			}
		}
	})
}

// Guards against invalid edits that are sent to the platform.
func TestInvalidEditsAreRefused(t *testing.T) {
	ws := amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "w"}
	good := amaranthtide.Workspace{Weight: 1}
	tests := map[string][]amaranthtide.Edit{
		"empty batch":       nil,
		"bad name":          {{Key: amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "a/b"}, Value: good}},
		"bad value":         {{Key: ws, Value: amaranthtide.Workspace{}}},
		"wrong kind":        {{Key: ws, Value: amaranthtide.Zone{}}},
		"row twice":         {{Key: ws, Value: good}, {Key: ws, Value: good}},
		"delete of nothing": {{Key: ws}},
		"unknown kind":      {{Key: amaranthtide.RowKey{Kind: "x", Name: "w"}, Expected: 1}},
	}
	for name, edits := range tests {
		t.Run(name, func(t *testing.T) {
			r, done := newOperator(0, edits, epoch, epoch).step.Result.Get()
			if !done || !amaranthtide.IsKind(r.Err, amaranthtide.KindBadRequest) {
				t.Errorf("got: %v %v, want: badRequest", done, r.Err)
			}
		})
	}
}
