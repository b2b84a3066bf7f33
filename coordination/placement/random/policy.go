// Package random provides a baseline policy for benchmarks: servers in random order,
// ignoring chat and load.
//
// # Usage
//
//	var policy amaranthtide.PlacementPolicy = random.Policy{}
//	ranked := policy.Order(now, chat, candidates)
package random

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
)

// Policy implements amaranthtide.PlacementPolicy. It is safe for concurrent use.
type Policy struct{}

// Order implements amaranthtide.PlacementPolicy.
func (Policy) Order(_ time.Time, _ amaranthtide.ChatID, c []amaranthtide.Candidate) []amaranthtide.Candidate {
	rand.Shuffle(len(c), func(i, j int) { c[i], c[j] = c[j], c[i] })
	return c
}
