// Package rendezvous provides a policy that takes loads into account: the rendezvous
// order of the chat, with servers that are known to be full after the others. A load
// older than placement.MaxLoadAge is ignored, so that its server keeps its position.
//
// # Usage
//
//	var policy amaranthtide.PlacementPolicy = rendezvous.Policy{}
//	ranked := policy.Order(now, chat, candidates)
package rendezvous

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Policy implements amaranthtide.PlacementPolicy. It has no state and is safe for
// concurrent use.
type Policy struct{}

// Order implements amaranthtide.PlacementPolicy. The first placement.MaxRanked
// candidates are in order, the others follow in any order.
func (Policy) Order(now time.Time, chat amaranthtide.ChatID, candidates []amaranthtide.Candidate) []amaranthtide.Candidate {
	return placement.New(chat).ServersWithRoomFirst(now, candidates)
}
