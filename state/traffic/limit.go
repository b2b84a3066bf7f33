package traffic

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
)

const (
	// endReportTime is how long a router tells the others that a limit has ended. Until then they have
	// learned of it, also across a change of their hub.
	endReportTime = 10 * time.Second
	// maxExpirySpread is the longest additional time for which a router keeps to a limit after
	// amaranthtide.MaxLimitAge. It differs between routers: the first one that sends again learns whether
	// the limit still holds.
	maxExpirySpread = 30 * time.Second
	// keepEndTime is how long the end of a limit is remembered. Reports of the limit are not that late.
	keepEndTime = 30 * time.Second
)

// limitObservation is an announced limit, or its end. The zero value knows nothing.
type limitObservation struct {
	rate  amaranthtide.RequestRate
	ended bool
	// at is when the limit was seen. For an end, it is when the request was sent whose response showed it:
	// the server may have begun to limit after that response.
	at time.Time
}

func (o limitObservation) known() bool { return o.rate > 0 || o.ended }

// newer reports whether o replaces other. Of two of one time, the limit counts and not its end.
func (o limitObservation) newer(other limitObservation) bool {
	if !o.known() || !other.known() || o.at.Equal(other.at) {
		return o.known() && (!other.known() || other.ended)
	}
	return o.at.After(other.at)
}

func (o limitObservation) limit(now time.Time) amaranthtide.ServerLimit {
	return amaranthtide.ServerLimit{Rate: o.rate, Ended: o.ended, Age: max(0, now.Sub(o.at))}
}

// serverLimit is what this router knows of the limit of one server.
type serverLimit struct {
	// own is what this router saw in a response of the server that started at ownStarted. endedAt is when it
	// first saw the end of the limit.
	own        limitObservation
	ownStarted time.Time
	endedAt    time.Time
	// others is the newest that other routers have reported.
	others limitObservation
	// spread is this router's part of maxExpirySpread.
	spread time.Duration
}

// newest returns the newest observation of the server that started at the given time.
func (s serverLimit) newest(started time.Time) limitObservation {
	var newest limitObservation
	if !s.ownStarted.Before(started) {
		newest = s.own
	}
	// Reports don't tell the start of the server. The clocks of a server and a router differ little, and a
	// limit that is dropped or kept by mistake is corrected by the next response.
	if !s.others.at.Before(started) && s.others.newer(newest) {
		newest = s.others
	}
	return newest
}

// followedBy returns the state after a response with the notice n.
func (s serverLimit) followedBy(now time.Time, n amaranthtide.ServerNotice) serverLimit {
	if n.Started.Before(s.ownStarted) {
		return s // a late response of the server before
	}
	last := s.newest(n.Started)
	switch {
	case n.Limit > 0:
		s.own, s.ownStarted = limitObservation{rate: n.Limit, at: now}, n.Started
	case n.SentAt.IsZero(), !last.known(), !n.SentAt.After(last.at):
	case last.rate > 0:
		s.own, s.ownStarted, s.endedAt = limitObservation{ended: true, at: n.SentAt}, n.Started, now
	case s.own.ended:
		// A later request confirms the end, so that a limit in a report that was late doesn't replace it.
		s.own.at = n.SentAt
	}
	return s
}

// report returns what other routers have to know of this router's own observation. One that another
// router has seen to end is not reported, since that router reports the end for a while only.
func (s serverLimit) report(now time.Time) amaranthtide.ServerLimit {
	switch {
	case s.own.ended && now.Sub(s.endedAt) >= endReportTime, s.own.rate > 0 && s.others.ended && s.others.newer(s.own):
		return amaranthtide.ServerLimit{}
	default:
		return s.own.limit(now).After(0)
	}
}

// expired reports whether the router no longer keeps to the observation.
func (s serverLimit) expired(now time.Time, o limitObservation) bool {
	if o.ended {
		return now.Sub(o.at) >= keepEndTime
	}
	return now.Sub(o.at) >= amaranthtide.MaxLimitAge+s.spread
}

// forgettable reports whether neither observation is needed any more. Responses renew the end of a limit.
func (s serverLimit) forgettable(now time.Time) bool {
	ownExpired := s.expired(now, s.own) || s.own.ended && now.Sub(s.endedAt) >= keepEndTime
	return ownExpired && s.expired(now, s.others)
}

// ServerNoticed records the limit that a server announces in a response, or that it no longer does.
func (c *Counter) ServerNoticed(now time.Time, server amaranthtide.BackendServerName, n amaranthtide.ServerNotice) {
	if n.Limit == 0 && c.limitCount.Load() == 0 {
		return
	}
	c.updateLimit(server, func(s serverLimit) serverLimit { return s.followedBy(now, n) })
}

// observeLimits records the limits in the report of another router.
func (c *Counter) observeLimits(now time.Time, loads []amaranthtide.ServerLoad) {
	for _, l := range loads {
		if !l.Limit.Known() {
			continue
		}
		o := limitObservation{rate: l.Limit.Rate, ended: l.Limit.Ended, at: now.Add(-l.Limit.Age)}
		c.updateLimit(l.Server, func(s serverLimit) serverLimit {
			if o.newer(s.others) {
				s.others = o
			}
			return s
		})
	}
}

func (c *Counter) updateLimit(server amaranthtide.BackendServerName, f func(s serverLimit) serverLimit) {
	c.limits.Update(server, func(s serverLimit, ok bool) (serverLimit, bool) {
		s = f(s)
		keep := s.own.known() || s.others.known()
		if keep && !ok {
			s.spread = rand.N(maxExpirySpread)
			c.limitCount.Add(1)
		}
		return s, keep
	})
}

// Limit returns what is known of the limit of the server that started at the given time. It is kept for
// 10 minutes after it was last seen, or a little longer.
func (c *Counter) Limit(now time.Time, server amaranthtide.BackendServerName, started time.Time) amaranthtide.ServerLimit {
	if c.limitCount.Load() == 0 {
		return amaranthtide.ServerLimit{}
	}
	s, _ := c.limits.Get(server)
	newest := s.newest(started)
	if !newest.known() || s.expired(now, newest) {
		return amaranthtide.ServerLimit{}
	}
	return newest.limit(now)
}

// HasLimits reports whether a limit of any server is or was known.
func (c *Counter) HasLimits() bool { return c.limitCount.Load() > 0 }

// LimitedServers returns the number of servers that limit their requests.
func (c *Counter) LimitedServers(now time.Time) int {
	n := 0
	c.limits.Range(func(_ amaranthtide.BackendServerName, s serverLimit) bool {
		if o := s.newest(s.ownStarted); o.rate > 0 && !s.expired(now, o) {
			n++
		}
		return true
	})
	return n
}

// addLimits adds this router's own observations to sum.
func (c *Counter) addLimits(now time.Time, sum loadSums) {
	c.limits.Range(func(name amaranthtide.BackendServerName, s serverLimit) bool {
		if l := s.report(now); l.Known() {
			sum.add(amaranthtide.ServerLoad{Server: name, Limit: l}, 0)
		}
		return true
	})
}

// forgetLimits drops observations that had expired at the given time.
func (c *Counter) forgetLimits(before time.Time) {
	var old []amaranthtide.BackendServerName
	c.limits.Range(func(name amaranthtide.BackendServerName, s serverLimit) bool {
		if s.forgettable(before) {
			old = append(old, name)
		}
		return true
	})
	for _, name := range old {
		c.forgetLimit(name)
	}
}

func (c *Counter) forgetLimit(server amaranthtide.BackendServerName) {
	if c.limits.Delete(server) {
		c.limitCount.Add(-1)
	}
}
