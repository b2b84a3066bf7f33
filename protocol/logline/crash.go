package logline

import (
	"cmp"
	"slices"
	"strings"

	"amaranthtide"
)

// Messages and fields from which PartOutcomes reads the outcomes of requests.
const (
	messagePlaced  = "request placed"
	messageEnded   = "request ended"
	messageCrashed = "server crashed"
	fieldPrompt    = "prompt"
)

// PartOutcome counts what became of the requests with one part in their prompts.
type PartOutcome struct {
	Part amaranthtide.PromptPart
	// Crashes is the number of servers that crashed before they had answered such a
	// request, Prompts the number of different prompts among these requests.
	Crashes, Prompts int
	// Answered is the number of requests that ended with an answer.
	Answered int
}

// PartOutcomes returns the outcomes for all prompt parts that were at a server when it
// crashed, those with the fewest answers first and among them those with the most crashes.
// A part that many crashes share and that no server ever answered crashes servers.
func PartOutcomes(lines []Line) []PartOutcome {
	prompts := make(map[amaranthtide.RequestID]string)
	crashed := make(map[amaranthtide.PromptPart]amaranthtide.Set[amaranthtide.BackendServerName])
	crashPrompts := make(map[amaranthtide.PromptPart]amaranthtide.Set[string])
	for _, l := range lines {
		if l.Message == messagePlaced {
			prompts[l.Request] = l.Fields[fieldPrompt]
		}
		if l.Message != messageCrashed {
			continue
		}
		for _, p := range splitPrompt(l.Fields[fieldPrompt]) {
			if _, known := crashed[p]; !known {
				crashed[p], crashPrompts[p] = amaranthtide.NewSet[amaranthtide.BackendServerName](), amaranthtide.NewSet[string]()
			}
			crashed[p].Add(l.Server)
			crashPrompts[p].Add(l.Fields[fieldPrompt])
		}
	}
	answered := make(map[amaranthtide.PromptPart]int)
	for _, l := range lines {
		if l.Message != messageEnded {
			continue
		}
		for _, p := range splitPrompt(prompts[l.Request]) {
			answered[p]++
		}
	}
	out := make([]PartOutcome, 0, len(crashed))
	for p, servers := range crashed {
		out = append(out, PartOutcome{Part: p, Crashes: len(servers), Prompts: len(crashPrompts[p]), Answered: answered[p]})
	}
	slices.SortFunc(out, func(a, b PartOutcome) int {
		return cmp.Or(cmp.Compare(a.Answered, b.Answered), cmp.Compare(b.Crashes, a.Crashes), strings.Compare(string(a.Part), string(b.Part)))
	})
	return out
}

func splitPrompt(text string) []amaranthtide.PromptPart {
	var parts []amaranthtide.PromptPart
	for p := range strings.SplitSeq(text, ",") {
		if p != "" {
			parts = append(parts, amaranthtide.PromptPart(p))
		}
	}
	return parts
}
