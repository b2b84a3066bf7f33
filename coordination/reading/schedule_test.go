package reading_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/reading"
)

const bound = 2 * time.Second

// Guards against an order of takeover in which a later router reads before an earlier one,
// and against one that waits beyond the bound of a change.
func TestOrderOfTakeover(t *testing.T) {
	is := is.New(t)
	s := reading.NewSchedule(bound)
	first := reading.Position{Zone: 0, Router: 0, ZoneRouters: 5}
	is.True(s.MustRead(first, 0, 0))
	order := []reading.Position{{0, 1, 5}, {1, 0, 5}, {1, 1, 5}, {2, 0, 5}, {0, reading.NotReader, 5}}
	previous := s.Poll
	for _, p := range order {
		age := previous
		for !s.MustRead(p, age, s.MaxDelay(p)) {
			age += 5 * time.Millisecond
		}
		if age <= previous {
			t.Errorf("got: %+v reads at an age of %v, want: after %v", p, age, previous)
		}
		previous = age
	}
	if previous > bound-300*time.Millisecond { // two checks and a call
		t.Errorf("got: the last router reads at an age of %v, want: well before %v", previous, bound)
	}
}

// Guards against a store that is called by a whole zone at once while no reader can read it.
func TestRetriesOfZoneAreLimited(t *testing.T) {
	s := reading.NewSchedule(bound)
	for _, routers := range []int{4, 60, 770} {
		p := reading.Position{Zone: 1, Router: reading.NotReader, ZoneRouters: routers}
		if perSecond := float64(routers) / s.RetryWait(p, 5).Seconds(); perSecond > 4.1 {
			t.Errorf("got: %.1f calls per second of %d routers, want: at most 4", perSecond, routers)
		}
	}
	is := is.New(t)
	is.True(s.RetryWait(reading.Position{}, 1) < s.RetryWait(reading.Position{}, 4))
}

// simulated is one router of a fleet that follows the schedule. Its times are offsets from
// the start.
type simulated struct {
	zone, router int
	// frozenUntil, silentUntil and refusedUntil are the ends of a freeze, of a time in which the
	// store doesn't answer this router, and of one in which it refuses its calls for one table.
	frozenUntil, silentUntil, refusedUntil time.Duration
	own, peer                              time.Duration
	callEnds                               time.Duration
	reads                                  bool
	readableSince                          time.Duration
	confirmed                              *reading.Confirmations
	// copied is the version of the copy of the operators' table, as of checkedAt.
	copied    uint64
	checkedAt time.Duration
	// complete is the time as of which the copy has all changes, whatever the view says: a call that
	// isn't refused waits for them.
	complete time.Duration
}

var simulationStart = time.Date(2026, 12, 8, 8, 0, 0, 0, time.UTC)

// poll is an answer for the list at the given time, by which a router decides whether to read the operators'
// table too. The store writes to other tables all the time.
func (r *simulated) poll(s reading.Schedule, now time.Duration) {
	at, newest := simulationStart.Add(now), uint64(now)
	r.confirmed.Answered(list, at)
	if !r.confirmed.HasAnswer(operator) || now-r.checkedAt >= 2*s.Poll {
		if now < r.refusedUntil {
			r.confirmed.Failed(operator)
		} else {
			r.copied, r.checkedAt = newest, now
			r.confirmed.Answered(operator, at)
		}
	}
	if now >= r.refusedUntil {
		r.complete = now
	}
	r.confirmed.Named(operator, at, version(0, r.copied), version(0, newest))
	if view := r.confirmed.At(list, operator); !view.IsZero() {
		r.own = view.Sub(simulationStart)
	}
}

// learn takes over what another router knows.
func (r *simulated) learn(from *simulated) {
	r.peer, r.complete = max(r.peer, from.view()), max(r.complete, from.complete)
}

func (r *simulated) view() time.Duration { return max(r.own, r.peer) }

// Guards against a router whose view is older than the bound of a change although a router
// that it reaches can read the feed: over freezes, silences of the store and refusals of one
// table at any routers and moments, and a cut of one zone from the others.
func TestViewsStayWithinBound(t *testing.T) {
	const (
		step         = 20 * time.Millisecond
		check        = 200 * time.Millisecond
		request      = 500 * time.Millisecond
		callTimeout  = 1200 * time.Millisecond
		zones        = 3
		perZone      = 4
		faultyLength = 6 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		s := reading.NewSchedule(bound)
		var fleet []*simulated
		for z := range zones {
			for i := range perZone {
				fleet = append(fleet, &simulated{zone: z, router: i, confirmed: reading.NewConfirmations(s)})
			}
		}
		cutZone, cutFrom := rapid.IntRange(0, zones).Draw(t, "cut"), time.Duration(rapid.IntRange(1000, 4000).Draw(t, "cutFrom"))*time.Millisecond
		type fault struct {
			at     time.Duration
			router int
			kind   int
			length time.Duration
		}
		var faults []fault
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			faults = append(faults, fault{
				time.Duration(rapid.IntRange(500, 5000).Draw(t, "at")) * time.Millisecond, rapid.IntRange(0, len(fleet)-1).Draw(t, "router"),
				rapid.IntRange(0, 2).Draw(t, "kind"), time.Duration(rapid.IntRange(500, 5000).Draw(t, "length")) * time.Millisecond,
			})
		}
		cut := func(now time.Duration, a, b int) bool {
			return a != b && now >= cutFrom && (a == cutZone || b == cutZone)
		}
		for now := step; now < faultyLength; now += step {
			for _, f := range faults {
				switch r := fleet[f.router]; {
				case f.at <= now-step || f.at > now:
				case f.kind == 0:
					r.frozenUntil = max(r.frozenUntil, f.at+f.length)
				case f.kind == 1:
					r.silentUntil = max(r.silentUntil, f.at+f.length)
				default:
					r.refusedUntil = max(r.refusedUntil, f.at+f.length)
					r.confirmed.Failed(operator) // ends the call that waits
				}
			}
			for i, r := range fleet {
				if now < r.frozenUntil {
					r.readableSince = -1
					continue
				}
				if now < max(r.silentUntil, r.refusedUntil) {
					r.readableSince = -1
				} else if r.readableSince < 0 {
					r.readableSince = now
				}
				position := reading.Position{Zone: r.zone, Router: r.router, ZoneRouters: perZone}
				if r.router >= reading.ReadersPerZone {
					position.Router = reading.NotReader
				}
				if (now+time.Duration(i)*step)%check == 0 {
					reads := s.MustRead(position, now-r.peer, s.MaxDelay(position)/2)
					if reads && !r.reads {
						r.confirmed.Reset()
					}
					r.reads = reads
				}
				if r.reads && now >= r.callEnds {
					if now < r.silentUntil {
						r.callEnds = now + callTimeout
					} else {
						r.poll(s, now)
						r.callEnds = now + s.Poll
						relay(s, fleet, r, position, now, cut)
					}
				}
				if (now+time.Duration(i)*step)%request == 0 { // asks another router, in turn
					other := fleet[int(now/request)*5%len(fleet)]
					if now >= other.frozenUntil && !cut(now, r.zone, other.zone) {
						r.learn(other)
					}
				}
			}
			for _, r := range fleet {
				if now < r.frozenUntil+bound && r.frozenUntil > 0 || now < bound {
					continue
				}
				if readable := readableFor(fleet, r, now, cut); readable >= bound && now-min(r.view(), r.complete) > bound {
					t.Fatalf("at %v: got: a view of %v, complete as of %v, at router %d of zone %d, want: at most %v, since a router that it reaches could read for %v",
						now, now-r.view(), now-r.complete, r.router, r.zone, bound, readable)
				}
			}
		}
	})
}

// relay passes the view of a router to its zone and to the first readers of other zones,
// which pass it on.
func relay(s reading.Schedule, fleet []*simulated, from *simulated, position reading.Position, now time.Duration, cut func(time.Duration, int, int) bool) {
	if !s.MustRelay(position, amaranthtide.Some(now-from.peer), amaranthtide.Some(now-from.own)) {
		return
	}
	for _, r := range fleet {
		if now >= r.frozenUntil && r != from && (r.zone == from.zone || r.router == 0 && !cut(now, r.zone, from.zone)) {
			if r.zone != from.zone {
				for _, mate := range fleet {
					if mate.zone == r.zone && now >= mate.frozenUntil {
						mate.learn(from)
					}
				}
			}
			r.learn(from)
		}
	}
}

// readableFor returns how long some router of the same zone has been able to read the feed.
func readableFor(fleet []*simulated, r *simulated, now time.Duration, cut func(time.Duration, int, int) bool) time.Duration {
	longest := time.Duration(0)
	for _, other := range fleet {
		if !cut(now, other.zone, r.zone) && other.readableSince >= 0 && now >= max(other.silentUntil, other.refusedUntil) && now >= other.frozenUntil {
			longest = max(longest, now-other.readableSince)
		}
	}
	return longest
}
