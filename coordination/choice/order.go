package choice

import (
	"cmp"
	"slices"

	"amaranthtide"
)

// EngineOrder returns the indexes of the candidates in the order in which a chat prefers them as long
// as none exceeds the cap or is slow. Those that are avoided come last.
func EngineOrder(chat amaranthtide.ChatID, candidates []Candidate) []int {
	usable, others := splitPreferred(candidates)
	return slices.Concat(withLimits(ranked(chat, candidates, usable), candidates), ranked(chat, candidates, others))
}

// PlainOrder returns the indexes of the candidates of a plain service in the order in which Plain
// prefers them, equal ones by name. Those that are avoided come last.
func PlainOrder(zone amaranthtide.ZoneName, candidates []Candidate) []int {
	usable, others := splitPreferred(candidates)
	for _, part := range [][]int{usable, others} {
		slices.SortFunc(part, func(a, b int) int {
			return cmp.Or(cmp.Compare(plainLoad(zone, candidates[a]), plainLoad(zone, candidates[b])),
				cmp.Compare(candidates[a].Instance.Name, candidates[b].Instance.Name))
		})
	}
	return slices.Concat(usable, others)
}

// splitPreferred returns the indexes of the candidates that Engine and Plain select from, and those
// of the others.
func splitPreferred(candidates []Candidate) (usable, others []int) {
	usable = preferredIndexes(candidates)
	for i := range candidates {
		if !slices.Contains(usable, i) {
			others = append(others, i)
		}
	}
	return usable, others
}
