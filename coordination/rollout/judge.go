package rollout

import (
	"fmt"
	"math"
	"time"

	"amaranthtide"
)

const (
	// badSurprisal is the evidence from which on a version is bad: the negative logarithm of
	// the probability that a version at the limit of what is tolerated gives so many bad answers.
	badSurprisal = 7
	// remainingSurprisal is the part of it that must remain without the worst burst. A server that
	// stops fails all its requests at once, which says little of its version.
	remainingSurprisal = 3
	// doubtSurprisal is the evidence from which on a version isn't promoted.
	doubtSurprisal = 3
	// likelySurprisal is the evidence from which on a version is rolled back when there is no time to
	// wait for more answers.
	likelySurprisal = 4.5
	// burstSurprisal is the same for the recent answers, which may be one burst.
	burstSurprisal = 5
	// minBadAnswers is the least number of bad answers of a version that is found bad.
	minBadAnswers = 4
	// burstPart is the length of the burst of bad answers that is left out, as a part of the time for a
	// rollback, and maxBurst bounds it. The routers' counts of one event arrive over almost 2 s.
	burstPart = 0.4
	maxBurst  = 2 * time.Second
	// fewAnswers is the number of answers below which the worst burst isn't left out when there is
	// no time to wait for more, if half of them, and at least minBadOfFew, are bad; of those on one
	// route minBadOfRoute, since a server that stops may have had two requests of a small one.
	fewAnswers    = 10
	minBadOfFew   = 2
	minBadOfRoute = 3
	// priorAnswers is the weight, in answers, of the old versions' outcomes of the whole rollout
	// in the comparison of a shorter time. It decides once the old servers get no requests.
	priorAnswers = 200
	// zonePrior is the number of answers by which the old versions' outcomes in a zone count more than
	// those in the others, routePrior the same for those on a route and on all routes.
	zonePrior  = 8
	routePrior = 30
)

// What is tolerated of a new version: a multiple of the old versions' share of bad answers, and a
// share in addition. Failures may be more frequent in one zone, where by chance more of the canary
// servers are.
const (
	failureRatio  = 2
	slowRatio     = 2
	extraBadShare = 0.005
)

const (
	// slowQuantile and slowMultiple define slow answers by the old versions' durations on the same
	// route. The quantile covers a slow zone or a popular chat, which affect both versions. Answers
	// above each further bound of the histogram are compared too.
	slowQuantile = 0.9
	slowMultiple = 1.4
	slowBounds   = 8
	// boundAnswers is the number of the old versions' answers on a route from which on the quantile is
	// known.
	boundAnswers = 20
	// maxSlowShare is the old versions' share of such answers up to which they are compared. Above
	// it, something makes the answers of both slow.
	maxSlowShare = 0.08
	// failureCertain, slowCertain and slowComparable are the numbers of answers by which the old
	// versions' shares are known. A zone may have become slow just now, so its servers' recent
	// answers matter more.
	failureCertain = 500
	slowCertain    = 20
	slowComparable = 6
)

// finding is the strongest evidence against the new version.
type finding struct {
	// total is the evidence with all answers, rest that without the worst burst. recent is the
	// same as total over a short time, likely the one of total and rest by which to decide when there
	// is no time to wait for more answers.
	total, rest, recent, likely float64
	// bad is the number of bad answers; 0 if the parts above are of different findings.
	bad    float64
	reason string
}

func (s finding) isBad() bool {
	return s.bad >= minBadAnswers && s.total >= badSurprisal && s.rest >= remainingSurprisal
}

// isQuestionable reports whether the version must not be promoted even at the latest time, when doubts
// that one burst explains no longer count.
func (s finding) isQuestionable() bool { return s.likely >= doubtSurprisal }

// isDoubtful reports whether the version should get no more requests than it does.
func (s finding) isDoubtful() bool { return max(s.recent, s.likely) >= doubtSurprisal }

// isProbablyBad reports whether it should get none if there is no more time to find out.
func (s finding) isProbablyBad() bool { return s.likely >= likelySurprisal }

// isBurst reports whether its recent answers alone are as bad as those of a bad version.
func (s finding) isBurst() bool { return s.recent >= burstSurprisal }

// judge compares the new version with the old ones, by route (failures also over all routes): over
// the whole rollout, and over the last parts of it, since a version may turn bad late.
func judge(to amaranthtide.VersionName, windows []Window, limits Limits) finding {
	burst := min(maxBurst, time.Duration(burstPart*float64(limits.RollbackBound)))
	j := judgement{recent: 3 * burst / 2}
	onFailures := criterion{name: "failures", ratio: failureRatio, maxShare: 1, certain: failureCertain, burst: burst, burstInZone: true}
	all := newSeries(to, windows, "all routes", func(amaranthtide.RouteName) bool { return true })
	allFailures := all.samples(failures)
	j.compare(all, allFailures, nil, onFailures)
	allSlow := slowOnAllRoutes(to, windows)
	for _, route := range routesOf(to, windows) {
		s := newSeries(to, windows, fmt.Sprintf("route %q", route), func(r amaranthtide.RouteName) bool { return r == route })
		j.compare(s, s.samples(failures), allFailures, onFailures)
		s = s.warm()
		for i, bound := range s.slowBounds() {
			j.compare(s, s.samples(slowerThan(bound)), allSlow[i], criterion{
				name: fmt.Sprintf("answers above %v", bound.Round(time.Millisecond)), ratio: slowRatio, maxShare: maxSlowShare, certain: slowCertain, comparable: slowComparable, burst: 3 * burst / 4,
			})
		}
	}
	return j.worst
}

// judgement collects the strongest evidence.
type judgement struct {
	// recent is the age up to which answers are recent.
	recent time.Duration
	worst  finding
}

// criterion tells which answers are bad. They are compared if the old versions' share of them is at
// most maxShare.
type criterion struct {
	name            string
	ratio, maxShare float64
	// certain is the number of answers by which the old versions' share is known from before, and
	// comparable the number of their comparableAnswers that are needed in addition while they still
	// get most requests.
	certain, comparable float64
	// burst is the length of a burst of bad answers that says little of the version. burstInZone is set if
	// such a burst lies in one zone.
	burst       time.Duration
	burstInZone bool
}

// compare looks for evidence against the new version over any time that ends now. samples are those of
// the points of s. reference has the samples of all routes, or is nil if samples has them already.
func (j *judgement) compare(s series, samples, reference []sample, c criterion) {
	whole, sum := newComparison(len(s.zones)), newComparison(len(s.zones))
	whole.isQuiet = s.isQuiet
	for i := range samples {
		whole.add(samples, reference, i)
	}
	old := samples
	if reference != nil {
		old = reference
	}
	length, next := time.Duration(0), windowLength
	for i := len(samples) - 1; i >= 0; i-- {
		sum.add(samples, reference, i)
		if length += s.points[i].length; length < next && i > 0 {
			continue
		}
		next = 2 * length
		tolerated, ok := c.toleratedShare(sum, whole, comparableAnswers(samples[i:], old[i:]))
		fresh, ofOld := total(sum.fresh), total(sum.old)
		found := finding{total: surprisal(fresh, tolerated), bad: fresh.bad}
		if !ok || found.total == 0 {
			continue
		}
		found.rest = c.leastWithoutBurst(s.points[i:], samples[i:], fresh, tolerated)
		if found.likely = found.rest; c.isConvincing(fresh, whole, reference == nil) {
			found.likely = found.total
		}
		if length <= j.recent {
			found.recent = found.total
		}
		found.reason = fmt.Sprintf("%s on %s: %.0f of %.0f, old version %.0f of %.0f", c.name, s.name, fresh.bad, fresh.answers, ofOld.bad, ofOld.answers)
		j.add(found)
	}
}

func (j *judgement) add(found finding) {
	if j.worst.isBad() {
		return
	}
	if !found.isBad() {
		if max(j.worst.likely, j.worst.recent) >= max(found.likely, found.recent) {
			found.reason = j.worst.reason
		}
		found.likely, found.recent = max(found.likely, j.worst.likely), max(found.recent, j.worst.recent)
		found.bad = 0
	}
	j.worst = found
}

// leastWithoutBurst returns the evidence without the burst of answers that says the most against the
// version. A server that stops lies in one zone, whereas all new servers may be cold.
func (c criterion) leastWithoutBurst(points []point, samples []sample, all tally, tolerated float64) float64 {
	least := surprisal(all, tolerated)
	for i := range samples {
		burst := make([]tally, len(samples[i].fresh))
		length := time.Duration(0)
		for k := i; k < len(samples) && length < c.burst; k++ {
			for z, t := range samples[k].fresh {
				burst[z] = burst[z].plus(t)
			}
			length += points[k].length
		}
		if length >= 2*c.burst { // windows of earlier times are longer
			continue
		}
		if !c.burstInZone {
			burst = []tally{total(burst)}
		}
		for _, t := range burst {
			least = min(least, surprisal(all.minus(t), tolerated))
		}
	}
	return least
}

// isConvincing reports whether the bad answers count although they may be a burst, because there are
// few others: of a quiet service, or failures on a small route.
func (c criterion) isConvincing(fresh tally, whole comparison, allRoutes bool) bool {
	least := float64(minBadOfFew)
	if !allRoutes {
		least = minBadOfRoute
	}
	return total(whole.fresh).answers < fewAnswers && fresh.bad >= least && fresh.share() >= 0.5 && (c.comparable == 0 || whole.isQuiet)
}

// toleratedShare returns the share of bad answers that the new version may have, given the old
// versions' outcomes at the same time and since the start, and false if these don't suffice for a
// comparison. Those since the start count too, since a chat whose answers are bad at any version takes
// them along when it moves.
func (c criterion) toleratedShare(sum, whole comparison, comparable float64) (float64, bool) {
	earlier := total(whole.old).answers
	if earlier == 0 {
		return 1, false
	}
	prior := min(priorAnswers, earlier)
	answers := total(sum.old).answers
	n := answers + prior
	sinceStart := comparison{sample: sample{sum.fresh, whole.old}, reference: whole.reference}.expectedShare()
	share := max((sum.expectedShare()*answers+sinceStart*prior)/n, sinceStart)
	if comparable < c.comparable && answers > total(sum.fresh).answers {
		return 1, false
	}
	n += min(routePrior, total(whole.reference).answers)
	upper := share + math.Sqrt(share*(1-share)/n) + 1/(comparable+c.certain)
	return min(1, c.ratio*upper+extraBadShare), share <= c.maxShare
}
