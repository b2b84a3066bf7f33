package caller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthtide"
)

// Result is what a run showed. Requests is the sum of the six outcomes.
type Result struct {
	Requests         int `json:"requests"`
	Answered         int `json:"answered"`
	RefusedNotRun    int `json:"refusedNotRun"`
	Failed           int `json:"failed"`
	UnknownOutcome   int `json:"unknownOutcome"`
	WrongAnswers     int `json:"wrongAnswers"`
	TruncatedAnswers int `json:"truncatedAnswers"`
	// Tries counts the second tries of cashiers, too.
	Tries int `json:"tries"`
	// DoubleRuns are effects beyond the first of a key.
	DoubleRuns int `json:"doubleRuns"`
	// RefusedButRan are requests refused as not run that a stand-in ran.
	RefusedButRan int `json:"refusedButRan"`
	// AnsweredNotRun are calls that were answered without an effect.
	AnsweredNotRun int `json:"answeredNotRun"`
	// CacheReuse is the share of cached prompt tokens in those that could have been
	// cached: the history of each returning chat whose last engine lives, is in service
	// and has room. CacheReuseIdeal is the share that this engine held. Both are 1 if
	// no chat returned.
	CacheReuse      float64 `json:"cacheReuse"`
	CacheReuseIdeal float64 `json:"cacheReuseIdeal"`
	// Kinds counts the tries by the error kind that they were told.
	Kinds     map[string]int `json:"kinds"`
	Latencies []Latency      `json:"latencies"`
	// FirstToken is of standard chats, SmallWait of those of small workspaces, QuickCall
	// the total latency of quick requests.
	FirstToken Quantiles `json:"firstToken"`
	SmallWait  Quantiles `json:"smallWait"`
	QuickCall  Quantiles `json:"quickCall"`
	Start      time.Time `json:"start"`
	Seconds    []Second  `json:"-"`
}

// Latency is of the answered requests of one workspace and class.
type Latency struct {
	Workspace  amaranthtide.WorkspaceName `json:"workspace"`
	Class      string                     `json:"class"`
	FirstToken Quantiles                  `json:"firstToken"`
	Total      Quantiles                  `json:"total"`
}

// Quantiles sum up a latency.
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

// Kept reports whether the promises that callers can check were kept.
func (r Result) Kept() bool {
	return r.WrongAnswers+r.TruncatedAnswers+r.DoubleRuns+r.RefusedButRan+r.AnsweredNotRun == 0
}

// Served returns the share of answered repeatable requests in those begun between
// two times; 1 if there were none.
func (r Result) Served(from, to time.Time) float64 {
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

// buildResult sums up a run after all its requests ended.
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
	r.SmallWait = quantiles(s.mergedHistogram(func(k latencyKey, h *latency) *hdrhistogram.Histogram {
		return histogramIf(k.class == standard && l.smallWorkspaces.Has(k.workspace), h.firstToken)
	}))
	r.QuickCall = quantiles(s.mergedHistogram(func(k latencyKey, h *latency) *hdrhistogram.Histogram {
		return histogramIf(k.class == string(amaranthtide.ClassQuick), h.total)
	}))
	for _, w := range l.cfg.Workspaces {
		for _, class := range []string{standard, string(amaranthtide.ClassQuick), classCall} {
			if h := s.latency[latencyKey{w.Name, class}]; h != nil {
				r.Latencies = append(r.Latencies, Latency{w.Name, class, quantiles(h.firstToken), quantiles(h.total)})
			}
		}
	}
	l.checkAgainstStandIns(&r)
	return r
}

func histogramIf(ok bool, h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if !ok {
		return nil
	}
	return h
}

// checkAgainstStandIns compares what the callers were told with what the stand-ins did.
func (l *Load) checkAgainstStandIns(r *Result) {
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
