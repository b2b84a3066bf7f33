package engine

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthtide/protocol/completion"
)

// messagePrefix is one message in the chain of a chat: the hash of all messages up to it,
// and its own length in tokens.
type messagePrefix struct {
	hash   uint64
	tokens int
}

// prefixCache holds chains of message prefixes, least recently used first out.
type prefixCache struct {
	limit, tokens int
	entries       *simplelru.LRU[uint64, int]
	// seen holds every hash since boot. It grows with the traffic of a run.
	seen map[uint64]struct{}
}

func newPrefixCache(limit int) *prefixCache {
	// The size in entries does not bind: the limit in tokens does. An error is only
	// returned for a size below 1.
	entries, _ := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	return &prefixCache{limit: limit, entries: entries, seen: make(map[uint64]struct{})}
}

// MessageTokens returns the prompt tokens that a message of the given text counts.
func MessageTokens(text string) int { return 1 + len(text)/bytesPerToken }

// nextPrefix returns the link of a message that follows prev.
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
// that was ever cached since boot.
func (c *prefixCache) lookup(prefixes []messagePrefix) (cached, ideal int) {
	contiguous := true
	for _, l := range prefixes {
		if _, ok := c.seen[l.hash]; !ok {
			return cached, ideal
		}
		ideal += l.tokens
		contiguous = contiguous && c.entries.Contains(l.hash)
		if contiguous {
			cached += l.tokens
		}
	}
	return cached, ideal
}

// add caches a chain. It touches the end of the chain first, so that ends are
// dropped before the beginnings that they need.
func (c *prefixCache) add(prefixes []messagePrefix) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		l := prefixes[i]
		c.seen[l.hash] = struct{}{}
		if _, ok := c.entries.Get(l.hash); !ok {
			c.entries.Add(l.hash, l.tokens)
			c.tokens += l.tokens
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
