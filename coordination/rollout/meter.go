package rollout

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

const (
	// maxCredit bounds the canary requests that a router sends in sequence after a time without
	// any.
	maxCredit = 2
	// maxMeterRoutes bounds the memory of a Meter. Further routes are counted together.
	maxMeterRoutes = 64
	// leastRouteShare is the part of the share that routes with most of the requests keep,
	// maxRouteBoost the multiple of it that a small route gets at most. All routes together get at
	// most extraPart of the share in addition.
	leastRouteShare = 0.92
	maxRouteBoost   = 4
	extraPart       = 0.15
	// variation is the range of the random part of the interval between two canary requests.
	variation = 0.5
	// earlierRequests is the number of requests that the earlier traffic counts for, so that a
	// changed mix of routes soon shows.
	earlierRequests = 100
	// initialReserve is the credit for small routes at the start. With few requests per router, the
	// first one on a small route would get no boost without it.
	initialReserve = 0.3
)

// Meter selects the requests that one router sends to the new version in the canary stage,
// whatever chats they belong to. By a hash of the chat, a popular chat could get more than the
// share, and its answers would be compared with those of other chats. Small routes get a larger
// share than others, so that a version which is bad on one of them alone is noticed. Over all
// routers the number exceeds the share by chance only, as the first request of each is due after
// a random part of the interval. It is safe for concurrent use. Create one with NewMeter for each
// rollout, and keep it over all its states.
type Meter struct {
	mu sync.Mutex
	// requests are the numbers of requests by route, total is their sum.
	requests map[amaranthtide.RouteName]float64
	total    float64
	// credit is the part of the next canary request that is due, reserve what credit may rise by.
	credit, reserve float64
}

// NewMeter returns a Meter. phase is a random number from 0 to 1, which differs between routers
// and between the runs of a router. earlier are the outcomes that the router has counted so far,
// by which it knows small routes from its first request on.
func NewMeter(phase float64, earlier []amaranthtide.VersionOutcomes) *Meter {
	m := &Meter{requests: make(map[amaranthtide.RouteName]float64), credit: phase, reserve: initialReserve}
	for _, o := range earlier {
		m.requests[m.name(o.Route)] += float64(o.Answers)
		m.total += float64(o.Answers)
	}
	if m.total <= earlierRequests {
		return m
	}
	for name := range m.requests {
		m.requests[name] *= earlierRequests / m.total
	}
	m.total = earlierRequests
	return m
}

// take counts a request, and reports whether it goes to the new version. allowed is false if that
// gets none now.
func (m *Meter) take(r Request, share float64, allowed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[m.name(r.Route)]++
	m.total++
	taken := false
	m.credit, m.reserve, taken = m.next(r, share, allowed)
	return taken
}

// preview returns what take would, but counts nothing.
func (m *Meter) preview(r Request, share float64, allowed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := m.name(r.Route)
	n, known := m.requests[name]
	m.requests[name]++
	m.total++
	_, _, taken := m.next(r, share, allowed)
	m.total--
	if m.requests[name] = n; !known {
		delete(m.requests, name)
	}
	return taken
}

// next returns the credit and the reserve after a request that has been counted, and whether it
// goes to the new version.
func (m *Meter) next(r Request, share float64, allowed bool) (credit, reserve float64, taken bool) {
	reserve = min(m.reserve+(1+extraPart)*share, maxCredit)
	due := min(m.routeShare(m.name(r.Route), share), reserve)
	reserve -= due
	credit = min(m.credit+due, maxCredit)
	if !allowed || credit < 1 {
		return credit, reserve, false
	}
	// The variation keeps requests that repeat in a fixed order from being sampled at the same point
	// each time.
	return credit + variation*(float64(xxhash.Sum64String(string(r.ID)))/math.MaxUint64-0.5) - 1, reserve, true
}

// routeShare returns the part of the requests of a route that are due for the new version. By the
// square roots, the numbers of canary requests differ less between routes than those of requests,
// yet no route takes most of them.
func (m *Meter) routeShare(name amaranthtide.RouteName, share float64) float64 {
	roots := 0.0
	for _, n := range m.requests {
		roots += math.Sqrt(n / m.total)
	}
	boost := 1 / (roots * math.Sqrt(m.requests[name]/m.total))
	return min(share*min(max(boost, leastRouteShare), maxRouteBoost), max(share, maxCanaryShare))
}

// name returns the name under which the requests of a route are counted.
func (m *Meter) name(route amaranthtide.RouteName) amaranthtide.RouteName {
	if _, ok := m.requests[route]; !ok && len(m.requests) >= maxMeterRoutes {
		return ""
	}
	return route
}
