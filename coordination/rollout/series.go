package rollout

import (
	"math"
	"slices"
	"time"

	"amaranthtide"
)

// series holds the outcomes of some routes in all windows.
type series struct {
	name   string
	zones  []amaranthtide.ZoneName
	points []point
	// isQuiet is set if the new version has given fewer than fewAnswers answers on all routes.
	isQuiet bool
}

// point holds the outcomes in one window, by the position of the zone.
type point struct {
	length     time.Duration
	warm       bool
	fresh, old []amaranthtide.VersionOutcomes
}

func routesOf(to amaranthtide.VersionName, windows []Window) []amaranthtide.RouteName {
	routes := amaranthtide.NewSet[amaranthtide.RouteName]()
	for _, w := range windows {
		for _, o := range w.Outcomes {
			if o.Version == to {
				routes.Add(o.Route)
			}
		}
	}
	return amaranthtide.Sorted(routes)
}

func newSeries(to amaranthtide.VersionName, windows []Window, name string, includes func(amaranthtide.RouteName) bool) series {
	zones := amaranthtide.NewSet[amaranthtide.ZoneName]()
	for _, w := range windows {
		for _, o := range w.Outcomes {
			zones.Add(o.Zone)
		}
	}
	s := series{name: name, zones: amaranthtide.Sorted(zones), points: make([]point, len(windows)), isQuiet: answersOf(to, windows) < fewAnswers}
	for i, w := range windows {
		p := point{w.Length, w.Warm, make([]amaranthtide.VersionOutcomes, len(s.zones)), make([]amaranthtide.VersionOutcomes, len(s.zones))}
		for _, o := range w.Outcomes {
			if !includes(o.Route) {
				continue
			}
			z, _ := slices.BinarySearch(s.zones, o.Zone)
			sum := &p.old[z]
			if o.Version == to {
				sum = &p.fresh[z]
			}
			sum.Answers += o.Answers
			sum.Failures += o.Failures
			sum.Durations.Merge(o.Durations)
		}
		s.points[i] = p
	}
	return s
}

// warm returns the series without the windows in which the new version's answers may be slow because of
// a cold start. It reuses the memory of s.points, so s must not be used any more.
func (s series) warm() series {
	s.points = slices.DeleteFunc(s.points, func(p point) bool { return !p.warm })
	return s
}

// samples returns the tallies of all points.
func (s series) samples(count func(amaranthtide.VersionOutcomes) tally) []sample {
	out := make([]sample, len(s.points))
	for i, p := range s.points {
		out[i] = newSample(len(s.zones))
		for z := range s.zones {
			out[i].fresh[z], out[i].old[z] = count(p.fresh[z]), count(p.old[z])
		}
	}
	return out
}

// slowOnAllRoutes returns the samples of slow answers on all routes, by the position of the bound.
// Each route has bounds of its own.
func slowOnAllRoutes(to amaranthtide.VersionName, windows []Window) [slowBounds][]sample {
	var sums [slowBounds][]sample
	for _, route := range routesOf(to, windows) {
		s := newSeries(to, windows, "", func(r amaranthtide.RouteName) bool { return r == route }).warm()
		for i, bound := range s.slowBounds() {
			samples := s.samples(slowerThan(bound))
			if sums[i] == nil {
				sums[i] = samples
				continue
			}
			for k := range samples {
				sums[i][k].add(samples[k])
			}
		}
	}
	return sums
}

// slowBounds returns the durations above which answers count as slow; none while they aren't known.
func (s series) slowBounds() []time.Duration {
	var old amaranthtide.DurationHistogram
	for _, p := range s.points {
		for _, o := range p.old {
			old.Merge(o.Durations)
		}
	}
	known := uint64(0)
	for _, n := range old {
		known += uint64(n)
	}
	if known < boundAnswers {
		return nil
	}
	q := old.Quantile(slowQuantile)
	out := make([]time.Duration, slowBounds)
	for i := range out {
		out[i] = time.Duration(float64(q) * slowMultiple * math.Pow(2, float64(i)/2))
	}
	return out
}

// tally counts the answers that are compared, and the bad ones among them.
type tally struct{ answers, bad float64 }

func (t tally) plus(other tally) tally  { return tally{t.answers + other.answers, t.bad + other.bad} }
func (t tally) minus(other tally) tally { return tally{t.answers - other.answers, t.bad - other.bad} }

func (t tally) share() float64 {
	if t.answers == 0 {
		return 0
	}
	return t.bad / t.answers
}

// towards returns the tally with n more answers that have the given share of bad ones.
func (t tally) towards(share, n float64) tally { return t.plus(tally{n, share * n}) }

func failures(o amaranthtide.VersionOutcomes) tally {
	return tally{float64(o.Answers), float64(o.Failures)}
}

func slowerThan(bound time.Duration) func(amaranthtide.VersionOutcomes) tally {
	return func(o amaranthtide.VersionOutcomes) tally {
		all := uint64(0)
		for _, n := range o.Durations {
			all += uint64(n)
		}
		return tally{float64(all), float64(o.Durations.CountAbove(bound))}
	}
}

// sample holds the tallies of some time, by the position of the zone.
type sample struct{ fresh, old []tally }

func newSample(zones int) sample { return sample{make([]tally, zones), make([]tally, zones)} }

func (s sample) add(other sample) {
	for z := range s.fresh {
		s.fresh[z], s.old[z] = s.fresh[z].plus(other.fresh[z]), s.old[z].plus(other.old[z])
	}
}

func total(zones []tally) tally {
	var sum tally
	for _, t := range zones {
		sum = sum.plus(t)
	}
	return sum
}

// comparison holds the tallies on some routes, by the position of the zone.
type comparison struct {
	sample
	// reference holds the old versions' tallies on all routes.
	reference []tally
	// isQuiet is that of the series.
	isQuiet bool
}

func newComparison(zones int) comparison {
	return comparison{sample: newSample(zones), reference: make([]tally, zones)}
}

// add adds the samples at a position. There may be no reference.
func (c comparison) add(samples, reference []sample, i int) {
	c.sample.add(samples[i])
	if reference == nil {
		return
	}
	for z, t := range reference[i].old {
		c.reference[z] = c.reference[z].plus(t)
	}
}

// expectedShare returns the share of bad answers that the old versions would have if as many of
// their answers came from each zone as of the new one's. Zones with few answers are taken to be like
// the others, and routes with few answers like all routes: a slow zone gets fewer requests, so that on
// a small route none of the old versions' answers may come from it.
func (c comparison) expectedShare() float64 {
	ofRoutes := total(c.reference)
	all := total(c.old).towards(ofRoutes.share(), min(routePrior, ofRoutes.answers)).share()
	fresh := total(c.fresh).answers
	if fresh == 0 {
		return all
	}
	share := 0.0
	for z, t := range c.old {
		inZone := t.towards(all, zonePrior)
		if r := c.reference[z]; r.answers > 0 {
			inZone = t.towards(r.towards(ofRoutes.share(), zonePrior).share(), min(routePrior, r.answers))
		}
		share += inZone.share() * c.fresh[z].answers / fresh
	}
	return max(share, all)
}

// comparableAnswers returns how many answers the old versions have given in the same zone since a bad
// answer of the new one: the mean over its bad answers. samples has the new version's answers, reference
// the old ones'. A zone that has become slow gets fewer requests, so that there may be none.
func comparableAnswers(samples, reference []sample) float64 {
	n, bad := 0.0, 0.0
	for z := range samples[0].fresh {
		old := 0.0
		for i := len(samples) - 1; i >= 0; i-- {
			old += reference[i].old[z].answers
			n += old * samples[i].fresh[z].bad
			bad += samples[i].fresh[z].bad
		}
	}
	if bad == 0 {
		return 0
	}
	return n / bad
}

// surprisal returns the negative logarithm of the probability (by the Chernoff bound) of so many
// bad answers if their share is the tolerated one; 0 if there are fewer than that.
func surprisal(t tally, tolerated float64) float64 {
	if t.answers <= 0 || t.bad/t.answers <= tolerated {
		return 0
	}
	share := t.bad / t.answers
	divergence := share * math.Log(share/tolerated)
	if share < 1 {
		divergence += (1 - share) * math.Log((1-share)/(1-tolerated))
	}
	return t.answers * divergence
}
