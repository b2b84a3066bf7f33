package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// scriptStep is an operation on a deployment at a given time of a load.
type scriptStep struct {
	at   time.Duration
	text string
	run  func() error
}

// script runs steps in the background while a load runs.
type script struct {
	steps []scriptStep
	log   io.Writer
	ended chan struct{}
	err   error
}

func (s *script) add(at time.Duration, text string, do func() error) {
	s.steps = append(s.steps, scriptStep{at, text, do})
}

// start runs the steps in the background in the order of their times. A step that is
// not finished when the next one is due delays it.
func (s *script) start(ctx context.Context) {
	s.ended = make(chan struct{})
	slices.SortStableFunc(s.steps, func(a, b scriptStep) int { return int(a.at - b.at) })
	go s.run(ctx, time.Now())
}

func (s *script) run(ctx context.Context, begin time.Time) {
	defer close(s.ended)
	for _, step := range s.steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(step.at))):
		}
		_, _ = fmt.Fprintf(s.log, "%6.1fs  %s\n", time.Since(begin).Seconds(), step.text)
		if err := step.run(); err != nil {
			s.err = fmt.Errorf("%s: %w", step.text, err)
			return
		}
	}
}

// wait waits for the last step and returns the first error.
func (s *script) wait() error {
	<-s.ended
	return s.err
}
