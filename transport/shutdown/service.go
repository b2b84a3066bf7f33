// Package shutdown keeps a router that stops from sending on requests that it might not finish,
// whichever front end they come from.
//
// # Usage
//
//	s := shutdown.New(service)
//	s.Stop(drain.NewPlan(now, grace)) // at the signal to stop
package shutdown

import (
	"context"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/drain"
)

// Service wraps another Service to refuse the requests that its router might not finish. It is
// safe for concurrent use. Use New.
type Service struct {
	service amaranthtide.Service
	// plan is nil until the router stops.
	plan atomic.Pointer[drain.Plan]
}

var _ amaranthtide.Service = (*Service)(nil)

// New returns a Service that passes all requests to another one until Stop is called.
func New(s amaranthtide.Service) *Service { return &Service{service: s} }

// Stop begins the shutdown by the given plan.
func (s *Service) Stop(p drain.Plan) { s.plan.Store(&p) }

// Stopping reports whether Stop was called.
func (s *Service) Stopping() bool { return s.plan.Load() != nil }

// Serve implements amaranthtide.Service. It refuses a request with KindShuttingDown.
func (s *Service) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if err := s.Check(time.Now(), req); err != nil {
		return err
	}
	return s.service.Serve(ctx, req, w)
}

// Check returns the error with which Serve would refuse the request, nil if it wouldn't.
func (s *Service) Check(now time.Time, req *amaranthtide.Request) error {
	plan := s.plan.Load()
	if plan == nil || plan.Admits(now, req.Deadline) {
		return nil
	}
	err := amaranthtide.Errorf(amaranthtide.KindShuttingDown, "router stops in %v, the request may take %v", plan.AbortAt.Sub(now), req.Deadline.Sub(now))
	return amaranthtide.WithRetryAfter(err, drain.RetryAfter)
}
