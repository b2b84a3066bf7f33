package engine

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthtide/protocol/completion"
)

// messagePrefix identifies a prefix of a chat's messages by the hash of all messages in
// it. tokens is the length of the last of them.
type messagePrefix struct {
	hash   uint64
	tokens int
}

// prefixCache holds message prefixes up to a total number of tokens and evicts the
// least recently used.
type prefixCache struct {
	limit, tokens int
	entries       *simplelru.LRU[uint64, int]
	// seen holds every hash since boot, to compute the hits of an unlimited cache. It is
	// never pruned.
	seen map[uint64]struct{}
}

func newPrefixCache(limit int) *prefixCache {
	// The cache is limited by tokens, not by entries. NewLRU only fails for a size
	// below 1.
	entries, _ := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	return &prefixCache{limit: limit, entries: entries, seen: make(map[uint64]struct{})}
}

// MessageTokens returns the number of prompt tokens of a message with the given text.
func MessageTokens(text string) int { return 1 + len(text)/bytesPerToken }

// nextPrefix returns the prefix that extends the one with hash prev by a message.
func nextPrefix(prev uint64, m completion.Message) messagePrefix {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.WriteString(m.Role)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(m.Text)
	return messagePrefix{d.Sum64(), MessageTokens(m.Text)}
}

func prefixChain(model string, messages []completion.Message) []messagePrefix {
	prefixes := make([]messagePrefix, len(messages))
	prev := xxhash.Sum64String(model)
	for i, m := range messages {
		prefixes[i] = nextPrefix(prev, m)
		prev = prefixes[i].hash
	}
	return prefixes
}

// lookup returns the tokens of the longest cached prefix, and of the longest one
// that was cached at any time since boot.
func (c *prefixCache) lookup(prefixes []messagePrefix) (cached, ideal int) {
	contiguous := true
	for _, p := range prefixes {
		if _, ok := c.seen[p.hash]; !ok {
			return cached, ideal
		}
		ideal += p.tokens
		contiguous = contiguous && c.entries.Contains(p.hash)
		if contiguous {
			cached += p.tokens
		}
	}
	return cached, ideal
}

// add caches the prefixes of one chat. It marks the longest as used first, so that a
// prefix is evicted before the shorter ones that it depends on.
func (c *prefixCache) add(prefixes []messagePrefix) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		c.seen[p.hash] = struct{}{}
		if _, ok := c.entries.Get(p.hash); !ok {
			c.entries.Add(p.hash, p.tokens)
			c.tokens += p.tokens
		}
	}
	for c.tokens > c.limit {
		_, tokens, ok := c.entries.RemoveOldest()
		if !ok {
			return
		}
		c.tokens -= tokens
	}
}
