package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"amaranthtide/transport/logsink"
)

// stallableOutput is a writer that blocks until stall is closed, unless stall is nil.
type stallableOutput struct {
	stall chan struct{}
	mu    sync.Mutex
	buf   bytes.Buffer
}

func (o *stallableOutput) Write(b []byte) (int, error) {
	if o.stall != nil {
		<-o.stall
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *stallableOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func newLogger(s *logsink.Sink) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: s.Writer()})
}

// Guards against requests that block on logging when the process that reads the log
// has stopped reading.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	out := &stallableOutput{stall: make(chan struct{})}
	s := logsink.New(out, logsink.Options{BytesPerSecond: 1 << 30})
	logger := newLogger(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			logger.Info("request placed", "request", "r")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("got: a log call that blocks on the output, want: dropped lines")
	}
	is.True(s.Dropped() > 0)
	close(out.stall)
	s.Close()
}

// Guards against lines at level info that use up the budget reserved for failures.
func TestFailuresHaveReservedBudget(t *testing.T) {
	is := is.New(t)
	out := &stallableOutput{}
	s := logsink.New(out, logsink.Options{BytesPerSecond: 2000})
	logger := newLogger(s)
	for range 200 {
		logger.Info("request ended")
	}
	logger.Warn("request failed", "request", "r-17")
	s.Close()
	is.True(s.Dropped() > 0)
	is.True(strings.Contains(out.String(), "r-17"))
	is.True(strings.Count(out.String(), "request ended") > 0)
}

// Guards against dropped lines that the log doesn't report.
func TestDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	out := &stallableOutput{}
	s := logsink.New(out, logsink.Options{BytesPerSecond: 100})
	newLogger(s).Info(strings.Repeat("x", 1000))
	is.Equal(s.Dropped(), uint64(1))
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(out.String(), `"dropped":1`); {
		if time.Now().After(deadline) {
			t.Fatalf("got: %q, want: a line with the count", out.String())
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Close()
}

// Measures the caller's cost of logging one line.
func BenchmarkLine(b *testing.B) {
	s := logsink.New(&stallableOutput{}, logsink.Options{})
	defer s.Close()
	logger := newLogger(s)
	for b.Loop() {
		logger.Info("request placed", "request", "9c41d07be2a35f68", "server", "i-7f3a91c2", "load", 4, "ageMillis", 12)
	}
}
