package choice

import (
	"cmp"
	"slices"

	"amaranthtide"
	"amaranthtide/coordination/ratelimit"
)

const (
	// ownEngines is the number of engines at the front of a chat's order of which the first one that is
	// in time gets its requests. All routers know the same paces, so it bounds the chats that can move
	// to an engine to a few times its own.
	ownEngines = 4
	// sampledEngines is the number of engines of the order among which a request looks for the
	// least expected time if none of ownEngines is in time.
	sampledEngines = 8
	// probeInterval is the mean number of requests of a slow engine's own chats of which one still
	// goes there, so that the routers notice its recovery.
	probeInterval = 8
	// EngineDraws is the number of successive random numbers that stand for all: EngineByPace draws one
	// of probeInterval, and then two different ones of the other sampledEngines.
	EngineDraws = probeInterval * (sampledEngines - 1) * (sampledEngines - 2)
)

// EngineByPace returns the index of the engine for the work of a chat, the time that the engine is
// expected to take, and false if there are no candidates. As long as no pace is known it selects
// the same engine as Engine. Otherwise it selects the first engine of the chat's order that stays
// within the cap and is expected to do the work in time. If no engine near the front of the order
// is, it compares the first one with two others by their expected time; random, which may
// be any number, selects these.
func EngineByPace(chat amaranthtide.ChatID, candidates []Candidate, mean float64, limit Cap, w Work, random uint64) (int, Expected, bool) {
	usable := preferredIndexes(candidates)
	if !slices.ContainsFunc(usable, func(i int) bool { return candidates[i].Pace > 0 }) {
		i, ok := Engine(chat, candidates, mean, limit, random)
		return i, Expected{}, ok
	}
	order := ranked(chat, candidates, usable)
	own := order[0]
	expect := func(i int) Expected { return w.Expect(candidates[i], i == own) }
	order = slices.DeleteFunc(withLimits(order, candidates), func(i int) bool { return limit.Exceeds(candidates[i].Load, mean) })
	if len(order) == 0 {
		i := minBy(usable, func(i int) int { return candidates[i].Load })
		return i, expect(i), true
	}
	if first := order[0]; candidates[first].Preference == ratelimit.First {
		return first, expect(first), true
	}
	for _, i := range order[:min(ownEngines, len(order))] {
		e := expect(i)
		if w.InTime(e, i == own) || i == own && candidates[i].Pace > amaranthtide.SlowPace && random%probeInterval == 0 {
			return i, e, true
		}
	}
	i := slices.MinFunc(sample(order, random/probeInterval), func(a, b int) int {
		return cmp.Or(cmp.Compare(expect(a).total(), expect(b).total()), cmp.Compare(candidates[a].Load, candidates[b].Load))
	})
	return i, expect(i), true
}

// sample returns the first engine of the order and two others of its first sampledEngines.
func sample(order []int, random uint64) []int {
	others := order[1:min(sampledEngines, len(order))]
	if len(others) <= 2 {
		return order[:1+len(others)]
	}
	n := uint64(len(others))
	first := random % n
	second := (first + 1 + random/n%(n-1)) % n
	return []int{order[0], others[first], others[second]}
}
