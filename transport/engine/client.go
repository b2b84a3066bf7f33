// Package engine is the client of model engines: chat completions, load reports
// and orders over HTTP.
//
// # Usage
//
//	c := engine.New(engine.Config{})
//	defer c.Close()
//	err := c.Serve(ctx, addr, req, w) // nil only after the whole answer
//	report, err := c.Load(ctx, addr)
//
// For streamed answers, each call of AnswerWriter.Chunk gets one or more complete events.
// The head is written with the first event, so that a request whose engine fails before
// that can still be run elsewhere. A stream that breaks off before "data: [DONE]" is
// resumed if the engine supports it. AnswerHead.Server is left empty, since the client
// knows only addresses. The HTTP protocol is documented in package standin/engine.
package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/wire"
	"amaranthtide/state/memory"
	"amaranthtide/transport/internal/httpclient"
)

const (
	// DefaultControlTimeout limits the request for a load report.
	DefaultControlTimeout = time.Second
	// DefaultOrderTimeout limits an order without a deadline.
	DefaultOrderTimeout = 5 * time.Minute
	// DefaultMaxResumes is the number of attempts to resume one answer.
	DefaultMaxResumes = 3
	// cancelTimeout limits the wait for an engine to confirm a cancellation. Until then
	// the owner counts the request as in flight, and it isn't run at another engine.
	cancelTimeout = 500 * time.Millisecond
	// resumeBackoff is the pause before the second attempt to resume an answer; later
	// pauses are multiples of it.
	resumeBackoff   = 50 * time.Millisecond
	maxControlBytes = 64 << 10

	completionsPath = "/v1/chat/completions"
	streamsPath     = "/v1/streams/"
)

// Config holds the settings of a Client. Zero values mean the defaults.
type Config struct {
	// ControlTimeout limits the request for a load report.
	ControlTimeout time.Duration
	// MaxResumes is the number of attempts to resume one answer; negative is none.
	MaxResumes int
	// Memory counts the answers that are buffered; nil is a budget without a limit.
	Memory *memory.Budget
}

// Client implements amaranthtide.Backend and amaranthtide.EngineControl. It is safe
// for concurrent use.
type Client struct {
	cfg Config
	// completions keeps its connections. An engine repeats the attempt in the answer to a
	// completion, so that a second copy of an earlier answer isn't taken for it.
	completions *http.Transport
	// control opens a connection for each other call. Answers to orders, cancellations and reads of
	// the load repeat no identifier, and a resumption has the identifier of its completion; on a
	// connection that has carried another call, a copy of that call's answer could be taken for theirs.
	control *http.Transport
}

var (
	_ amaranthtide.Backend       = (*Client)(nil)
	_ amaranthtide.EngineControl = (*Client)(nil)
)

// New returns a client without connections.
func New(cfg Config) *Client {
	cfg.ControlTimeout = cmp.Or(cfg.ControlTimeout, DefaultControlTimeout)
	if cfg.Memory == nil {
		cfg.Memory = memory.New(0)
	}
	cfg.MaxResumes = cmp.Or(cfg.MaxResumes, DefaultMaxResumes)
	return &Client{
		cfg:         cfg,
		completions: httpclient.NewTransport(httpclient.Options{}),
		control:     httpclient.NewTransport(httpclient.Options{DisableKeepAlives: true}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.completions.CloseIdleConnections() }

// Serve implements amaranthtide.Backend. Answers with a status below 500 are passed on
// to w, unless they say that the request was not run; others are returned as errors. An
// attempt that is given up is canceled at the engine before Serve returns.
func (c *Client) Serve(ctx context.Context, addr netip.AddrPort, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	ended, err := c.serve(ctx, addr, req, w)
	if !ended {
		c.cancelAttempt(ctx, addr, req.Attempt)
	}
	return err
}

// serve sends the request and passes on its answer. ended is true if the engine no longer works
// on the attempt: nothing was sent, the engine did not run it, or the answer is complete.
func (c *Client) serve(ctx context.Context, addr netip.AddrPort, req *amaranthtide.Request, w amaranthtide.AnswerWriter) (ended bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, conn, err := c.post(ctx, addr, req)
	if err != nil {
		return !conn.Established, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !conn.Answers(resp, wire.HeaderAttempt, req.Attempt) {
		// It may be a late copy of the answer to the request before. This request may be running.
		return false, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: answer of attempt %q, want %q",
			addr, resp.Header.Get(wire.HeaderAttempt), req.Attempt)
	}
	refusal := httpclient.Refusal(resp, wire.HeaderNotRun, wire.HeaderReason)
	httpclient.ReportNotice(w, resp, refusal)
	if refusal != nil {
		return true, refusal
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return false, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: status %d", addr, resp.StatusCode)
	}
	isError := resp.StatusCode >= http.StatusBadRequest
	if !isError && !isOwnAnswer(resp, req) {
		return false, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: answer of attempt %q, want %q",
			addr, resp.Header.Get(wire.HeaderAttempt), req.Attempt)
	}
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if !isError && isStream != req.Stream {
		return false, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: content type %q for stream %v",
			addr, resp.Header.Get("Content-Type"), req.Stream)
	}
	if isStream {
		s := stream{client: c, cancel: cancel, addr: addr, req: req, w: w}
		err := s.run(ctx, resp)
		return s.scanner.Done(), err
	}
	return c.writeWhole(ctx, req, resp, w)
}

// isOwnAnswer reports whether the answer names the attempt of the request.
func isOwnAnswer(resp *http.Response, req *amaranthtide.Request) bool {
	return resp.Header.Get(wire.HeaderAttempt) == string(req.Attempt)
}

// writeWhole passes on an answer that is not streamed. Nothing is written if the answer
// is truncated. complete is true if the whole answer has arrived.
func (c *Client) writeWhole(ctx context.Context, req *amaranthtide.Request, resp *http.Response, w amaranthtide.AnswerWriter) (complete bool, err error) {
	body, release, err := httpclient.ReadCounted(resp, c.cfg.Memory)
	defer release()
	if err != nil {
		return false, contextError(ctx, err)
	}
	if err := w.Head(answerHead(req, resp)); err != nil {
		return true, callerWriteError(err)
	}
	if err := w.Chunk(body); err != nil {
		return true, callerWriteError(err)
	}
	return true, nil
}

func answerHead(req *amaranthtide.Request, resp *http.Response) amaranthtide.AnswerHead {
	return amaranthtide.AnswerHead{Attempt: req.Attempt, Status: resp.StatusCode, Header: httpclient.EndToEndFields(resp.Header)}
}

func callerWriteError(err error) error {
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "write the answer: %w", err)
}

// contextError returns the error of a request whose context ended, which may still run
// at the engine, and err if the context has not ended.
func contextError(ctx context.Context, err error) error {
	switch cause := ctx.Err(); {
	case cause == nil:
		return err
	case errors.Is(cause, context.DeadlineExceeded):
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "deadline passed: %w", err)
	default:
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "canceled: %w", err)
	}
}

// post sends the request and returns the head of an answer, and the connection that it came on.
func (c *Client) post(ctx context.Context, addr netip.AddrPort, req *amaranthtide.Request) (*http.Response, httpclient.Connection, error) {
	r, err := httpclient.NewRequest(ctx, http.MethodPost, addr, completionsPath, "", req.Body)
	if err != nil {
		return nil, httpclient.Connection{}, err
	}
	httpclient.CopyHeader(r.Header, req.Header)
	// The caller's credentials are meant for the router only. With an idempotency key,
	// net/http would resend the request on its own.
	for _, name := range []string{"Authorization", "Idempotency-Key", "X-Idempotency-Key", wire.HeaderLastEventID} {
		delete(r.Header, name)
	}
	r.Header["Content-Type"] = []string{"application/json"}
	r.Header[wire.HeaderAttempt] = []string{string(req.Attempt)}
	if req.Class == amaranthtide.ClassQuick {
		r.Header[wire.HeaderPriority] = []string{"1"}
	}
	resp, conn, err := httpclient.RoundTrip(c.completions, r)
	switch {
	case err == nil:
		return resp, conn, nil
	case !conn.Established:
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, conn, amaranthtide.Errorf(amaranthtide.KindCanceled, "engine %v: %w", addr, err)
		}
		return nil, conn, amaranthtide.Errorf(amaranthtide.KindNoBackend, "engine %v: %w", addr, err)
	default:
		return nil, conn, contextError(ctx, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "engine %v: %w", addr, err))
	}
}

// cancelAttempt asks the engine to cancel the attempt. Closing the connection isn't
// enough, since the engine keeps a resumable stream running for a while.
func (c *Client) cancelAttempt(ctx context.Context, addr netip.AddrPort, attempt amaranthtide.AttemptID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	resp, _, err := c.call(ctx, http.MethodDelete, addr, streamsPath+string(attempt), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// call sends a request other than a completion and reports whether it had a connection.
func (c *Client) call(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (*http.Response, bool, error) {
	r, err := httpclient.NewRequest(ctx, method, addr, path, "", body)
	if err != nil {
		return nil, false, err
	}
	resp, conn, err := httpclient.RoundTrip(c.control, r)
	return resp, conn.Established, err
}

// Load implements amaranthtide.EngineControl. Errors are KindNoBackend if there was no
// connection, and KindBackendFailed otherwise.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (amaranthtide.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ControlTimeout)
	defer cancel()
	var zero amaranthtide.EngineReport
	resp, connected, err := c.call(ctx, http.MethodGet, addr, "/load", nil)
	if err != nil {
		kind := amaranthtide.KindNoBackend
		if connected {
			kind = amaranthtide.KindBackendFailed
		}
		return zero, amaranthtide.Errorf(kind, "load of engine %v: %w", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return zero, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "load of engine %v: status %d", addr, resp.StatusCode)
	}
	body, err := httpclient.ReadBody(resp, maxControlBytes)
	if err != nil {
		return zero, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "load of engine %v: %w", addr, err)
	}
	var report wire.EngineReport
	if err := json.Unmarshal(body, &report); err != nil {
		return zero, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "load of engine %v: %w", addr, err)
	}
	return report.ToDomain(), nil
}

// Order implements amaranthtide.EngineControl. Errors are KindFenced if the fencing
// number is outdated, KindNoBackend if nothing was sent, KindBackendFailed if the engine
// answered that the order failed, KindOutcomeUnknown if there was no answer, and the kind
// of the refusal if the engine did not run the order.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o amaranthtide.Order) error {
	body, err := json.Marshal(wire.Order(o))
	if err != nil {
		return amaranthtide.Errorf(amaranthtide.KindBadRequest, "encode order: %w", err)
	}
	var cancel context.CancelFunc
	if o.Deadline.IsZero() {
		ctx, cancel = context.WithTimeout(ctx, DefaultOrderTimeout)
	} else {
		ctx, cancel = context.WithDeadline(ctx, o.Deadline)
	}
	defer cancel()
	resp, connected, err := c.call(ctx, http.MethodPost, addr, "/orders", body)
	switch {
	case err != nil && !connected:
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "order to engine %v: %w", addr, err)
	case err != nil:
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "order to engine %v: %w", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := httpclient.Refusal(resp, wire.HeaderNotRun, wire.HeaderReason); err != nil {
		return err
	}
	switch s := resp.StatusCode; {
	case s < http.StatusMultipleChoices:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes))
		return nil
	case s == http.StatusConflict:
		return amaranthtide.Errorf(amaranthtide.KindFenced, "order to engine %v: fencing number %d is outdated", addr, o.Fencing)
	default:
		return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "order to engine %v: status %d", addr, s)
	}
}
