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
	// bufferBytes holds a few events of a token each. Every stream in flight holds a
	// buffer, so it is small. Longer events get a larger one while they pass.
	bufferBytes = 1 << 10
	// maxEvent bounds one event, which may have several lines.
	maxEvent = 2 * completion.MaxLine
	// drainTimeout bounds the wait for the end of the body after the terminal event,
	// which lets the connection be used again.
	drainTimeout = 100 * time.Millisecond
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// errWriter marks errors of the AnswerWriter.
var errWriter = errors.New("answer writer failed")

// stream passes one streamed answer on, over all its connections.
type stream struct {
	client  *Client
	cancel  context.CancelFunc
	addr    netip.AddrPort
	req     *amaranthtide.Request
	w       amaranthtide.AnswerWriter
	scanner completion.Scanner
	// shown tells whether the head was written.
	shown bool
}

// run passes on the answer that begins with resp.
func (s *stream) run(ctx context.Context, resp *http.Response) error {
	first := head(s.req, resp)
	resumable := resp.Header.Get(wire.HeaderResumable) == "true"
	err := s.copy(resp.Body, first)
	for try := 0; err != nil && resumable && s.mayResume(ctx, err, try); try++ {
		err = s.resume(ctx, first, try, err)
	}
	if err == nil {
		return nil
	}
	if resumable && (ctx.Err() != nil || errors.Is(err, errWriter)) {
		s.client.cancelAt(ctx, s.addr, s.req.Attempt)
	}
	if errors.Is(err, errWriter) {
		return callerGone(err)
	}
	return contextual(ctx, err)
}

// errLost means that the engine no longer knows the stream.
var errLost = errors.New("stream is not known to the engine")

func (s *stream) mayResume(ctx context.Context, err error, try int) bool {
	if ctx.Err() != nil || try >= s.client.cfg.Resumes {
		return false
	}
	if errors.Is(err, errWriter) || errors.Is(err, errLost) || amaranthtide.IsKind(err, amaranthtide.KindBackendFailed) {
		return false
	}
	// Events without identifiers that were shown can't be told from later ones.
	return !s.shown || s.scanner.LastID() != ""
}

// resume makes one try to read the events after the last whole one. It keeps the
// earlier error if there is no connection.
func (s *stream) resume(ctx context.Context, first amaranthtide.AnswerHead, try int, earlier error) error {
	if try > 0 {
		t := time.NewTimer(time.Duration(try) * resumePause)
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
	resp, _, err := httpclient.RoundTrip(s.client.transport, r)
	if err != nil {
		return earlier
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || !ownAttempt(resp, s.req) {
		return amaranthtide.Errorf(amaranthtide.KindTruncated, "engine %v: resume: status %d: %w", s.addr, resp.StatusCode, errLost)
	}
	s.scanner.Resume()
	return s.copy(resp.Body, first)
}

// copy passes on the whole events of one connection. It returns nil after the
// terminal event. An event that the connection cut is not shown.
func (s *stream) copy(body io.Reader, first amaranthtide.AnswerHead) error {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buf := *pooled
	held := 0 // bytes of the event in progress, already scanned
	for {
		if held == len(buf) {
			if held >= maxEvent {
				return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: event longer than %d bytes", s.addr, maxEvent)
			}
			buf = append(buf, make([]byte, len(buf))...)
		}
		n, readErr := body.Read(buf[held:])
		end, err := s.scanner.Scan(buf[held : held+n])
		if err != nil {
			return err
		}
		if end > 0 {
			if err := s.show(first, buf[:held+end]); err != nil {
				return err
			}
			if s.scanner.Done() {
				s.drain(body)
				return nil
			}
			held = copy(buf, buf[held+end:held+n])
		} else {
			held += n
		}
		if readErr != nil {
			return amaranthtide.Errorf(amaranthtide.KindTruncated, "engine %v: stream ended without its terminal event: %w", s.addr, readErr)
		}
	}
}

func (s *stream) show(first amaranthtide.AnswerHead, b []byte) error {
	if !s.shown {
		s.shown = true
		if err := s.w.Head(first); err != nil {
			return errors.Join(errWriter, err)
		}
	}
	if err := s.w.Chunk(b); err != nil {
		return errors.Join(errWriter, err)
	}
	return nil
}

// drain reads the end of the body, so that its connection can be used again.
func (s *stream) drain(body io.Reader) {
	t := time.AfterFunc(drainTimeout, s.cancel)
	defer t.Stop()
	var b [64]byte
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{io.LimitReader(body, int64(len(b)))}, b[:])
}
