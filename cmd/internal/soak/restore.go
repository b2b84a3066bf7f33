package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"amaranthtide/platform/standin"
)

const (
	minStoreAway = 200 * time.Millisecond
	maxStoreAway = 5 * time.Second
	minCopyAge   = time.Second
	maxCopyAge   = 20 * time.Second
	// otherWrites are writes to a table that routers don't read, which use up versions that are given out again.
	otherWrites = 200
	// maxRewriteTime is the time in which the operator and the servers write again what a restored store
	// has lost.
	maxRewriteTime = 4 * time.Second
)

// restoreStore makes the store unavailable for a while. It comes back from an older copy, for half of the
// times twice, and the operator and the servers write their rows again one by one.
func (s *soak) restoreStore(ctx context.Context, random *rand.Rand) {
	if !s.restoring.TryLock() {
		return // another loop restores it
	}
	defer s.restoring.Unlock()
	end := s.storeFaults.begin(time.Now())
	defer func() { end(time.Now()) }()
	lost := s.restoreOnce(ctx, random)
	if random.IntN(2) == 0 {
		s.rewrite(ctx, random, lost[:len(lost)/2])
		lost = s.restoreOnce(ctx, random)
	}
	s.rewrite(ctx, random, lost)
}

func (s *soak) restoreOnce(ctx context.Context, random *rand.Rand) (lost []standin.RowName) {
	for range otherWrites {
		s.store.Put("other", "row", "x")
	}
	s.pause(ctx, random, minCopyAge, 2*minCopyAge)
	s.store.SetStatus(http.StatusServiceUnavailable)
	s.pause(ctx, random, minStoreAway, maxStoreAway)
	age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
	lost = s.store.Restore(time.Now(), age, random)
	s.store.SetStatus(0)
	return lost
}

// rewrite writes rows again, one by one.
func (s *soak) rewrite(ctx context.Context, random *rand.Rand, lost []standin.RowName) {
	for _, name := range lost {
		s.pause(ctx, random, 0, 2*maxRewriteTime/time.Duration(len(lost)))
		s.store.Rewrite(name)
	}
}
