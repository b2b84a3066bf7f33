package deployment

import (
	"context"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/change"
)

const (
	editTimeout = 10 * time.Second
	operator    = "deployment"
)

// rowChange is the new value of a row; a nil value deletes the row.
type rowChange struct {
	kind  amaranthtide.RowKind
	name  string
	value amaranthtide.RowValue
}

// edit commits changes through the platform's table service, as a router does for an
// operator. It returns when they are accepted.
func (d *Deployment) edit(ctx context.Context, rows ...rowChange) error {
	for batch := range slices.Chunk(rows, change.MaxEdits) {
		edits := make([]amaranthtide.Edit, len(batch))
		for i, r := range batch {
			key := amaranthtide.RowKey{Kind: r.kind, Name: r.name}
			stored, err := d.client.Get(ctx, change.RowStoredKey(key))
			if err != nil {
				return err
			}
			edits[i] = amaranthtide.Edit{Key: key, Value: r.value}
			if s, ok := stored.Get(); ok {
				row, err := change.DecodeRow(s)
				if err != nil {
					return err
				}
				edits[i].Expected = row.Revision
			}
		}
		if err := d.commit(ctx, edits); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) commit(ctx context.Context, edits []amaranthtide.Edit) error {
	e := change.New(change.Config{
		Operator: operator, Edits: edits, Token: amaranthtide.NewWriteToken(), Deadline: time.Now().Add(editTimeout),
	})
	step := e.Start(time.Now())
	for {
		if result, done := step.Result.Get(); done {
			return result.Err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(step.Wait):
		}
		step = e.Next(time.Now(), d.client.Do(ctx, step.Call))
	}
}
