package overload

import (
	"math"
	"time"
)

// decayed is a sum whose parts decay with the time constant decayTime.
type decayed struct {
	sum float64
	at  time.Time
}

// decayTime is the time over which demand and outcomes are summed up. A router gets a few requests
// a second, so sums over a shorter time would vary by chance.
const decayTime = 8 * time.Second

func (d *decayed) add(now time.Time, v float64) {
	d.sum = d.value(now) + v
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	return d.sum * math.Exp(-max(0, now.Sub(d.at)).Seconds()/decayTime.Seconds())
}

// mean is a running mean that weighs a new value by weight, and equals the first one.
type mean struct{ value float64 }

func (m *mean) add(v, weight float64) {
	if m.value == 0 {
		m.value = v
		return
	}
	m.value += weight * (v - m.value)
}
