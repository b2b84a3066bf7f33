// Package outlier detects failing backend servers from the outcomes of this router's
// requests.
//
// An unreachable server is avoided for a time that doubles with each further failure. A
// server that fails many of its requests is avoided for a fixed time, after which one
// further failure is enough to avoid it again. Avoided servers are still used if no
// other one is left.
//
// A server that asks for a pause, or says that it leaves, gets nothing, also if no other one is
// left. After a pause, routers return one after the other and with few requests first.
//
// # Usage
//
//	var r outlier.Record // one per server
//	if r.Avoid(now) { ... }
//	r.Unreachable(now)
//	r.Failed(now)
//	r.Succeeded(now)
//	r.Pause(now, started, 3*time.Second, rand.Float64())
//	r.Leave(started)
//	if !r.Admit(now, started) { ... }
//
// The zero value of Record is ready to use. A Record is not safe for concurrent use.
package outlier

import "time"

const (
	// firstBackoff is the first time for which an unreachable server is avoided.
	firstBackoff = 400 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// outcomeWeight is the weight of a new outcome in the running share of failures.
	outcomeWeight = 0.25
	// avoidShare is the share of failures from which a server is avoided. A server
	// without earlier failures reaches it after three failures in a row.
	avoidShare = 0.55
	// avoidDuration is how long a failing server is avoided.
	avoidDuration = 2 * time.Second
	// shareAfterAvoid is the share of failures with which a server starts after it was
	// avoided. One further failure is enough to avoid it again, while two answers lower
	// the share to about 0.25.
	shareAfterAvoid = 0.45
)

// Record holds the outcomes of this router's requests to one server.
type Record struct {
	failureShare float64
	backoff      time.Duration
	avoidUntil   time.Time
	// unreachableUntil is when a connection to the server may be tried again.
	unreachableUntil time.Time

	// leaving is set once the server has said that it leaves; leavingStarted is the start of
	// the server that said so.
	leaving        bool
	leavingStarted time.Time
	// goneAt is when the server was removed from the list; zero if it was not.
	goneAt time.Time
	// pausedUntil is the end of the pause that the server with the start pauseStarted asked
	// for, nextReturn the time from which it gets the next request.
	pausedUntil, nextReturn, pauseStarted time.Time
}

// Avoid reports whether requests should be sent to other servers.
func (r *Record) Avoid(now time.Time) bool {
	return now.Before(r.avoidUntil) || r.IsUnreachable(now)
}

// IsUnreachable reports whether no connection to the server could be made a moment ago.
func (r *Record) IsUnreachable(now time.Time) bool { return now.Before(r.unreachableUntil) }

// Unreachable records that no connection to the server could be made.
func (r *Record) Unreachable(now time.Time) {
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.unreachableUntil = now.Add(r.backoff)
}

// Failed records a request that the server failed or did not answer.
func (r *Record) Failed(now time.Time) {
	r.failureShare += outcomeWeight * (1 - r.failureShare)
	if r.failureShare >= avoidShare {
		r.avoidUntil = now.Add(avoidDuration)
		r.failureShare = shareAfterAvoid
	}
}

// Succeeded records a request that the server answered.
func (r *Record) Succeeded(time.Time) {
	r.failureShare -= outcomeWeight * r.failureShare
	r.backoff = 0
}
