package soak

import (
	"sync"
	"time"
)

// faultIntervals are the times in which the soak disturbed a thing. The zero value is a
// thing that was never disturbed. It is concurrent-safe.
type faultIntervals struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

type faultInterval struct {
	from, to time.Time
}

// begin notes a disturbance that goes on until the returned function is called.
func (d *faultIntervals) begin(now time.Time) (end func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := &faultInterval{from: now}
	d.intervals = append(d.intervals, one)
	return func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		one.to = now
	}
}

// addInstant notes a disturbance of a moment.
func (d *faultIntervals) addInstant(now time.Time) { d.begin(now)(now) }

// quiet reports whether there was no disturbance in the time before a moment.
func (d *faultIntervals) quiet(at time.Time, before time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range d.intervals {
		active := one.to.IsZero() || at.Sub(one.to) < before
		if active && !one.from.After(at) {
			return false
		}
	}
	return true
}
