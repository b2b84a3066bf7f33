// Package placement ranks zones, backend servers and routers by rendezvous
// hashing, so that all routers compute the same order from the same names without
// exchanging messages.
//
// Every pair of names gets a score from the xxHash64 values of both names. The order of
// a chat lists the servers by the score of the chat and the server, highest first. When a
// server joins or leaves, only the chats for which it ranks first are moved, and a chat
// whose first server is full always goes to the same second server. Zones are weighted:
// the score of a zone is -ln(u)/capacity with u derived from the hash (the logarithmic
// method). Each zone thus gets a share of the chats in proportion to its capacity, and no
// chat moves between two zones whose capacities are unchanged. Equal scores are ordered
// by name.
//
// Only the first MaxRanked servers are put in order: a request makes at most four
// hops, so sorting 500 servers for each request would waste time. Ranking servers
// doesn't allocate.
//
// Zone scores use floating point. They are identical on routers of one CPU
// architecture; between architectures the last bit may differ, which matters only
// for chats whose two best scores agree in all other bits.
//
// # Usage
//
//	p := placement.New(placement.ChatKey(req.Workspace, req.Chat))
//	for _, z := range p.Zones(zones) {
//		ranked := p.Servers(candidates[z.Name])
//	}
//	owner, ok := placement.Owner(placement.Group(server, row, len(engines)), liveRouters)
package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

// MaxRanked is the number of servers that are put in exact order. It covers the four
// hops of a request even if some of the servers are skipped.
const MaxRanked = 16

// MaxLoadAge is the age beyond which a reported load is ignored. It equals
// mean.MaxReportAge, the age beyond which the sums of other routers count as 0.
const MaxLoadAge = 2 * time.Second

// Placement computes the rankings of one chat. It only holds the hash of the chat, so
// it is safe for concurrent use, but its methods reorder the slices that they are given.
type Placement struct{ hash uint64 }

// Zone is a zone and its weight in the ranking.
type Zone struct {
	Name amaranthtide.ZoneName
	// Capacity is the sum of the capacities of the zone's servers in service. Zones
	// without capacity are ranked last.
	Capacity int
}

// ChatKey returns the chat identifier to rank by. It includes the workspace, because
// identifiers such as "default" are common and would rank alike in all workspaces.
func ChatKey(workspace amaranthtide.WorkspaceName, chat amaranthtide.ChatID) amaranthtide.ChatID {
	return amaranthtide.ChatID(workspace) + "/" + chat
}

// New returns the Placement of a chat.
func New(chat amaranthtide.ChatID) Placement {
	return Placement{xxhash.Sum64String(string(chat))}
}

// score returns the score of a pair of names from their hashes: the next output of
// SplitMix64 whose state is the XOR of both hashes.
func score(a, b uint64) uint64 {
	x := a ^ b
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Zones sorts the zones in the order of the chat, its home zone first, and returns
// them.
func (p Placement) Zones(zones []Zone) []Zone {
	slices.SortFunc(zones, func(a, b Zone) int {
		sa, sb := p.zoneScore(a), p.zoneScore(b)
		switch {
		case sa < sb:
			return -1
		case sa > sb:
			return 1
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return zones
}

func (p Placement) zoneScore(z Zone) float64 {
	if z.Capacity <= 0 {
		return math.Inf(1)
	}
	const bits = 53 // of the mantissa of a float64
	h := score(p.hash, xxhash.Sum64String(string(z.Name))) >> (64 - bits)
	u := (float64(h) + 0.5) / (1 << bits) // never 0 or 1
	return -math.Log(u) / float64(z.Capacity)
}

// Servers reorders the candidates and returns them: the first MaxRanked are in the
// order of the chat, the others follow in any order.
func (p Placement) Servers(candidates []amaranthtide.Candidate) []amaranthtide.Candidate {
	return p.rank(candidates, nil)
}

// ServersWithRoomFirst is like Servers, but puts candidates with room before those
// without. Both groups are in the order of the chat.
func (p Placement) ServersWithRoomFirst(now time.Time, candidates []amaranthtide.Candidate) []amaranthtide.Candidate {
	return p.rank(candidates, func(c *amaranthtide.Candidate) bool { return HasRoom(now, *c) })
}

// HasRoom reports whether the candidate's known load is below its limit. If the load
// is unknown or older than MaxLoadAge, it returns true and leaves the decision to the
// owner.
func HasRoom(now time.Time, c amaranthtide.Candidate) bool {
	return !LoadKnown(now, c) || c.InFlight < c.Limit
}

// LoadKnown reports whether the load of the candidate is known and no older than
// MaxLoadAge.
func LoadKnown(now time.Time, c amaranthtide.Candidate) bool {
	return !c.LoadTime.IsZero() && now.Sub(c.LoadTime) <= MaxLoadAge
}

type scored struct {
	score   uint64
	index   int
	hasRoom bool
}

// rank selects the best MaxRanked candidates in one pass and moves them to the front.
func (p Placement) rank(c []amaranthtide.Candidate, hasRoom func(*amaranthtide.Candidate) bool) []amaranthtide.Candidate {
	var best [MaxRanked]scored
	n := 0
	for i := range c {
		e := scored{score(p.hash, xxhash.Sum64String(string(c[i].Server))), i, hasRoom == nil || hasRoom(&c[i])}
		if n == MaxRanked && !ranksBefore(c, e, best[n-1]) {
			continue
		}
		if n < MaxRanked {
			n++
		}
		j := n - 1
		for ; j > 0 && ranksBefore(c, e, best[j-1]); j-- {
			best[j] = best[j-1]
		}
		best[j] = e
	}
	for i := range n {
		from := best[i].index
		c[i], c[from] = c[from], c[i]
		for j := i + 1; j < n; j++ {
			if best[j].index == i {
				best[j].index = from
			}
		}
	}
	return c
}

func ranksBefore(c []amaranthtide.Candidate, a, b scored) bool {
	if a.hasRoom != b.hasRoom {
		return a.hasRoom
	}
	if a.score != b.score {
		return a.score > b.score
	}
	return c[a.index].Server < c[b.index].Server
}

// TargetGroupSize is the upper bound of the mean number of engines in a group. One owner
// knows the exact load of a group, but has to forward all its streams: at 2,000
// tokens/s per engine, 12 engines stay within the 30,000 tokens/s that a router
// forwards on one core.
const TargetGroupSize = 12

// Group returns the group of a backend server. The engines of one model in one zone,
// whose number in the table is engines, form as few groups as TargetGroupSize allows,
// so that the owner of a group knows the exact sum of its loads. Each server of a
// plain service is a group of its own.
func Group(name amaranthtide.BackendServerName, row amaranthtide.BackendServer, engines int) amaranthtide.GroupName {
	if row.Model == "" {
		return amaranthtide.GroupName("server/" + name)
	}
	hash := xxhash.Sum64String(string(name))
	best, bestScore := 0, uint64(0)
	for i := range (engines + TargetGroupSize - 1) / TargetGroupSize {
		// With rendezvous hashing, an additional group takes engines from all others
		// without moving any between them.
		if s := score(hash, xxhash.Sum64String(strconv.Itoa(i))); s > bestScore {
			best, bestScore = i, s
		}
	}
	return amaranthtide.GroupName("model/" + string(row.Zone) + "/" + string(row.Model) + "/" + strconv.Itoa(best))
}

// Owner returns the owner of the group among the live routers of its zone, and
// false if there is none. The order of live doesn't matter.
func Owner(group amaranthtide.GroupName, live []amaranthtide.VMName) (amaranthtide.VMName, bool) {
	owner, _ := topTwo(xxhash.Sum64String(string(group)), live)
	return owner, owner != ""
}

// Contacts returns the first two live routers in the rendezvous order of the zone's
// name, or fewer if there are fewer. They exchange digests with other zones and read
// the change log.
func Contacts(zone amaranthtide.ZoneName, live []amaranthtide.VMName) []amaranthtide.VMName {
	first, second := topTwo(xxhash.Sum64String(string(zone)), live)
	switch {
	case first == "":
		return nil
	case second == "":
		return []amaranthtide.VMName{first}
	}
	return []amaranthtide.VMName{first, second}
}

func topTwo(hash uint64, live []amaranthtide.VMName) (first, second amaranthtide.VMName) {
	var s1, s2 uint64
	for _, vm := range live {
		s := score(hash, xxhash.Sum64String(string(vm)))
		switch {
		case first == "" || s > s1 || s == s1 && vm < first:
			first, second, s1, s2 = vm, first, s, s1
		case second == "" || s > s2 || s == s2 && vm < second:
			second, s2 = vm, s
		}
	}
	return first, second
}

// TopRouters returns the first n routers in the rendezvous order of the name, or all if
// there are fewer. The order of the given routers doesn't matter.
func TopRouters(name string, routers []amaranthtide.VMName, n int) []amaranthtide.VMName {
	hash := xxhash.Sum64String(name)
	ranked := slices.Clone(routers)
	slices.SortFunc(ranked, func(a, b amaranthtide.VMName) int {
		sa, sb := score(hash, xxhash.Sum64String(string(a))), score(hash, xxhash.Sum64String(string(b)))
		if sa != sb {
			return cmp.Compare(sb, sa)
		}
		return strings.Compare(string(a), string(b))
	})
	return ranked[:min(n, len(ranked))]
}

// Compare compares two servers in the order of the chat. The result is negative if a
// comes first.
func (p Placement) Compare(a, b amaranthtide.BackendServerName) int {
	sa, sb := score(p.hash, xxhash.Sum64String(string(a))), score(p.hash, xxhash.Sum64String(string(b)))
	if sa != sb {
		return cmp.Compare(sb, sa)
	}
	return strings.Compare(string(a), string(b))
}
