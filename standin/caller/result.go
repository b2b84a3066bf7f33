package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthtide"
)

// Result summarizes a run. Requests is the sum of the six outcomes.
type Result struct {
	Requests         int `json:"requests"`
	Answered         int `json:"answered"`
	RefusedNotRun    int `json:"refusedNotRun"`
	Failed           int `json:"failed"`
	UnknownOutcome   int `json:"unknownOutcome"`
	WrongAnswers     int `json:"wrongAnswers"`
	TruncatedAnswers int `json:"truncatedAnswers"`
	// Tries is the number of tries, including the retries of calls.
	Tries int `json:"tries"`
	// DoubleRuns counts the effects beyond the first of each idempotency key.
	DoubleRuns int `json:"doubleRuns"`
	// RefusedButRan counts requests refused as not run that a server did run.
	RefusedButRan int `json:"refusedButRan"`
	// AnsweredNotRun counts calls that were answered but had no effect.
	AnsweredNotRun int `json:"answeredNotRun"`
	// CacheReuse is the share of prompt tokens found in a cache among those that could
	// have been: the history of each continued chat whose last engine has not rebooted,
	// is in service and has a free slot within the load cap. CacheReuseIdeal is the share
	// that was in this engine's cache. Both are 1 if no chat was continued.
	CacheReuse      float64 `json:"cacheReuse"`
	CacheReuseIdeal float64 `json:"cacheReuseIdeal"`
	// Kinds counts failed tries by error kind.
	Kinds     map[string]int `json:"kinds"`
	Latencies []Latency      `json:"latencies"`
	// FirstToken is the time to the first token of standard chats, SmallFirstToken the
	// same for small workspaces only. QuickTotal is the total latency of quick requests.
	FirstToken      Quantiles     `json:"firstToken"`
	SmallFirstToken Quantiles     `json:"smallWait"`
	QuickTotal      Quantiles     `json:"quickCall"`
	Start           time.Time     `json:"start"`
	Seconds         []SecondStats `json:"-"`
}

// Latency summarizes the latencies of the answered requests of one workspace and
// class.
type Latency struct {
	Workspace  amaranthtide.WorkspaceName `json:"workspace"`
	Class      string                     `json:"class"`
	FirstToken Quantiles                  `json:"firstToken"`
	Total      Quantiles                  `json:"total"`
}

// Quantiles summarizes the distribution of a latency.
type Quantiles struct {
	Count  int64                 `json:"count"`
	Median amaranthtide.Duration `json:"median"`
	P99    amaranthtide.Duration `json:"p99"`
	Max    amaranthtide.Duration `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(micros int64) amaranthtide.Duration {
		return amaranthtide.Duration(time.Duration(micros) * time.Microsecond)
	}
	return Quantiles{h.TotalCount(), at(h.ValueAtPercentile(50)), at(h.ValueAtPercentile(99)), at(h.Max())}
}

// Passed reports whether the run shows no violation: no wrong or truncated answer, no
// call that took effect twice, and no outcome that contradicts what the servers ran.
func (r Result) Passed() bool {
	return r.WrongAnswers+r.TruncatedAnswers+r.DoubleRuns+r.RefusedButRan+r.AnsweredNotRun == 0
}

// AnsweredShare returns the share of answered requests among the repeatable requests
// started between two times, or 1 if there were none.
func (r Result) AnsweredShare(from, to time.Time) float64 {
	requests, served := 0, 0
	for i, s := range r.Seconds {
		at := r.Start.Add(time.Duration(i) * time.Second)
		if at.Add(time.Second).After(from) && at.Before(to) {
			requests += s.Repeatable
			served += s.RepeatableAnswered
		}
	}
	return share(served, requests)
}

func share(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// buildResult summarizes a run after all its requests have ended.
func (l *Load) buildResult() Result {
	s := l.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Result{
		Answered: s.counts[answered], RefusedNotRun: s.counts[refused], Failed: s.counts[failed],
		UnknownOutcome: s.counts[unknown], WrongAnswers: s.counts[wrong], TruncatedAnswers: s.counts[truncated],
		Tries: s.tries, Kinds: s.kinds, Start: s.start, Seconds: s.seconds,
		CacheReuse:      share(s.reuse.cached, s.reuse.possible),
		CacheReuseIdeal: share(s.reuse.held, s.reuse.possible),
	}
	for _, n := range s.counts {
		r.Requests += n
	}
	for i := range s.seconds {
		s.seconds[i].FirstTokenP99 = p99(s.firstTokens[i])
	}
	standard := string(amaranthtide.ClassStandard)
	r.FirstToken = quantiles(s.mergedHistogram(func(k latencyKey, h *latency) *hdrhistogram.Histogram {
		return histogramIf(k.class == standard, h.firstToken)
	}))
	r.SmallFirstToken = quantiles(s.mergedHistogram(func(k latencyKey, h *latency) *hdrhistogram.Histogram {
		return histogramIf(k.class == standard && l.smallWorkspaces.Has(k.workspace), h.firstToken)
	}))
	r.QuickTotal = quantiles(s.mergedHistogram(func(k latencyKey, h *latency) *hdrhistogram.Histogram {
		return histogramIf(k.class == string(amaranthtide.ClassQuick), h.total)
	}))
	for _, w := range l.cfg.Workspaces {
		for _, class := range []string{standard, string(amaranthtide.ClassQuick), classCall} {
			if h := s.latency[latencyKey{w.Name, class}]; h != nil {
				r.Latencies = append(r.Latencies, Latency{w.Name, class, quantiles(h.firstToken), quantiles(h.total)})
			}
		}
	}
	l.compareWithServers(&r)
	return r
}

func histogramIf(ok bool, h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if !ok {
		return nil
	}
	return h
}

// compareWithServers compares the answers to the callers with what the simulated
// servers ran.
func (l *Load) compareWithServers(r *Result) {
	if l.cfg.Observer != nil {
		for _, body := range l.stats.refusedBodies {
			if l.cfg.Observer.Runs(body) > 0 {
				r.RefusedButRan++
			}
		}
	}
	if l.cfg.Effects == nil {
		return
	}
	effects := l.cfg.Effects()
	for _, c := range l.stats.calls {
		n := effects[c.key]
		r.DoubleRuns += max(0, n-1)
		if c.notRun && n > 0 {
			r.RefusedButRan++
		}
		if c.outcome == answered && n == 0 {
			r.AnsweredNotRun++
		}
	}
}
