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
	meter *metrics.Meter
	// storeEra returns the era of the store that the view of this router is of.
	storeEra func() amaranthtide.StoreEra
	logger   hclog.Logger
}

// Serve implements amaranthtide.Service.
func (s *observedService) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	aw := &observedWriter{AnswerWriter: w, meter: s.meter, req: req}
	era := s.storeEra()
	err := s.Service.Serve(ctx, req, aw)
	took := time.Since(req.Arrived)
	s.meter.RecordRequest(req, took, err)
	fields := []any{
		"request", string(req.ID), "workspace", string(req.Workspace), "route", string(req.Route), "service", string(req.Service),
		"server", string(aw.head.Server), "status", aw.head.Status, "tookMillis", took.Milliseconds(),
		"firstMillis", aw.timeToFirstChunk.Milliseconds(), "objectiveMillis", req.Objective.Milliseconds(), "bytes", aw.bytes,
	}
	if req.Stream {
		fields = append(fields, "longestPauseMillis", aw.longestPause.Milliseconds(), "longestWriteMillis", aw.longestWrite.Milliseconds())
	}
	if era > 0 {
		fields = append(fields, "storeEra", uint64(era))
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

// observedWriter records the head, size and first-chunk time of an answer, and the longest pauses
// of a stream.
type observedWriter struct {
	amaranthtide.AnswerWriter
	meter            *metrics.Meter
	req              *amaranthtide.Request
	head             amaranthtide.AnswerHead
	timeToFirstChunk time.Duration
	// writtenAt is when the last chunk had been written to the caller. longestPause is the longest
	// wait for the next chunk of the server, longestWrite the longest write to the caller.
	writtenAt    time.Time
	longestPause time.Duration
	longestWrite time.Duration
	bytes        int
}

// Head implements amaranthtide.AnswerWriter.
func (w *observedWriter) Head(h amaranthtide.AnswerHead) error {
	w.head = h
	return w.AnswerWriter.Head(h)
}

// Chunk implements amaranthtide.AnswerWriter.
func (w *observedWriter) Chunk(b []byte) error {
	arrived := time.Now()
	if w.bytes == 0 {
		w.timeToFirstChunk = arrived.Sub(w.req.Arrived)
		w.meter.RecordFirstChunk(w.req, w.timeToFirstChunk)
	} else {
		w.longestPause = max(w.longestPause, arrived.Sub(w.writtenAt))
	}
	w.bytes += len(b)
	err := w.AnswerWriter.Chunk(b)
	w.writtenAt = time.Now()
	w.longestWrite = max(w.longestWrite, w.writtenAt.Sub(arrived))
	return err
}
