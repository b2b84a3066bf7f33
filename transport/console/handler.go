// Package console is the operators' HTTP interface: the configuration table, its audit
// trail, the state of the fleet and a web page that shows them.
//
// # Usage
//
//	h := console.New(console.Options{VM: "vm-1", Zone: "a", Table: t, Platform: platform,
//		Editor: e, Control: c, Owner: o, Operators: cfg.Operators})
//	mux.Mount("/", h)
//
// # Calls
//
//	GET  /                                the page; it contains no data of the fleet
//	GET  /api/rows[?kind=K]               rows of this router's table
//	GET  /api/rows/{kind}/{name}          one row
//	POST /api/changes[?wait=10s]          a batch of edits
//	GET  /api/log?row=&operator=&after=&before=&since=&until=&limit=&orders=
//	                                      the audit trail
//	GET  /api/status                      the state of the fleet
//
// Package operation defines the bodies. Calls below /api require the bearer token of
// an operator; changes require the role "change".
package console

import (
	"context"
	_ "embed" // for the page
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/protocol/operation"
	"amaranthtide/protocol/reply"
	"amaranthtide/protocol/settings"
	"amaranthtide/state/roster"
	"amaranthtide/state/table"
	"amaranthtide/transport/owner"
)

// Editor commits edits to the configuration table.
type Editor interface {
	Apply(ctx context.Context, operator amaranthtide.OperatorName, edits []amaranthtide.Edit) change.Result
}

// Control provides what this router knows about the other routers.
type Control interface {
	Roster() *roster.Roster
	LiveIn(now time.Time, zone amaranthtide.ZoneName) ([]amaranthtide.VMName, bool)
	Owner(now time.Time, server amaranthtide.BackendServerName) (amaranthtide.VMName, bool)
	Load(server amaranthtide.BackendServerName) (amaranthtide.ServerLoad, time.Time)
	Leaving(server amaranthtide.BackendServerName) bool
}

// Owner provides the state of the servers that this router owns.
type Owner interface {
	Statuses(now time.Time) []owner.Status
}

// Options holds the dependencies of a Handler. All fields except Results, Ready and
// Logger are required.
type Options struct {
	VM        amaranthtide.VMName
	Zone      amaranthtide.ZoneName
	Table     *table.Table
	Platform  amaranthtide.TableService
	Editor    Editor
	Control   Control
	Owner     Owner
	Operators []settings.Operator
	// Results returns the number of finished requests by result; nil returns none.
	Results func() (map[string]uint64, error)
	// Ready reports whether this router is ready; nil is always ready.
	Ready  func() bool
	Logger hclog.Logger
}

const (
	// maxBodyBytes is large enough for a full batch of edits.
	maxBodyBytes = 1 << 20
	// maxWait is the greatest value of the query parameter wait.
	maxWait = time.Minute
	// commitTimeout bounds the commit of a batch.
	commitTimeout = 10 * time.Second
)

//go:embed page.html
var pageHTML []byte

// Handler serves the console. It is safe for concurrent use.
type Handler struct {
	opts   Options
	router chi.Router
}

// New returns a Handler.
func New(opts Options) *Handler {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Results == nil {
		opts.Results = func() (map[string]uint64, error) { return map[string]uint64{}, nil }
	}
	if opts.Ready == nil {
		opts.Ready = func() bool { return true }
	}
	h := &Handler{opts: opts, router: chi.NewRouter()}
	h.router.Get("/", servePage)
	h.router.Route("/api", func(r chi.Router) {
		r.Use(h.authenticate)
		r.Get("/rows", h.serveRows)
		r.Get("/rows/{kind}/{name}", h.serveRow)
		r.Get("/log", h.serveLog)
		r.Get("/status", h.serveStatus)
		r.With(requireChange).Post("/changes", h.serveChanges)
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func servePage(w http.ResponseWriter, _ *http.Request) {
	header := w.Header()
	header.Set("Content-Type", "text/html; charset=utf-8")
	header.Set("Content-Security-Policy",
		"default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'")
	header.Set("Cache-Control", "no-cache")
	_, _ = w.Write(pageHTML)
}

func (h *Handler) serveRows(w http.ResponseWriter, r *http.Request) {
	kind := amaranthtide.RowKind(r.URL.Query().Get("kind"))
	if kind != "" && !slices.Contains(amaranthtide.RowKinds(), kind) {
		err := badQuery("kind", string(kind), fmt.Sprint(amaranthtide.RowKinds()))
		writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
		return
	}
	rows, revision := h.opts.Table.Snapshot()
	out := operation.Rows{Revision: revision, Rows: []amaranthtide.Row{}}
	for _, row := range rows {
		if kind == "" || row.Key.Kind == kind {
			out.Rows = append(out.Rows, row)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) serveRow(w http.ResponseWriter, r *http.Request) {
	key := amaranthtide.RowKey{Kind: amaranthtide.RowKind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
	revision := h.opts.Table.Revision()
	out := operation.Rows{Revision: revision, Rows: []amaranthtide.Row{}}
	if row, ok := h.opts.Table.Row(key); ok {
		out.Rows = append(out.Rows, row)
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) serveChanges(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r)
	if err != nil {
		writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
		return
	}
	var in operation.Edits
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		err = amaranthtide.Errorf(amaranthtide.KindBadRequest, "invalid request body: %w", err)
		writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
		return
	}
	edits, err := in.ToDomain()
	if err != nil {
		writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
		return
	}
	operator := operatorOf(r.Context())
	// The commit continues if the operator disconnects, so that its outcome is logged.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), commitTimeout)
	defer cancel()
	result := h.opts.Editor.Apply(ctx, operator.Name, edits)
	if result.Err != nil {
		h.opts.Logger.Info("change refused", "operator", operator.Name, "error", result.Err)
		writeRefusal(w, refusal(in, result), result.Err)
		return
	}
	for _, c := range result.Changes {
		h.opts.Logger.Info("change accepted", "operator", operator.Name, "row", c.Key, "revision", c.Revision)
	}
	out := operation.ChangeResponse{Changes: result.Changes}
	if wait > 0 && len(result.Changes) > 0 {
		inForce := h.awaitInForce(r.Context(), result.Changes[len(result.Changes)-1].Revision, wait)
		out.Rollout = &inForce
	}
	writeJSON(w, http.StatusOK, out)
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, badQuery("wait", text, "a duration from 0s to 1m")
	}
	return wait, nil
}

func badQuery(name, value, allowed string) error {
	return amaranthtide.Errorf(amaranthtide.KindBadRequest, "query parameter %s: value %q is not allowed; allowed: %s", name, value, allowed)
}

// refusal returns the answer to a failed batch: the error with its invalid fields, or
// with both rows of a conflict.
func refusal(in operation.Edits, result change.Result) operation.ErrorResponse {
	out := operation.ErrorResponse{Body: reply.New(result.Err)}
	for _, e := range in.Edits {
		if fields := result.Fields[e.Key]; len(fields) > 0 {
			out.Fields = append(out.Fields, operation.RowErrors{Key: e.Key, Fields: fields})
			delete(result.Fields, e.Key)
		}
	}
	conflict, ok := result.Conflict.Get()
	if !ok {
		return out
	}
	out.Conflict = &operation.Conflict{Key: conflict.Key}
	for _, e := range in.Edits {
		if e.Key == conflict.Key {
			out.Conflict.Wanted = e.Value
		}
	}
	if row, ok := conflict.Row.Get(); ok {
		out.Conflict.Current = &row
	}
	if c, ok := conflict.Change.Get(); ok {
		out.Conflict.Change = &c
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = reply.New(amaranthtide.Errorf(amaranthtide.KindInternal, "encode: %w", err)).JSON()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeRefusal(w http.ResponseWriter, body operation.ErrorResponse, err error) {
	writeJSON(w, reply.Status(err), body)
}
