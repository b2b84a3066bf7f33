package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
)

// rateLimit is the rate that the server announces. The gate starts all requests of the server, so it
// keeps to the rate exactly: a token bucket that holds one request, empty when the rate becomes known.
type rateLimit struct {
	// bucket is nil if the server has no limit.
	bucket *rate.Limiter
	// seenAt is when the server last announced its limit.
	seenAt time.Time
}

// observe records the limit in a response to a request that started at the given time; 0 is none.
// Responses to requests that started before the last announcement don't end the limit.
func (r *rateLimit) observe(now, started time.Time, limit amaranthtide.RequestRate) {
	switch {
	case limit == 0 && !started.After(r.seenAt):
	case limit == 0:
		*r = rateLimit{}
	case r.bucket == nil:
		*r = rateLimit{rate.NewLimiter(rate.Limit(limit), 1), now}
		r.take(now)
	default:
		r.seenAt = now
		r.bucket.SetLimitAt(now, rate.Limit(limit))
	}
}

// left returns the time until the server may get a request after the given number of others.
func (r *rateLimit) left(now time.Time, ahead int) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := max(0, float64(ahead+1)-r.bucket.TokensAt(now))
	return time.Duration(math.Ceil(missing / float64(r.bucket.Limit()) * float64(time.Second)))
}

// take counts a request that starts.
func (r *rateLimit) take(now time.Time) {
	if r.bucket != nil {
		r.bucket.AllowN(now, 1)
	}
}

// Limit returns the rate that the server announces; 0 if it announces none.
func (g *Gate) Limit() amaranthtide.RequestRate {
	if g.notices.limit.bucket == nil {
		return 0
	}
	return amaranthtide.RequestRate(g.notices.limit.bucket.Limit())
}
