package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
)

// Default rate limits per second.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	// DefaultReservationsPerSecond is the rate at which the weight store grants
	// reservations.
	DefaultReservationsPerSecond = 2
)

// burstSeconds is the burst size of the rate limiters, in seconds of calls at the limit.
const burstSeconds = 0.2

// Faults are the rate limits and the faults that the platform injects.
type Faults struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 selects the defaults.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// Outage makes all calls fail with status 503.
	Outage bool `json:"outage"`
	// LostBefore and LostAfter are the shares, 0 to 1, of calls whose connection is
	// closed without an answer before or after the call takes effect.
	LostBefore float64 `json:"lostBefore"`
	LostAfter  float64 `json:"lostAfter"`
	// Delay is how long each call is held before it takes effect.
	Delay amaranthtide.Duration `json:"delay"`
}

// Counts holds the numbers of calls since the start.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Commits int `json:"commits"`
	// Conflicts counts commits with a condition that didn't hold.
	Conflicts int `json:"conflicts"`
	// Limited, Refused and Lost count calls above a rate limit, during an outage and
	// without an answer. These calls are included in Reads or Writes.
	Limited int `json:"limited"`
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
}

// SetFaults replaces the faults for future calls.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.WritesPerSecond <= 0 {
		f.WritesPerSecond = DefaultWritesPerSecond
	}
	if f.ReadsPerSecond <= 0 {
		f.ReadsPerSecond = DefaultReadsPerSecond
	}
	if f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writes = newLimiter(f.WritesPerSecond)
	}
	if f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.reads = newLimiter(f.ReadsPerSecond)
	}
	s.faults = f
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// callFaults holds the faults of one call. A status other than 0 rejects the call.
type callFaults struct {
	status                int
	lostBefore, lostAfter bool
	delay                 time.Duration
}

// drawFaults counts a call and decides which faults it gets.
func (s *Server) drawFaults(write bool) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if write {
		limiter = s.writes
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	f := callFaults{delay: time.Duration(s.faults.Delay)}
	switch {
	case s.faults.Outage:
		s.counts.Refused++
		f.status = http.StatusServiceUnavailable
	case !limiter.Allow():
		s.counts.Limited++
		f.status = http.StatusTooManyRequests
	default:
		f.lostBefore = s.random.Float64() < s.faults.LostBefore
		f.lostAfter = s.random.Float64() < s.faults.LostAfter
		if f.lostBefore || f.lostAfter {
			s.counts.Lost++
		}
	}
	return f
}

// withFaults returns a handler that applies the faults to handle. handle returns its
// answer instead of writing it, so that the answer can be lost after the call took
// effect.
func (s *Server) withFaults(write bool, handle func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.drawFaults(write)
		if f.delay > 0 {
			t := time.NewTimer(f.delay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		if f.lostBefore {
			panic(http.ErrAbortHandler)
		}
		if f.status != 0 {
			w.WriteHeader(f.status)
			return
		}
		a := handle(r)
		if f.lostAfter {
			panic(http.ErrAbortHandler)
		}
		a.write(w)
	}
}
