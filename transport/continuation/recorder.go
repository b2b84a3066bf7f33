package continuation

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
)

const (
	// maxRecordWait is how long the first event of a stream waits for its record. If the store is away, the
	// event is passed on, and the record is written once the store is back.
	maxRecordWait = 300 * time.Millisecond
	// minFlushInterval is the least time between two writes of records, which bounds the load of the store.
	minFlushInterval = 50 * time.Millisecond
	// retryInterval is the time after a failed write until the next one.
	retryInterval = 300 * time.Millisecond
	// removeInterval is the time between two removals of expired records.
	removeInterval = 20 * time.Second
)

// recorder writes records of streams, several with a call. It is safe for concurrent use.
type recorder struct {
	store  amaranthtide.StreamStore
	logger hclog.Logger

	mu sync.Mutex
	// pending holds the records to write, written those that were, each until it expires.
	pending []*pendingRecord
	written []amaranthtide.StreamRecord
	// failing is set while the last write has failed: events don't wait then.
	failing bool
	wake    chan struct{}
}

type pendingRecord struct {
	record amaranthtide.StreamRecord
	// done is closed when the record is written.
	done chan struct{}
}

func newRecorder(store amaranthtide.StreamStore, logger hclog.Logger) *recorder {
	return &recorder{store: store, logger: logger, wake: make(chan struct{}, 1)}
}

// record writes a record, and returns once it is written or after maxRecordWait.
func (r *recorder) record(ctx context.Context, record amaranthtide.StreamRecord) {
	p := &pendingRecord{record, make(chan struct{})}
	r.mu.Lock()
	r.pending = append(r.pending, p)
	failing := r.failing
	r.mu.Unlock()
	r.wakeUp()
	if failing {
		return
	}
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// repeat writes the records once more that have not expired.
func (r *recorder) repeat() {
	r.mu.Lock()
	for _, record := range r.written {
		r.pending = append(r.pending, &pendingRecord{record, make(chan struct{})})
	}
	r.written = nil
	r.mu.Unlock()
	r.wakeUp()
}

func (r *recorder) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// run writes the pending records until ctx is done.
func (r *recorder) run(ctx context.Context) {
	remove := time.NewTicker(removeInterval)
	defer remove.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-remove.C:
			r.removeExpired(ctx, now)
		case <-r.wake:
			r.sleep(ctx, r.flush(ctx))
		}
	}
}

// flush writes the pending records and returns the time until it may be called again.
func (r *recorder) flush(ctx context.Context) time.Duration {
	r.mu.Lock()
	batch := r.pending
	r.pending = nil
	r.mu.Unlock()
	if len(batch) == 0 {
		return 0
	}
	records := make([]amaranthtide.StreamRecord, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	err := r.store.RecordStreams(ctx, records)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing != (err != nil) {
		r.failing = err != nil
		r.logger.Info("records of streams", "writable", err == nil, "error", err)
	}
	if err != nil {
		for _, p := range batch {
			if now.Before(p.record.ExpiresAt) {
				r.pending = append(r.pending, p)
			}
		}
		r.wakeUp()
		return retryInterval
	}
	for _, p := range batch {
		close(p.done)
	}
	r.written = append(r.written, records...)
	return minFlushInterval
}

// removeExpired removes the records that have expired from the store.
func (r *recorder) removeExpired(ctx context.Context, now time.Time) {
	r.mu.Lock()
	var expired []amaranthtide.RequestID
	kept := r.written[:0]
	for _, record := range r.written {
		if now.Before(record.ExpiresAt) {
			kept = append(kept, record)
		} else {
			expired = append(expired, record.Stream)
		}
	}
	r.written = kept
	r.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	if err := r.store.RemoveStreams(ctx, expired); err != nil {
		r.logger.Info("expired records of streams stay for the sweep", "records", len(expired), "error", err)
	}
}

func (r *recorder) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
