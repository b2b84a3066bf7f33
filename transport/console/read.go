package console

import (
	"context"
	"time"

	"amaranthtide"
)

const (
	// readTries bounds the tries of one read. With one in three answers lost, one read
	// in 729 fails, so that a single lost answer raises no alarm.
	readTries = 6
	readPause = 50 * time.Millisecond
)

func (h *Handler) get(ctx context.Context, key amaranthtide.StoredKey) (amaranthtide.Option[amaranthtide.StoredRow], error) {
	return read(ctx, func() (amaranthtide.Option[amaranthtide.StoredRow], error) { return h.opts.Platform.Get(ctx, key) })
}

func (h *Handler) list(ctx context.Context, prefix, after amaranthtide.StoredKey, limit int) ([]amaranthtide.StoredRow, error) {
	return read(ctx, func() ([]amaranthtide.StoredRow, error) { return h.opts.Platform.List(ctx, prefix, after, limit) })
}

// read repeats a read that the platform did not answer.
func read[T any](ctx context.Context, once func() (T, error)) (T, error) {
	for try := 1; ; try++ {
		v, err := once()
		if err == nil || try == readTries || ctx.Err() != nil || !amaranthtide.IsKind(err, amaranthtide.KindPlatformDown) {
			return v, err
		}
		timer := time.NewTimer(readPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
