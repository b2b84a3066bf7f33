package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthtide"
)

const (
	maxLatency       = 2 * time.Minute
	latencyPrecision = 3
)

// stats collects the outcomes of a run. It is safe for concurrent use.
type stats struct {
	start time.Time

	mu          sync.Mutex
	counts      [outcomeCount]int
	tries       int
	kinds       map[string]int
	latency     map[latencyKey]*latency
	seconds     []SecondStats
	firstTokens [][]time.Duration
	// refusedBodies are the hashes of the chat completions refused as not run.
	refusedBodies []uint64
	calls         []callRecord
	reuse         reuse
}

type latencyKey struct {
	workspace amaranthtide.WorkspaceName
	class     string
}

type latency struct{ firstToken, total *hdrhistogram.Histogram }

// reuse counts prompt tokens of continued chats: those that could be cached, those in
// the cache of the chat's last engine, and those that the answer reported as cached.
type reuse struct{ possible, held, cached int }

// callRecord is the outcome of one call, which is checked against the effects of its
// key.
type callRecord struct {
	key     amaranthtide.IdempotencyKey
	outcome outcome
	// notRun is set if the answers to all tries state that they did not run.
	notRun bool
}

// SecondStats summarizes the requests started in one second of the run.
type SecondStats struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Repeatable and RepeatableAnswered exclude calls to plain services.
	Repeatable         int           `json:"repeatable"`
	RepeatableAnswered int           `json:"repeatableAnswered"`
	FirstTokenP99      time.Duration `json:"firstTokenP99"`
	ReusePossible      int           `json:"reusePossible"`
	ReuseCached        int           `json:"reuseCached"`
}

// classCall is the class under which calls to plain services are listed.
const classCall = "call"

// requestRecord is one finished request.
type requestRecord struct {
	workspace amaranthtide.WorkspaceName
	class     string
	startedAt time.Time
	endedAt   time.Time
	answer    answer
	body      uint64
	reuse     reuse
}

func newStats() *stats {
	return &stats{start: time.Now(), kinds: make(map[string]int), latency: make(map[latencyKey]*latency)}
}

// addTry counts one try and its error kind, if any.
func (s *stats) addTry(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	switch {
	case a.kind != "":
		s.kinds[a.kind]++
	case a.outcome == unknown:
		s.kinds["connection"]++
	}
}

func (s *stats) addRequest(r requestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := r.answer.outcome == answered
	s.counts[r.answer.outcome]++
	i := int(r.startedAt.Sub(s.start) / time.Second)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, SecondStats{})
		s.firstTokens = append(s.firstTokens, nil)
	}
	sec := &s.seconds[i]
	sec.Requests++
	if ok {
		sec.Answered++
	}
	if r.class != classCall {
		sec.Repeatable++
		if ok {
			sec.RepeatableAnswered++
		}
	}
	sec.ReusePossible += r.reuse.possible
	sec.ReuseCached += r.reuse.cached
	s.reuse.possible += r.reuse.possible
	s.reuse.held += r.reuse.held
	s.reuse.cached += r.reuse.cached
	if r.class != classCall && r.answer.outcome == refused {
		s.refusedBodies = append(s.refusedBodies, r.body)
	}
	if !ok {
		return
	}
	key := latencyKey{r.workspace, r.class}
	l := s.latency[key]
	if l == nil {
		l = &latency{newLatency(), newLatency()}
		s.latency[key] = l
	}
	_ = l.total.RecordValue(r.endedAt.Sub(r.startedAt).Microseconds())
	if first := r.answer.firstText; !first.IsZero() {
		_ = l.firstToken.RecordValue(first.Sub(r.startedAt).Microseconds())
		if r.class == string(amaranthtide.ClassStandard) {
			s.firstTokens[i] = append(s.firstTokens[i], first.Sub(r.startedAt))
		}
	}
}

func (s *stats) addCall(c callRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)
}

// mergedHistogram merges the histograms that selectHistogram returns. It ignores nil.
func (s *stats) mergedHistogram(selectHistogram func(latencyKey, *latency) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newLatency()
	for k, l := range s.latency {
		if h := selectHistogram(k, l); h != nil {
			sum.Merge(h)
		}
	}
	return sum
}

func p99(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*99/100)]
}
