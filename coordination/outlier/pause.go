package outlier

import "time"

const (
	// MaxPause is the longest pause that a server may ask for.
	MaxPause = time.Hour
	// maxReturnSpread is the longest additional time over which routers return to a server
	// after its pause, and returnSpreadShare the part of the pause up to which it lasts.
	maxReturnSpread   = time.Second
	returnSpreadShare = 0.25
	// returnDuration is how long a router sends fewer requests after a pause, one in each
	// returnInterval.
	returnDuration = time.Second
	returnInterval = 50 * time.Millisecond
	// maxWaitShare is the part of a request's remaining time, and maxWait the time, for which
	// it may wait for the end of a pause. A caller that waits longer is better told when to come
	// back.
	maxWaitShare = 0.25
	maxWait      = 500 * time.Millisecond
)

// Leave records that the server, which started at the given time, says that it leaves. It
// holds until the server has started again, whatever the list of servers shows.
func (r *Record) Leave(started time.Time) (changed bool) {
	changed = !r.leaving || started.After(r.leavingStarted)
	r.leaving, r.leavingStarted = true, started
	return changed
}

// Leaving reports whether the server with the given start has said that it leaves.
func (r *Record) Leaving(started time.Time) bool {
	return r.leaving && !started.After(r.leavingStarted)
}

// Pause records that the server, which started at the given time, wants no requests for the
// duration d. A further pause within it can only prolong it. spread, from 0 to 1, differs
// between routers, so that they don't all return at the same moment.
func (r *Record) Pause(now, started time.Time, d time.Duration, spread float64) {
	d = min(d, MaxPause)
	d += time.Duration(spread * min(returnSpreadShare*float64(d), float64(maxReturnSpread)))
	if started.After(r.pauseStarted) {
		r.pauseStarted, r.pausedUntil = started, time.Time{} // the pause was the earlier server's
	}
	if until := now.Add(d); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	r.nextReturn = r.pausedUntil
}

// Reopens returns the time from which a request may be sent to the server with the given
// start. A time that is not after now allows one at once; false means that the server leaves.
func (r *Record) Reopens(now, started time.Time) (time.Time, bool) {
	switch {
	case r.Leaving(started):
		return time.Time{}, false
	case started.After(r.pauseStarted), !now.Before(r.pausedUntil.Add(returnDuration)):
		return time.Time{}, true
	default:
		return r.nextReturn, true
	}
}

// Turn is like Reopens for a request that is sent after the given number of others. After a
// pause, they are sent one after the other.
func (r *Record) Turn(now, started time.Time, ahead int) (time.Time, bool) {
	at, ok := r.Reopens(now, started)
	if !ok || at.IsZero() {
		return at, ok
	}
	returned := r.pausedUntil.Add(returnDuration)
	ahead = min(ahead, int(returnDuration/returnInterval))
	return earlier(at.Add(time.Duration(ahead)*returnInterval), returned), true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Admit reports whether a request may be sent to the server with the given start, and if so,
// counts it.
func (r *Record) Admit(now, started time.Time) bool {
	at, ok := r.Reopens(now, started)
	if !ok || now.Before(at) {
		return false
	}
	if !at.IsZero() {
		r.nextReturn = now.Add(returnInterval)
	}
	return true
}

// ShouldWait reports whether a request with the given deadline should wait for a server that
// reopens at the given time. Otherwise it is rejected at once.
func ShouldWait(now, reopens, deadline time.Time) bool {
	wait := reopens.Sub(now)
	return wait <= min(maxWait, time.Duration(maxWaitShare*float64(deadline.Sub(now))))
}

// RetryAfter returns the wait of a caller whose request is rejected until the given time.
// spread, from 0 to 1, differs between callers, so that they don't return in one step.
func RetryAfter(now, reopens time.Time, spread float64) time.Duration {
	wait := max(0, reopens.Sub(now))
	return wait + time.Duration(spread*float64(max(returnDuration, time.Duration(returnSpreadShare*float64(wait)))))
}

// keepLeaving is how long a server that has left the list is remembered as leaving. Lists that
// lag show it for seconds.
const keepLeaving = 10 * time.Minute

// MustKeep reports whether the record must outlive the server's entry in the list.
func (r *Record) MustKeep() bool { return r.leaving }

// ServerGone records that the server was removed from the list.
func (r *Record) ServerGone(now time.Time) { r.goneAt = now }

// Expired reports whether the record of a server that was removed from the list may be dropped.
func (r *Record) Expired(now time.Time) bool {
	return !r.goneAt.IsZero() && now.Sub(r.goneAt) > keepLeaving
}
