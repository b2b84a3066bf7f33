// Package httpclient holds what the HTTP clients below transport share: a configured
// http.Transport, a round trip that reports whether there was a connection, and the
// conversion of headers.
//
// # Usage
//
//	t := httpclient.NewTransport(httpclient.Options{})
//	resp, conn, err := httpclient.RoundTrip(t, req)
//	if err != nil && !conn.Established {
//		// Nothing was sent.
//	}
package httpclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/framing"
	"amaranthtide/protocol/notice"
	"amaranthtide/protocol/statusline"
	"amaranthtide/protocol/wire"
	"amaranthtide/state/memory"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the keep-alive time of common servers, so that most
	// idle connections are closed by the client and not by the server.
	idleTimeout    = 4 * time.Second
	maxIdlePerHost = 256
	maxHeaderBytes = 64 << 10
	// The buffers are small because a connection holds both as long as it is open, which
	// is the whole duration of a stream. Larger reads and writes bypass them.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// MaxBodyBytes is the limit for the body of an answer that is not streamed.
	MaxBodyBytes = 4 << 20
)

// Options are the settings that differ between transports.
type Options struct {
	// DisableKeepAlives opens a new connection for each request.
	DisableKeepAlives bool
}

// NewTransport returns an http.Transport that uses neither compression nor the proxies
// of the environment.
func NewTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      o.DisableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}
}

// NewRequest returns a request without GetBody, so that net/http can't send the
// body twice. The path must be escaped.
func NewRequest(ctx context.Context, method string, addr netip.AddrPort, path, query string, body []byte) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: addr.String(), RawQuery: query}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "invalid path: %w", err)
	}
	u.Path, u.RawPath = decoded, path
	req := &http.Request{
		Method: method, URL: u, Host: u.Host, Header: make(http.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	return req.WithContext(ctx), nil
}

// Connection describes the connection that a request was sent on.
type Connection struct {
	// Established is false if there was no connection, so that nothing was sent.
	Established bool
	// Reused is set if the connection had carried another request before. A copy of that
	// request's answer may still arrive on it.
	Reused bool
}

// RoundTrip sends req and describes its connection. It doesn't follow redirects. A response with a status
// that HTTP doesn't have is an error.
func RoundTrip(transport *http.Transport, req *http.Request) (resp *http.Response, conn Connection, err error) {
	var established, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		established.Store(true)
		reused.Store(info.Reused)
	}}
	resp, err = transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	conn = Connection{Established: established.Load(), Reused: reused.Load()}
	if err != nil {
		return nil, conn, err
	}
	if err := statusline.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, conn, err
	}
	return resp, conn, nil
}

// Answers reports whether an answer that came on the connection belongs to the attempt: it
// repeats the attempt in the given header, or names none and the connection has carried no other
// request.
func (c Connection) Answers(resp *http.Response, attemptHeader string, attempt amaranthtide.AttemptID) bool {
	echoed := resp.Header.Get(attemptHeader)
	return echoed == string(attempt) || echoed == "" && !c.Reused
}

// hopByHopFields holds the canonical names of the hop-by-hop header fields (RFC 9110,
// section 7.6.1).
var hopByHopFields = amaranthtide.NewSet(
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
)

// CopyHeader adds the fields to h, except for hop-by-hop fields, those named by
// Connection, Host and Content-Length.
func CopyHeader(h http.Header, fields []amaranthtide.HeaderField) {
	perConnection := connectionFields(fields)
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if hopByHopFields.Has(name) || perConnection.Has(name) || name == "Host" || name == "Content-Length" {
			continue
		}
		h[name] = append(h[name], f.Value)
	}
}

// EndToEndFields returns the fields of h, except for hop-by-hop fields and those named by
// Connection.
func EndToEndFields(h http.Header) []amaranthtide.HeaderField {
	fields := make([]amaranthtide.HeaderField, 0, len(h))
	perConnection := amaranthtide.NewSet[string]()
	for _, v := range h["Connection"] {
		addFieldNames(perConnection, v)
	}
	for name, values := range h {
		if hopByHopFields.Has(name) || perConnection.Has(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, amaranthtide.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// connectionFields returns the names listed in the Connection fields.
func connectionFields(fields []amaranthtide.HeaderField) amaranthtide.Set[string] {
	names := amaranthtide.NewSet[string]()
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Connection") {
			addFieldNames(names, f.Value)
		}
	}
	return names
}

// addFieldNames adds the canonical names of a comma-separated list to s.
func addFieldNames(s amaranthtide.Set[string], list string) {
	for name := range strings.SplitSeq(list, ",") {
		s.Add(http.CanonicalHeaderKey(strings.TrimSpace(name)))
	}
}

// ReadBody reads a body of at most limit bytes and checks that it is complete: it has
// the announced length, or its chunked coding has ended. The error is KindTruncated if
// reading fails, or if only the end of the connection marks the end of the body, since
// that can't be told from a truncation. It is KindBackendFailed if the body exceeds the
// limit.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, errTooLong(limit)
	}
	if framing.OfResponse(resp) == framing.ConnectionClose {
		return nil, amaranthtide.Errorf(amaranthtide.KindTruncated, "answer has neither a Content-Length nor chunked coding")
	}
	var buf bytes.Buffer
	buf.Grow(int(max(resp.ContentLength, 0)) + bytes.MinRead)
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindTruncated, "answer truncated after %d bytes: %w", n, err)
	}
	if n > limit {
		return nil, errTooLong(limit)
	}
	return buf.Bytes(), nil
}

// ReadCounted reads a body of up to MaxBodyBytes like ReadBody, and counts its bytes in m until
// release is called. The server has run the request, so that they are counted even if memory is
// short.
func ReadCounted(resp *http.Response, m *memory.Budget) (body []byte, release func(), err error) {
	announced := min(max(resp.ContentLength, 0), MaxBodyBytes)
	m.Take(announced)
	body, err = ReadBody(resp, MaxBodyBytes)
	more := max(int64(cap(body))-announced, 0)
	m.Take(more)
	return body, func() { m.Release(announced + more) }, err
}

func errTooLong(limit int64) error {
	return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "answer is longer than %d bytes", limit)
}

// Refusal returns the error for an answer which says that the request was not run, and
// nil for any other answer. The caller passes the names of the headers, which package
// protocol/wire defines.
func Refusal(resp *http.Response, notRunHeader, reasonHeader string) error {
	if resp.StatusCode < http.StatusBadRequest || resp.Header.Get(notRunHeader) != "true" {
		return nil
	}
	reason := resp.Header.Get(reasonHeader)
	kind := amaranthtide.KindFull
	for _, k := range []amaranthtide.Kind{amaranthtide.KindLeaving, amaranthtide.KindUnknownModel} {
		if reason == k.String() {
			kind = k
		}
	}
	return amaranthtide.Errorf(kind, "refused as not run: status %d %s", resp.StatusCode, reason)
}

var noticeReader = notice.Reader{LeavingHeader: wire.HeaderLeaving, LimitHeader: wire.HeaderLimit}

// ReportNotice passes what the server says of itself in the head of a response to w if that is an
// amaranthtide.NoticeWriter. The response must belong to the request. Retry-After
// counts only in a refusal: in any other response it may be meant for the caller.
func ReportNotice(w amaranthtide.AnswerWriter, resp *http.Response, refusal error) {
	receiver, ok := w.(amaranthtide.NoticeWriter)
	if !ok {
		return
	}
	now, status := time.Now(), resp.StatusCode
	if refusal == nil {
		status = http.StatusOK
	}
	receiver.Notice(now, noticeReader.Read(now, status, resp.Header))
}
