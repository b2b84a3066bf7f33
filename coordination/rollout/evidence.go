package rollout

import (
	"time"

	"amaranthtide"
)

// Evidence is what a router knows of the fleet when it decides on a rollout.
type Evidence struct {
	// Windows holds the outcomes since the start of the rollout, from History.Windows.
	Windows []Window
	// InFlightOld is the number of requests in flight at servers of other versions.
	InFlightOld int
	// NewServers and OldServers are the numbers of servers of the new version and of other ones that
	// don't leave.
	NewServers, OldServers int
	// OrderStands is set if the operators' row still has the version RolloutState.Order.
	OrderStands bool
	// Age is the age of the oldest counts in the sums, among the routers that report.
	Age time.Duration
	// StateAge is the time since this router received the state.
	StateAge time.Duration
}

// Window holds the outcomes of all versions of a service over a short time.
type Window struct {
	Length time.Duration
	// Outcomes has at most one entry for a version, a route and a zone.
	Outcomes []amaranthtide.VersionOutcomes
	// Warm is set if the window begins after the new version's first answers, which are often
	// slow. Durations are compared only then.
	Warm bool
}
