package choice

import (
	"time"

	"amaranthtide"
)

// What engines take for a request at the usual pace.
const (
	// prefillTokensPerMillisecond is the rate at which an engine reads prompts.
	prefillTokensPerMillisecond = 64
	// fetchCost is the cost of fetching a token of a prompt from another engine, relative to
	// reading it.
	fetchCost = 0.2
	// stepTime is the shortest time for one token of each running request.
	stepTime = 4200 * time.Microsecond
	// eventTokens is the number of tokens of one event of a stream.
	eventTokens = 8
	// streamEvents is the number of events of a stream.
	streamEvents = 45
)

// Work is what a request asks of an engine, and by when.
type Work struct {
	// PromptTokens is the length of the prompt, of which the chat's own engine has most likely
	// cached SharedTokens.
	PromptTokens, SharedTokens int
	// Events is the number of events until the caller gets the first bytes: 1 for a stream, all events
	// of an answer that is not streamed.
	Events int
	// FirstEvent and Pause are the objectives for the time to the first event and between
	// events; 0 means none.
	FirstEvent, Pause time.Duration
}

// WorkOf returns the work of a request.
func WorkOf(req *amaranthtide.Request) Work {
	w := Work{PromptTokens: req.PromptTokens, SharedTokens: req.SharedTokens, Events: 1, FirstEvent: req.Objective}
	if req.Stream {
		w.Pause = req.PauseObjective
	} else if output := req.Cost - req.PromptTokens; output > 0 {
		w.Events = min((output+eventTokens-1)/eventTokens, streamEvents)
	}
	return w
}

// Expected is how long an engine is expected to take for a request: until the caller gets the first
// bytes, and between the events.
type Expected struct{ FirstEvent, Pause time.Duration }

// total returns the time to the end of an ordinary stream.
func (e Expected) total() time.Duration { return e.FirstEvent + streamEvents*e.Pause }

// Expect returns the times that the work is expected to take at an engine. cached tells whether
// the engine has most likely cached the shared part of the prompt; if not, it fetches that part
// from the engine that has. An unknown pace counts as the usual one, an unknown number of slots
// as enough.
func (w Work) Expect(c Candidate, cached bool) Expected {
	tokens := float64(c.PromptTokens + max(w.PromptTokens-w.SharedTokens, 0))
	if !cached {
		tokens += fetchCost * float64(w.SharedTokens)
	}
	pause := time.Duration(eventTokens) * stepTime
	first := time.Duration(tokens/prefillTokensPerMillisecond*float64(time.Millisecond)) + time.Duration(max(w.Events, 1))*pause
	if c.Slots > 0 && c.Load >= c.Slots {
		// The slots become free one after the other, each once in the time of a stream.
		first += time.Duration(c.Load-c.Slots+1) * streamEvents * pause / time.Duration(c.Slots)
	}
	return Expected{FirstEvent: atPace(first, c.Pace), Pause: atPace(pause, c.Pace)}
}

// InTime reports whether the work is expected to meet its objectives with e. Objectives that the
// engine would miss at its usual pace and without other requests count as those times: another
// engine wouldn't meet them either.
func (w Work) InTime(e Expected, cached bool) bool {
	usual := w.Expect(Candidate{}, cached)
	return meets(e.FirstEvent, w.FirstEvent, usual.FirstEvent) && meets(e.Pause, w.Pause, usual.Pause)
}

func meets(expected, objective, usual time.Duration) bool {
	return objective <= 0 || expected <= max(objective, atPace(usual, amaranthtide.SlowPace))
}

func atPace(d time.Duration, p amaranthtide.Pace) time.Duration {
	if p <= 0 {
		return d
	}
	return d * time.Duration(p) / time.Duration(amaranthtide.UsualPace)
}
