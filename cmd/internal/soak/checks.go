package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// boundApplies reports whether the time limit for a change that the store accepted at
// from applies to a router at now. It applies if the store had no fault shortly before
// from, and neither the store nor the router had one shortly before now.
//
// Faults of one table stretch the limits, see changeBoundAt.
func (s *soak) boundApplies(now time.Time, name string, from time.Time) bool {
	if !s.storeFaults.quiet(from, quietTime) || !s.storeFaults.quiet(now, quietTime) {
		return false
	}
	for _, r := range s.routers {
		if r.name == name {
			return r.faults.quiet(now, quietTime)
		}
	}
	return false
}

// recordRun counts a run of a request. It is a violation if a request that may not be
// repeated runs again.
func (s *soak) recordRun(now time.Time, id, path string) {
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	if n > 1 && mayRunOnce(path) {
		s.addViolation(now, "atMostOnce", "request %s %s ran %d times", id, path, n)
	}
}

// mayRunOnce reports whether requests with the path may run only once: payments may not be
// repeated, and some streams may not be resumed.
func mayRunOnce(path string) bool {
	return strings.HasPrefix(path, "/pay/") || strings.HasPrefix(path, "/chat/") || isLong(path)
}

// storeCalm reports whether the store had no fault of any table shortly before the given times.
func (s *soak) storeCalm(times ...time.Time) bool {
	for _, at := range times {
		if !s.tableFaults.quiet(at, quietTime) || !s.storeFaults.quiet(at, quietTime) {
			return false
		}
	}
	return true
}

func (s *soak) recordRefusal(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[id] = true
}

func (s *soak) countAnswer(result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[result]++
}

func (s *soak) recordEvent(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasSuffix(text, "begins") {
		s.faultCount++
	}
	s.events = append(s.events, fmt.Sprintf("%.3f s %s", time.Since(s.began).Seconds(), text))
	if len(s.events) > maxEvents {
		s.events = s.events[1:]
	}
}

func (s *soak) addViolation(now time.Time, guarantee, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{now.Sub(s.began), guarantee, fmt.Sprintf(format, args...), slices.Clone(s.events)})
}
