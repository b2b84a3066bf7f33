package amaranthtide

import (
	"math"
	"time"
)

// RequestRate is a number of requests a second that a server takes from all routers together. 0 means
// that no limit is known.
type RequestRate float64

const (
	// MinRequestRate is the lowest rate. A server that gets nothing can't announce that its limit has
	// ended.
	MinRequestRate RequestRate = 0.1
	// MaxRequestRate is the rate above which a limit has no effect: no server is sent that many
	// requests.
	MaxRequestRate RequestRate = 100_000
	// requestRateUnits is the number of steps between two whole rates. All routers must calculate with the
	// same rate, and they exchange rates in these steps.
	requestRateUnits = 1000
)

// NewRequestRate returns the rate of a server that takes perSecond requests a second: at least
// MinRequestRate, and 0 above MaxRequestRate. It panics if perSecond is negative or NaN.
func NewRequestRate(perSecond float64) RequestRate {
	if !(perSecond >= 0) {
		panic("amaranthtide: request rate is negative or not a number")
	}
	if perSecond > float64(MaxRequestRate) {
		return 0
	}
	return max(MinRequestRate, RequestRate(math.Round(perSecond*requestRateUnits)/requestRateUnits))
}

// MaxLimitAge is the age up to which an observation is passed on to other routers, and a limit is kept. In a
// shorter time without requests, a fleet would forget a limit that goes on, and exceed it in the next burst.
const MaxLimitAge = 10 * time.Minute

// ServerLimit is what is known of the request rate that a server has announced. The zero value knows
// nothing.
type ServerLimit struct {
	// Rate is the announced rate; 0 if the limit has ended, or if none is known.
	Rate RequestRate
	// Ended is set if the server has stopped announcing a limit.
	Ended bool
	// Age is the time since the server was last seen to announce the limit. If the limit has ended, it
	// is the time since the request was sent whose response showed that.
	Age time.Duration
}

// Known reports whether anything is known.
func (l ServerLimit) Known() bool { return l.Rate > 0 || l.Ended }

// After returns what is known when d has passed without another observation.
func (l ServerLimit) After(d time.Duration) ServerLimit {
	l.Age += max(d, 0)
	if !l.Known() || l.Age >= MaxLimitAge {
		return ServerLimit{}
	}
	return l
}

// Newer reports whether l replaces other. Of two observations of one time, the limit counts and not its
// end, and the lower limit.
func (l ServerLimit) Newer(other ServerLimit) bool {
	switch {
	case !l.Known() || !other.Known():
		return l.Known()
	case l.Age != other.Age:
		return l.Age < other.Age
	case l.Ended || other.Ended:
		return other.Ended && !l.Ended
	default:
		return l.Rate < other.Rate
	}
}
