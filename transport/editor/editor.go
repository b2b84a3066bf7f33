// Package editor commits operators' changes to the configuration table.
//
// # Usage
//
//	e := editor.New(editor.Options{Table: platform, Publisher: spreader})
//	result := e.Apply(ctx, "alice", edits)
package editor

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/change"
)

// TableCaller makes calls to the table service.
type TableCaller interface {
	Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult
}

// ChangePublisher distributes changes that this router has committed to the other
// routers.
type ChangePublisher interface {
	Push(changes []amaranthtide.Change)
}

// Options holds the dependencies of an Editor. All fields are required.
type Options struct {
	Table     TableCaller
	Publisher ChangePublisher
}

// Editor commits batches of edits. It is safe for concurrent use. Use New.
type Editor struct{ opts Options }

// New returns an Editor.
func New(opts Options) *Editor { return &Editor{opts} }

// Apply commits the edits of an operator atomically and publishes the changes. It gives
// up at the deadline of ctx, or after defaultTimeout if ctx has none.
func (e *Editor) Apply(ctx context.Context, operator amaranthtide.OperatorName, edits []amaranthtide.Edit) change.Result {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultTimeout)
	}
	commit := change.New(change.Config{Operator: operator, Edits: edits, Token: amaranthtide.NewWriteToken(), Deadline: deadline})
	step := commit.Start(now)
	for {
		result, done := step.Result.Get()
		if done {
			e.opts.Publisher.Push(result.Changes)
			return result
		}
		sleep(ctx, step.Wait)
		step = commit.Next(time.Now(), e.opts.Table.Do(ctx, step.Call))
	}
}

const defaultTimeout = 10 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
