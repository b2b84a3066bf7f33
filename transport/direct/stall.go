package direct

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/stall"
)

// errStalled is the cause of the end of an attempt whose stream made no progress.
var errStalled = errors.New("stream stalled")

// stallWatch ends an attempt whose stream has stalled, if another server can resume it. A nil watch does
// nothing.
type stallWatch struct {
	callerTimeout, pauseObjective time.Duration
	// abandon ends the attempt, and reports false if no other server may resume the stream now.
	abandon func(now time.Time) bool

	mu       sync.Mutex
	detector *stall.Detector
	timer    *time.Timer
	stopped  bool
}

// watchStalls returns the watch of an attempt, nil if its stream may not be resumed.
func (r *requestRun) watchStalls(cancel context.CancelCauseFunc) *stallWatch {
	if !r.req.Resumable || !r.mayRepeat(1) {
		return nil
	}
	return &stallWatch{
		callerTimeout: r.req.PauseTimeout, pauseObjective: r.req.PauseObjective,
		abandon: func(now time.Time) bool {
			// While requests compete, engines suspend streams, and moving them would add to the load.
			if !r.capacity.Ample() || !r.hasAlternative(now) || !r.dispatcher.takeRetry(now, r.req.Service) {
				return false
			}
			cancel(errStalled)
			return true
		},
	}
}

// start begins to watch. It is called with the head of the answer.
func (w *stallWatch) start(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	detector, ok := stall.New(now, w.callerTimeout, w.pauseObjective)
	if !ok {
		return
	}
	w.detector = detector
	w.timer = time.AfterFunc(detector.Limit(), w.check)
}

// block is called before an event is written to the caller, and progress after it.
func (w *stallWatch) block() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.detector != nil {
		w.detector.Block()
	}
}

func (w *stallWatch) progress(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.detector != nil {
		w.detector.Progress(now)
	}
}

// stop ends the watch, and waits for a check that is under way.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check ends the attempt if its stream has stalled, and otherwise sets the time of the next check.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	stalled, next := w.detector.Check(now)
	if stalled && w.abandon(now) {
		w.stopped = true
		return
	}
	w.timer.Reset(next.Sub(now))
}

// recordStall records a stalled stream against its server. All servers of another zone may be behind the
// same partition, so this request tries them last.
func (r *requestRun) recordStall(now time.Time, in amaranthtide.Instance) {
	r.dispatcher.stalls.Add(1)
	r.dispatcher.recordServer(in.Name, func(rec *outlier.Record) { rec.Failed(now) })
	if in.Zone != r.dispatcher.opts.Zone {
		r.unreachableZones.Add(in.Zone)
	}
}

// Stalls returns the number of streams that stalled and were given to another server.
func (d *Dispatcher) Stalls() int64 { return d.stalls.Load() }
