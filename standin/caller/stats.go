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

// stats gathers the outcomes of a run. It is concurrent-safe.
type stats struct {
	start time.Time

	mu      sync.Mutex
	counts  [outcomes]int
	tries   int
	kinds   map[string]int
	latency map[latencyKey]*latency
	seconds []Second
	firsts  [][]time.Duration
	// refusedBodies are the hashes of the chat requests refused as not run.
	refusedBodies []uint64
	calls         []callRecord
	reuse         reuse
}

type latencyKey struct {
	workspace amaranthtide.WorkspaceName
	class     string
}

type latency struct{ first, total *hdrhistogram.Histogram }

// reuse sums prompt tokens of returning chats.
type reuse struct{ possible, held, cached int }

// callRecord is what a cashier was told about one key.
type callRecord struct {
	key     amaranthtide.IdempotencyKey
	outcome outcome
	// notRun is set if every try was told that it was not run.
	notRun bool
}

// Second is what became of the requests begun in one second of the run.
type Second struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Repeatable and RepeatableAnswered leave out the calls of cashiers.
	Repeatable         int           `json:"repeatable"`
	RepeatableAnswered int           `json:"repeatableAnswered"`
	FirstTokenP99      time.Duration `json:"firstTokenP99"`
	ReusePossible      int           `json:"reusePossible"`
	ReuseCached        int           `json:"reuseCached"`
}

// classCall is the class under which the calls of cashiers are listed.
const classCall = "call"

// record is one finished request.
type record struct {
	workspace amaranthtide.WorkspaceName
	class     string
	begun     time.Time
	ended     time.Time
	answer    answer
	body      uint64
	reuse     reuse
}

func newStats() *stats {
	return &stats{start: time.Now(), kinds: make(map[string]int), latency: make(map[latencyKey]*latency)}
}

// tried counts one try and the error kind that it was told, if any.
func (s *stats) tried(a answer) {
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

func (s *stats) add(r record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := r.answer.outcome == answered
	s.counts[r.answer.outcome]++
	i := int(r.begun.Sub(s.start) / time.Second)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, Second{})
		s.firsts = append(s.firsts, nil)
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
	_ = l.total.RecordValue(r.ended.Sub(r.begun).Microseconds())
	if first := r.answer.first; !first.IsZero() {
		_ = l.first.RecordValue(first.Sub(r.begun).Microseconds())
		if r.class == string(amaranthtide.ClassStandard) {
			s.firsts[i] = append(s.firsts[i], first.Sub(r.begun))
		}
	}
}

func (s *stats) called(c callRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)
}

// merged returns the sum of the histograms that pick chooses.
func (s *stats) merged(pick func(latencyKey, *latency) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newLatency()
	for k, l := range s.latency {
		if h := pick(k, l); h != nil {
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
