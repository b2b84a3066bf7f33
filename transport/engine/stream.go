package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/completion"
	"amaranthtide/protocol/wire"
	"amaranthtide/transport/internal/httpclient"
)

const (
	// bufferBytes is room for a few events of one token each. It is small because every
	// stream in flight holds a buffer. A longer event gets a larger buffer temporarily.
	bufferBytes = 1 << 10
	// maxEventBytes limits one event, which may have several lines.
	maxEventBytes = 2 * completion.MaxLine
	// drainTimeout limits the wait for the end of the body after the terminal event. The
	// connection can be reused only after the body has ended.
	drainTimeout = 100 * time.Millisecond
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// errAnswerWriter marks errors of the AnswerWriter.
var errAnswerWriter = errors.New("answer writer failed")

// stream passes on one streamed answer, which may be resumed on further connections.
type stream struct {
	client  *Client
	cancel  context.CancelFunc
	addr    netip.AddrPort
	req     *amaranthtide.Request
	w       amaranthtide.AnswerWriter
	scanner completion.Scanner
	// headWritten tells whether the head was written.
	headWritten bool
}

// run passes on the answer whose first part is resp, and resumes it if it breaks off.
func (s *stream) run(ctx context.Context, resp *http.Response) error {
	head := answerHead(s.req, resp)
	resumable := resp.Header.Get(wire.HeaderResumable) == "true"
	err := s.copyEvents(resp.Body, head)
	for try := 0; err != nil && resumable && s.canResume(ctx, err, try); try++ {
		err = s.resume(ctx, head, try, err)
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, errAnswerWriter) {
		return callerWriteError(err)
	}
	return contextError(ctx, err)
}

// errUnknownStream is the error of a resumption that the engine refuses or answers with
// another stream.
var errUnknownStream = errors.New("stream is not known to the engine")

func (s *stream) canResume(ctx context.Context, err error, try int) bool {
	if ctx.Err() != nil || try >= s.client.cfg.MaxResumes {
		return false
	}
	if errors.Is(err, errAnswerWriter) || errors.Is(err, errUnknownStream) || amaranthtide.IsKind(err, amaranthtide.KindBackendFailed) {
		return false
	}
	// Without an event id to resume after, events that were already written would be
	// repeated.
	return !s.headWritten || s.scanner.LastID() != ""
}

// resume makes one attempt to read the events after the last complete one. It returns
// the earlier error if the engine can't be reached.
func (s *stream) resume(ctx context.Context, head amaranthtide.AnswerHead, try int, earlier error) error {
	if try > 0 {
		t := time.NewTimer(time.Duration(try) * resumeBackoff)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return earlier
		}
	}
	r, err := httpclient.NewRequest(ctx, http.MethodGet, s.addr, streamsPath+string(s.req.Attempt), "", nil)
	if err != nil {
		return err
	}
	if id := s.scanner.LastID(); id != "" {
		r.Header[wire.HeaderLastEventID] = []string{id}
	}
	resp, _, err := httpclient.RoundTrip(s.client.control, r)
	if err != nil {
		return earlier
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || !isOwnAnswer(resp, s.req) {
		return amaranthtide.Errorf(amaranthtide.KindTruncated, "engine %v: resume: status %d: %w", s.addr, resp.StatusCode, errUnknownStream)
	}
	s.scanner.Resume()
	return s.copyEvents(resp.Body, head)
}

// copyEvents passes on the complete events of one connection. It returns nil after the
// terminal event. An incomplete event at the end of the connection is not written.
func (s *stream) copyEvents(body io.Reader, head amaranthtide.AnswerHead) error {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buf := *pooled
	pending := 0 // bytes of the event in progress, already scanned
	for {
		if pending == len(buf) {
			if pending >= maxEventBytes {
				return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: event longer than %d bytes", s.addr, maxEventBytes)
			}
			buf = append(buf, make([]byte, len(buf))...)
		}
		n, readErr := body.Read(buf[pending:])
		complete, err := s.scanner.Scan(buf[pending : pending+n])
		if err != nil {
			return err
		}
		if complete > 0 {
			if err := s.write(head, buf[:pending+complete]); err != nil {
				return err
			}
			if s.scanner.Done() {
				s.drain(body)
				return nil
			}
			pending = copy(buf, buf[pending+complete:pending+n])
		} else {
			pending += n
		}
		if readErr != nil {
			return amaranthtide.Errorf(amaranthtide.KindTruncated, "engine %v: stream ended without its terminal event: %w", s.addr, readErr)
		}
	}
}

// write passes on events, with the head before the first of them.
func (s *stream) write(head amaranthtide.AnswerHead, b []byte) error {
	if !s.headWritten {
		s.headWritten = true
		if err := s.w.Head(head); err != nil {
			return errors.Join(errAnswerWriter, err)
		}
	}
	if err := s.w.Chunk(b); err != nil {
		return errors.Join(errAnswerWriter, err)
	}
	return nil
}

// drain reads the body to its end, so that the connection can be reused.
func (s *stream) drain(body io.Reader) {
	t := time.AfterFunc(drainTimeout, s.cancel)
	defer t.Stop()
	var b [64]byte
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{io.LimitReader(body, int64(len(b)))}, b[:])
}
