package rollout

import (
	"math"
	"time"

	"amaranthtide"
)

// The parts of an order's duration after which stages are due.
const (
	// widenPart is when the canary share rises if the traffic is too little to judge by.
	widenPart = 0.15
	// promotePart is when the shift begins, latestPromotePart the same if the evidence was too
	// little or doubtful before.
	promotePart       = 0.5
	latestPromotePart = 0.65
	// shiftPart is the length of the shift.
	shiftPart = 0.2
	// unseenPart is when the shift no longer waits for answers on all routes.
	unseenPart = 0.75
	// absentPart is when a version that has not answered is rolled back.
	absentPart = 0.8
	// hastenPart is when the remaining steps of the shift are taken at once.
	hastenPart = 0.85
	// lastPart is when the outcome is recorded at the latest: success although requests are still in
	// flight at the old servers, or a rollback if there is no verdict. What is written later might not
	// be read before the deadline.
	lastPart = 0.92
)

const (
	// maxCanaryShare bounds the canary share with little traffic, when the slack allows more: the
	// old versions must have answers to compare with.
	maxCanaryShare = 0.5
	// slackPart is the part of the exposure slack that widens the canary share.
	slackPart = 0.8
	// minWidening is the least rise of the share that justifies a write.
	minWidening = 1.25
	// narrowPart is the part of the usual canary share that is left when traffic has risen after the
	// share was widened.
	narrowPart = 0.9
	// shareTolerance is the difference up to which shares are the same: a recorded one may be rounded.
	shareTolerance = 0.001
	// enoughAnswers is the number of answers that reveal a version of whose answers one in ten is
	// bad.
	enoughAnswers = 100
	// A route with at least routePart of the old versions' answers must have routeAnswers answers of
	// the new version before the shift begins.
	routePart    = 0.02
	routeAnswers = 5
	// maxAge is the age of counts up to which they show what the version does now.
	maxAge = 2 * time.Second
	// stepTime is the shortest time between two steps of the shift: each must be recorded and reach
	// the routers, and their counts the hubs. minSteps and maxSteps bound the number of steps.
	stepTime = 1200 * time.Millisecond
	minSteps = 3
	maxSteps = 8
	// stepPower makes the first steps small: a version that turns bad during the shift, or is bad on
	// a small route, has got few requests when that shows.
	stepPower = 3
	// coveredTime is the time for which a step of the shift must leave room in the exposure limit:
	// until a version that turns bad with it gets no more requests. minGrowth is the growth of the
	// share without such room, since the chats must move before the deadline.
	coveredTime = 2 * time.Second
	minGrowth   = 1.5
	// coveredPart is when the steps no longer consider the exposure limit: requests at the old servers
	// need time to end.
	coveredPart = 0.7
	// quietPart and maxQuiet bound the time, after all chats have moved, in which the routers learn
	// of it and the counts of requests in flight become current.
	quietPart = 0.05
	maxQuiet  = time.Second
)

// Next returns the state that follows, if one is due. A rollback that the outcomes demand may take
// effect before it is recorded; all other states take effect only afterwards.
func Next(now time.Time, state amaranthtide.RolloutState, e Evidence, limits Limits) (amaranthtide.RolloutState, bool) {
	if state.Stage.Final() {
		return state, false
	}
	found := judge(state.To, e.Windows, limits)
	if found.isBad() {
		return rollBack(state, found.reason)
	}
	if state.Stage == amaranthtide.RolloutCanary {
		return nextInCanary(now, state, e, found, limits)
	}
	return nextInShift(now, state, e, found, limits)
}

func nextInCanary(now time.Time, state amaranthtide.RolloutState, e Evidence, found finding, limits Limits) (amaranthtide.RolloutState, bool) {
	part := elapsedPart(now, state)
	answers := answersOf(state.To, e.Windows)
	switch {
	case !e.OrderStands:
		return rollBack(state, "order withdrawn")
	case part >= lastPart:
		return rollBack(state, "no verdict in time")
	case part >= absentPart && e.NewServers == 0:
		return rollBack(state, "no servers of the version")
	case part >= absentPart && answers == 0:
		return rollBack(state, "no answers of the version")
	case part >= latestPromotePart && found.isProbablyBad() && e.Age <= maxAge:
		return rollBack(state, found.reason)
	case part >= absentPart && (found.isQuestionable() || found.isBurst()) && e.Age <= maxAge:
		return rollBack(state, found.reason)
	case e.Age > maxAge || e.NewServers == 0:
		return state, false
	case answers > 0 && mayShift(part, found, isEnough(state.To, e.Windows)):
		state.Stage = amaranthtide.RolloutShift
		if state.Share = shareAfter(now, state, e, limits); part >= hastenPart {
			state.Share = 1
		}
		state.Reason = "version found good"
		return state, true
	case part >= widenPart:
		return widen(state, e, limits, part)
	}
	return state, false
}

// mayShift reports whether the shift may begin. Doubts delay it until absentPart. From then on,
// nextInCanary decides beforehand whether they are a reason to roll back.
func mayShift(part float64, found finding, enough bool) bool {
	switch {
	case part >= absentPart:
		return true
	case part >= latestPromotePart:
		return !found.isDoubtful()
	default:
		return part >= promotePart && enough && !found.isDoubtful()
	}
}

// widen raises the canary share if the traffic is too little to judge by: the requests in addition
// are a part of the exposure slack. If the traffic rises afterwards, the share falls for good.
func widen(state amaranthtide.RolloutState, e Evidence, limits Limits, part float64) (amaranthtide.RolloutState, bool) {
	initial := canaryMargin * limits.ExposureShare
	rate, ok := recentRate(e.Windows)
	if !ok || state.Share < initial-shareTolerance {
		return state, false
	}
	ahead := rate * max(latestPromotePart-part, shiftPart) * state.Deadline.Sub(state.StartedAt).Seconds()
	share := maxCanaryShare
	if more := slackPart * float64(limits.ExposureSlack); more < ahead*(maxCanaryShare-initial) {
		share = initial + more/ahead
	}
	switch {
	case state.Share > 2*share:
		state.Share, state.Reason = narrowPart*initial, "more traffic"
		return state, true
	case state.Share <= initial+shareTolerance && part < promotePart && share >= minWidening*initial:
		state.Share, state.Reason = share, "little traffic"
		return state, true
	}
	return state, false
}

// recentRate returns the answers per second in the last windows, and false if they may not include
// all routers yet.
func recentRate(windows []Window) (float64, bool) {
	const minWindows = int(settleTime/windowLength) + 2
	if len(windows) < minWindows {
		return 0, false
	}
	answers, length := uint64(0), time.Duration(0)
	for _, w := range windows[len(windows)-2:] {
		length += w.Length
		for _, o := range w.Outcomes {
			answers += o.Answers
		}
	}
	return float64(answers) / length.Seconds(), true
}

// isEnough reports whether the new version has given enough answers, and some on each route that
// matters.
func isEnough(to amaranthtide.VersionName, windows []Window) bool {
	warm := uint64(0)
	for _, w := range windows {
		if w.Warm {
			warm += answersOf(to, []Window{w})
		}
	}
	return warm >= enoughAnswers && isEachRouteSeen(to, windows)
}

// isEachRouteSeen reports whether the new version has given answers on each route that matters.
func isEachRouteSeen(to amaranthtide.VersionName, windows []Window) bool {
	fresh := make(map[amaranthtide.RouteName]uint64)
	old := make(map[amaranthtide.RouteName]uint64)
	total := uint64(0)
	for _, w := range windows {
		for _, o := range w.Outcomes {
			if o.Version == to {
				fresh[o.Route] += o.Answers
				continue
			}
			old[o.Route] += o.Answers
			total += o.Answers
		}
	}
	for route, n := range old {
		if fresh[route] < routeAnswers && float64(n) >= routePart*float64(total) {
			return false
		}
	}
	return true
}

func nextInShift(now time.Time, state amaranthtide.RolloutState, e Evidence, found finding, limits Limits) (amaranthtide.RolloutState, bool) {
	part := elapsedPart(now, state)
	duration := state.Deadline.Sub(state.StartedAt)
	quiet := min(maxQuiet, time.Duration(quietPart*float64(duration)))
	switch {
	case e.NewServers == 0 && e.OldServers > 0:
		return rollBack(state, "no servers of the version")
	case part >= hastenPart && (found.isQuestionable() || found.isBurst()):
		return rollBack(state, found.reason)
	case part >= lastPart:
		return succeed(state, "deadline")
	case state.Share >= 1:
		if e.StateAge >= quiet && e.InFlightOld == 0 && e.Age <= maxAge && !found.isDoubtful() {
			return succeed(state, "all requests moved")
		}
		return state, false
	case part >= hastenPart:
		state.Share, state.Reason = 1, "all chats moved"
		return state, true
	case e.Age > maxAge || e.StateAge < max(stepLength(state), stepTime) || found.isDoubtful():
		return state, false
	case part < unseenPart && !isEachRouteSeen(state.To, e.Windows):
		return state, false
	}
	state.Share = shareAfter(now, state, e, limits)
	state.Reason = "chats moved"
	return state, true
}

// stepsOf returns the number of steps of the shift.
func stepsOf(state amaranthtide.RolloutState) int {
	length := shiftPart * float64(state.Deadline.Sub(state.StartedAt))
	return min(max(int(length/float64(stepTime)), minSteps), maxSteps)
}

func stepLength(state amaranthtide.RolloutState) time.Duration {
	return time.Duration(shiftPart * float64(state.Deadline.Sub(state.StartedAt)) / float64(stepsOf(state)-1))
}

// shareAfter returns the share of the step after the state's: at most what the exposure limit covers
// if the version turned bad now, as long as the chats can still move in time.
func shareAfter(now time.Time, state amaranthtide.RolloutState, e Evidence, limits Limits) float64 {
	if elapsedPart(now, state) >= coveredPart {
		above := state.Share
		if state.Stage == amaranthtide.RolloutShift {
			above *= minGrowth // the previous step may have been smaller than planned
		}
		return plannedShare(state, above, limits)
	}
	share := plannedShare(state, state.Share, limits)
	covered, ok := coveredShare(state, e, limits)
	if !ok {
		return share
	}
	return min(share, max(covered, minGrowth*state.Share))
}

// plannedShare returns the share of the first step above a share, with nothing but time to consider.
func plannedShare(state amaranthtide.RolloutState, above float64, limits Limits) float64 {
	n, canary := stepsOf(state), canaryMargin*limits.ExposureShare
	for i := 1; i < n; i++ {
		if share := canary + (1-canary)*math.Pow(float64(i)/float64(n), stepPower); share > above+shareTolerance {
			return share
		}
	}
	return 1
}

// coveredShare returns the share for which the rest of the exposure limit suffices for coveredTime,
// and false if the traffic isn't known.
func coveredShare(state amaranthtide.RolloutState, e Evidence, limits Limits) (float64, bool) {
	rate, ok := recentRate(e.Windows)
	if !ok || rate <= 0 {
		return 0, false
	}
	observed := time.Duration(0)
	for _, w := range e.Windows {
		observed += w.Length
	}
	ahead := max(0, state.Deadline.Sub(state.StartedAt)-observed)
	requests := float64(answersOfAll(e.Windows)) + rate*ahead.Seconds()
	uncounted := state.Share * rate * stepTime.Seconds()
	room := limits.ExposureShare*requests + float64(limits.ExposureSlack) - float64(answersOf(state.To, e.Windows)) - uncounted
	return max(0, room) / (rate * coveredTime.Seconds()), true
}

func succeed(state amaranthtide.RolloutState, reason string) (amaranthtide.RolloutState, bool) {
	state.Stage, state.Share, state.Reason = amaranthtide.RolloutSucceeded, 1, reason
	return state, true
}

func rollBack(state amaranthtide.RolloutState, reason string) (amaranthtide.RolloutState, bool) {
	state.Stage, state.Share, state.Reason = amaranthtide.RolloutRolledBack, 0, reason
	return state, true
}

// elapsedPart returns the part of the order's duration that has passed.
func elapsedPart(now time.Time, state amaranthtide.RolloutState) float64 {
	return float64(now.Sub(state.StartedAt)) / float64(state.Deadline.Sub(state.StartedAt))
}

func answersOf(version amaranthtide.VersionName, windows []Window) uint64 {
	n := uint64(0)
	for _, w := range windows {
		for _, o := range w.Outcomes {
			if o.Version == version {
				n += o.Answers
			}
		}
	}
	return n
}

func answersOfAll(windows []Window) uint64 {
	n := uint64(0)
	for _, w := range windows {
		for _, o := range w.Outcomes {
			n += o.Answers
		}
	}
	return n
}
