// Package service is the client of plain services over HTTP.
//
// # Usage
//
//	c := service.New()
//	defer c.Close()
//	err := c.Serve(ctx, addr, req, w) // nil only after the complete answer
//
// A request that may not be repeated is sent at most once: it uses a new connection,
// redirects are not followed, and net/http can't resend the body. If such a request
// was sent on a connection but got no complete answer, the error is KindOutcomeUnknown.
package service

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"amaranthtide"
	"amaranthtide/protocol/wire"
	"amaranthtide/state/memory"
	"amaranthtide/transport/internal/httpclient"
)

// Client implements amaranthtide.Backend for plain services. It is safe for concurrent
// use.
type Client struct {
	pooled    *http.Transport
	singleUse *http.Transport
	memory    *memory.Budget
}

var _ amaranthtide.Backend = (*Client)(nil)

// New returns a client. It opens no connection until the first request.
func New() *Client { return NewCounting(memory.New(0)) }

// NewCounting is like New for a client that counts the answers that it buffers in m.
func NewCounting(m *memory.Budget) *Client {
	return &Client{
		memory:    m,
		pooled:    httpclient.NewTransport(httpclient.Options{}),
		singleUse: httpclient.NewTransport(httpclient.Options{DisableKeepAlives: true}),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Serve implements amaranthtide.Backend. It writes the service's answer to w once the
// answer is complete, whatever its status; an answer that is marked as not run is
// returned as an error instead. The request's path is in escaped form; an empty path
// stands for "/".
func (c *Client) Serve(ctx context.Context, addr netip.AddrPort, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	path := req.Path
	if path == "" {
		path = "/"
	}
	r, err := httpclient.NewRequest(ctx, req.Method, addr, path, req.Query, req.Body)
	if err != nil {
		return err
	}
	httpclient.CopyHeader(r.Header, req.Header)
	r.Header[wire.HeaderAttempt] = []string{string(req.Attempt)}
	transport := c.pooled
	if !req.Repeatable() {
		transport = c.singleUse
		r.Header["Idempotency-Key"] = []string{string(req.Key)}
	}
	resp, conn, err := httpclient.RoundTrip(transport, r)
	if err != nil {
		return requestError(ctx, addr, req, conn.Established, err)
	}
	defer func() { _ = resp.Body.Close() }()
	refusal := httpclient.Refusal(resp, wire.HeaderNotRun, wire.HeaderReason)
	belongs := conn.Answers(resp, wire.HeaderAttempt, req.Attempt)
	if belongs {
		httpclient.ReportNotice(w, resp, refusal)
	}
	switch echoed := resp.Header.Get(wire.HeaderAttempt); {
	case echoed != "" && echoed != string(req.Attempt), refusal != nil && !belongs:
		// It may be a late copy of the answer to the request before. This request may be running.
		return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "service %v: answer of attempt %q, want %q", addr, echoed, req.Attempt)
	case refusal != nil:
		return refusal
	}
	body, release, err := httpclient.ReadCounted(resp, c.memory)
	defer release()
	if err != nil {
		return requestError(ctx, addr, req, true, err)
	}
	head := amaranthtide.AnswerHead{Attempt: req.Attempt, Status: resp.StatusCode, Header: httpclient.EndToEndFields(resp.Header)}
	if err := w.Head(head); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "write answer: %w", err)
	}
	if err := w.Chunk(body); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "write answer: %w", err)
	}
	return nil
}

// requestError returns the error of a request that got no complete answer. Its kind
// depends on whether the request may have run.
func requestError(ctx context.Context, addr netip.AddrPort, req *amaranthtide.Request, connected bool, err error) error {
	kind := amaranthtide.KindBackendFailed
	switch cause := ctx.Err(); {
	case !connected && errors.Is(cause, context.Canceled):
		kind = amaranthtide.KindCanceled
	case !connected:
		kind = amaranthtide.KindNoBackend
	case !req.Repeatable():
		kind = amaranthtide.KindOutcomeUnknown
	case errors.Is(cause, context.DeadlineExceeded):
		kind = amaranthtide.KindOutcomeUnknown
	case cause != nil:
		kind = amaranthtide.KindCanceled
	case amaranthtide.IsKind(err, amaranthtide.KindTruncated):
		kind = amaranthtide.KindTruncated
	}
	return amaranthtide.Errorf(kind, "service %v: %w", addr, err)
}
