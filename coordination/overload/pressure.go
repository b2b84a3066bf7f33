package overload

import (
	"math"
	"time"
)

const (
	// targetLoad is the load of the engines in relation to their slots above which requests are
	// rejected. It is more than 1, so that the slots of engines with few chats are taken as well,
	// and an engine that is slower than others doesn't stand for all. Urgent requests pass those
	// that wait.
	targetLoad = 1.6
	// latenessAllowance is the share of late first events that doesn't lower the target, and
	// maxLatenessCut the most by which lateness lowers it: a slow engine answers late at any load.
	latenessAllowance = 0.03
	maxLatenessCut    = 0.15
	// proportionalGain and integralGain (per second) weigh the excess load and its sum. The ratio
	// is about the time for which a request holds a slot. The gains are small enough for routers
	// that all see the same load one second late.
	proportionalGain = 1.6
	integralGain     = 0.5
	// integralDecay lets the sum fade. Routers whose targets differ a little would otherwise drift
	// apart, until some reject everything and others nothing.
	integralDecay = 15 * time.Second
	// reliefDecay is its value while the load is under reliefLoad of the target.
	reliefDecay = 2 * time.Second
	reliefLoad  = 0.8
	maxPressure = 4
	// trendTime is the time over which the trend of the load is measured.
	trendTime = time.Second
)

// pressure tells which part of the offered work to admit, from the load of the engines. It is a
// proportional and integral controller of the logarithm of that part, so that the loop has the
// same gain at any degree of overload.
type pressure struct {
	at       time.Time
	integral float64
	// value is the negative logarithm of the part to admit; 0 admits everything.
	value float64
	// since is when value rose above 0; zero while it is 0.
	since time.Time
	// excess is the load above the target, slow the load's running mean over trendTime.
	excess, slow, load float64
}

// update takes a measured load, and the share of late first events.
func (p *pressure) update(now time.Time, load, lateness float64) {
	target := targetLoad - min(max(0, lateness-latenessAllowance), maxLatenessCut)
	elapsed := max(0, now.Sub(p.at))
	if p.at.IsZero() {
		elapsed, p.slow = 0, load
	}
	p.at, p.load, p.excess = now, load, load-target
	p.slow += (load - p.slow) * (1 - math.Exp(-elapsed.Seconds()/trendTime.Seconds()))
	decay := integralDecay
	if load < reliefLoad*target {
		decay = reliefDecay
	}
	p.integral *= math.Exp(-elapsed.Seconds() / decay.Seconds())
	p.integral += integralGain * p.excess * min(elapsed, trendTime).Seconds()
	p.integral = min(max(0, p.integral), maxPressure)
	p.value = min(max(0, proportionalGain*p.excess+p.integral), maxPressure)
	switch {
	case p.value == 0:
		p.since = time.Time{}
	case p.since.IsZero():
		p.since = now
	}
}

// share returns the part of the offered work to admit.
func (p *pressure) share() float64 { return math.Exp(-p.value) }

// passesWithin reports whether the overload is expected to end within d: it began less than d
// ago, or the load falls fast enough. An overload that has lasted for long is expected to go on.
func (p *pressure) passesWithin(now time.Time, d time.Duration) bool {
	if now.Sub(p.since) < d {
		return true
	}
	fallPerSecond := (p.slow - p.load) / trendTime.Seconds()
	return p.excess < fallPerSecond*d.Seconds() && p.load < p.slow*reliefLoad
}
