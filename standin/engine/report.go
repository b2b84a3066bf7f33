package engine

import (
	"time"

	"amaranthtide"
)

// Counters are totals since New, over all boots.
type Counters struct {
	// Runs counts admitted requests. Completed counts those that produced all their
	// tokens, Cancelled those that did not.
	Runs      int `json:"runs"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	// Refused counts requests that were rejected because the engine was leaving or full.
	Refused int `json:"refused"`
	// OverloadCrashes counts the crashes of the cold engine by overload.
	OverloadCrashes int `json:"overruns"`
	Boots           int `json:"boots"`
	// InFlight is the current load, GreatestLoad the maximum so far.
	InFlight     int `json:"inFlight"`
	GreatestLoad int `json:"greatestLoad"`
	PromptTokens int `json:"promptTokens"`
	OutputTokens int `json:"outputTokens"`
	// CachedTokens counts prompt tokens found in the cache, IdealCachedTokens those that
	// an unlimited cache would have held since the boot.
	CachedTokens      int `json:"cachedTokens"`
	IdealCachedTokens int `json:"idealCachedTokens"`
	Resumed           int `json:"resumed"`
}

// history holds the recent load reports, so that they can be served with a delay.
type history struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at, booted time.Time
	report     amaranthtide.EngineReport
}

// add records a sample that is valid from its time on, and prunes the history.
func (h *history) add(s loadSample) {
	h.samples = append(h.samples, s)
	h.prune(s.at)
}

func (h *history) prune(now time.Time) {
	visibleAt := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(visibleAt) {
		h.samples = h.samples[1:]
	}
}

// report returns the report that was valid lag ago, or the oldest one.
func (h *history) report(now time.Time) amaranthtide.EngineReport {
	h.prune(now)
	s := h.samples[0]
	s.report.Uptime = max(0, now.Add(-h.lag).Sub(s.booted))
	return s.report
}
