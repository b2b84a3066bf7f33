package soak

import (
	"sync"
	"time"
)

// faultIntervals records when a component was under a fault. The zero value is empty and
// ready to use. It is safe for concurrent use.
type faultIntervals struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

type faultInterval struct {
	from, to time.Time
}

// begin records a fault that lasts until the returned function is called.
func (f *faultIntervals) begin(now time.Time) (end func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := &faultInterval{from: now}
	f.intervals = append(f.intervals, interval)
	return func(now time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		interval.to = now
	}
}

// addInstant records a fault without duration.
func (f *faultIntervals) addInstant(now time.Time) { f.begin(now)(now) }

// quiet reports whether there was no fault during the given time before at.
func (f *faultIntervals) quiet(at time.Time, before time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, interval := range f.intervals {
		active := interval.to.IsZero() || at.Sub(interval.to) < before
		if active && !interval.from.After(at) {
			return false
		}
	}
	return true
}
