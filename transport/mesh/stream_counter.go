package mesh

import (
	"context"
	"sync"
)

// streamCounter counts streams in flight and lets a shutdown wait for the last one.
type streamCounter struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // closed when n falls to 0; nil if nobody waits
}

func (f *streamCounter) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *streamCounter) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.zero != nil {
		close(f.zero)
		f.zero = nil
	}
}

func (f *streamCounter) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.zero == nil {
		f.zero = make(chan struct{})
	}
	zero := f.zero
	f.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
