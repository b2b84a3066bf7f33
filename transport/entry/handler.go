// Package entry serves callers over HTTP: chat completions as common client
// libraries send them, and plain services by path.
//
// # Usage
//
//	h := entry.New(entry.Options{Directory: table, Service: dispatcher, Logger: logger})
//	srv := &http.Server{Handler: h, MaxHeaderBytes: entry.MaxHeaderBytes}
//
// # Caller API
//
//	POST /v1/chat/completions   chat completions, streamed or not
//	GET  /v1/models             the models that workspaces may use
//	ANY  /services/{route}/*    plain services
//
// The workspace comes from the bearer token, "<workspace>" or
// "<workspace>.<secret>". A chat is identified by the header Amaranthtide-Chat, else by
// the body's prompt_cache_key, else by its user, else by its first messages. A
// request that must not be repeated needs an Idempotency-Key.
package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/protocol/completion"
	"amaranthtide/protocol/reply"
	"amaranthtide/state/bodies"
)

// MaxHeaderBytes limits the header of a caller's request.
const MaxHeaderBytes = 64 << 10

const (
	defaultMaxBody = 4 << 20
	maxKeyLength   = 128
	maxChatLength  = 256
)

// Options are the dependencies and settings of a Handler.
type Options struct {
	// Directory holds the workspaces, models and routes. Required.
	Directory amaranthtide.Directory
	// Service serves the requests. Required.
	Service amaranthtide.Service
	// Logger gets a line for each request that fails in Service; nil disables it.
	Logger hclog.Logger
	// MaxBodyBytes limits the body of a request; 0 is 4 MiB.
	MaxBodyBytes int
	// Bodies limits the memory that bodies of requests take; nil means no limit.
	Bodies *bodies.Budget
	// OnRequestEnd is called with the result of each request that reached Service; may be
	// nil.
	OnRequestEnd func(req *amaranthtide.Request, took time.Duration, err error)
	// OnFirstChunk is called when the first chunk of an answer arrives; may be nil.
	OnFirstChunk func(req *amaranthtide.Request, took time.Duration)
}

// Handler is the HTTP handler for callers. It is safe for concurrent use.
type Handler struct {
	opts   Options
	router chi.Router
}

// New returns a Handler.
func New(opts Options) *Handler {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBody
	}
	if opts.Bodies == nil {
		opts.Bodies = bodies.New(0)
	}
	if opts.OnRequestEnd == nil {
		opts.OnRequestEnd = func(*amaranthtide.Request, time.Duration, error) {}
	}
	if opts.OnFirstChunk == nil {
		opts.OnFirstChunk = func(*amaranthtide.Request, time.Duration) {}
	}
	h := &Handler{opts: opts, router: chi.NewRouter()}
	h.router.Post("/v1/chat/completions", h.serveCompletion)
	h.router.Get("/v1/models", h.serveModels)
	h.router.HandleFunc("/services/{route}", h.serveRoute)
	h.router.HandleFunc("/services/{route}/*", h.serveRoute)
	h.router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		h.writeError(w, amaranthtide.Errorf(amaranthtide.KindUnknownRoute, "no such path: %s", r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, _, err := h.authenticate(r); err != nil {
		h.writeError(w, err)
		return
	}
	type model struct {
		ID     amaranthtide.ModelName `json:"id"`
		Object string                 `json:"object"`
	}
	response := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range h.opts.Directory.Models() {
		response.Data = append(response.Data, model{name, "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	h.serveParsed(w, r, h.completionRequest)
}

func (h *Handler) serveRoute(w http.ResponseWriter, r *http.Request) {
	h.serveParsed(w, r, h.routeRequest)
}

// serveParsed serves the request that parse returns. Its body is held until the answer ends.
func (h *Handler) serveParsed(w http.ResponseWriter, r *http.Request, parse func(http.ResponseWriter, *http.Request, *bodies.Hold) (*amaranthtide.Request, error)) {
	hold := h.opts.Bodies.Hold("")
	defer hold.Release()
	req, err := parse(w, r, hold)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.serve(w, r, req)
}

func (h *Handler) completionRequest(w http.ResponseWriter, r *http.Request, hold *bodies.Hold) (*amaranthtide.Request, error) {
	req, ws, err := h.newRequest(w, r, hold)
	if err != nil {
		return nil, err
	}
	// The parser copies texts of the body.
	if !hold.Grow(int64(len(req.Body))) {
		return nil, noMemory(len(req.Body))
	}
	defer hold.Shrink(int64(len(req.Body)))
	body, err := completion.ParseRouting(req.Body)
	if err != nil {
		return nil, err
	}
	req.Model = body.Model
	if req.Model == "" {
		req.Model = ws.Model
	}
	if _, ok := h.opts.Directory.Model(req.Model); !ok {
		return nil, amaranthtide.Errorf(amaranthtide.KindUnknownModel, "model %q is not known", req.Model)
	}
	req.Stream = body.Stream
	req.Cost = body.Cost
	req.Chat = resolveChat(req.Chat, body)
	return req, nil
}

// resolveChat returns the chat that the header names, or else the one derived from the
// body.
func resolveChat(headerChat amaranthtide.ChatID, body completion.Request) amaranthtide.ChatID {
	for _, chat := range []string{string(headerChat), body.PromptCacheKey, body.User} {
		if len(chat) > maxChatLength {
			// An identifier is kept longer than its request.
			sum := sha256.Sum256([]byte(chat))
			chat = hex.EncodeToString(sum[:])
		}
		if chat != "" {
			return amaranthtide.ChatID(chat)
		}
	}
	return body.DerivedChat()
}

func (h *Handler) routeRequest(w http.ResponseWriter, r *http.Request, hold *bodies.Hold) (*amaranthtide.Request, error) {
	name := amaranthtide.RouteName(chi.URLParam(r, "route"))
	route, ok := h.opts.Directory.Route(name)
	if !ok {
		return nil, amaranthtide.Errorf(amaranthtide.KindUnknownRoute, "route %q is not known", name)
	}
	req, _, err := h.newRequest(w, r, hold)
	if err != nil {
		return nil, err
	}
	req.Route = name
	req.Path = "/" + chi.URLParam(r, "*")
	req.Query = r.URL.RawQuery
	req.Cost = 1
	if req.Key, err = idempotencyKey(r, route); err != nil {
		return nil, err
	}
	if req.Chat == "" {
		req.Chat = amaranthtide.ChatID(req.Key)
	}
	if req.Chat == "" {
		req.Chat = amaranthtide.ChatID(req.ID)
	}
	return req, nil
}

// idempotencyKey returns the key of a request that must not be repeated. On a repeatable
// route, the key is passed on in the header but otherwise ignored.
func idempotencyKey(r *http.Request, route amaranthtide.Route) (amaranthtide.IdempotencyKey, error) {
	if route.Repeatable {
		return "", nil
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return "", amaranthtide.Errorf(amaranthtide.KindKeyMissing, "this route needs an Idempotency-Key header")
	}
	if len(key) > maxKeyLength {
		return "", amaranthtide.Errorf(amaranthtide.KindBadRequest, "Idempotency-Key is longer than %d bytes", maxKeyLength)
	}
	return amaranthtide.IdempotencyKey(key), nil
}

// newRequest authenticates the caller and returns a request with the fields that chat
// completions and plain services have in common.
func (h *Handler) newRequest(w http.ResponseWriter, r *http.Request, hold *bodies.Hold) (*amaranthtide.Request, amaranthtide.Workspace, error) {
	name, ws, err := h.authenticate(r)
	if err != nil {
		return nil, ws, err
	}
	hold.Assign(name)
	body, err := h.readBody(w, r, hold)
	if err != nil {
		return nil, ws, err
	}
	timeout, err := requestTimeout(r, ws)
	if err != nil {
		return nil, ws, err
	}
	class, err := requestClass(r, ws)
	if err != nil {
		return nil, ws, err
	}
	chat := r.Header.Get("Amaranthtide-Chat")
	if len(chat) > maxChatLength {
		return nil, ws, amaranthtide.Errorf(amaranthtide.KindBadRequest, "Amaranthtide-Chat is longer than %d bytes", maxChatLength)
	}
	return &amaranthtide.Request{
		ID:        amaranthtide.NewRequestID(),
		Workspace: name,
		Chat:      amaranthtide.ChatID(chat),
		Class:     class,
		Weight:    ws.Weight,
		Deadline:  time.Now().Add(timeout),
		Method:    r.Method,
		Header:    forwardedFields(r.Header),
		Body:      body,
	}, ws, nil
}

const maxTimeout = time.Hour

func requestTimeout(r *http.Request, ws amaranthtide.Workspace) (time.Duration, error) {
	value := r.Header.Get("Amaranthtide-Timeout-Millis")
	if value == "" {
		if ws.Timeout > 0 {
			return time.Duration(ws.Timeout), nil
		}
		return amaranthtide.DefaultTimeout, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return 0, amaranthtide.Errorf(amaranthtide.KindBadRequest,
			"Amaranthtide-Timeout-Millis is %q; allowed: 1 to %d", value, maxTimeout.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func requestClass(r *http.Request, ws amaranthtide.Workspace) (amaranthtide.Class, error) {
	class := amaranthtide.Class(r.Header.Get("Amaranthtide-Class"))
	if class == "" {
		class = ws.Class
	}
	switch class {
	case "":
		return amaranthtide.ClassStandard, nil
	case amaranthtide.ClassQuick, amaranthtide.ClassStandard:
		return class, nil
	default:
		return "", amaranthtide.Errorf(amaranthtide.KindBadRequest, "Amaranthtide-Class is %q; allowed: quick, standard", class)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, req *amaranthtide.Request) {
	ctx, cancel := h.requestContext(r, req)
	defer cancel()
	start := time.Now()
	writer := newAnswerWriter(w, req, func() { h.opts.OnFirstChunk(req, time.Since(start)) })
	err := h.opts.Service.Serve(ctx, req, writer)
	h.opts.OnRequestEnd(req, time.Since(start), err)
	if err == nil {
		return
	}
	h.opts.Logger.Info("request failed", "request", req.ID, "attempt", req.Attempt, "workspace", req.Workspace,
		"model", req.Model, "route", req.Route, "kind", amaranthtide.KindOf(err), "error", err)
	if !writer.headWritten {
		w.Header().Set("Amaranthtide-Request", string(req.ID))
		h.writeError(w, err)
		return
	}
	writer.abort(err)
}

// requestContext returns a context that ends at the request's deadline, and with the
// caller's connection unless the request must not be repeated: then its result has to be
// stored even if the caller disconnects.
func (h *Handler) requestContext(r *http.Request, req *amaranthtide.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if !req.Repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, req.Deadline)
}

// writeError answers with an error instead of a result.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	if seconds, ok := reply.RetryAfterSeconds(err); ok {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Status(err))
	_, _ = w.Write(reply.New(err).JSON())
}
