// Package recent remembers on which backend server each chat was served last, so
// that a chat that overflowed returns to the engine that holds its cache and not to
// the one that ranks first.
//
// # Usage
//
//	p := recent.New(65536)
//	p.Set(key, "engine-2")
//	server, ok := p.Get(key)
//
// The memory of a router is lost with it; chats then go by their rendezvous order.
package recent

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthtide"
)

const shards = 16

// Placements is a bounded map from chats to backend servers in shards, each under
// its own lock, that forgets the chats that were not served for the longest time.
// It is concurrent-safe. Use New.
type Placements struct{ shards [shards]part }

type part struct {
	mu    sync.Mutex
	chats *simplelru.LRU[uint64, amaranthtide.BackendServerName]
}

// New returns Placements that remember at most about the given number of chats.
func New(chats int) *Placements {
	p := &Placements{}
	for i := range p.shards {
		// NewLRU fails only for a size below 1.
		p.shards[i].chats, _ = simplelru.NewLRU[uint64, amaranthtide.BackendServerName](max(1, chats/shards), nil)
	}
	return p
}

// Get returns where the chat was served last and whether that is remembered.
func (p *Placements) Get(chat amaranthtide.ChatID) (amaranthtide.BackendServerName, bool) {
	hash := xxhash.Sum64String(string(chat))
	s := &p.shards[hash%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chats.Get(hash)
}

// Set notes where the chat is served.
func (p *Placements) Set(chat amaranthtide.ChatID, server amaranthtide.BackendServerName) {
	hash := xxhash.Sum64String(string(chat))
	s := &p.shards[hash%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chats.Add(hash, server)
}
