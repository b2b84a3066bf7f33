// Package logsink is a log output that never blocks the caller and limits the bytes
// written per second.
//
// Lines are queued in a bounded buffer and written by a goroutine. A token bucket
// limits their bytes. Lines at level warn and above may use the whole bucket, all
// others leave part of it in reserve. Lines that exceed the limit or the buffer are
// dropped and counted; the count is logged once a second while it grows.
//
// # Usage
//
//	s := logsink.New(os.Stdout, logsink.Options{})
//	defer s.Close() // writes the queued lines
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
	// burstSeconds is the size of the token bucket, in seconds at the mean rate.
	burstSeconds = 4
	// failureReserve is the share of the bucket that is reserved for lines at level warn
	// and above.
	failureReserve = 0.5
	// maxQueuedLines bounds the queue while the output blocks.
	maxQueuedLines = 512
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
	// closeTimeout bounds the time that Close waits for a blocked output.
	closeTimeout = 500 * time.Millisecond
)

// Options configures a Sink. The zero value uses the defaults.
type Options struct {
	// BytesPerSecond limits the mean rate of the output; 0 is 64 KiB.
	BytesPerSecond int
}

// Sink queues log lines and writes them in the background. It is safe for concurrent
// use. Use New.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu     sync.Mutex
	budget *rate.Limiter
	closed bool

	done chan struct{}
}

// New returns a Sink that writes to out. The caller must call Close.
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

// Writer returns the output for an hclog logger. hclog passes it the level of each
// line.
func (s *Sink) Writer() io.Writer {
	failures := &levelWriter{s, true}
	return hclog.NewLeveledWriter(&levelWriter{s, false}, map[hclog.Level]io.Writer{hclog.Warn: failures, hclog.Error: failures})
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// levelWriter receives either the lines at level warn and above or all others.
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
	case s.lines <- append([]byte(nil), line...): // hclog reuses its buffer
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
			_, _ = s.out.Write(line) // there is nowhere to report a failing output
		case now := <-ticker.C:
			if n := s.Dropped(); n > reported {
				_, _ = fmt.Fprintf(s.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"dropped":%d,"total":%d}`+"\n",
					now.Format(hclog.TimeFormatJSON), n-reported, n)
				reported = n
			}
		}
	}
}

// Close writes the queued lines, for at most closeTimeout. Later lines are dropped.
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
