package choice

import (
	"slices"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/ratelimit"
)

// busyShare is the part of its slots in use from which on an engine without a limit isn't preferred to those
// with one.
const busyShare = 0.75

// KeepOwn makes the engine with a limit an ordinary one for its own chats, those that prefer it to all engines
// of the service. Their prompts are cached there.
func KeepOwn(chat amaranthtide.ChatID, engines []amaranthtide.Instance, candidates []Candidate) {
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Preference == ratelimit.Last }) {
		return
	}
	order := placement.New(chat)
	own := slices.MinFunc(engines, func(a, b amaranthtide.Instance) int { return order.Compare(a.Name, b.Name) })
	for i := range candidates {
		if c := &candidates[i]; c.Instance.Name == own.Name && c.Preference == ratelimit.Last {
			c.Preference = ratelimit.Ordinary
		}
	}
}

// evenShare is the load that an engine without a limit may have, as a multiple of the mean of these engines, so
// that chats needn't change their engine with each request.
const evenShare = 1.5

// WithFreeSlots returns the candidates that have a free slot, as far as known. While most engines of a service keep
// requests back by their limits, the others would get all that exceeds them, and serve none in time.
func WithFreeSlots(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Slots > 0 && c.Load >= c.Slots })
}

// MeanWithLimits returns the mean load to use for the cap. Engines with a limit have little load, whatever the
// others have; if the cap by the mean of all engines can't be kept, the others get about the same load each.
// meanOfOthers is the mean load of the engines without a limit.
func (c Cap) MeanWithLimits(mean, meanOfOthers float64) float64 {
	return max(mean, evenShare*meanOfOthers/c.Multiple)
}

// withLimits returns the chat's order of engines, changed by the limits that engines have announced. Engines
// with a limit come after those without, as long as these have free slots. A chat whose first engine has no
// limit stays there.
func withLimits(order []int, candidates []Candidate) []int {
	has := func(p ratelimit.Preference) func(int) bool {
		return func(i int) bool { return candidates[i].Preference == p }
	}
	if first := slices.IndexFunc(order, has(ratelimit.First)); first >= 0 {
		return slices.Concat(order[first:first+1], order[:first], order[first+1:])
	}
	if !slices.ContainsFunc(order, has(ratelimit.Last)) {
		return order
	}
	var preferred, others []int
	for n, i := range order {
		c := candidates[i]
		if c.Preference == ratelimit.Last || n > 0 && c.busy() {
			others = append(others, i)
		} else {
			preferred = append(preferred, i)
		}
	}
	return append(preferred, others...)
}

// busy reports whether most slots of the engine are in use.
func (c Candidate) busy() bool {
	return c.Slots > 0 && float64(c.Load) >= busyShare*float64(c.Slots)
}
