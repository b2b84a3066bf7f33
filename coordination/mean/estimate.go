// Package mean estimates the mean load of a model from below and derives the cap
// of one server's load (P1 of the design page).
//
// An owner knows its own sum exactly. What other routers reported was true when
// the report was taken; since then, requests may have finished there. Estimate
// subtracts from each router's sum what could have finished: nothing at age 0,
// else twice the reported completion rate times the age, plus one. A sum older
// than Staleness counts as 0.
//
// # What holds
//
// If no router finishes more than the subtracted number, the estimate is at most
// the true total, and Cap is at most the cap of the true mean: staleness refuses
// too early, never too late. If a router finishes more (a burst after a stall,
// a restart that loses its requests), the estimate is still at most the own sum plus,
// for each other router, its largest sum within the last Staleness. It may then exceed the
// largest total at any one time, since the sums are taken at different times: work
// that moved from one router to another may count for both.
//
// Both need ages that are not understated. A report carries no time of its own
// clock, so whoever receives it must pass the earliest time at which it may have
// been taken, that is the receive time less a bound of the transit time.
//
// With exact sums, Cap never refuses everywhere: the least loaded of n servers
// carries at most floor(total/n), and floor(total/n)+1 is at most
// ceil((total+1)/n).
//
// # Usage
//
//	e := mean.Estimate{Own: own, Servers: len(serversInService)}
//	for _, peer := range peers {
//		e.Add(now, peer.Taken, peer.Sum)
//	}
//	if load+1 <= mean.Cap(e.Total()+1, e.Servers, 1.25, 0) {
//		// Admit.
//	}
package mean

import (
	"math"
	"time"

	"amaranthtide"
)

// Staleness is the age above which a reported sum counts as 0. It covers ten
// reports at the shortest interval, so that single losses don't matter.
const Staleness = 2 * time.Second

// Unlimited is the cap of a server without a mean.
const Unlimited = math.MaxInt

// rateFactor covers a completion rate that rises after the report.
const rateFactor = 2

// Estimate is a lower bound of the load of a model's servers.
type Estimate struct {
	// Own is the exact number of requests in flight by way of this router.
	Own int
	// Servers is the number of servers in service in all reachable zones. It comes
	// from the configuration table; too large a number only lowers the cap.
	Servers  int
	peerLoad int
}

// Add adds what another router reported: the sum of InFlight and of
// CompletionsPerSecond over the model's servers. taken is the earliest time at
// which the report may have been taken. Requests that waited take the places of
// those that finished. Add each router once.
func (e *Estimate) Add(now, taken time.Time, sum amaranthtide.ServerLoad) {
	finished := max(0, maxFinished(now.Sub(taken), sum.CompletionsPerSecond)-sum.Waiting)
	e.peerLoad += max(0, sum.InFlight-finished)
}

// Total returns the lower bound of the sum over all routers.
func (e *Estimate) Total() int { return e.Own + e.peerLoad }

// maxFinished returns how many requests may have maxFinished within the age.
func maxFinished(age time.Duration, perSecond float64) int {
	if age <= 0 {
		return 0
	}
	if age > Staleness {
		return math.MaxInt
	}
	n := rateFactor*max(0, perSecond)*age.Seconds() + 1
	// Negated, so that NaN counts as everything.
	if !(n < math.MaxInt32) {
		return math.MaxInt
	}
	return int(n)
}

// Cap returns the greatest load that one server may carry after an admission,
// max(floor(multiple*mean), ceil(mean), floor), if total counts that admission. A
// multiple below 1 stands for amaranthtide.DefaultCapMultiple. Without servers
// there is no mean, and the result is Unlimited.
func Cap(total, servers int, multiple float64, floor int) int {
	if servers <= 0 {
		return Unlimited
	}
	if !(multiple >= 1) {
		multiple = amaranthtide.DefaultCapMultiple
	}
	scaled := math.Floor(multiple * float64(total) / float64(servers))
	// Division may round up to the next whole number.
	if scaled*float64(servers) > multiple*float64(total) {
		scaled--
	}
	return max(int(scaled), (total+servers-1)/servers, floor)
}
