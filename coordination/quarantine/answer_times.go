package quarantine

import (
	"time"

	"amaranthtide"
)

// generationSize is the number of parts in one generation of answerTimes. Parts in common use
// are answered again long before so many others.
const generationSize = 1024

// answerTimes holds the last answers to requests with the most recently answered parts: between
// generationSize and twice as many. The zero value is empty.
type answerTimes struct {
	current, previous map[amaranthtide.PromptPart]time.Time
}

func (a *answerTimes) set(p amaranthtide.PromptPart, at time.Time) {
	if known, ok := a.get(p); ok && known.After(at) {
		at = known
	}
	if a.current == nil || len(a.current) >= generationSize {
		a.previous, a.current = a.current, make(map[amaranthtide.PromptPart]time.Time)
	}
	a.current[p] = at
}

func (a *answerTimes) get(p amaranthtide.PromptPart) (time.Time, bool) {
	if at, ok := a.current[p]; ok {
		return at, true
	}
	at, ok := a.previous[p]
	return at, ok
}
