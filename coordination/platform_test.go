// Package coordination_test tests guarantees that depend on several decision packages,
// with a table service whose faults are drawn by rapid. The guarantees are numbered P1
// to P12 as in docs/PROOFS.md.
package coordination_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
)

// epoch is the true time at the start of each run.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeTable is an in-memory table service. Versions are never reused, even after a row
// is deleted. The answer to a commit may be lost before or after the commit takes
// effect, and a commit may take effect late.
type fakeTable struct {
	rows           map[amaranthtide.StoredKey]amaranthtide.StoredRow
	version        amaranthtide.RowVersion
	pendingCommits []amaranthtide.Transaction
	// faultless disables the drawn faults. outage makes every call fail.
	faultless bool
	outage    bool
	onCommit  func(amaranthtide.Transaction)
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[amaranthtide.StoredKey]amaranthtide.StoredRow{}}
}

func (f *fakeTable) commit(tx amaranthtide.Transaction) amaranthtide.TableResult {
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindConflict, "%s", c.Key)}
		}
	}
	if f.onCommit != nil {
		f.onCommit(tx)
	}
	f.version++
	var r amaranthtide.TableResult
	for _, w := range tx.Writes {
		if w.Value == nil {
			delete(f.rows, w.Key)
			r.Versions = append(r.Versions, 0)
			continue
		}
		f.rows[w.Key] = amaranthtide.StoredRow{Key: w.Key, Version: f.version, Token: tx.Token, Value: w.Value}
		r.Versions = append(r.Versions, f.version)
	}
	return r
}

func (f *fakeTable) call(t *rapid.T, c amaranthtide.TableCall) amaranthtide.TableResult {
	fault := "none"
	if !f.faultless {
		fault = rapid.SampledFrom([]string{"none", "none", "none", "down", "lostBefore", "lostAfter", "late"}).Draw(t, "fault")
	}
	tx, isCommit := c.Transaction.Get()
	if f.outage {
		fault = "down"
	}
	if fault == "down" || fault != "none" && !isCommit {
		return amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "down")}
	}
	if !isCommit {
		return f.get(c.Key)
	}
	switch fault {
	case "none":
		return f.commit(tx)
	case "lostAfter":
		f.commit(tx)
	case "late":
		f.pendingCommits = append(f.pendingCommits, tx)
	}
	return amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "lost")}
}

func (f *fakeTable) get(key amaranthtide.StoredKey) amaranthtide.TableResult {
	if row, ok := f.rows[key]; ok {
		return amaranthtide.TableResult{Row: amaranthtide.Some(row)}
	}
	return amaranthtide.TableResult{}
}

func (f *fakeTable) list(prefix, after amaranthtide.StoredKey, limit int) []amaranthtide.StoredRow {
	var rows []amaranthtide.StoredRow
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows
}

// commitLate applies one of the delayed commits if its conditions hold.
func (f *fakeTable) commitLate(t *rapid.T) {
	if len(f.pendingCommits) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.pendingCommits)-1).Draw(t, "late")
	tx := f.pendingCommits[i]
	f.pendingCommits = slices.Delete(f.pendingCommits, i, i+1)
	f.commit(tx)
}

// removeFaults disables the drawn faults and applies all delayed commits.
func (f *fakeTable) removeFaults(t *rapid.T) {
	f.faultless = true
	for len(f.pendingCommits) > 0 {
		f.commitLate(t)
	}
}

// defaultChecks is the default of the flag rapid.checks.
const defaultChecks = "400"

// TestMain raises rapid's defaults of 100 checks and 30 steps, with which takeovers and
// repeats are rare. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": defaultChecks, "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// checkTimes checks a property in n parallel calls of rapid.Check.
func checkTimes(t *testing.T, n int, property func(*rapid.T)) {
	t.Parallel()
	for i := range n {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, property)
		})
	}
}
