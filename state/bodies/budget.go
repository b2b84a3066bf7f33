// Package bodies limits the memory that the bodies of requests take while they are held: a
// router keeps each body until its request has an answer, since it may have to send it again.
//
// # Usage
//
//	b := bodies.Within(memory, share)
//	hold := b.Hold(workspace)
//	defer hold.Release()
//	body, err := hold.ReadAll(r.Body, r.ContentLength, limit)
//	if errors.Is(err, bodies.ErrNoMemory) {
//		// Refuse the request.
//	}
package bodies

import (
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/state/memory"
	"amaranthtide/state/shard"
)

// workspaceShare is the part of the limit that the bodies of one workspace may take, so that a
// surge of one leaves room for the others.
const workspaceShare = 0.5

// Budget counts the bytes of the bodies that are held. It is safe for concurrent use. Use New
// or Within.
type Budget struct {
	memory *memory.Budget
	// share is the part of the memory that bodies may take.
	share      float64
	total      atomic.Int64
	workspaces *shard.Map[amaranthtide.WorkspaceName, int64]
}

// New returns a Budget of limit bytes. A limit of 0 or less means none.
func New(limit int64) *Budget { return Within(memory.New(limit), 1) }

// Within returns a Budget for bodies that may take a share of the memory of a process.
func Within(m *memory.Budget, share float64) *Budget {
	return &Budget{memory: m, share: share, workspaces: shard.New[amaranthtide.WorkspaceName, int64]()}
}

// Reserve adds n bytes of a workspace, unless they exceed its share or the limit, and reports
// whether it did.
func (b *Budget) Reserve(workspace amaranthtide.WorkspaceName, n int64) bool {
	if n <= 0 {
		return true
	}
	limit := int64(b.share * float64(b.memory.Limit()))
	if total := b.total.Add(n); limit > 0 && total > limit {
		b.total.Add(-n)
		return false
	}
	reserved := true
	b.workspaces.Update(workspace, func(held int64, _ bool) (int64, bool) {
		if limit > 0 && held+n > int64(workspaceShare*float64(limit)) {
			reserved = false
			return held, held > 0
		}
		return held + n, true
	})
	if !reserved {
		b.total.Add(-n)
		return false
	}
	if !b.memory.Reserve(n) {
		b.releaseCounts(workspace, n)
		return false
	}
	return true
}

// Release ends the reservation of n bytes of a workspace.
func (b *Budget) Release(workspace amaranthtide.WorkspaceName, n int64) {
	if n <= 0 {
		return
	}
	b.releaseCounts(workspace, n)
	b.memory.Release(n)
}

func (b *Budget) releaseCounts(workspace amaranthtide.WorkspaceName, n int64) {
	b.total.Add(-n)
	b.workspaces.Update(workspace, func(held int64, _ bool) (int64, bool) { return held - n, held > n })
}

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 { return b.total.Load() }
