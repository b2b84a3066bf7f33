package amaranthtide

import (
	"math"
	"time"
)

// Pace is how long work takes on the machine of a backend server, in percent of the usual time:
// at 400, work takes four times as long. 0 means that it is unknown.
type Pace int

const (
	// UsualPace is the pace of a machine that works as usual.
	UsualPace Pace = 100
	// SlowPace is the pace above which a machine is slower than usual: the changes of a few tenths
	// of a second stay below it.
	SlowPace Pace = 150
	// MaxPace bounds the paces that are told apart.
	MaxPace Pace = 10_000
)

const (
	// paceHalfLife is the age at which a pace has half the weight of a new one in a mean. It
	// averages the changes of a few tenths of a second.
	paceHalfLife = 500 * time.Millisecond
	// maxPaceAge is the age up to which a pace counts in full.
	maxPaceAge = 2 * time.Second
	// paceDecay is the time after maxPaceAge in which a pace returns to the usual one. All routers
	// know the same paces, so a sudden return would move many chats at once.
	paceDecay = 2 * time.Second
)

// PaceEstimate is the recent pace of a server, from several reports. The zero value knows
// nothing.
type PaceEstimate struct {
	// Pace is the mean of the reports, the recent ones with more weight.
	Pace Pace
	// Age is the time since the newest of the reports.
	Age time.Duration
}

// After returns the estimate when d has passed without another report.
func (e PaceEstimate) After(d time.Duration) PaceEstimate {
	if e.Pace <= 0 || e.Age+d >= maxPaceAge+paceDecay {
		return PaceEstimate{}
	}
	e.Age += max(d, 0)
	return e
}

// Expected returns the pace to expect from the server now, 0 if nothing is known of it.
func (e PaceEstimate) Expected() Pace {
	if e.Pace <= 0 || e.Age >= maxPaceAge+paceDecay {
		return 0
	}
	left := 1 - float64(max(0, e.Age-maxPaceAge))/float64(paceDecay)
	return UsualPace + Pace(math.Round(left*float64(e.Pace-UsualPace)))
}

// PaceMean is the weighted mean of several estimates. The zero value has none.
type PaceMean struct {
	weight, sum float64
	age         time.Duration
}

// Add adds an estimate.
func (m *PaceMean) Add(e PaceEstimate) {
	if e.Pace <= 0 {
		return
	}
	if m.weight == 0 || e.Age < m.age {
		m.age = e.Age
	}
	weight := math.Exp2(-float64(e.Age) / float64(paceHalfLife))
	m.weight += weight
	m.sum += weight * float64(e.Pace)
}

// Estimate returns the mean.
func (m *PaceMean) Estimate() PaceEstimate {
	if m.weight == 0 {
		return PaceEstimate{}
	}
	return PaceEstimate{Pace: Pace(math.Round(m.sum / m.weight)), Age: m.age}
}
