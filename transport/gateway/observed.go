package gateway

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/transport/metrics"
)

// observedService wraps a Service to log and count the results of its requests.
type observedService struct {
	amaranthtide.Service
	meter  *metrics.Meter
	logger hclog.Logger
}

// Serve implements amaranthtide.Service.
func (s *observedService) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	aw := &observedWriter{AnswerWriter: w, meter: s.meter, req: req}
	err := s.Service.Serve(ctx, req, aw)
	took := time.Since(req.Arrived)
	s.meter.RecordRequest(req, took, err)
	fields := []any{
		"request", string(req.ID), "workspace", string(req.Workspace), "route", string(req.Route), "service", string(req.Service),
		"server", string(aw.head.Server), "status", aw.head.Status, "tookMillis", took.Milliseconds(),
		"firstMillis", aw.timeToFirstChunk.Milliseconds(), "objectiveMillis", req.Objective.Milliseconds(), "bytes", aw.bytes,
	}
	switch kind := amaranthtide.KindOf(err); {
	case err == nil:
		s.logger.Info("request ended", fields...)
	case kind == amaranthtide.KindCanceled:
		s.logger.Info("request canceled", append(fields, "error", err.Error())...)
	default:
		s.logger.Warn("request failed", append(fields, "kind", kind.String(), "ran", kind.Reply().Ran.String(), "error", err.Error())...)
	}
	return err
}

// observedWriter records the head, size and first-chunk time of an answer.
type observedWriter struct {
	amaranthtide.AnswerWriter
	meter            *metrics.Meter
	req              *amaranthtide.Request
	head             amaranthtide.AnswerHead
	timeToFirstChunk time.Duration
	bytes            int
}

// Head implements amaranthtide.AnswerWriter.
func (w *observedWriter) Head(h amaranthtide.AnswerHead) error {
	w.head = h
	return w.AnswerWriter.Head(h)
}

// Chunk implements amaranthtide.AnswerWriter.
func (w *observedWriter) Chunk(b []byte) error {
	if w.bytes == 0 {
		w.timeToFirstChunk = time.Since(w.req.Arrived)
		w.meter.RecordFirstChunk(w.req, w.timeToFirstChunk)
	}
	w.bytes += len(b)
	return w.AnswerWriter.Chunk(b)
}
