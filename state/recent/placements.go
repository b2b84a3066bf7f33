// Package recent records the backend server that last served each chat. A chat that
// was placed away from its first choice thereby returns to the engine that has its
// prompt cached.
//
// # Usage
//
//	p := recent.New(65536)
//	p.Set(key, "engine-2")
//	server, ok := p.Get(key)
//
// The records are lost when the router restarts; chats are then placed by rendezvous
// hashing alone.
package recent

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthtide"
)

const shardCount = 16

// Placements is a bounded map from chats to backend servers that evicts the least
// recently served chats. It is split into shards, each under its own lock, and is
// safe for concurrent use. Create one with New.
type Placements struct{ shards [shardCount]placementShard }

type placementShard struct {
	mu    sync.Mutex
	chats *simplelru.LRU[uint64, amaranthtide.BackendServerName]
}

// New returns Placements for about the given number of chats.
func New(chats int) *Placements {
	p := &Placements{}
	for i := range p.shards {
		// NewLRU fails only for a size below 1.
		p.shards[i].chats, _ = simplelru.NewLRU[uint64, amaranthtide.BackendServerName](max(1, chats/shardCount), nil)
	}
	return p
}

// Get returns the server that last served the chat, and false if none is recorded.
func (p *Placements) Get(chat amaranthtide.ChatID) (amaranthtide.BackendServerName, bool) {
	hash := xxhash.Sum64String(string(chat))
	s := &p.shards[hash%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chats.Get(hash)
}

// Set records the server that serves the chat.
func (p *Placements) Set(chat amaranthtide.ChatID, server amaranthtide.BackendServerName) {
	hash := xxhash.Sum64String(string(chat))
	s := &p.shards[hash%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chats.Add(hash, server)
}
