// Package leastload provides a baseline policy for benchmarks: power of two choices on
// the reported loads, ignoring the chat.
//
// # Usage
//
//	var policy amaranthtide.PlacementPolicy = leastload.Policy{}
//	ranked := policy.Order(now, chat, candidates)
package leastload

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
)

// Policy implements amaranthtide.PlacementPolicy. It is safe for concurrent use.
type Policy struct{}

// Order implements amaranthtide.PlacementPolicy. The first candidate is the less loaded
// of two random candidates, the second is the less loaded of the remaining one and a
// third random one, and so on. Loads are used regardless of their age; an unknown load
// counts as 0.
func (Policy) Order(_ time.Time, _ amaranthtide.ChatID, c []amaranthtide.Candidate) []amaranthtide.Candidate {
	rand.Shuffle(len(c), func(i, j int) { c[i], c[j] = c[j], c[i] })
	for i := 0; i+1 < len(c); i++ {
		if c[i+1].InFlight < c[i].InFlight {
			c[i], c[i+1] = c[i+1], c[i]
		}
	}
	return c
}
