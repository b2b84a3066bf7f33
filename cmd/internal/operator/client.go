package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/operation"
)

const (
	dialTimeout     = 2 * time.Second
	maxResponseSize = 256 << 20
	maxHeaderSize   = 64 << 10
)

// client calls the HTTP API of the routers' consoles.
type client struct {
	routers []netip.AddrPort
	token   string
	http    *http.Client
}

func newClient(routers []netip.AddrPort, token string, timeout time.Duration) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{routers: routers, token: token, http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHeaderSize},
	}}
}

// refusalError is an error response of a router.
type refusalError struct{ operation.ErrorResponse }

// Error implements error.
func (r *refusalError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", r.Body.Error.Kind, r.Body.Error.Message)
	for _, row := range r.Fields {
		for _, f := range row.Fields {
			fmt.Fprintf(&b, "\n  row %s, field %s: value %q is not allowed; allowed: %s", row.Key, f.Field, f.Value, f.Allowed)
		}
	}
	if r.Conflict != nil {
		b.WriteString(conflictText(r.Conflict))
	}
	return b.String()
}

// get sends a GET request to the routers in turn until one responds.
func (c *client) get(ctx context.Context, path string, query url.Values, v any) error {
	var failures []error
	for _, router := range c.routers {
		err := c.call(ctx, router, http.MethodGet, path, query, nil, v)
		var r *refusalError
		if err == nil || errors.As(err, &r) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// change sends a batch of edits. It tries the next router only if no connection to
// the previous one was made, since otherwise the batch may have been accepted.
func (c *client) change(ctx context.Context, edits []amaranthtide.Edit, wait time.Duration) (operation.ChangeResponse, error) {
	var out operation.ChangeResponse
	body, err := operation.FromEdits(edits)
	if err != nil {
		return out, err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return out, err
	}
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	var failures []error
	for _, router := range c.routers {
		err := c.call(ctx, router, http.MethodPost, "/api/changes", query, data, &out)
		var r *refusalError
		var dial *net.OpError
		switch {
		case err == nil || errors.As(err, &r):
			return out, err
		case errors.As(err, &dial) && dial.Op == "dial":
			failures = append(failures, err)
		default:
			return out, fmt.Errorf("the change may have been accepted, see \"table log\": %w", err)
		}
	}
	return out, errors.Join(failures...)
}

func (c *client) call(ctx context.Context, router netip.AddrPort, method, path string, query url.Values, body []byte, v any) error {
	u := url.URL{Scheme: "http", Host: router.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("router %v: %w", router, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return fmt.Errorf("router %v: %w", router, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, v); err != nil {
			return fmt.Errorf("router %v: invalid response: %w", router, err)
		}
		return nil
	}
	var r refusalError
	if err := json.Unmarshal(data, &r.ErrorResponse); err != nil || r.Body.Error.Kind == "" {
		return fmt.Errorf("router %v: unexpected status %d", router, resp.StatusCode)
	}
	return &r
}

func (c *client) rows(ctx context.Context, kind amaranthtide.RowKind) (operation.Rows, error) {
	var rows operation.Rows
	query := url.Values{}
	if kind != "" {
		query.Set("kind", string(kind))
	}
	err := c.get(ctx, "/api/rows", query, &rows)
	return rows, err
}

func (c *client) row(ctx context.Context, key amaranthtide.RowKey) (amaranthtide.Row, bool, error) {
	var rows operation.Rows
	err := c.get(ctx, "/api/rows/"+key.String(), nil, &rows)
	if err != nil || len(rows.Rows) == 0 {
		return amaranthtide.Row{Key: key}, false, err
	}
	return rows.Rows[0], true, nil
}
