package overload

import (
	"math"
	"slices"
)

const (
	// floorShare is the part of the share of all requests that each priority and each workspace
	// gets at least. Operators require a quarter of what all are served; some of the admitted
	// requests fail later.
	floorShare = 0.25
	// rankMargin is the part of what a priority lacks by which the next one is served less, so
	// that chance doesn't let it be served better.
	rankMargin = 0.1
)

// offer is what the requests of one priority ask for.
type offer struct {
	priority       int
	requests, work float64
}

// cost returns how much the callers lose if the requests are rejected: half as much per request
// with each step of priority.
func (o offer) cost() float64 { return math.Ldexp(o.requests, -o.priority) }

// sharesByPriority returns the share of each priority's requests to admit, in the order of the
// offers, so that the part of all work is admitted. Groups of priorities that come first get all
// they ask for before the next one gets more than its floor.
func sharesByPriority(part float64, offers []offer) []float64 {
	var total offer
	for _, o := range offers {
		total.requests += o.requests
		total.work += o.work
	}
	shares := make([]float64, len(offers))
	if total.work <= 0 || part >= 1 {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	groups := groupsByCost(offers)
	// The floor is relative to the share of all requests, which follows from the shares.
	overall := 1.0
	const rounds = 6
	for range rounds {
		floor := min(part, floorShare*overall)
		rest, i, admitted := (part-floor)*total.work, 0, 0.0
		for _, g := range groups {
			share := 1.0
			if ask := (1 - floor) * g.work; ask <= rest {
				rest -= ask
			} else {
				share, rest = floor+rest/g.work, 0
			}
			for range g.members {
				shares[i] = share
				if share < 1 && i > 0 {
					shares[i] = max(floor, min(share, shares[i-1]-rankMargin*(1-shares[i-1])))
				}
				admitted += shares[i] * offers[i].requests
				i++
			}
		}
		overall = admitted / total.requests
	}
	return shares
}

// group is a number of successive priorities that get the same share.
type group struct {
	members    int
	cost, work float64
}

// groupsByCost groups offers so that the cost of rejecting a group in relation to its work falls from
// group to group. A priority whose requests take little work belongs to the more urgent one
// before it: rejecting its requests would hardly help the others, and it may not get a larger
// share than that one.
func groupsByCost(offers []offer) []group {
	var groups []group
	for _, o := range offers {
		g := group{1, o.cost(), o.work}
		for n := len(groups); n > 0 && g.cost*groups[n-1].work >= groups[n-1].cost*g.work; n-- {
			before := groups[n-1]
			g = group{g.members + before.members, g.cost + before.cost, g.work + before.work}
			groups = groups[:n-1]
		}
		groups = append(groups, g)
	}
	return groups
}

// fairLevel returns the largest demand that is admitted wholly if the share of all demands is
// admitted and larger ones are cut to the level (max-min fairness).
func fairLevel(share float64, demands []float64) float64 {
	slices.Sort(demands)
	rest := 0.0
	for _, d := range demands {
		rest += share * d
	}
	for i, d := range demands {
		level := rest / float64(len(demands)-i)
		if d >= level {
			return level
		}
		rest -= d
	}
	return rest
}
