package engine

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthtide/protocol/completion"
)

// link is one message in the chain of a chat: the hash of all messages up to it,
// and its own length in tokens.
type link struct {
	hash   uint64
	tokens int
}

// prefixCache holds chains of message prefixes, least recently used first out.
type prefixCache struct {
	limit, tokens int
	links         *simplelru.LRU[uint64, int]
	// seen holds every hash since boot. It grows with the traffic of a run.
	seen map[uint64]struct{}
}

func newPrefixCache(limit int) *prefixCache {
	// The size in entries does not bind: the limit in tokens does. An error is only
	// returned for a size below 1.
	links, _ := simplelru.NewLRU[uint64, int](math.MaxInt, nil)
	return &prefixCache{limit: limit, links: links, seen: make(map[uint64]struct{})}
}

// MessageTokens returns the prompt tokens that a message of the given text counts.
func MessageTokens(text string) int { return 1 + len(text)/bytesPerToken }

// nextLink returns the link of a message that follows prev.
func nextLink(prev uint64, m completion.Message) link {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.WriteString(m.Role)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(m.Text)
	return link{d.Sum64(), MessageTokens(m.Text)}
}

func chain(model string, messages []completion.Message) []link {
	links := make([]link, len(messages))
	prev := xxhash.Sum64String(model)
	for i, m := range messages {
		links[i] = nextLink(prev, m)
		prev = links[i].hash
	}
	return links
}

// lookup returns the tokens of the longest cached prefix, and of the longest one
// that was ever cached since boot.
func (c *prefixCache) lookup(links []link) (cached, ideal int) {
	held := true
	for _, l := range links {
		if _, ok := c.seen[l.hash]; !ok {
			return cached, ideal
		}
		ideal += l.tokens
		held = held && c.links.Contains(l.hash)
		if held {
			cached += l.tokens
		}
	}
	return cached, ideal
}

// add caches a chain. It touches the end of the chain first, so that ends are
// dropped before the beginnings that they need.
func (c *prefixCache) add(links []link) {
	for i := len(links) - 1; i >= 0; i-- {
		l := links[i]
		c.seen[l.hash] = struct{}{}
		if _, ok := c.links.Get(l.hash); !ok {
			c.links.Add(l.hash, l.tokens)
			c.tokens += l.tokens
		}
	}
	for c.tokens > c.limit {
		_, tokens, ok := c.links.RemoveOldest()
		if !ok {
			return
		}
		c.tokens -= tokens
	}
}
