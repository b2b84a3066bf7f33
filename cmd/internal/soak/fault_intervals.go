package soak

import (
	"sync"
	"time"
)

// faultIntervals records when a component was under a fault. The zero value is empty and
// ready to use. It is concurrent-safe.
type faultIntervals struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

type faultInterval struct {
	from, to time.Time
}

// begin records a fault that lasts until the returned function is called.
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

// addInstant records a fault without duration.
func (d *faultIntervals) addInstant(now time.Time) { d.begin(now)(now) }

// quiet reports whether there was no fault during the given time before at.
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
