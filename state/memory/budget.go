// Package memory counts the bytes that a process holds for callers and servers against one
// limit: connections, heads and bodies of requests, and answers that are buffered.
//
// What has to be held in any case, such as an answer that a server has already sent, is
// counted with Take. It may exceed the limit and then leaves less for others.
//
// # Usage
//
//	b := memory.New(limit)
//	if !b.Reserve(n) {
//		b.RequestReclaim(n) // frees memory for a later attempt
//		return errNoMemory
//	}
//	defer b.Release(n)
package memory

import (
	"sync"
	"sync/atomic"
)

// Shares of the memory of a process.
const (
	// HeldShare is the part that everything held for callers and servers may take. The heap may
	// grow to 1.4 times what is in use before it is collected, and the program and its own state
	// take the rest.
	HeldShare = 0.42
	// BodyShare is the part that bodies of requests may take, so that there is room for the heads
	// of those without one.
	BodyShare = 0.36
	// RuntimeShare is the greatest soft limit of the Go runtime. Near it the garbage collector
	// runs more often.
	RuntimeShare = 0.7
	// minRuntimeShare is the soft limit where the program takes most of the memory.
	minRuntimeShare = 0.5
)

// programBytes is what a process takes that the Go runtime doesn't count, such as the pages of the
// program itself, with some room for a heap that exceeds its soft limit for a moment.
const programBytes = 20 << 20

// GCPercent is the growth of the heap that triggers a collection where memory is scarcer than
// processor time. The default of 100 would let a heap within HeldShare exceed the memory.
const GCPercent = 40

// Budget counts the bytes that are held. It is safe for concurrent use. Use New.
type Budget struct {
	limit   atomic.Int64
	held    atomic.Int64
	refused atomic.Int64
	// awaited is set while freed is not nil, so that a release needs no lock otherwise.
	awaited atomic.Bool

	mu sync.Mutex
	// freed is closed at the next release; nil if nobody waits for one.
	freed chan struct{}
	// reclaim is the function of OnReclaim; may be nil.
	reclaim func(n int64)
}

// New returns a Budget of limit bytes. A limit of 0 or less means none.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// HeldLimit returns the limit of a process with the given memory, 0 for none.
func HeldLimit(processBytes int64) int64 { return int64(HeldShare * float64(processBytes)) }

// RuntimeLimit returns the soft limit of the Go runtime in a process with the given memory.
func RuntimeLimit(processBytes int64) int64 {
	limit := min(int64(RuntimeShare*float64(processBytes)), processBytes-programBytes)
	return max(limit, int64(minRuntimeShare*float64(processBytes)))
}

// SetLimit replaces the limit. What is held already stays.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Limit returns the limit, 0 or less if there is none.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// OnReclaim sets the function that RequestReclaim calls to free memory. It must not block.
func (b *Budget) OnReclaim(reclaim func(n int64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reclaim = reclaim
}

// Reserve adds n bytes unless that exceeds the limit, and reports whether it did.
func (b *Budget) Reserve(n int64) bool {
	for {
		held, limit := b.held.Load(), b.limit.Load()
		if limit > 0 && held+n > limit {
			b.refused.Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Take adds n bytes in any case.
func (b *Budget) Take(n int64) { b.held.Add(n) }

// Release ends the reservation of n bytes.
func (b *Budget) Release(n int64) {
	b.held.Add(-n)
	if !b.awaited.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
		b.awaited.Store(false)
	}
}

// RequestReclaim requests that n bytes be freed, after Reserve has refused them.
func (b *Budget) RequestReclaim(n int64) {
	b.mu.Lock()
	reclaim := b.reclaim
	b.mu.Unlock()
	if reclaim != nil {
		reclaim(n)
	}
}

// Freed returns a channel that is closed at the next release. Whoever waits calls it before the
// attempt to reserve, so that no release is missed in between.
func (b *Budget) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
		b.awaited.Store(true)
	}
	return b.freed
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// Refused returns how often bytes were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }
