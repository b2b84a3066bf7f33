// Package drain plans the graceful shutdown of a router whose process is killed at the end of
// a fixed grace period: how long it takes every request, which ones it takes after that, and
// when it aborts those still in flight.
//
// Until the load balancer has noticed that the router is not ready, callers have no other
// router to go to, and every request is taken. After that, requests arrive only on
// connections that were busy until then. Such a request is taken only if it ends in time
// whatever its backend server does, and is refused otherwise: another router takes it at
// once, whereas here it would be aborted after it may have run.
//
// # Usage
//
//	p := drain.NewPlan(now, grace) // at the signal to stop
//	if !p.Admits(now, deadline) {
//		// Refuse the request. The caller may repeat it after drain.RetryAfter.
//	}
package drain

import "time"

const (
	// noticeTime is how long the load balancer takes to notice that a router isn't ready: it
	// asks once a second and needs two misses.
	noticeTime = 2800 * time.Millisecond
	// noticeShare is the greatest part of the grace period that noticeTime may take.
	noticeShare = 0.35
	// abortShare is the part of the grace period after which requests in flight are aborted.
	// The rest is left for the end of the process.
	abortShare = 0.94
	// answerTime is left for the last bytes of an answer that ends at its deadline.
	answerTime = 100 * time.Millisecond
)

// RetryAfter is how long the caller of a refused request should wait: the other routers are
// ready.
const RetryAfter = 10 * time.Millisecond

// Plan holds the times of a router's shutdown. Create one with NewPlan.
type Plan struct {
	// NoticedAt is when the load balancer has noticed that the router is not ready.
	NoticedAt time.Time
	// AbortAt is when the requests that are still in flight are aborted.
	AbortAt time.Time
}

// NewPlan returns the Plan of a shutdown that begins now. The process is killed when grace
// has passed.
func NewPlan(now time.Time, grace time.Duration) Plan {
	return Plan{
		NoticedAt: now.Add(min(noticeTime, shareOf(grace, noticeShare))),
		AbortAt:   now.Add(shareOf(grace, abortShare)),
	}
}

func shareOf(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Admits reports whether a request that ends at its deadline at the latest may be sent to a
// backend server.
func (p Plan) Admits(now, deadline time.Time) bool {
	return now.Before(p.NoticedAt) || !deadline.After(p.AbortAt.Add(-answerTime))
}
