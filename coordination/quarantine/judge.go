package quarantine

import (
	"slices"
	"time"

	"amaranthtide"
)

// judge quarantines a part if the crashes since its last answer are enough, and prolongs its
// quarantine if there was another one.
func (l *Ledger) judge(p amaranthtide.PromptPart, ch *Changes) {
	answeredAt, answered := l.answered[p]
	var counted []amaranthtide.ServerCrash
	prompts := amaranthtide.NewSet[amaranthtide.PromptHash]()
	for _, c := range l.crashes {
		if c.At.After(answeredAt) && slices.Contains(c.Parts, p) && l.counts(c) {
			counted = appendDistinct(counted, c)
			prompts.Add(c.Prompt)
		}
	}
	if len(counted) == 0 {
		return
	}
	last := counted[len(counted)-1].At
	if q, ok := l.quarantines[p]; ok {
		for _, c := range counted {
			l.narrow(q, c.Parts, ch)
		}
		l.prolong(p, q, last, ch)
		return
	}
	enough := len(counted) >= minCrashes
	if answered {
		enough = len(counted) >= minCrashesAnswered && last.Sub(counted[0].At) >= minCrashSpan
	}
	if !enough || len(prompts) < minPrompts {
		return
	}
	companions := without(l.unanswered(counted[0].Parts), p)
	for _, c := range counted[1:] {
		companions = intersect(companions, c.Parts)
	}
	q := &quarantine{companions: companions, lastCrash: last, level: 1}
	l.quarantines[p] = q
	ch.Quarantined = append(ch.Quarantined, l.shared(p, q))
}

// narrow drops the companions that are not among the given parts: servers crashed without
// them.
func (l *Ledger) narrow(q *quarantine, parts []amaranthtide.PromptPart, ch *Changes) {
	n := len(q.companions)
	q.companions = intersect(q.companions, parts)
	ch.Evidence = ch.Evidence || len(q.companions) < n
}

// unanswered returns the parts that no server is known to have answered.
func (l *Ledger) unanswered(parts []amaranthtide.PromptPart) []amaranthtide.PromptPart {
	return slices.DeleteFunc(slices.Clone(parts), func(p amaranthtide.PromptPart) bool {
		_, own := l.ownAnswers.get(p)
		_, known := l.answered[p]
		return own || known
	})
}

// prolong applies a crash to a quarantine. One after its end, by a trial, begins the next one.
func (l *Ledger) prolong(p amaranthtide.PromptPart, q *quarantine, crashed time.Time, ch *Changes) {
	if !crashed.After(q.lastCrash) {
		return
	}
	failedTrial := !crashed.Before(q.end())
	q.lastCrash = crashed
	if failedTrial {
		q.level++
		ch.Quarantined = append(ch.Quarantined, l.shared(p, q))
	}
}

// counts reports whether a crash counts against its parts: its request had begun to be
// answered, or no other one at the server had.
func (l *Ledger) counts(c amaranthtide.ServerCrash) bool {
	return c.Begun || !slices.ContainsFunc(l.crashes, func(k amaranthtide.ServerCrash) bool { return k.Begun && isSameCrash(k, c) })
}

func isSameCrash(a, b amaranthtide.ServerCrash) bool {
	return a.Server == b.Server && a.At.Sub(b.At).Abs() < sameCrash
}

// appendDistinct appends c unless the crash is among those given.
func appendDistinct(crashes []amaranthtide.ServerCrash, c amaranthtide.ServerCrash) []amaranthtide.ServerCrash {
	if slices.ContainsFunc(crashes, func(k amaranthtide.ServerCrash) bool { return isSameCrash(k, c) }) {
		return crashes
	}
	return append(crashes, c)
}
