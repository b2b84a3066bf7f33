package gateway

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/transport/metrics"
)

// observed is a Service that logs and counts how requests end.
type observed struct {
	amaranthtide.Service
	meter  *metrics.Meter
	logger hclog.Logger
}

// Serve implements amaranthtide.Service.
func (o *observed) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	aw := &observedWriter{AnswerWriter: w, meter: o.meter, req: req}
	err := o.Service.Serve(ctx, req, aw)
	took := time.Since(req.Arrived)
	o.meter.Request(req, took, err)
	fields := []any{
		"request", string(req.ID), "workspace", string(req.Workspace), "route", string(req.Route), "service", string(req.Service),
		"server", string(aw.head.Server), "status", aw.head.Status, "tookMillis", took.Milliseconds(),
		"firstMillis", aw.first.Milliseconds(), "objectiveMillis", req.Objective.Milliseconds(), "bytes", aw.bytes,
	}
	switch kind := amaranthtide.KindOf(err); {
	case err == nil:
		o.logger.Info("request ended", fields...)
	case kind == amaranthtide.KindCanceled:
		o.logger.Info("request canceled", append(fields, "error", err.Error())...)
	default:
		o.logger.Warn("request failed", append(fields, "kind", kind.String(), "ran", kind.Reply().Ran.String(), "error", err.Error())...)
	}
	return err
}

// observedWriter notes what went to the caller.
type observedWriter struct {
	amaranthtide.AnswerWriter
	meter *metrics.Meter
	req   *amaranthtide.Request
	head  amaranthtide.AnswerHead
	first time.Duration
	bytes int
}

// Head implements amaranthtide.AnswerWriter.
func (w *observedWriter) Head(h amaranthtide.AnswerHead) error {
	w.head = h
	return w.AnswerWriter.Head(h)
}

// Chunk implements amaranthtide.AnswerWriter.
func (w *observedWriter) Chunk(b []byte) error {
	if w.bytes == 0 {
		w.first = time.Since(w.req.Arrived)
		w.meter.FirstChunk(w.req, w.first)
	}
	w.bytes += len(b)
	return w.AnswerWriter.Chunk(b)
}
