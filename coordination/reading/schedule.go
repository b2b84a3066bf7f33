// Package reading decides which routers of a fleet read the platform's feed themselves.
// All others rely on the rows that a reader relays to them.
//
// One router reads: the first reader of the first zone. It calls the feed at least once
// per Schedule.Poll, and each answer confirms that the rows it relays are complete. The
// age of a router's view is the time since the feed last confirmed it, through this
// router or through others. A router that receives nothing newer takes over once that
// age exceeds a limit, which is lower for routers earlier in the order: the other readers
// of the first zone, then the readers of each further zone, then any router. The age
// covers all causes alike: a reader that has failed, that is frozen, that is cut off, or
// whose calls hang without failing.
//
// # Usage
//
//	s := reading.NewSchedule(changeBound)
//	if s.MustRead(position, viewAge, delay) { // delay: random, up to s.MaxDelay(position)
//		// Call the feed, with a wait of s.Poll.
//	}
package reading

import (
	"time"

	"amaranthtide"
)

// The parts of the time allowed for a change after which routers act. The time between
// pollShare and standbyShare is left for the way of an answer to the other routers; the
// time after limitShare is left for the call of the router that takes over, the relay of
// its rows and two checks.
const (
	pollShare    = 0.35
	standbyShare = 0.5
	stepShare    = 0.015
	limitShare   = 0.65
	delayShare   = 0.15
)

const (
	// minRetryWait is the mean wait after the first failed call. It doubles with each
	// further failure, since refused calls are billed too, up to maxRetryWait: a reader
	// whose connection to the platform recovers then still applies a change in time.
	minRetryWait = 300 * time.Millisecond
	maxRetryWait = 1200 * time.Millisecond
	maxDoublings = 4
	// zoneProbeInterval is the mean time between two calls of all routers of a zone that
	// are not its readers, while no reader can read the feed. The load of a store that
	// recovers then doesn't depend on the size of the fleet.
	zoneProbeInterval = 250 * time.Millisecond
)

// ReadersPerZone is the number of readers of a zone: one reads or relays, and one stands
// by for it.
const ReadersPerZone = 2

// NotReader is the Position.Router of a router that is not among the readers of its zone.
const NotReader = -1

// Position is the position of a router in the order in which routers take over reading.
type Position struct {
	// Zone is the position of the router's zone among all zones.
	Zone int
	// Router is the position of the router among the readers of its zone, or NotReader.
	Router int
	// ZoneRouters is the number of routers in the zone.
	ZoneRouters int
}

// IsFirst reports whether the router is the one that reads as long as it can.
func (p Position) IsFirst() bool { return p.Zone == 0 && p.Router == 0 }

// Schedule holds the times at which routers take over reading. Create one with
// NewSchedule.
type Schedule struct {
	// Poll is the longest wait of a reader's call for changes.
	Poll                          time.Duration
	standby, step, limit, maximum time.Duration
}

// NewSchedule returns a Schedule by which every change reaches every router within bound,
// as long as one router that can reach the others can read the feed.
func NewSchedule(bound time.Duration) Schedule {
	share := func(part float64) time.Duration { return time.Duration(part * float64(bound)) }
	return Schedule{Poll: share(pollShare), standby: share(standbyShare), step: share(stepShare), limit: share(limitShare), maximum: share(delayShare)}
}

// MustRead reports whether a router must call the feed. viewAge is the age of the view
// that other routers have confirmed to it. delay keeps the routers that are not readers
// from calling at the same moment.
func (s Schedule) MustRead(p Position, viewAge, delay time.Duration) bool {
	if p.Router == NotReader {
		return viewAge > s.limit+delay
	}
	if p.IsFirst() {
		return true
	}
	before := p.Zone*ReadersPerZone + p.Router - 1 // standbys that take over earlier
	return viewAge > min(s.limit, s.standby+s.step*time.Duration(before))
}

// MustRelay reports whether a router that has read the feed relays the result. A router
// that is not a reader of its zone does so only in place of readers that have stopped:
// routers that start together would otherwise all send to each other. So would those of a
// fleet that can read only some of the tables: such a router relays nothing. peerViewAge is
// the age of the view that other routers have confirmed to it, absent if none has, and
// ownViewAge that of the view that its own calls have confirmed.
func (s Schedule) MustRelay(p Position, peerViewAge, ownViewAge amaranthtide.Option[time.Duration]) bool {
	if p.Router != NotReader {
		return true
	}
	age, ok := peerViewAge.Get()
	own, confirmed := ownViewAge.Get()
	return ok && s.Stale(age) && confirmed && !s.Stale(own)
}

// Patience returns how long a router's copy of a table may stay behind a version that is known to be newer
// until it no longer counts as current. The change is in transfer, or read by the second poll.
func (s Schedule) Patience() time.Duration { return s.Poll + s.Poll/2 }

// MaxDelay returns the upper bound of the random delay for MustRead.
func (s Schedule) MaxDelay(p Position) time.Duration {
	if p.Router != NotReader {
		return 0
	}
	return min(s.maximum, zoneProbeInterval*time.Duration(p.ZoneRouters))
}

// RetryWait returns the mean wait before the next call after a number of failed ones.
func (s Schedule) RetryWait(p Position, failures int) time.Duration {
	wait := min(minRetryWait<<min(max(failures, 1)-1, maxDoublings), maxRetryWait)
	if p.Router != NotReader {
		return wait
	}
	return max(wait, zoneProbeInterval*time.Duration(p.ZoneRouters))
}

// Stale reports whether a view of that age should be brought up to date from any router
// that may have a newer one.
func (s Schedule) Stale(viewAge time.Duration) bool { return viewAge > s.standby }

// Current reports whether a view of that age confirms that the feed can be read: what it
// no longer lists was removed from it.
func (s Schedule) Current(viewAge time.Duration) bool { return viewAge <= s.limit }
