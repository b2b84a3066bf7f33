// Package quarantine recognizes requests that crash backend servers, by what their prompts
// have in common or because the same request is sent again, and keeps them from being sent to
// further servers.
//
// A request that crashes its server is otherwise sent to the next one, by the router, by the
// caller and by other callers with the same part in their prompts, until no server is left
// ("query of death"). A single crash shows little: other requests are at the server, and the
// request shares most parts of its prompt with sound ones. What a crash may be due to are its
// suspects: each part of the prompt, and the request as a whole. A part is quarantined once
// several servers have crashed with it, with different prompts, and none has answered a request
// with it since. A whole request is held back for a short time after two crashes, and for a long
// one from the third on. An answer ends the suspicion and the quarantine.
//
// Routers exchange what they know (Evidence, Merge), since each one sees few of the crashes.
// A quarantine ends after a time that doubles with each further one. The routers then try one
// request each, one router after the other, so that a suspect that still crashes servers costs
// one of them.
//
// # Usage
//
//	l := quarantine.New("pool") // one per service
//	s := quarantine.SubjectOf(req)
//	l.Crashed(now, crash)
//	l.Answered(now, began, s.Suspects)
//	if d := l.Check(now, s.Suspects, position); d.Reject { ... }
//	l.Merge(now, evidenceOfAnotherRouter)
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"amaranthtide"
)

const (
	// minCrashes is the number of crashed servers from which a part is quarantined that no server
	// is known to have answered.
	minCrashes = 3
	// minCrashesAnswered and minCrashSpan apply to a part that was answered before. If
	// several servers crash at the same time for another reason, all parts in common use are
	// at several of them, but they are answered by the others before minCrashSpan has passed.
	minCrashesAnswered = 4
	minCrashSpan       = 2 * time.Second
	// minRequestCrashes is the number of crashes from which a whole request is quarantined. The
	// first quarantine is short, since the request may have been at both servers by chance;
	// from the next crash on, it lasts for heldDuration and longer.
	minRequestCrashes = 2
	firstHeldDuration = 10 * time.Second
	heldDuration      = 10 * time.Minute
	// sameCrash is the time within which reports of a crash of the same server are about the
	// same crash. A server takes longer to start.
	sameCrash = time.Second
	// recentAnswer is the age up to which an answer before a crash clears a part of causing it.
	recentAnswer = time.Second
	// evidenceAge is the age up to which a crash counts against a whole request, partEvidenceAge
	// the same for a part, which many more requests share.
	evidenceAge     = 10 * time.Minute
	partEvidenceAge = time.Minute
	// maxCrashes and maxQuarantines limit what is kept, and by that the size of the evidence. The
	// newest are kept.
	maxCrashes     = 64
	maxQuarantines = 256
	// maxLevel is a level at which every quarantine lasts for maxDuration.
	maxLevel = 16
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
	// released holds the answers that have ended quarantines, for as long as another router may
	// still have the quarantine.
	released map[amaranthtide.PromptPart]release
	// ownAnswers holds the last answers through this router to requests with shared parts of
	// prompts, ownRequests those to whole requests.
	ownAnswers, ownRequests answerTimes
	hash                    amaranthtide.EvidenceHash
}

type quarantine struct {
	suspect    amaranthtide.PromptPart
	companions []amaranthtide.PromptPart
	lastCrash  time.Time
	level      int
	// trialUntil is when the router's next trial may begin.
	trialUntil time.Time
}

// release is the end of a quarantine by an answer.
type release struct {
	answeredAt, until time.Time
}

// end returns the time from which trials are allowed.
func (q *quarantine) end() time.Time { return q.lastCrash.Add(Duration(q.suspect, q.level)) }

// Duration returns how long a quarantine of a suspect lasts at a level.
func Duration(p amaranthtide.PromptPart, level int) time.Duration {
	d := firstDuration
	if IsWholeRequest(p) {
		if level == 1 {
			return firstHeldDuration
		}
		d, level = heldDuration, level-1
	}
	for range level - 1 {
		if d *= 2; d >= maxDuration {
			return maxDuration
		}
	}
	return d
}

// Decision tells whether a request may be sent to a server.
type Decision struct {
	Reject bool
	// Until is when the request may be tried again, if it is rejected.
	Until time.Time
	// Part is the quarantined suspect.
	Part amaranthtide.PromptPart
	// Held is set if the request as a whole is held back: a repeat before Until is rejected too.
	Held bool
}

// Changes tells what a call of a Ledger changed.
type Changes struct {
	// Evidence is set if other routers should get the new evidence.
	Evidence    bool
	Quarantined []amaranthtide.Quarantine
	Released    []amaranthtide.PromptPart
	// Dropped is the number of quarantines that ended because there were too many.
	Dropped int
}

// New returns a Ledger without evidence for the service.
func New(service amaranthtide.ServiceName) *Ledger {
	return &Ledger{
		service: service, answered: make(map[amaranthtide.PromptPart]time.Time), quarantines: make(map[amaranthtide.PromptPart]*quarantine),
		released: make(map[amaranthtide.PromptPart]release),
	}
}

// Check decides whether a request may be sent to a server. position is the position of this
// router in the order in which routers try a suspect again, computed only if needed.
func (l *Ledger) Check(now time.Time, suspects []amaranthtide.PromptPart, position func(amaranthtide.PromptPart) int) Decision {
	return l.check(now, suspects, position, true)
}

// Preview returns what Check would, but doesn't count the request as the trial of a part.
func (l *Ledger) Preview(now time.Time, suspects []amaranthtide.PromptPart, position func(amaranthtide.PromptPart) int) Decision {
	return l.check(now, suspects, position, false)
}

func (l *Ledger) check(now time.Time, suspects []amaranthtide.PromptPart, position func(amaranthtide.PromptPart) int, try bool) Decision {
	for _, p := range suspects {
		q, ok := l.quarantines[p]
		if !ok || !containsAll(suspects, q.companions) {
			continue
		}
		until := q.end()
		if !now.Before(until) {
			until = until.Add(time.Duration(position(p)) * trialInterval)
		}
		if until = latest(until, q.trialUntil); now.Before(until) {
			return Decision{Reject: true, Until: until, Part: p, Held: IsWholeRequest(p) && q.level > 1}
		}
		if try {
			q.trialUntil = now.Add(trialTimeout)
		}
	}
	return Decision{}
}

// Crashed records a crash that this router observed. Parts that this router's servers answered
// a moment before are cleared of it.
func (l *Ledger) Crashed(now time.Time, c amaranthtide.ServerCrash) Changes {
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p amaranthtide.PromptPart) bool {
		at, ok := l.ownAnswer(p)
		return ok && c.At.Sub(at) < recentAnswer
	})
	var ch Changes
	if l.addCrash(now, c, &ch) {
		for _, p := range c.Parts {
			l.judge(p, &ch)
		}
	}
	l.finish(now, &ch)
	return ch
}

// Answered records that a server answered a request with the given suspects. began is when the
// answer began.
func (l *Ledger) Answered(now, began time.Time, suspects []amaranthtide.PromptPart) Changes {
	var ch Changes
	shared := len(suspects) - 1 // the last part of a prompt is the request's own
	if shared >= 0 && IsWholeRequest(suspects[shared]) {
		l.ownRequests.set(suspects[shared], began)
		shared--
	}
	for i, p := range suspects {
		if i < shared {
			l.ownAnswers.set(p, began)
		}
		l.addAnswer(p, began, &ch)
	}
	l.finish(now, &ch)
	return ch
}

// ownAnswer returns when this router's servers last answered a request with the suspect.
func (l *Ledger) ownAnswer(p amaranthtide.PromptPart) (time.Time, bool) {
	if IsWholeRequest(p) {
		return l.ownRequests.get(p)
	}
	return l.ownAnswers.get(p)
}

// Merge adds what another router knows about the service. Entries about other services are
// ignored.
func (l *Ledger) Merge(now time.Time, e amaranthtide.CrashEvidence) Changes {
	var ch Changes
	suspects := amaranthtide.NewSet[amaranthtide.PromptPart]()
	for _, c := range e.Crashes {
		if c.Service == l.service && l.addCrash(now, c, &ch) {
			for _, p := range c.Parts {
				suspects.Add(p)
			}
		}
	}
	for _, a := range e.Answers {
		if a.Service == l.service {
			l.addAnswer(a.Part, a.At, &ch)
		}
	}
	// Answers and other requests may explain the crashes, so all are judged together.
	for _, p := range amaranthtide.Sorted(suspects) {
		l.judge(p, &ch)
	}
	for _, q := range e.Quarantines {
		if q.Service == l.service {
			l.addQuarantine(now, q, &ch)
		}
	}
	l.finish(now, &ch)
	return ch
}

// addCrash adds a crash unless it is known, too old or due to another request, and reports
// whether it did.
func (l *Ledger) addCrash(now time.Time, c amaranthtide.ServerCrash, ch *Changes) bool {
	if len(c.Parts) == 0 || c.At.After(now) || now.Sub(c.At) > evidenceAge || !l.counts(c) {
		return false
	}
	if c.Begun {
		// The requests that the server had not begun to answer are not the cause. Dropping them
		// leaves room for crashes that count.
		l.crashes = slices.DeleteFunc(l.crashes, func(k amaranthtide.ServerCrash) bool { return !k.Begun && isSameCrash(k, c) })
	}
	if slices.ContainsFunc(l.crashes, func(k amaranthtide.ServerCrash) bool { return k.Prompt == c.Prompt && isSameCrash(k, c) }) {
		return false
	}
	l.crashes = append(l.crashes, c)
	slices.SortStableFunc(l.crashes, func(a, b amaranthtide.ServerCrash) int { return a.At.Compare(b.At) })
	l.crashes = l.crashes[max(0, len(l.crashes)-maxCrashes):]
	ch.Evidence = true
	for _, p := range c.Parts {
		l.recallAnswer(p)
	}
	return true
}

// recallAnswer makes the last answer through this router part of the evidence about a part that
// has come under suspicion.
func (l *Ledger) recallAnswer(p amaranthtide.PromptPart) {
	if at, ok := l.ownAnswer(p); ok && at.After(l.answered[p]) {
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
	l.keepRelease(p, release{at, q.end().Add(probation)})
	ch.Released = append(ch.Released, p)
	for _, other := range l.quarantines {
		other.companions = without(other.companions, p)
	}
}

// keepRelease keeps the answer that has ended a quarantine. If there are too many, the one that is
// needed for the shortest time is dropped.
func (l *Ledger) keepRelease(p amaranthtide.PromptPart, r release) {
	l.released[p] = r
	if len(l.released) <= maxQuarantines {
		return
	}
	first := p
	for other, o := range l.released {
		if o.until.Before(l.released[first].until) {
			first = other
		}
	}
	delete(l.released, first)
}

// addQuarantine adds a quarantine of another router.
func (l *Ledger) addQuarantine(now time.Time, q amaranthtide.Quarantine, ch *Changes) {
	q.Level = min(q.Level, maxLevel)
	l.recallAnswer(q.Part)
	if l.answered[q.Part].After(q.LastCrash) || l.released[q.Part].answeredAt.After(q.LastCrash) || l.refutes(q) || q.LastCrash.After(now) || now.Sub(q.LastCrash) > Duration(q.Part, q.Level)+probation {
		return
	}
	known, ok := l.quarantines[q.Part]
	if ok && q.Level <= known.level {
		l.narrow(known, q.Companions, ch)
		return
	}
	l.quarantine(&quarantine{suspect: q.Part, companions: l.unanswered(q.Companions), lastCrash: q.LastCrash, level: q.Level}, ch)
}

// shared returns a quarantine as other routers get it.
func (l *Ledger) shared(q *quarantine) amaranthtide.Quarantine {
	return amaranthtide.Quarantine{Service: l.service, Part: q.suspect, Companions: slices.Clone(q.companions), LastCrash: q.lastCrash, Level: q.level}
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
	for _, q := range l.quarantines {
		if now.Before(q.end()) {
			out = append(out, l.shared(q))
		}
	}
	slices.SortFunc(out, func(a, b amaranthtide.Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
