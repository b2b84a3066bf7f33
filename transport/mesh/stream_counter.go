package mesh

import (
	"context"
	"sync"
)

// streamCounter counts streams in flight. A shutdown waits for it to reach zero.
type streamCounter struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // closed when n reaches 0; nil without waiters
}

func (c *streamCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *streamCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

// wait returns nil once n is 0, or the error of ctx if ctx ends first.
func (c *streamCounter) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.zero == nil {
		c.zero = make(chan struct{})
	}
	zero := c.zero
	c.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
