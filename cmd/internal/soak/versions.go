package soak

import (
	"strings"
	"time"
)

// versionKind is what is wrong with the servers of a version.
type versionKind int

const (
	versionGood versionKind = iota
	versionFails
	// versionFailsLater fails from a part of the order's duration on, or from the time that a test
	// sets.
	versionFailsLater
	// versionFailsUnderLoad fails at servers that get a good part of an old server's requests.
	versionFailsUnderLoad
	versionFailsOnRoute
	versionIsSlow
	versionKindCount
)

var versionKindNames = [...]string{"is good", "fails", "fails later", "fails under load", "fails on a route", "is slow"}

const (
	// usualBadShare is the share of the answers of a bad version that are bad.
	usualBadShare = 0.5
	// slowTime is the time to the first byte of a slow answer, four times versionedWorkTime, which
	// all other answers take in a run with rollouts. Shorter ones would differ by less than the delays
	// of a busy machine.
	versionedWorkTime = 20 * time.Millisecond
	slowTime          = 4 * versionedWorkTime
	// laterPart is the part of the order's duration after which versionFailsLater fails.
	laterPart = 0.3
	// loadPart is the part of an old server's requests from which on versionFailsUnderLoad fails.
	loadPart = 0.5
	// loadWindow is the time over which a server counts its requests.
	loadWindow = time.Second
)

// badRoutes are the prefixes of the only routes on which versionFailsOnRoute fails, one per service.
var badRoutes = []string{"/list/", "/draft/"}

// recordArrival counts a request at the server over loadWindow and returns the number.
func (b *backend) recordArrival(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recent = append(b.recent, now)
	for now.Sub(b.recent[0]) > loadWindow {
		b.recent = b.recent[1:]
	}
	return len(b.recent)
}

// mayFail reports whether a request with the path can get a bad answer at a server of the rollout's
// version that has got the given number of requests in the last loadWindow.
func (r *rollout) mayFail(now time.Time, path string, load int) bool {
	switch r.kind {
	case versionGood:
		return false
	case versionFailsLater:
		r.mu.Lock()
		defer r.mu.Unlock()
		return !r.badFrom.IsZero() && !now.Before(r.badFrom)
	case versionFailsUnderLoad:
		return float64(load) >= loadPart*r.usualLoad
	case versionFailsOnRoute:
		return strings.HasPrefix(path, badRoutes[0]) || strings.HasPrefix(path, badRoutes[1])
	default:
		return true
	}
}

// drawBad returns the outcome of a request at a server of a version that is rolled out, outcomeOK
// if it is like that of other servers.
func (b *backend) drawBad(now time.Time, path string, load int) outcome {
	if b.rollout == nil || !b.rollout.mayFail(now, path, load) {
		return outcomeOK
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.random.Float64() >= b.rollout.badShare:
		return outcomeOK
	case b.rollout.kind == versionIsSlow:
		return outcomeSlow
	default:
		return outcomeError
	}
}
