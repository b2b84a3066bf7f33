// Package stall decides when a stream that has begun makes no progress any more, so that another
// server should resume it.
//
// A connection may go silent without an end: behind a partition, or at a server that hangs. The
// caller of a stream gives up on it after some time without an event. A stream counts as stalled early
// enough for another server to read the prompt and to send the next event before that, and later than
// the pauses of a sound but slow server. Only complete events are progress. The time in which the
// caller doesn't read doesn't count, nor does one in which the router itself was suspended.
//
// # Usage
//
//	d, ok := stall.New(now, req.PauseTimeout, req.PauseObjective)
//	d.Block()       // before an event is written to the caller
//	d.Progress(now) // after it
//	if stalled, next := d.Check(now); !stalled {
//		// check again at next
//	}
//
// A Detector is not safe for concurrent use.
package stall

import "time"

const (
	// timeoutShare is the part of the time after which the caller gives up that a pause may last. The
	// rest is for a connection to another zone and for reading the prompt there.
	timeoutShare = 0.5
	// recheckShare is the part of the limit after which a stalled stream is checked again.
	recheckShare = 0.1
	// minPauses is the shortest limit as a multiple of the target for pauses. Events of a busy server
	// may take a few times the target.
	minPauses = 4
	// maxCheckDelay is how late a check may be. If it is later, the router was suspended or short of
	// processor time, and events may be waiting to be read.
	maxCheckDelay = 100 * time.Millisecond
)

// Detector watches the progress of one stream.
type Detector struct {
	limit   time.Duration
	checkAt time.Time
	blocked bool
}

// New returns a Detector for a stream that begins now, and false if its pauses have no limit: the time
// after which the caller gives up isn't known, or isn't much longer than pauses of a sound stream.
func New(now time.Time, callerTimeout, pauseObjective time.Duration) (*Detector, bool) {
	limit := time.Duration(timeoutShare * float64(callerTimeout))
	if limit <= 0 || limit < minPauses*pauseObjective {
		return nil, false
	}
	return &Detector{limit: limit, checkAt: now.Add(limit)}, true
}

// Limit returns the longest pause of a stream that isn't stalled.
func (d *Detector) Limit() time.Duration { return d.limit }

// Progress records that a complete event has been passed on.
func (d *Detector) Progress(now time.Time) {
	d.blocked = false
	d.checkAt = now.Add(d.limit)
}

// Block records that an event is being written to the caller, until the next call of Progress.
func (d *Detector) Block() { d.blocked = true }

// Check reports whether the stream has stalled, and when to check again: for a stalled one that no server
// can resume yet, soon.
func (d *Detector) Check(now time.Time) (stalled bool, next time.Time) {
	switch {
	case d.blocked, now.Sub(d.checkAt) > maxCheckDelay:
		d.checkAt = now.Add(d.limit)
	case !now.Before(d.checkAt):
		stalled = true
		d.checkAt = now.Add(time.Duration(recheckShare * float64(d.limit)))
	}
	return stalled, d.checkAt
}
