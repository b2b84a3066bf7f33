package quarantine

import (
	"slices"
	"time"

	"amaranthtide"
)

// judge quarantines a suspect if the crashes since its last answer are enough, and prolongs its
// quarantine if there was another one.
func (l *Ledger) judge(p amaranthtide.PromptPart, ch *Changes) {
	counted := l.crashesOf(p)
	if len(counted) == 0 {
		return
	}
	last := counted[len(counted)-1].At
	q, ok := l.quarantines[p]
	if ok && l.refutes(l.shared(q)) {
		delete(l.quarantines, p)
		ch.Evidence = true
		ch.Released = append(ch.Released, p)
		return
	}
	if ok {
		for _, c := range counted {
			l.narrow(q, c.Parts, ch)
		}
		l.prolong(q, last, levelOf(p, counted), ch)
		return
	}
	if !l.enough(p, counted) {
		return
	}
	companions := without(l.unanswered(counted[0].Parts), p)
	for _, c := range counted[1:] {
		companions = intersect(companions, c.Parts)
	}
	l.quarantine(&quarantine{suspect: p, companions: companions, lastCrash: last, level: levelOf(p, counted)}, ch)
}

// crashesOf returns the crashes that count against a suspect, one for each server.
func (l *Ledger) crashesOf(p amaranthtide.PromptPart) []amaranthtide.ServerCrash {
	answeredAt := l.answered[p]
	newest, _ := l.lastCrash(p)
	var counted []amaranthtide.ServerCrash
	for _, c := range l.crashes {
		isOld := !IsWholeRequest(p) && newest.Sub(c.At) > partEvidenceAge
		if !isOld && c.At.After(answeredAt) && slices.Contains(c.Parts, p) {
			counted = appendDistinct(counted, c)
		}
	}
	return counted
}

// enough reports whether the crashes are enough to quarantine a suspect.
func (l *Ledger) enough(p amaranthtide.PromptPart, counted []amaranthtide.ServerCrash) bool {
	if IsWholeRequest(p) {
		return successiveCrashes(counted) >= minRequestCrashes
	}
	if l.oneRequestExplains(counted) {
		return false
	}
	if _, answered := l.answered[p]; answered {
		return len(counted) >= minCrashesAnswered && counted[len(counted)-1].At.Sub(counted[0].At) >= minCrashSpan
	}
	return len(counted) >= minCrashes
}

// refutes reports whether what the router knows by now speaks against a part's quarantine: one
// request explains the crashes, or there are not enough of them since an answer. A later level
// stems from a crash by a trial.
func (l *Ledger) refutes(q amaranthtide.Quarantine) bool {
	if IsWholeRequest(q.Part) || q.Level > 1 {
		return false
	}
	counted := l.crashesOf(q.Part)
	if len(counted) >= minCrashes && l.oneRequestExplains(counted) {
		return true
	}
	at, answered := l.answered[q.Part]
	return answered && q.LastCrash.Sub(at) < partEvidenceAge && !l.enough(q.Part, counted)
}

// oneRequestExplains reports whether the same request was at all crashed servers, or at all but
// one: this router may not have heard yet that it was at that one too. It is then quarantined
// itself, and says nothing about other requests that share a part with it.
func (l *Ledger) oneRequestExplains(crashes []amaranthtide.ServerCrash) bool {
	at := make(map[amaranthtide.PromptHash]int)
	for _, c := range crashes {
		prompts := amaranthtide.NewSet[amaranthtide.PromptHash]()
		for _, k := range l.crashes {
			if isSameCrash(k, c) {
				prompts.Add(k.Prompt)
			}
		}
		for prompt := range prompts {
			at[prompt]++
		}
	}
	for _, n := range at {
		if n >= len(crashes)-1 {
			return true
		}
	}
	return false
}

// successiveCrashes returns the number of crashes under requests that were sent after the crash
// counted before. A failure that stops many servers at once also stops those with copies of the
// same request, which counts once.
func successiveCrashes(crashes []amaranthtide.ServerCrash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || !c.At.Add(-c.Waited).Before(last) {
			n, last = n+1, c.At
		}
	}
	return n
}

// quarantine adds a quarantine. If there are too many, the one whose last crash is the oldest
// ends.
func (l *Ledger) quarantine(q *quarantine, ch *Changes) {
	l.quarantines[q.suspect] = q
	ch.Evidence = true
	ch.Quarantined = append(ch.Quarantined, l.shared(q))
	if len(l.quarantines) <= maxQuarantines {
		return
	}
	oldest := q
	for _, other := range l.quarantines {
		if c := other.lastCrash.Compare(oldest.lastCrash); c < 0 || c == 0 && other.suspect < oldest.suspect {
			oldest = other
		}
	}
	delete(l.quarantines, oldest.suspect)
	ch.Dropped++
}

// levelOf returns the least level of the quarantine of a suspect after a number of crashes: each
// crash under a whole request raises it.
func levelOf(p amaranthtide.PromptPart, counted []amaranthtide.ServerCrash) int {
	if !IsWholeRequest(p) {
		return 1
	}
	return min(max(1, successiveCrashes(counted)-minRequestCrashes+1), maxLevel)
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
		_, own := l.ownAnswer(p)
		_, known := l.answered[p]
		return own || known
	})
}

// prolong applies a crash to a quarantine, which has at least the given level from then on. A
// crash after its end, by a trial, begins the next one.
func (l *Ledger) prolong(q *quarantine, crashed time.Time, level int, ch *Changes) {
	if crashed.After(q.lastCrash) {
		if !crashed.Before(q.end()) {
			level = min(max(level, q.level+1), maxLevel)
		}
		q.lastCrash = crashed
	}
	if level > q.level {
		q.level = level
		ch.Evidence = true
		ch.Quarantined = append(ch.Quarantined, l.shared(q))
	}
}

// counts reports whether a crash counts against its suspects: its request had begun to be
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
