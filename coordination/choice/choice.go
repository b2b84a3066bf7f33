// Package choice picks the backend server of a request from what one router knows.
//
// Model engines keep prompts in memory, so a chat goes to the first engine of its
// rendezvous order whose load is under a cap: a multiple of the mean load of the
// service. A chat that gets more traffic than one engine may carry overflows along
// the same order on all routers. Servers of plain services hold nothing, so the one
// with the smallest load goes first, with those of the own zone before others of the
// same load.
//
// # Usage
//
//	best, ok := choice.Engine(chat, candidates, mean, choice.Cap{Multiple: 2, Extra: 2})
//	best, ok := choice.Plain(zone, draw, candidates)
package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

// Candidate is a server that may get the request and what is known of it.
type Candidate struct {
	Instance amaranthtide.Instance
	// Load is the number of requests that all routers have there.
	Load int
	// Avoid marks a server that failed or could not be reached lately.
	Avoid bool
}

// Cap bounds the load of an engine after an admission: Multiple times the mean load
// plus Extra.
type Cap struct {
	Multiple float64
	Extra    float64
}

// Engine returns the index of the engine for a chat, and false if there is none.
// The first engine of the chat's order under the cap wins; if all are above it, the
// one with the smallest load does. The mean is that of all engines of the service,
// also of those that are no candidates: operators bound the load by it.
func Engine(chat amaranthtide.ChatID, candidates []Candidate, mean float64, limit Cap) (int, bool) {
	usable := preferredIndexes(candidates)
	if len(usable) == 0 {
		return 0, false
	}
	maxLoad := math.Floor(limit.Multiple*mean + limit.Extra)
	for _, i := range ranked(chat, candidates, usable) {
		if float64(candidates[i].Load+1) <= maxLoad {
			return i, true
		}
	}
	return minBy(usable, func(i int) int { return candidates[i].Load }), true
}

// recentStartAge is how long after its start an engine may lack the prompts of its chats,
// which another engine served until then.
const recentStartAge = 30 * time.Second

// Source returns the engine from which another one can fetch the prompt of a chat
// that it may not hold, and false if there is none. It is the first engine of the
// chat's order but for the one that gets the request, and old ones go before young
// ones: chats overflow from there, and were served there before a young engine took
// its place. Engines that are leaving still give what they hold.
func Source(now time.Time, chat amaranthtide.ChatID, target amaranthtide.Instance, engines []Candidate) (amaranthtide.Instance, bool) {
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

// Plain returns the index of the server of a plain service, and false if there is
// none. Equal choices are broken by draw, any number.
func Plain(zone amaranthtide.ZoneName, tieBreak uint64, candidates []Candidate) (int, bool) {
	usable := preferredIndexes(candidates)
	if len(usable) == 0 {
		return 0, false
	}
	// Rotation spreads ties over the servers.
	rotation := int(tieBreak % uint64(len(usable)))
	usable = slices.Concat(usable[rotation:], usable[:rotation])
	return minBy(usable, func(i int) int {
		load := 2 * candidates[i].Load
		if candidates[i].Instance.Zone != zone {
			load++
		}
		return load
	}), true
}

// preferredIndexes returns the indexes of the servers that need not be avoided, or all if
// there are no others.
func preferredIndexes(candidates []Candidate) []int {
	all := make([]int, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].Avoid {
			all = append(all, i)
		}
	}
	if len(all) > 0 {
		return all
	}
	for i := range candidates {
		all = append(all, i)
	}
	return all
}

func minBy(indexes []int, load func(i int) int) int {
	return slices.MinFunc(indexes, func(a, b int) int { return cmp.Compare(load(a), load(b)) })
}

// ranked returns the indexes in the rendezvous order of the chat.
func ranked(chat amaranthtide.ChatID, candidates []Candidate, indexes []int) []int {
	p := placement.New(chat)
	out := slices.Clone(indexes)
	slices.SortFunc(out, func(a, b int) int {
		return p.Compare(candidates[a].Instance.Name, candidates[b].Instance.Name)
	})
	return out
}
