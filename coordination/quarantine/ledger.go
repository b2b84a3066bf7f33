// Package quarantine recognizes requests that crash backend servers by what their prompts
// have in common, and keeps them from being sent to further servers.
//
// A request that crashes its server is otherwise sent to the next one, by the router, by the
// caller and by other callers with the same part in their prompts, until no server is left
// ("query of death"). A single crash shows little: other requests are at the server, and the
// request shares most parts of its prompt with sound ones. A part is quarantined once several
// servers have crashed with it, with different prompts, and none has answered a request with
// it since. An answer ends the suspicion and the quarantine.
//
// Routers exchange what they know (Evidence, Merge), since each one sees few of the crashes.
// A quarantine ends after a time that doubles with each further one. The routers then try one
// request each, one router after the other, so that a part that still crashes servers costs
// one of them.
//
// # Usage
//
//	l := quarantine.New("pool") // one per service
//	l.Crashed(now, crash)
//	l.Answered(now, began, parts)
//	if d := l.Check(now, hash, parts, position); d.Reject { ... }
//	l.Merge(now, evidenceOfAnotherRouter)
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"amaranthtide"
)

const (
	// minCrashes and minPrompts are the crashed servers and the different prompts from which
	// a part is quarantined that no server is known to have answered.
	minCrashes = 3
	minPrompts = 2
	// minCrashesAnswered and minCrashSpan apply to a part that was answered before. If
	// several servers crash at the same time for another reason, all parts in common use are
	// at several of them, but they are answered by the others before minCrashSpan has passed.
	minCrashesAnswered = 4
	minCrashSpan       = 2 * time.Second
	// minRepeatCrashes is the number of crashes from which a prompt isn't sent again for
	// repeatPause.
	minRepeatCrashes = 2
	repeatPause      = 10 * time.Second
	// sameCrash is the time within which reports of a crash of the same server are about the
	// same crash. A server takes longer to start.
	sameCrash = time.Second
	// recentAnswer is the age up to which an answer before a crash clears a part of causing it.
	recentAnswer = time.Second
	// evidenceAge is the age up to which a crash counts.
	evidenceAge = time.Minute
	// maxCrashes limits the crashes that are kept, and by that the size of the evidence.
	maxCrashes = 64
	// firstDuration is the duration of a part's first quarantine.
	firstDuration = time.Minute
	maxDuration   = time.Hour
	// probation is how long after its end a quarantine is remembered.
	probation = 10 * time.Minute
	// trialInterval is the time between the trials of two routers. It is long enough for the
	// result of the first one to reach the second.
	trialInterval = 2 * time.Second
	// trialTimeout is how long a router waits for the result of its trial.
	trialTimeout = 5 * time.Second
)

// Ledger holds what one router knows about the requests to one service that crash servers. It
// is not safe for concurrent use. Create one with New.
type Ledger struct {
	service amaranthtide.ServiceName
	// crashes holds the crashes that may count, the oldest first.
	crashes []amaranthtide.ServerCrash
	// answered holds the newest known answers to requests with parts that are in crashes or
	// in quarantines.
	answered    map[amaranthtide.PromptPart]time.Time
	quarantines map[amaranthtide.PromptPart]*quarantine
	// ownAnswers holds the last answers through this router.
	ownAnswers answerTimes
	hash       amaranthtide.EvidenceHash
}

type quarantine struct {
	companions []amaranthtide.PromptPart
	lastCrash  time.Time
	level      int
	// trialUntil is when the router's next trial may begin.
	trialUntil time.Time
}

// end returns the time from which trials are allowed.
func (q *quarantine) end() time.Time { return q.lastCrash.Add(duration(q.level)) }

func duration(level int) time.Duration {
	d := firstDuration
	for range level - 1 {
		d = min(2*d, maxDuration)
	}
	return d
}

// Decision tells whether a request may be sent to a server.
type Decision struct {
	Reject bool
	// Until is when the request may be tried again, if it is rejected.
	Until time.Time
	// Part is the quarantined part, empty if the prompt as a whole is not sent again.
	Part amaranthtide.PromptPart
}

// Changes tells what a call of a Ledger changed.
type Changes struct {
	// Evidence is set if other routers should get the new evidence.
	Evidence    bool
	Quarantined []amaranthtide.Quarantine
	Released    []amaranthtide.PromptPart
}

// New returns a Ledger without evidence for the service.
func New(service amaranthtide.ServiceName) *Ledger {
	return &Ledger{
		service: service, answered: make(map[amaranthtide.PromptPart]time.Time), quarantines: make(map[amaranthtide.PromptPart]*quarantine),
	}
}

// Check decides whether a request may be sent to a server. position is the position of this
// router in the order in which routers try a part again, computed only if needed.
func (l *Ledger) Check(now time.Time, prompt amaranthtide.PromptHash, parts []amaranthtide.PromptPart, position func(amaranthtide.PromptPart) int) Decision {
	for _, part := range parts {
		q, ok := l.quarantines[part]
		if !ok || !containsAll(parts, q.companions) {
			continue
		}
		until := q.end()
		if !now.Before(until) {
			until = until.Add(time.Duration(position(part)) * trialInterval)
		}
		if until = latest(until, q.trialUntil); now.Before(until) {
			return Decision{Reject: true, Until: until, Part: part}
		}
		q.trialUntil = now.Add(trialTimeout)
	}
	if last, ok := l.repeatedCrash(prompt); ok && now.Before(last.Add(repeatPause)) {
		return Decision{Reject: true, Until: last.Add(repeatPause)}
	}
	return Decision{}
}

// repeatedCrash returns the time of the last crash with the prompt if minRepeatCrashes servers
// crashed with it.
func (l *Ledger) repeatedCrash(prompt amaranthtide.PromptHash) (last time.Time, ok bool) {
	var counted []amaranthtide.ServerCrash
	for _, c := range l.crashes {
		if c.Prompt == prompt && l.counts(c) && slices.ContainsFunc(c.Parts, func(p amaranthtide.PromptPart) bool { return c.At.After(l.answered[p]) }) {
			counted = appendDistinct(counted, c)
			last = latest(last, c.At)
		}
	}
	return last, len(counted) >= minRepeatCrashes
}

// Crashed records a crash that this router observed. Parts that this router's servers answered
// a moment before are cleared of it.
func (l *Ledger) Crashed(now time.Time, c amaranthtide.ServerCrash) Changes {
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p amaranthtide.PromptPart) bool {
		at, ok := l.ownAnswers.get(p)
		return ok && c.At.Sub(at) < recentAnswer
	})
	var ch Changes
	l.addCrash(now, c, &ch)
	l.finish(now, &ch)
	return ch
}

// Answered records that a server answered a request with the given parts, of which the last
// one is the request's own. began is when the answer began.
func (l *Ledger) Answered(now, began time.Time, parts []amaranthtide.PromptPart) Changes {
	var ch Changes
	for i, p := range parts {
		if i < len(parts)-1 {
			l.ownAnswers.set(p, began)
		}
		l.addAnswer(p, began, &ch)
	}
	l.finish(now, &ch)
	return ch
}

// Merge adds what another router knows about the service. Entries about other services are
// ignored.
func (l *Ledger) Merge(now time.Time, e amaranthtide.CrashEvidence) Changes {
	var ch Changes
	for _, q := range e.Quarantines {
		if q.Service == l.service {
			l.addQuarantine(now, q, &ch)
		}
	}
	for _, c := range e.Crashes {
		if c.Service == l.service {
			l.addCrash(now, c, &ch)
		}
	}
	for _, a := range e.Answers {
		if a.Service == l.service {
			l.addAnswer(a.Part, a.At, &ch)
		}
	}
	l.finish(now, &ch)
	return ch
}

// addCrash adds a crash unless it is known or too old, and judges its parts.
func (l *Ledger) addCrash(now time.Time, c amaranthtide.ServerCrash, ch *Changes) {
	if len(c.Parts) == 0 || now.Sub(c.At) > evidenceAge {
		return
	}
	i := slices.IndexFunc(l.crashes, func(k amaranthtide.ServerCrash) bool { return k.Prompt == c.Prompt && isSameCrash(k, c) })
	switch {
	case i < 0:
		l.crashes = append(l.crashes, c)
		slices.SortStableFunc(l.crashes, func(a, b amaranthtide.ServerCrash) int { return a.At.Compare(b.At) })
		l.crashes = l.crashes[max(0, len(l.crashes)-maxCrashes):]
	case c.Begun && !l.crashes[i].Begun:
		l.crashes[i].Begun = true
	default:
		return
	}
	ch.Evidence = true
	for _, p := range c.Parts {
		l.recallAnswer(p)
		l.judge(p, ch)
	}
}

// recallAnswer makes the last answer through this router part of the evidence about a part that
// has come under suspicion.
func (l *Ledger) recallAnswer(p amaranthtide.PromptPart) {
	if at, ok := l.ownAnswers.get(p); ok && at.After(l.answered[p]) {
		l.answered[p] = at
	}
}

// addAnswer records an answer if it says more about a part than what is known.
func (l *Ledger) addAnswer(p amaranthtide.PromptPart, at time.Time, ch *Changes) {
	lastCrash, suspected := l.lastCrash(p)
	q, quarantined := l.quarantines[p]
	if !suspected && !quarantined {
		return
	}
	if quarantined {
		lastCrash = latest(lastCrash, q.lastCrash)
	}
	if known, ok := l.answered[p]; ok && (!at.After(known) || known.After(lastCrash)) {
		return
	}
	l.answered[p] = at
	ch.Evidence = true
	if !quarantined || !at.After(q.lastCrash) {
		return
	}
	delete(l.quarantines, p)
	ch.Released = append(ch.Released, p)
	for _, other := range l.quarantines {
		other.companions = without(other.companions, p)
	}
}

// addQuarantine adds a quarantine of another router.
func (l *Ledger) addQuarantine(now time.Time, q amaranthtide.Quarantine, ch *Changes) {
	l.recallAnswer(q.Part)
	if l.answered[q.Part].After(q.LastCrash) || now.Sub(q.LastCrash) > duration(q.Level)+probation {
		return
	}
	known, ok := l.quarantines[q.Part]
	if ok && q.Level <= known.level {
		l.narrow(known, q.Companions, ch)
		return
	}
	l.quarantines[q.Part] = &quarantine{companions: l.unanswered(q.Companions), lastCrash: q.LastCrash, level: q.Level}
	ch.Evidence = true
	ch.Quarantined = append(ch.Quarantined, q)
}

// shared returns a quarantine as other routers get it.
func (l *Ledger) shared(p amaranthtide.PromptPart, q *quarantine) amaranthtide.Quarantine {
	return amaranthtide.Quarantine{Service: l.service, Part: p, Companions: slices.Clone(q.companions), LastCrash: q.lastCrash, Level: q.level}
}

func (l *Ledger) lastCrash(p amaranthtide.PromptPart) (at time.Time, ok bool) {
	for _, c := range l.crashes {
		if slices.Contains(c.Parts, p) {
			at, ok = c.At, true
		}
	}
	return at, ok
}

func containsAll(parts, wanted []amaranthtide.PromptPart) bool {
	return len(intersect(wanted, parts)) == len(wanted)
}

func intersect(a, b []amaranthtide.PromptPart) []amaranthtide.PromptPart {
	return slices.DeleteFunc(slices.Clone(a), func(p amaranthtide.PromptPart) bool { return !slices.Contains(b, p) })
}

func without(parts []amaranthtide.PromptPart, p amaranthtide.PromptPart) []amaranthtide.PromptPart {
	return slices.DeleteFunc(slices.Clone(parts), func(other amaranthtide.PromptPart) bool { return other == p })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Quarantined returns the quarantines that have not ended, ordered by part.
func (l *Ledger) Quarantined(now time.Time) []amaranthtide.Quarantine {
	var out []amaranthtide.Quarantine
	for p, q := range l.quarantines {
		if now.Before(q.end()) {
			out = append(out, l.shared(p, q))
		}
	}
	slices.SortFunc(out, func(a, b amaranthtide.Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
