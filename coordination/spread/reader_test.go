package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/coordination/spread"
	"amaranthtide/state/table"
)

func workspaceRows(n int) []amaranthtide.Row {
	rows := make([]amaranthtide.Row, n)
	for i := range rows {
		key := amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: fmt.Sprintf("workspace-%05d", i)}
		value := amaranthtide.Workspace{Weight: 1, CallerKeySHA256: fmt.Sprintf("%064x", i)}
		rows[i] = amaranthtide.Row{Key: key, Revision: amaranthtide.Revision(i + 1), Value: value}
	}
	return rows
}

// Guards against rows that are lost between the pages of a listing.
func TestStartListsAllPages(t *testing.T) {
	is := is.New(t)
	rows := workspaceRows(2*spread.PageSize + 7)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	head, err := change.EncodeHead(amaranthtide.Revision(len(rows)))
	is.NoErr(err)
	r := spread.New(now.Add(time.Minute))
	step := r.Start(now)
	for step.Do != spread.Load {
		var a spread.Answer
		switch step.Do {
		case spread.Get:
			a.Result.Row = amaranthtide.Some(amaranthtide.StoredRow{Key: change.HeadKey, Value: head})
		case spread.List:
			for _, row := range rows {
				key := change.RowStoredKey(row.Key)
				if step.Page.Prefix == change.RowPrefix && key > step.Page.After && len(a.Listed) < step.Page.Limit {
					value, err := change.EncodeRow(row)
					is.NoErr(err)
					a.Listed = append(a.Listed, amaranthtide.StoredRow{Key: key, Value: value})
				}
			}
		case spread.Fail:
			t.Fatal(step.Err)
		}
		step = r.Next(now, a)
	}
	is.Equal(len(step.Rows), len(rows))
	is.Equal(step.Revision, amaranthtide.Revision(len(rows)))
}

// BenchmarkStart19000 decodes and loads a snapshot of 19,000 rows, the design size of
// the table.
func BenchmarkStart19000(b *testing.B) {
	data, err := spread.EncodeSnapshot(workspaceRows(19_000), 19_000)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	for b.Loop() {
		s, err := spread.DecodeSnapshot(data)
		if err != nil {
			b.Fatal(err)
		}
		table.New().Load(s.Rows, s.Revision)
	}
}
