// Package httpclient holds what the HTTP clients of package transport share: a
// tuned http.Transport, the knowledge whether a connection was made, and the
// translation of headers.
//
// # Usage
//
//	t := httpclient.NewTransport(httpclient.Options{})
//	resp, connected, err := httpclient.RoundTrip(t, req)
//	if err != nil && !connected {
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
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the keep-alive time of common servers, so that the
	// client rather than the server ends most idle connections.
	idleTimeout    = 4 * time.Second
	maxIdlePerHost = 256
	maxHeaderBytes = 64 << 10
	// Each connection holds both buffers as long as it is open, that is, for the whole
	// of a stream. Reads and writes of larger pieces go past them.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// MaxBody bounds the body of a whole answer.
	MaxBody = 4 << 20
)

// Options select what differs between transports.
type Options struct {
	// Fresh makes a new connection for each request and never reuses it.
	Fresh bool
}

// NewTransport returns an http.Transport without compression and without the
// proxies of the environment.
func NewTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      o.Fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}
}

// NewRequest returns a request without GetBody, so that net/http can't send the
// body twice. The path must be in its escaped form.
func NewRequest(ctx context.Context, method string, addr netip.AddrPort, path, query string, body []byte) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: addr.String(), RawQuery: query}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "path: %w", err)
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

// RoundTrip sends req and tells whether it had a connection. If not, nothing was
// sent. Redirects are not followed.
func RoundTrip(transport *http.Transport, req *http.Request) (resp *http.Response, connected bool, err error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	resp, err = transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, gotConn.Load(), err
}

// hopByHopFields are the headers that concern one connection, in canonical form.
var hopByHopFields = amaranthtide.NewSet(
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
)

// CopyHeader adds the fields to h, but for those that concern one connection, the
// host, the length, and the fields that Connection names.
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

// Fields returns the fields of h, but for those that concern one connection.
func Fields(h http.Header) []amaranthtide.HeaderField {
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

func connectionFields(fields []amaranthtide.HeaderField) amaranthtide.Set[string] {
	names := amaranthtide.NewSet[string]()
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Connection") {
			addFieldNames(names, f.Value)
		}
	}
	return names
}

func addFieldNames(s amaranthtide.Set[string], list string) {
	for name := range strings.SplitSeq(list, ",") {
		s.Add(http.CanonicalHeaderKey(strings.TrimSpace(name)))
	}
}

// ReadWhole reads a body of at most limit bytes and checks that it is whole: it
// has its announced length, or its chunked coding ended. An answer that ends with
// its connection can't be told from a cut one and is KindTruncated, as is a body
// that can't be read. A body above the limit is KindBackendFailed.
func ReadWhole(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, errTooLong(limit)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, amaranthtide.Errorf(amaranthtide.KindTruncated, "answer has neither a length nor chunked coding")
	}
	var buf bytes.Buffer
	buf.Grow(int(max(resp.ContentLength, 0)) + bytes.MinRead)
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindTruncated, "answer cut after %d bytes: %w", n, err)
	}
	if n > limit {
		return nil, errTooLong(limit)
	}
	return buf.Bytes(), nil
}

func errTooLong(limit int64) error {
	return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "answer longer than %d bytes", limit)
}

// Refusal returns the error for an answer that says that the request was not run,
// or nil for any other answer. The header names are those of package protocol/wire.
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
