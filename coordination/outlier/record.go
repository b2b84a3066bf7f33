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
	// weight is the part of a new outcome in the running share of failures.
	weight = 0.25
	// highShare is the share of failures from which a server is avoided: about three
	// failures in a row after a good record.
	highShare = 0.55
	// rest is how long a failing server is avoided.
	rest = 2 * time.Second
	// probation is the share that a server starts from after its rest, so that one
	// further failure sends it back and two answers clear it.
	probation = 0.45
)

// Record is what is known of one server.
type Record struct {
	share   float64
	backoff time.Duration
	until   time.Time
}

// Avoid reports whether requests should go elsewhere.
func (r *Record) Avoid(now time.Time) bool { return now.Before(r.until) }

// Unreachable notes that no connection could be made.
func (r *Record) Unreachable(now time.Time) {
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.until = now.Add(r.backoff)
}

// Failed notes a request that the server failed or did not answer.
func (r *Record) Failed(now time.Time) {
	r.share += weight * (1 - r.share)
	if r.share >= highShare {
		r.until = now.Add(rest)
		r.share = probation
	}
}

// Succeeded notes a request that the server answered.
func (r *Record) Succeeded(time.Time) {
	r.share -= weight * r.share
	r.backoff = 0
}
