// Package plain holds the policy of the fleet: the rendezvous order of the chat
// without regard to loads. The owner of a group overflows inside it.
//
// # Usage
//
//	var policy amaranthtide.Policy = plain.Policy{}
//	ranked := policy.Order(now, chat, candidates)
package plain

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Policy implements amaranthtide.Policy. It has no state and is concurrent-safe.
type Policy struct{}

// Order implements amaranthtide.Policy. The first placement.Depth candidates are
// in order, the others follow in any order.
func (Policy) Order(_ time.Time, chat amaranthtide.ChatID, candidates []amaranthtide.Candidate) []amaranthtide.Candidate {
	return placement.New(chat).Servers(candidates)
}
