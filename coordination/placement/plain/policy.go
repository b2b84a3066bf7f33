// Package plain provides the default policy: the rendezvous order of the chat,
// ignoring loads. If a server is full, the owner of its group moves the request to
// another server of the group.
//
// # Usage
//
//	var policy amaranthtide.PlacementPolicy = plain.Policy{}
//	ranked := policy.Order(now, chat, candidates)
package plain

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
func (Policy) Order(_ time.Time, chat amaranthtide.ChatID, candidates []amaranthtide.Candidate) []amaranthtide.Candidate {
	return placement.New(chat).Servers(candidates)
}
