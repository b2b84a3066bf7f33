// Package where implements the command that asks a router where it would send a request now, and
// why. The router decides without sending the request.
//
// # Usage
//
//	q := where.Question{Router: netip.MustParseAddrPort("10.0.0.1:9464"), Host: "shop.example", Path: "/chat",
//		Header: []string{"Accept: text/event-stream"}}
//	e, err := q.Ask(ctx)
//	err = where.Print(os.Stdout, e)
package where

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
)

const (
	timeout = 5 * time.Second
	// maxAnswerBytes bounds the answer of a router with thousands of servers.
	maxAnswerBytes = 16 << 20
)

// Question describes a request, and the router that is asked about it.
type Question struct {
	// Router is the metrics address of the router.
	Router             netip.AddrPort
	Method, Host, Path string
	// Header holds the header fields of the request, each as "NAME: VALUE". They are sent as header
	// fields, so that the key of a caller is in no URL.
	Header    []string
	BodyBytes int
}

// Ask returns the answer of the router.
func (q Question) Ask(ctx context.Context) (amaranthtide.Explanation, error) {
	var e amaranthtide.Explanation
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "bodyBytes": {strconv.Itoa(q.BodyBytes)}}
	u := url.URL{Scheme: "http", Host: q.Router.String(), Path: "/where", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return e, amaranthtide.Errorf(amaranthtide.KindInternal, "router %s: %w", q.Router, err)
	}
	for _, field := range q.Header {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			// The field isn't part of the message, since it may be a key.
			return e, amaranthtide.Errorf(amaranthtide.KindBadRequest, "header field without a colon: want NAME: VALUE")
		}
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return e, amaranthtide.Errorf(amaranthtide.KindNoBackend, "router %s: %w", q.Router, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return e, amaranthtide.Errorf(amaranthtide.KindTruncated, "router %s: %w", q.Router, err)
	}
	if resp.StatusCode != http.StatusOK {
		return e, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "router %s: status %d: %s", q.Router, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return e, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "router %s: %w", q.Router, err)
	}
	return e, nil
}
