// Package logsink takes log lines without ever blocking the caller, and bounds how
// many bytes a second reach the output.
//
// Lines wait in a bounded buffer for a goroutine that writes them. Each line spends
// its bytes from a budget; lines of failures may spend all of it, others leave a
// reserve. What doesn't fit is dropped and counted, and the count is logged once a
// second while it grows.
//
// # Usage
//
//	s := logsink.New(os.Stdout, logsink.Options{})
//	defer s.Close() // writes what waits
//	logger := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: s.Writer()})
//	dropped := s.Dropped()
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	defaultBytesPerSecond = 64 << 10
	// burstSeconds is how much unused budget is saved.
	burstSeconds = 4
	// failureReserve is the part of the saved budget that only failures may spend.
	failureReserve = 0.5
	// maxQueuedLines bounds the lines that wait while the output takes none.
	maxQueuedLines = 512
	// dropReportInterval is how often the count of dropped lines is written.
	dropReportInterval = time.Second
	// closeTimeout bounds the wait for an output that takes nothing.
	closeTimeout = 500 * time.Millisecond
)

// Options are the settings of a Sink. Zero values mean the defaults.
type Options struct {
	// BytesPerSecond is the mean rate of the output; 0 is 64 KiB.
	BytesPerSecond int
}

// Sink is concurrent-safe. Use New.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu     sync.Mutex
	budget *rate.Limiter
	closed bool

	done chan struct{}
}

// New returns a Sink that writes to out. Close it after use.
func New(out io.Writer, opts Options) *Sink {
	if opts.BytesPerSecond <= 0 {
		opts.BytesPerSecond = defaultBytesPerSecond
	}
	s := &Sink{
		out:    out,
		lines:  make(chan []byte, maxQueuedLines),
		budget: rate.NewLimiter(rate.Limit(opts.BytesPerSecond), burstSeconds*opts.BytesPerSecond),
		done:   make(chan struct{}),
	}
	go s.run()
	return s
}

// Writer returns the output for hclog, which tells the level of each line.
func (s *Sink) Writer() io.Writer {
	failures := &levelWriter{s, true}
	return hclog.NewLeveledWriter(&levelWriter{s, false}, map[hclog.Level]io.Writer{hclog.Warn: failures, hclog.Error: failures})
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// levelWriter takes the lines of failures, or the others.
type levelWriter struct {
	sink    *Sink
	failure bool
}

// Write implements io.Writer. It never blocks and never fails.
func (l *levelWriter) Write(line []byte) (int, error) {
	l.sink.enqueue(time.Now(), line, l.failure)
	return len(line), nil
}

func (s *Sink) enqueue(now time.Time, line []byte, failure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.allow(now, len(line), failure) {
		s.dropped.Add(1)
		return
	}
	select {
	case s.lines <- append([]byte(nil), line...): // hclog uses its buffer again
	default:
		s.dropped.Add(1)
	}
}

func (s *Sink) allow(now time.Time, n int, failure bool) bool {
	if !failure && s.budget.TokensAt(now)-float64(n) < failureReserve*float64(s.budget.Burst()) {
		return false
	}
	return s.budget.AllowN(now, n)
}

// run writes the lines.
func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return
			}
			_, _ = s.out.Write(line) // an output that fails has no place to say so
		case now := <-ticker.C:
			if n := s.Dropped(); n > reported {
				_, _ = fmt.Fprintf(s.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"dropped":%d,"total":%d}`+"\n",
					now.Format(hclog.TimeFormatJSON), n-reported, n)
				reported = n
			}
		}
	}
}

// Close writes the lines that wait, for a short time at most. Later lines are
// dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
