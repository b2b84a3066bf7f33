// Package suspicion implements a failure detector: it reports which routers have not
// responded for so long that others should replace them.
//
// A router is suspected if it was sent a message that requires a response, and no
// message has been received from it within the timeout. Any message from it ends the
// suspicion. Routers that receive no such messages are never suspected.
//
// # Usage
//
//	d := suspicion.New()
//	d.RequestSent(now, "vm-1")
//	if d.Suspected(now, "vm-1", timeout) && d.TryProbe(now, "vm-1") {
//		// Send to it again, in addition to the router that replaces it.
//	}
//	d.MessageReceived("vm-1")
package suspicion

import (
	"time"

	"amaranthtide"
)

// probeInterval is the interval at which a suspected router is probed. It limits the
// time for which two routers do the same work after a suspected one is back.
const probeInterval = 2 * time.Second

// Detector records which routers have not responded. It is not safe for concurrent use.
// Create one with New.
type Detector struct {
	routers map[amaranthtide.VMName]record
}

// record holds when a router was sent the first message that it has not responded to,
// and when it was last probed.
type record struct {
	firstRequest time.Time
	lastProbe    time.Time
}

// New returns a Detector that suspects no router.
func New() *Detector {
	return &Detector{make(map[amaranthtide.VMName]record)}
}

// RequestSent records that the router was sent a message that requires a response.
func (d *Detector) RequestSent(now time.Time, vm amaranthtide.VMName) {
	if _, waiting := d.routers[vm]; !waiting {
		d.routers[vm] = record{firstRequest: now, lastProbe: now}
	}
}

// MessageReceived records that a message of the router was received.
func (d *Detector) MessageReceived(vm amaranthtide.VMName) { delete(d.routers, vm) }

// Suspected reports whether the router has not responded within the timeout.
func (d *Detector) Suspected(now time.Time, vm amaranthtide.VMName, timeout time.Duration) bool {
	r, waiting := d.routers[vm]
	return waiting && now.Sub(r.firstRequest) > timeout
}

// TryProbe reports whether a suspected router is due to be probed, and if so, records the
// probe.
func (d *Detector) TryProbe(now time.Time, vm amaranthtide.VMName) bool {
	r, waiting := d.routers[vm]
	if !waiting || now.Sub(r.lastProbe) < probeInterval {
		return false
	}
	r.lastProbe = now
	d.routers[vm] = r
	return true
}
