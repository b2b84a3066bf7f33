package amaranthtide

import (
	"context"
	"math"
	"slices"
	"time"
)

// VersionName names a version of the software of a service's servers.
type VersionName string

// RolloutOrder is an operator's request to move a service to servers of another version.
type RolloutOrder struct {
	Service ServiceName
	To      VersionName
	// Duration is the time within which the operator expects a verdict.
	Duration time.Duration
}

// RolloutStage is the stage of a rollout.
type RolloutStage uint8

// The stages of a rollout.
const (
	// RolloutCanary sends a small share of the requests to the new version, until it is judged.
	RolloutCanary RolloutStage = iota + 1
	// RolloutShift moves the chats to the new version in steps.
	RolloutShift
	// RolloutSucceeded sends all requests to the new version.
	RolloutSucceeded
	// RolloutRolledBack sends no request to the new version.
	RolloutRolledBack
)

var rolloutStageNames = [...]string{"none", "canary", "shift", "succeeded", "rolledBack"}

// String returns the name of the stage in logs and in the recorded state, "none" for the zero value.
func (s RolloutStage) String() string {
	if int(s) < len(rolloutStageNames) {
		return rolloutStageNames[s]
	}
	return rolloutStageNames[0]
}

// ParseRolloutStage returns the stage with the given name and whether there is one.
func ParseRolloutStage(name string) (RolloutStage, bool) {
	for i, n := range rolloutStageNames {
		if n == name && i > 0 {
			return RolloutStage(i), true
		}
	}
	return 0, false
}

// Final reports whether no other stage follows.
func (s RolloutStage) Final() bool { return s == RolloutSucceeded || s == RolloutRolledBack }

// RolloutState is the recorded progress of one rollout. It is immutable.
type RolloutState struct {
	Service ServiceName
	// Order is the version of the row with the operator's order, which identifies the rollout.
	Order StoreVersion
	To    VersionName
	Stage RolloutStage
	// Share is the part of the requests, from 0 to 1, that the new version gets.
	Share float64
	// StartedAt and Deadline are by the clock of the router that recorded the first stage.
	StartedAt time.Time
	Deadline  time.Time
	// Barred are versions that earlier rollouts of the service have not found good. Their servers
	// get no requests, although To is another version.
	Barred []VersionName
	// Reason tells why this state was recorded.
	Reason string
}

// VersionOutcomes counts the outcomes of the requests of one route at the servers of one version in
// one zone, since the start of the router that counted them.
type VersionOutcomes struct {
	Service ServiceName
	Version VersionName
	Route   RouteName
	// Zone is the zone of the servers. A slow zone must not count against a version which has more
	// of its servers there.
	Zone ZoneName
	// Answers counts all outcomes that say something of the server's software, Failures the
	// failures among them.
	Answers  uint64
	Failures uint64
	// Durations counts the answers by the time to their first event (streams) or to their end.
	Durations DurationHistogram
}

// durationBuckets is the number of buckets of a DurationHistogram. The last one holds all
// durations above two minutes.
const durationBuckets = 36

// DurationHistogram counts durations in buckets whose upper bounds grow by the square root of 2,
// from 1 ms.
type DurationHistogram [durationBuckets]uint32

// Add counts a duration.
func (h *DurationHistogram) Add(d time.Duration) {
	h[durationBucket(d)]++
}

// Merge adds the counts of another histogram.
func (h *DurationHistogram) Merge(other DurationHistogram) {
	for i, n := range other {
		h[i] += n
	}
}

// CountAbove returns how many durations are in buckets that lie wholly above d.
func (h *DurationHistogram) CountAbove(d time.Duration) uint64 {
	sum := uint64(0)
	for _, n := range h[durationBucket(d)+1:] {
		sum += uint64(n)
	}
	return sum
}

// Quantile returns an upper bound of the given quantile, from 0 to 1; 0 if nothing was counted.
func (h *DurationHistogram) Quantile(q float64) time.Duration {
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	rank, sum := uint64(math.Ceil(q*float64(total))), uint64(0)
	for i, n := range h {
		if sum += uint64(n); sum >= rank && sum > 0 {
			return bucketBound(i)
		}
	}
	return 0
}

// durationBounds are the upper bounds of all buckets but the last.
var durationBounds = func() (bounds [durationBuckets - 1]time.Duration) {
	for i := range bounds {
		bounds[i] = bucketBound(i)
	}
	return bounds
}()

func durationBucket(d time.Duration) int {
	i, _ := slices.BinarySearch(durationBounds[:], d)
	return i
}

func bucketBound(i int) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Pow(2, float64(i)/2))
}

// RolloutRecorder records the stages of rollouts in the platform's store.
type RolloutRecorder interface {
	// RecordRollout writes the state together with the status that operators see, if the
	// recorded state still has the version previous (0 means that there is none) and the
	// operator's order is unchanged. It returns the version of the new state. Errors are
	// KindConflict if a condition does not hold, KindOutcomeUnknown and KindPlatformDown.
	RecordRollout(ctx context.Context, previous StoreVersion, s RolloutState) (StoreVersion, error)
}
