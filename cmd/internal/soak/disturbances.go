package soak

import (
	"sync"
	"time"
)

// disturbances are the times in which the soak disturbed a thing. The zero value is a
// thing that was never disturbed. It is concurrent-safe.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

type disturbance struct {
	from, to time.Time
}

// begin notes a disturbance that goes on until the returned function is called.
func (d *disturbances) begin(now time.Time) (end func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := &disturbance{from: now}
	d.list = append(d.list, one)
	return func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		one.to = now
	}
}

// at notes a disturbance of a moment.
func (d *disturbances) at(now time.Time) { d.begin(now)(now) }

// calm reports whether there was no disturbance in the time before a moment.
func (d *disturbances) calm(at time.Time, before time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range d.list {
		goesOn := one.to.IsZero() || at.Sub(one.to) < before
		if goesOn && !one.from.After(at) {
			return false
		}
	}
	return true
}
