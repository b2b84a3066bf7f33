// Package mean estimates a lower bound of the mean load of a model's servers, and
// derives the cap of one server's load from it (property P1 of the design page).
//
// An owner knows its own number of requests in flight exactly. The sums that other
// routers report were correct when the report was taken, but requests may have
// finished there since. Estimate subtracts from each router's sum the requests that
// may have finished: none at age 0, otherwise one plus twice the reported completion
// rate times the age. A sum older than MaxReportAge counts as 0.
//
// # Guarantees
//
// If no router finishes more than the subtracted number, the estimate is at most the
// true total, and Cap is at most the cap of the true mean: stale reports cause
// refusals too early, never too late. If a router finishes more, for example in a
// burst after a stall or by a restart that loses its requests, the estimate is still
// at most the own sum plus, for each other router, its largest sum within the last
// MaxReportAge. It may then exceed the largest total at any one time, because the sums
// were taken at different times, and work that moved from one router to another may
// count for both.
//
// Both guarantees require that ages are not underestimated. A report carries no
// timestamp, so the receiver must pass the earliest time at which it may have been
// taken, which is the receive time minus an upper bound of the transit time.
//
// With exact sums, Cap never refuses at all servers: the least loaded of n servers has
// a load of at most floor(total/n), and floor(total/n)+1 is at most ceil((total+1)/n).
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

// MaxReportAge is the age above which a reported sum counts as 0. It covers twenty
// reports at the shortest interval of package membership (100 ms), so that the loss of
// single reports has no effect.
const MaxReportAge = 2 * time.Second

// Unlimited is the cap if there is no mean.
const Unlimited = math.MaxInt

// rateFactor allows for a completion rate that increases after the report.
const rateFactor = 2

// Estimate is a lower bound of the load of a model's servers.
type Estimate struct {
	// Own is the exact number of requests of this router in flight.
	Own int
	// Servers is the number of the model's servers in service in all reachable zones,
	// according to the configuration table. A number that is too large only lowers the
	// cap.
	Servers  int
	peerLoad int
}

// Add adds the load that another router reported, summed over the model's servers.
// taken is the earliest time at which the report may have been taken. Waiting requests
// are assumed to replace finished ones. Each router must be added at most once.
func (e *Estimate) Add(now, taken time.Time, sum amaranthtide.ServerLoad) {
	finished := max(0, maxFinished(now.Sub(taken), sum.CompletionsPerSecond)-sum.Waiting)
	e.peerLoad += max(0, sum.InFlight-finished)
}

// Total returns the lower bound of the requests in flight of all routers.
func (e *Estimate) Total() int { return e.Own + e.peerLoad }

// maxFinished returns the maximum number of requests that may have finished within the
// age.
func maxFinished(age time.Duration, perSecond float64) int {
	if age <= 0 {
		return 0
	}
	if age > MaxReportAge {
		return math.MaxInt
	}
	n := rateFactor*max(0, perSecond)*age.Seconds() + 1
	// The condition is negated so that it also holds for NaN.
	if !(n < math.MaxInt32) {
		return math.MaxInt
	}
	return int(n)
}

// Cap returns the maximum load of one server after an admission, which is
// max(floor(multiple*mean), ceil(mean), floor). total must include that admission. If
// multiple is below 1 or NaN, amaranthtide.DefaultCapMultiple is used. Without servers,
// there is no mean, and the result is Unlimited.
func Cap(total, servers int, multiple float64, floor int) int {
	if servers <= 0 {
		return Unlimited
	}
	if !(multiple >= 1) {
		multiple = amaranthtide.DefaultCapMultiple
	}
	scaled := math.Floor(multiple * float64(total) / float64(servers))
	// The division may have rounded up to the next integer.
	if scaled*float64(servers) > multiple*float64(total) {
		scaled--
	}
	return max(int(scaled), (total+servers-1)/servers, floor)
}
