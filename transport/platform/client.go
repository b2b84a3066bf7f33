// Package platform is the client of the platform's table service, object store,
// list of VMs and weight store.
//
// # Usage
//
//	c := platform.New(platform.Config{Addr: addr})
//	defer c.Close()
//	versions, err := c.Commit(ctx, t)
//	switch amaranthtide.KindOf(err) {
//	case amaranthtide.KindConflict:       // a condition did not hold
//	case amaranthtide.KindPlatformDown:   // the transaction was not applied
//	case amaranthtide.KindOutcomeUnknown: // may have been applied; read the row's token
//	}
//
// The HTTP protocol is documented in package standin/platform.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/wire"
	"amaranthtide/transport/internal/httpclient"
)

const (
	// DefaultTimeout is the default time limit of one call.
	DefaultTimeout = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	Addr netip.AddrPort
	// Timeout is the time limit of one call; 0 is DefaultTimeout.
	Timeout time.Duration
}

// Client implements amaranthtide.TableService, ObjectStore, VMList and WeightStore.
// It never retries a call. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

var (
	_ amaranthtide.TableService = (*Client)(nil)
	_ amaranthtide.ObjectStore  = (*Client)(nil)
	_ amaranthtide.VMList       = (*Client)(nil)
	_ amaranthtide.WeightStore  = (*Client)(nil)
)

// New returns a client. It opens no connection until the first call.
func New(cfg Config) *Client {
	cfg.Timeout = cmp.Or(cfg.Timeout, DefaultTimeout)
	return &Client{cfg: cfg, transport: httpclient.NewTransport(httpclient.Options{})}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// apiCall describes one HTTP request to the platform.
type apiCall struct {
	method, path string
	query        url.Values
	body         []byte
	// mutates is true if the call changes state on the platform. If its answer is lost,
	// the outcome is unknown.
	mutates bool
}

// do makes the call and returns the status and body of an answer with status 404 or a
// status below 300. All other outcomes are errors of the kinds that
// amaranthtide.TableService documents.
func (c *Client) do(ctx context.Context, call apiCall) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	transportError := func(connected bool, err error) error {
		if call.mutates && connected {
			return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "platform: %s %s: %w", call.method, call.path, err)
		}
		return amaranthtide.Errorf(amaranthtide.KindPlatformDown, "platform: %s %s: %w", call.method, call.path, err)
	}
	req, err := httpclient.NewRequest(ctx, call.method, c.cfg.Addr, call.path, call.query.Encode(), call.body)
	if err != nil {
		return 0, nil, err
	}
	resp, conn, err := httpclient.RoundTrip(c.transport, req)
	if err != nil {
		return 0, nil, transportError(conn.Established, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := httpclient.ReadBody(resp, maxAnswerBytes)
	if err != nil && resp.StatusCode != http.StatusNoContent {
		return 0, nil, transportError(true, err)
	}
	switch s := resp.StatusCode; {
	case s < http.StatusMultipleChoices, s == http.StatusNotFound:
		return s, body, nil
	case s == http.StatusConflict:
		return s, nil, amaranthtide.Errorf(amaranthtide.KindConflict, "platform: %s %s: a condition did not hold", call.method, call.path)
	case s == http.StatusBadRequest:
		return s, nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "platform: %s %s: %s", call.method, call.path, body)
	case s == http.StatusTooManyRequests, s == http.StatusServiceUnavailable:
		// The platform guarantees that calls with these statuses had no effect.
		return s, nil, amaranthtide.Errorf(amaranthtide.KindPlatformDown, "platform: %s %s: status %d", call.method, call.path, s)
	default:
		return s, nil, transportError(true, amaranthtide.Errorf(amaranthtide.KindInternal, "status %d", s))
	}
}

// decode decodes the answer to a call. If the answer to a mutating call is malformed,
// the outcome of the call is unknown.
func decode[T any](call apiCall, body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		kind := amaranthtide.KindPlatformDown
		if call.mutates {
			kind = amaranthtide.KindOutcomeUnknown
		}
		return v, amaranthtide.Errorf(kind, "platform: answer to %s %s: %w", call.method, call.path, err)
	}
	return v, nil
}

func unexpectedStatus(call apiCall, status int) error {
	kind := amaranthtide.KindPlatformDown
	if call.mutates {
		kind = amaranthtide.KindOutcomeUnknown
	}
	return amaranthtide.Errorf(kind, "platform: %s %s: unexpected status %d", call.method, call.path, status)
}

// Do makes a call to the table service that a state machine of the coordination layer
// asked for: a commit, or else a read of one row.
func (c *Client) Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult {
	var out amaranthtide.TableResult
	if t, ok := call.Transaction.Get(); ok {
		out.Versions, out.Err = c.Commit(ctx, t)
		return out
	}
	out.Row, out.Err = c.Get(ctx, call.Key)
	return out
}

// Commit implements amaranthtide.TableService.
func (c *Client) Commit(ctx context.Context, t amaranthtide.Transaction) ([]amaranthtide.RowVersion, error) {
	body, err := json.Marshal(wire.FromTransaction(t))
	if err != nil {
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "platform: encode transaction: %w", err)
	}
	call := apiCall{method: http.MethodPost, path: "/table/commit", body: body, mutates: true}
	status, body, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, unexpectedStatus(call, status)
	}
	got, err := decode[wire.CommitResponse](call, body)
	if err == nil && len(got.Versions) != len(t.Writes) {
		err = amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "platform: commit answered %d versions, want %d", len(got.Versions), len(t.Writes))
	}
	if err != nil {
		return nil, err
	}
	return got.Versions, nil
}

// Get implements amaranthtide.TableService.
func (c *Client) Get(ctx context.Context, key amaranthtide.StoredKey) (amaranthtide.Option[amaranthtide.StoredRow], error) {
	none := amaranthtide.None[amaranthtide.StoredRow]()
	call := apiCall{method: http.MethodGet, path: "/table/row", query: url.Values{"key": {string(key)}}}
	status, body, err := c.do(ctx, call)
	if err != nil || status == http.StatusNotFound {
		return none, err
	}
	row, err := decode[wire.Row](call, body)
	if err != nil {
		return none, err
	}
	return amaranthtide.Some(amaranthtide.StoredRow(row)), nil
}

// List implements amaranthtide.TableService. The platform may return fewer rows than
// limit although more follow. Only an empty page marks the end.
func (c *Client) List(ctx context.Context, prefix, after amaranthtide.StoredKey, limit int) ([]amaranthtide.StoredRow, error) {
	call := apiCall{method: http.MethodGet, path: "/table/rows", query: url.Values{
		"prefix": {string(prefix)}, "after": {string(after)}, "limit": {strconv.Itoa(limit)},
	}}
	status, body, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, unexpectedStatus(call, status)
	}
	got, err := decode[wire.Rows](call, body)
	if err != nil {
		return nil, err
	}
	rows := make([]amaranthtide.StoredRow, len(got.Rows))
	for i, r := range got.Rows {
		rows[i] = amaranthtide.StoredRow(r)
	}
	return rows, nil
}

// PutObject implements amaranthtide.ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	call := apiCall{method: http.MethodPut, path: "/objects", query: url.Values{"name": {name}}, body: data, mutates: true}
	status, _, err := c.do(ctx, call)
	if err == nil && status == http.StatusNotFound {
		err = unexpectedStatus(call, status)
	}
	return err
}

// GetObject implements amaranthtide.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) (amaranthtide.Option[[]byte], error) {
	call := apiCall{method: http.MethodGet, path: "/objects", query: url.Values{"name": {name}}}
	status, body, err := c.do(ctx, call)
	if err != nil || status == http.StatusNotFound {
		return amaranthtide.None[[]byte](), err
	}
	return amaranthtide.Some(body), nil
}

// ListVMs implements amaranthtide.VMList.
func (c *Client) ListVMs(ctx context.Context) ([]amaranthtide.ListedVM, error) {
	call := apiCall{method: http.MethodGet, path: "/vms"}
	status, body, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, unexpectedStatus(call, status)
	}
	got, err := decode[wire.VMs](call, body)
	if err != nil {
		return nil, err
	}
	vms := make([]amaranthtide.ListedVM, len(got.VMs))
	for i, vm := range got.VMs {
		vms[i] = amaranthtide.ListedVM(vm)
	}
	return vms, nil
}

// Reserve implements amaranthtide.WeightStore. After KindOutcomeUnknown the
// reservation may have been made, which only costs waiting time.
func (c *Client) Reserve(ctx context.Context, model amaranthtide.ModelName) (time.Duration, error) {
	call := apiCall{method: http.MethodPost, path: "/weights/reservations", query: url.Values{"model": {string(model)}}, mutates: true}
	status, body, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, unexpectedStatus(call, status)
	}
	got, err := decode[wire.Reservation](call, body)
	return time.Duration(got.Wait), err
}
