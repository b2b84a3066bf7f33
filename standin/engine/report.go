package engine

import (
	"time"

	"amaranthtide"
)

// Counters count since New, over all boots.
type Counters struct {
	// Runs are requests admitted; Completed gave all their tokens, Cancelled did not.
	Runs      int `json:"runs"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// Refused are requests that were not run.
	Refused int `json:"refused"`
	// Overruns are the times that the engine fell over.
	Overruns int `json:"overruns"`
	Boots    int `json:"boots"`
	// InFlight is the present load, GreatestLoad the greatest.
	InFlight     int `json:"inFlight"`
	GreatestLoad int `json:"greatestLoad"`
	PromptTokens int `json:"promptTokens"`
	OutputTokens int `json:"outputTokens"`
	// CachedTokens are prompt tokens found in the cache; IdealCachedTokens are those
	// that a cache without limit would have held since the boot.
	CachedTokens      int `json:"cachedTokens"`
	IdealCachedTokens int `json:"idealCachedTokens"`
	Resumed           int `json:"resumed"`
}

// history holds the reports of the recent past.
type history struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at, booted time.Time
	report     amaranthtide.EngineReport
}

// add records a report that holds from now on. It drops those that no lagging
// report needs.
func (h *history) add(p loadSample) {
	h.samples = append(h.samples, p)
	h.prune(p.at)
}

func (h *history) prune(now time.Time) {
	visibleAt := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(visibleAt) {
		h.samples = h.samples[1:]
	}
}

// report returns the report of lag ago, or the first one.
func (h *history) report(now time.Time) amaranthtide.EngineReport {
	h.prune(now)
	p := h.samples[0]
	p.report.Uptime = max(0, now.Add(-h.lag).Sub(p.booted))
	return p.report
}
