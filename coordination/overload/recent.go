package overload

import (
	"hash/fnv"
	"strings"
	"time"

	"amaranthtide"
)

const (
	// recentTime is how long a rejection is remembered at least, unless there are more than maxRecent
	// of them.
	recentTime = 10 * time.Second
	maxRecent  = 4096
	// maxChatRejections is the number of rejections in a row after which a chat goes first.
	maxChatRejections = 2
)

// recent counts recent rejections. It has two generations of maps, so that old ones are dropped
// without a search.
type recent struct {
	current, previous map[uint64]int
	rotatedAt         time.Time
}

// key returns the key of one of a request's identifiers; equal ones of different kinds differ.
func key(workspace amaranthtide.WorkspaceName, kind string, parts ...string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(workspace) + "\x00" + kind + "\x00" + strings.Join(parts, "\x00"))) // never fails
	return h.Sum64()
}

// keys returns the keys of the request itself: by its identifier, and by its prompt for callers
// that repeat a request under another one.
func (r Request) keys() []uint64 {
	keys := []uint64{key(r.Workspace, "request", string(r.ID))}
	if len(r.Prompt) > 0 {
		parts := make([]string, len(r.Prompt))
		for i, p := range r.Prompt {
			parts[i] = string(p)
		}
		keys = append(keys, key(r.Workspace, "prompt", parts...))
	}
	return keys
}

func (r Request) chatKey() uint64 { return key(r.Workspace, "chat", string(r.Chat)) }

func (m *recent) count(k uint64) int { return max(m.current[k], m.previous[k]) }

func (m *recent) rotate(now time.Time) {
	if m.current != nil && now.Sub(m.rotatedAt) < recentTime && len(m.current) < maxRecent {
		return
	}
	m.previous, m.current, m.rotatedAt = m.current, make(map[uint64]int), now
}

// returns reports whether the request has been rejected, or its chat several times in a row.
func (m *recent) returns(r Request) bool {
	for _, k := range r.keys() {
		if m.count(k) > 0 {
			return true
		}
	}
	return r.Chat != "" && m.count(r.chatKey()) >= maxChatRejections
}

func (m *recent) rejected(now time.Time, r Request) {
	m.rotate(now)
	keys := r.keys()
	if r.Chat != "" {
		keys = append(keys, r.chatKey())
	}
	for _, k := range keys {
		m.current[k] = m.count(k) + 1
	}
}

func (m *recent) admitted(r Request) {
	for _, k := range append(r.keys(), r.chatKey()) {
		delete(m.current, k)
		delete(m.previous, k)
	}
}
