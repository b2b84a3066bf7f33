package console

import (
	"context"
	"time"

	"amaranthtide"
)

const (
	// maxReadAttempts bounds the attempts of one read. Even if one in three answers is
	// lost, only one read in 729 fails, so that lost answers don't show up as problems.
	maxReadAttempts = 6
	readRetryDelay  = 50 * time.Millisecond
)

func (h *Handler) get(ctx context.Context, key amaranthtide.StoredKey) (amaranthtide.Option[amaranthtide.StoredRow], error) {
	return readWithRetry(ctx, func() (amaranthtide.Option[amaranthtide.StoredRow], error) { return h.opts.Platform.Get(ctx, key) })
}

func (h *Handler) list(ctx context.Context, prefix, after amaranthtide.StoredKey, limit int) ([]amaranthtide.StoredRow, error) {
	return readWithRetry(ctx, func() ([]amaranthtide.StoredRow, error) { return h.opts.Platform.List(ctx, prefix, after, limit) })
}

// readWithRetry repeats a read that failed with KindPlatformDown.
func readWithRetry[T any](ctx context.Context, once func() (T, error)) (T, error) {
	for attempt := 1; ; attempt++ {
		v, err := once()
		if err == nil || attempt == maxReadAttempts || ctx.Err() != nil || !amaranthtide.IsKind(err, amaranthtide.KindPlatformDown) {
			return v, err
		}
		timer := time.NewTimer(readRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
