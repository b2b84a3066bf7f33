// Package suspicion is a failure detector: it tells which routers have left messages
// unanswered for so long that others should take their place.
//
// A router is suspected once a message that demands an answer has gone without any
// message from that router for the silence time. Anything heard from it clears it.
// Routers that nobody asks are never suspected.
//
// # Usage
//
//	d := suspicion.New()
//	d.Asked(now, "vm-1")
//	if d.Suspected(now, "vm-1", silence) && d.Probe(now, "vm-1") {
//		// ask it again, beside the router that took its place
//	}
//	d.Heard("vm-1")
package suspicion

import (
	"time"

	"amaranthtide"
)

// probeInterval is how often a suspected router is asked again. It bounds the time for
// which two routers do the same work after the return of one.
const probeInterval = 2 * time.Second

// Detector is not concurrent-safe. Use New.
type Detector struct {
	routers map[amaranthtide.VMName]record
}

// record holds when a router was first asked since it was last heard, and last probed.
type record struct {
	firstRequest time.Time
	lastProbe    time.Time
}

// New returns a Detector that suspects no router.
func New() *Detector {
	return &Detector{make(map[amaranthtide.VMName]record)}
}

// Asked notes that the router was sent a message that demands an answer.
func (d *Detector) Asked(now time.Time, vm amaranthtide.VMName) {
	if _, waiting := d.routers[vm]; !waiting {
		d.routers[vm] = record{firstRequest: now, lastProbe: now}
	}
}

// Heard notes a message of the router.
func (d *Detector) Heard(vm amaranthtide.VMName) { delete(d.routers, vm) }

// Suspected reports whether the router has been silent for longer than the given time
// since it was asked.
func (d *Detector) Suspected(now time.Time, vm amaranthtide.VMName, timeout time.Duration) bool {
	r, waiting := d.routers[vm]
	return waiting && now.Sub(r.firstRequest) > timeout
}

// Probe reports whether it is time to ask a suspected router again, and notes that it
// is asked.
func (d *Detector) Probe(now time.Time, vm amaranthtide.VMName) bool {
	r, waiting := d.routers[vm]
	if !waiting || now.Sub(r.lastProbe) < probeInterval {
		return false
	}
	r.lastProbe = now
	d.routers[vm] = r
	return true
}
