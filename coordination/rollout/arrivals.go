package rollout

import (
	"time"

	"amaranthtide"
)

const (
	// maxHold is the time after which a new version gets requests although the operators' table
	// can't be read, if there is no other one.
	maxHold = 2 * time.Second
	// maxArrivals bounds the memory of Arrivals.
	maxArrivals = 64
)

// Arrivals tells which versions of a service have just appeared: their servers may belong to a
// rollout whose order the router hasn't received yet. It is not safe for concurrent use. Create one
// with NewArrivals per service.
type Arrivals struct {
	versions map[amaranthtide.VersionName]*arrival
}

type arrival struct {
	seen, lastSeen time.Time
	// started is the earliest start of its servers.
	started  time.Time
	released bool
}

// NewArrivals returns Arrivals without versions.
func NewArrivals() *Arrivals {
	return &Arrivals{versions: make(map[amaranthtide.VersionName]*arrival)}
}

// Observe records the listed servers of the service. A version is still known when its servers
// come back.
func (a *Arrivals) Observe(now time.Time, instances []amaranthtide.Instance) {
	for _, in := range instances {
		v, ok := a.versions[in.Version]
		if !ok {
			v = &arrival{seen: now, started: in.Started}
			a.versions[in.Version] = v
		}
		v.lastSeen = now
		if in.Started.Before(v.started) {
			v.started = in.Started
		}
	}
	for len(a.versions) > maxArrivals {
		a.forgetOldest()
	}
}

func (a *Arrivals) forgetOldest() {
	var oldest amaranthtide.VersionName
	for name, v := range a.versions {
		if o, ok := a.versions[oldest]; !ok || v.lastSeen.Before(o.lastSeen) {
			oldest = name
		}
	}
	delete(a.versions, oldest)
}

// Held returns the versions that get no requests yet. confirmed is the time as of which the
// router's view of the operators' table is complete: a version is released if that is after its
// servers were first seen. If the table can't be read, the version whose servers have run the
// longest is released after maxHold, unless another one was released before. The result is valid
// until recheck or the next confirmation; a zero recheck means that nothing is held.
func (a *Arrivals) Held(now, confirmed time.Time) (held amaranthtide.Set[amaranthtide.VersionName], recheck time.Time) {
	var longest *arrival
	hasReleased := false
	for _, v := range a.versions {
		v.released = v.released || confirmed.After(v.seen)
		if !a.isListed(v) {
			continue
		}
		hasReleased = hasReleased || v.released
		if longest == nil || v.started.Before(longest.started) {
			longest = v
		}
	}
	if longest != nil && !hasReleased && now.Sub(longest.seen) >= maxHold {
		longest.released = true
	}
	held = amaranthtide.NewSet[amaranthtide.VersionName]()
	for name, v := range a.versions {
		if !v.released {
			held.Add(name)
			recheck = now.Add(maxHold)
		}
	}
	if longest != nil && !longest.released && !hasReleased {
		recheck = longest.seen.Add(maxHold)
	}
	return held, recheck
}

// isListed reports whether the version was in the last list of servers.
func (a *Arrivals) isListed(v *arrival) bool {
	for _, other := range a.versions {
		if other.lastSeen.After(v.lastSeen) {
			return false
		}
	}
	return true
}
