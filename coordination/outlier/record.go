// Package outlier judges a backend server by what this router's requests met there.
//
// A server that can't be reached is avoided for a time that doubles with each
// further failure. A server that fails many of its requests is avoided for a while,
// after which a single request tries it again. Servers that are avoided stay the
// last resort: they are used if no other is left.
//
// # Usage
//
//	var r outlier.Record // one per server
//	if r.Avoid(now) { ... }
//	r.Unreachable(now)
//	r.Failed(now)
//	r.Succeeded(now)
//
// The zero value is a server without a record. It is not concurrent-safe.
package outlier

import "time"

const (
	// firstBackoff is the first time for which an unreachable server is avoided.
	firstBackoff = 400 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// outcomeWeight is the part of a new outcome in the running share of failures.
	outcomeWeight = 0.25
	// avoidShare is the share of failures from which a server is avoided: about three
	// failures in a row after a good record.
	avoidShare = 0.55
	// avoidDuration is how long a failing server is avoided.
	avoidDuration = 2 * time.Second
	// shareAfterAvoid is the share that a server starts from after its rest, so that one
	// further failure sends it back and two answers clear it.
	shareAfterAvoid = 0.45
)

// Record is what is known of one server.
type Record struct {
	failureShare float64
	backoff      time.Duration
	avoidUntil   time.Time
}

// Avoid reports whether requests should go elsewhere.
func (r *Record) Avoid(now time.Time) bool { return now.Before(r.avoidUntil) }

// Unreachable notes that no connection could be made.
func (r *Record) Unreachable(now time.Time) {
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.avoidUntil = now.Add(r.backoff)
}

// Failed notes a request that the server failed or did not answer.
func (r *Record) Failed(now time.Time) {
	r.failureShare += outcomeWeight * (1 - r.failureShare)
	if r.failureShare >= avoidShare {
		r.avoidUntil = now.Add(avoidDuration)
		r.failureShare = shareAfterAvoid
	}
}

// Succeeded notes a request that the server answered.
func (r *Record) Succeeded(time.Time) {
	r.failureShare -= outcomeWeight * r.failureShare
	r.backoff = 0
}
