package main

import (
	"bytes"
	"context"
	"errors"
	"image/png"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/observer"
)

// Guards against invalid arguments that exit with the status of a failed or a
// successful run.
func TestExitStatus(t *testing.T) {
	tests := []struct {
		name string
		args []string
	}{
		{"no command", nil},
		{"unknown command", []string{"dance"}},
		{"unknown profile", []string{"bench", "--profile", "other"}},
		{"bad duration", []string{"bench", "--duration", "long"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, err bytes.Buffer
			if got := run(context.Background(), tt.args, streams{&out, &err}); got != exitUsage {
				t.Errorf("got: %d, want: %d", got, exitUsage)
			}
			if out.Len() > 0 || err.Len() == 0 {
				t.Errorf("got: output %q and errors %q, want: errors only", out.String(), err.String())
			}
		})
	}
}

// Guards against a demo that reports success although a guarantee was violated.
func TestDemoDetectsViolations(t *testing.T) {
	tests := []struct {
		name   string
		result demoResult
		want   bool
	}{
		{"kept", demoResult{SkewMax: 1.25, Result: caller.Result{RefusedNotRun: 3, Failed: 1, UnknownOutcome: 2}}, false},
		{"wrong", demoResult{Result: caller.Result{WrongAnswers: 1}}, true},
		{"truncated", demoResult{Result: caller.Result{TruncatedAnswers: 1}}, true},
		{"double run", demoResult{Result: caller.Result{DoubleRuns: 1}}, true},
		{"refused but ran", demoResult{Result: caller.Result{RefusedButRan: 1}}, true},
		{"answered but not run", demoResult{Result: caller.Result{AnsweredNotRun: 1}}, true},
		{"skew", demoResult{SkewMax: 1.26}, true},
		{"late admission", demoResult{Skew: observer.Skew{LateAdmissions: 1}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.result.violatesGuarantee(); got != tt.want {
				t.Errorf("got: %v, want: %v", got, tt.want)
			}
		})
	}
}

// Guards against steps that run out of order or continue after a failure.
func TestScript(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	var got []string
	bad := errors.New("bad")
	s := &script{log: &log}
	s.add(3*time.Millisecond, "fails", func() error { return bad })
	s.add(2*time.Millisecond, "second", func() error { got = append(got, "second"); return nil })
	s.add(time.Millisecond, "first", func() error { got = append(got, "first"); return nil })
	s.add(4*time.Millisecond, "late", func() error { got = append(got, "late"); return nil })
	s.start(context.Background())
	is.True(errors.Is(s.wait(), bad))
	is.Equal(got, []string{"first", "second"})
}

// Guards against a plot that fails if some seconds have no values.
func TestPlot(t *testing.T) {
	is := is.New(t)
	r := benchResult{Duration: amaranthtide.Duration(3 * time.Second), Policies: []benchRow{
		{Policy: "a", skew: []float64{1, 0, 1.2}, seconds: []caller.SecondStats{{Requests: 1}, {}}},
		{Policy: "b"},
	}}
	var b bytes.Buffer
	is.NoErr(drawPlot(&b, r))
	_, err := png.Decode(&b)
	is.NoErr(err)
}
