// Package runtimeout limits the time of an operation without counting the time in which the
// process has no processor.
//
// An ordinary timer runs as soon as a processor is free, ahead of the goroutine that the network
// has made ready earlier. In a process that is short of processor time, the operation then times
// out although the peer has answered.
//
// # Usage
//
//	ctx, cancel := runtimeout.With(ctx, 200*time.Millisecond)
//	defer cancel()
//	err := operation(ctx)
//	if errors.Is(context.Cause(ctx), runtimeout.ErrTimeout) {
//		// The process was able to run for 200 ms, and the operation has not ended.
//	}
package runtimeout

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// ErrTimeout is the cause of a context that has ended by its timeout. It wraps os.ErrDeadlineExceeded, so
// that errors.As finds a net.Error.
var ErrTimeout = fmt.Errorf("%w", os.ErrDeadlineExceeded)

// steps is the number of parts of a timeout. A part that takes longer because the process does
// not run counts only once.
const steps = 10

// timeout ends a context after a number of steps.
type timeout struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	step   time.Duration

	mu    sync.Mutex
	left  int
	timer *time.Timer
}

// With returns a context that is canceled with the cause ErrTimeout once the process was able to
// run for d.
func With(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	t := &timeout{step: d / steps, left: steps}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.step, t.run)
	return t.ctx, t.stop
}

// run ends a step once the goroutines that were ready before it have run.
func (t *timeout) run() {
	if t.ctx.Err() != nil {
		return
	}
	runtime.Gosched()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left--; t.left > 0 {
		t.timer.Reset(t.step)
		return
	}
	t.cancel(ErrTimeout)
}

func (t *timeout) stop() {
	t.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}
