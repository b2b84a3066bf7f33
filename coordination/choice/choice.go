// Package choice selects the backend server of a request from what one router knows.
//
// Model engines cache prompts in memory, so a chat goes to the first engine of its
// rendezvous order whose load is below a cap, which is a multiple of the mean load of
// the service. If a chat has more traffic than one engine may get, all routers send the
// excess to the next engines in the same order. Servers of plain services cache nothing,
// so the least loaded one is selected; at equal load, a server in the router's own zone
// is preferred.
//
// Engines may announce a limit on their requests. One that does keeps its own chats as far as the limit allows;
// the others go to the first engine of their order without a limit, as long as it has free slots.
//
// Engines may report the pace of their machines. A chat then leaves an engine that is expected to
// miss the objectives of the request. All routers read the same reports, a fraction of a second
// late, so that a chat moves along its own order and not to the engine that looks best to everyone.
//
// # Usage
//
//	i, expected, ok := choice.EngineByPace(chat, candidates, meanLoad, choice.Cap{Multiple: 2, Extra: 2}, choice.WorkOf(req), rand.Uint64())
//	i, ok = choice.Plain(zone, rand.Uint64(), candidates)
package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/ratelimit"
)

// Candidate is a server that may get the request, and what is known about it.
type Candidate struct {
	Instance amaranthtide.Instance
	// Load is the number of requests that all routers have in flight at the server.
	Load int
	// Slots is the number of requests that the server runs at a time; 0 is unknown.
	Slots int
	// PromptTokens are the tokens of prompts that the server has yet to read, as far as known.
	PromptTokens int
	// Pace is the expected pace of the server; 0 is unknown.
	Pace amaranthtide.Pace
	// BodyBytes is the size of the request bodies that the server holds for all routers,
	// OwnBodyBytes for this one.
	BodyBytes, OwnBodyBytes int64
	// Avoid marks a server that recently failed or could not be reached, Unreachable one that could
	// not be reached.
	Avoid, Unreachable bool
	// Preference tells how an engine with a limit is chosen.
	Preference ratelimit.Preference
}

// Cap is the maximum load of an engine including the new request: Multiple times the
// mean load, plus Extra.
type Cap struct {
	Multiple float64
	Extra    float64
}

// largePool is the number of engines from which on Cap.ForPool lowers the cap.
const largePool = 128

// ForPool returns the cap for a service with the given number of engines. Routers decide by
// loads that are a few hundred milliseconds old, so some requests exceed what operators
// allow. Operators accept a few of them, whatever the size of the service, and beyond these
// a small share. In a large pool only the share counts, and one more request is held back.
func (c Cap) ForPool(engines int) Cap {
	if engines >= largePool {
		c.Extra--
	}
	return c
}

// Exceeds reports whether a new request would raise the load of an engine above the cap.
func (c Cap) Exceeds(load int, mean float64) bool { return float64(load+1) > c.MaxLoad(mean) }

// MaxLoad returns the maximum load of an engine, a whole number that may be infinite.
func (c Cap) MaxLoad(mean float64) float64 { return math.Floor(c.Multiple*mean + c.Extra) }

// spillEngines is the number of engines of a chat's order among which its requests are divided once the first
// one is full.
const spillEngines = 4

// Engine returns the index of the engine for a chat, and false if there are no
// candidates. It selects the first engine of the chat's order if that stays within the cap.
// Otherwise it draws one of the next engines that do, in proportion to their room, by random, which
// may be any number: all routers know the same loads, up to half a second late, and would
// fill the next engine together. If no engine stays within the cap, it selects the least loaded
// one. mean is the mean load of all engines of the service, including those that are not
// candidates, since operators define the cap by it.
func Engine(chat amaranthtide.ChatID, candidates []Candidate, mean float64, limit Cap, random uint64) (int, bool) {
	usable := preferredIndexes(candidates)
	if len(usable) == 0 {
		return 0, false
	}
	order := withLimits(ranked(chat, candidates, usable), candidates)
	if !limit.Exceeds(candidates[order[0]].Load, mean) {
		return order[0], true
	}
	if i, ok := spill(order[1:], candidates, mean, limit, random); ok {
		return i, true
	}
	return minBy(usable, func(i int) int { return candidates[i].Load }), true
}

// maxRoom bounds the room of an engine whose cap is infinite.
const maxRoom = 1 << 20

// spill draws one of the first spillEngines of the order that stay within the cap. Engines with a limit get
// nothing while others have room.
func spill(order []int, candidates []Candidate, mean float64, limit Cap, random uint64) (int, bool) {
	var fitting []int
	rooms, sum := make([]uint64, 0, spillEngines), uint64(0)
	for _, i := range order {
		if limit.Exceeds(candidates[i].Load, mean) {
			continue
		}
		if len(fitting) > 0 && (len(fitting) == spillEngines || candidates[i].Preference != candidates[fitting[0]].Preference) {
			break
		}
		room := uint64(min(limit.MaxLoad(mean)-float64(candidates[i].Load), maxRoom))
		fitting, rooms, sum = append(fitting, i), append(rooms, room), sum+room
	}
	if len(fitting) == 0 {
		return 0, false
	}
	draw := random % sum
	for n, i := range fitting {
		if draw < rooms[n] {
			return i, true
		}
		draw -= rooms[n]
	}
	return fitting[0], true
}

// recentStartAge is the age up to which an engine may not have cached the prompts of its
// chats yet, since another engine served them before it started.
const recentStartAge = 30 * time.Second

// PromptSource returns the engine from which target, the engine that gets the request,
// can fetch the cached prompt of a chat. It returns false if there is none, or if target
// is the first engine of the chat's order and has most likely cached the prompt itself.
// The source is the first other engine of the chat's order, since requests of the
// chat that do not go to target go to that engine first. Engines that started recently
// come last, because the chat was served by another engine before. Engines that are
// leaving can still be sources.
func PromptSource(now time.Time, chat amaranthtide.ChatID, target amaranthtide.Instance, engines []Candidate) (amaranthtide.Instance, bool) {
	indexes := make([]int, 0, len(engines))
	for i := range engines {
		if !engines[i].Avoid {
			indexes = append(indexes, i)
		}
	}
	order := ranked(chat, engines, indexes)
	if len(order) > 0 && engines[order[0]].Instance.Name == target.Name && !recentlyStarted(now, target) {
		return amaranthtide.Instance{}, false
	}
	order = slices.DeleteFunc(order, func(i int) bool { return engines[i].Instance.Name == target.Name })
	if len(order) == 0 {
		return amaranthtide.Instance{}, false
	}
	for _, i := range order {
		if !recentlyStarted(now, engines[i].Instance) {
			return engines[i].Instance, true
		}
	}
	return engines[order[0]].Instance, true
}

func recentlyStarted(now time.Time, in amaranthtide.Instance) bool {
	return now.Sub(in.Started) <= recentStartAge
}

// Plain returns the index of the server of a plain service, and false if there are no
// candidates. tieBreak, which may be any number, selects among equal servers.
func Plain(zone amaranthtide.ZoneName, tieBreak uint64, candidates []Candidate) (int, bool) {
	usable := preferredIndexes(candidates)
	if len(usable) == 0 {
		return 0, false
	}
	// The rotation distributes ties over the servers.
	rotation := int(tieBreak % uint64(len(usable)))
	usable = slices.Concat(usable[rotation:], usable[:rotation])
	return minBy(usable, func(i int) int { return plainLoad(zone, candidates[i]) }), true
}

// plainLoad returns the load by which servers of a plain service are compared.
func plainLoad(zone amaranthtide.ZoneName, c Candidate) int {
	load := 2 * c.Load
	if c.Instance.Zone != zone {
		load++
	}
	return load
}

// panicShare is the part of the reachable servers from which on failing ones are used like the
// others. So many fail together when all of them are overloaded. The rest would then get the
// requests of all, and the prompts of the chats that move would have to be read again.
const panicShare = 0.5

// preferredIndexes returns the indexes of the servers that are not marked with Avoid, or of all
// reachable ones if too many are marked, or all indexes if no server can be reached.
func preferredIndexes(candidates []Candidate) []int {
	sound := indexesOf(candidates, func(c Candidate) bool { return !c.Avoid && !c.Unreachable })
	reachable := indexesOf(candidates, func(c Candidate) bool { return !c.Unreachable })
	switch {
	case len(reachable) == 0:
		return indexesOf(candidates, func(Candidate) bool { return true })
	case float64(len(sound)) < (1-panicShare)*float64(len(reachable)):
		return reachable
	default:
		return sound
	}
}

func indexesOf(candidates []Candidate, matches func(Candidate) bool) []int {
	indexes := make([]int, 0, len(candidates))
	for i := range candidates {
		if matches(candidates[i]) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func minBy(indexes []int, load func(i int) int) int {
	return slices.MinFunc(indexes, func(a, b int) int { return cmp.Compare(load(a), load(b)) })
}

// ranked returns the indexes sorted in the rendezvous order of the chat.
func ranked(chat amaranthtide.ChatID, candidates []Candidate, indexes []int) []int {
	p := placement.New(chat)
	out := slices.Clone(indexes)
	slices.SortFunc(out, func(a, b int) int {
		return p.Compare(candidates[a].Instance.Name, candidates[b].Instance.Name)
	})
	return out
}
