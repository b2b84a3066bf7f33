package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/reply"
	"amaranthtide/state/table"
	"amaranthtide/transport/entry"
)

// fakeService answers requests with a function and counts them.
type fakeService struct {
	calls int
	serve func(req *amaranthtide.Request, w amaranthtide.AnswerWriter) error
}

func (s *fakeService) Serve(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	s.calls++
	return s.serve(req, w)
}

// tokenHash is the SHA-256 of "locked.secret".
const tokenHash = "dac183e52e8a0392f9c2a40f5fe1f9faebe291dac89423c24ea094e207066803"

const maxBody = 1 << 10

func newServer(t *testing.T, s *fakeService) *httptest.Server {
	rows := []amaranthtide.Row{
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "small"}, Revision: 1, Value: amaranthtide.Workspace{Weight: 1, Model: "m"}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowWorkspace, Name: "locked"}, Revision: 1, Value: amaranthtide.Workspace{Weight: 1, CallerKeySHA256: tokenHash}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowModel, Name: "m"}, Revision: 1, Value: amaranthtide.Model{}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowRoute, Name: "entries"}, Revision: 1, Value: amaranthtide.Route{}},
	}
	tab := table.New()
	tab.Load(rows, 1)
	srv := httptest.NewUnstartedServer(entry.New(entry.Options{Directory: tab, Service: s, MaxBodyBytes: maxBody}))
	srv.Config.MaxHeaderBytes = entry.MaxHeaderBytes
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

const chatBody = `{"messages":[{"role":"user","content":"hello"}]}`

// Guards against dispatching invalid requests, and against refusing them with the wrong
// error kind or status.
func TestBadInputIsRefused(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           map[string]string
		kind             string
		status           int
	}{
		{"no token", "/v1/chat/completions", chatBody, map[string]string{"Authorization": ""}, "unauthenticated", 401},
		{"unknown workspace", "/v1/chat/completions", chatBody, map[string]string{"Authorization": "Bearer nobody"}, "unknownWorkspace", 404},
		{"wrong secret", "/v1/chat/completions", chatBody, map[string]string{"Authorization": "Bearer locked.guess"}, "forbidden", 403},
		{"malformed JSON", "/v1/chat/completions", `{"messages":`, nil, "badRequest", 400},
		{"no messages", "/v1/chat/completions", `{}`, nil, "badRequest", 400},
		{"unknown model", "/v1/chat/completions", strings.Replace(chatBody, "{", `{"model":"other",`, 1), nil, "unknownModel", 404},
		{"oversized body", "/v1/chat/completions", strings.Repeat("x", maxBody+1), nil, "tooLarge", 413},
		{"bad timeout", "/v1/chat/completions", chatBody, map[string]string{"Amaranthtide-Timeout-Millis": "-1"}, "badRequest", 400},
		{"bad class", "/v1/chat/completions", chatBody, map[string]string{"Amaranthtide-Class": "fast"}, "badRequest", 400},
		{"long chat", "/v1/chat/completions", chatBody, map[string]string{"Amaranthtide-Chat": strings.Repeat("c", 300)}, "badRequest", 400},
		{"unknown route", "/services/nowhere/x", "", nil, "unknownRoute", 404},
		{"missing key", "/services/entries/x", "fee", nil, "keyMissing", 400},
		{"long key", "/services/entries/x", "fee", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, "badRequest", 400},
		{"unknown path", "/v2/anything", "", nil, "unknownRoute", 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeService{}
			srv := newServer(t, s)
			req, err := http.NewRequest(http.MethodPost, srv.URL+tt.path, strings.NewReader(tt.body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer small")
			for k, v := range tt.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			var body reply.Body
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(body.Error.Kind, tt.kind)
			is.Equal(body.Error.Ran, "no")
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(s.calls, 0)
		})
	}
}

// Guards against headers that take an unlimited amount of memory.
func TestOversizedHeaderIsRefused(t *testing.T) {
	is := is.New(t)
	s := &fakeService{}
	srv := newServer(t, s)
	req, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	is.NoErr(err)
	req.Header.Set("X-Large", strings.Repeat("x", 2*entry.MaxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	}
	is.Equal(s.calls, 0)
}

// Guards against passing on an answer that broke off in a way that looks complete.
func TestBrokenAnswerIsNotShownAsComplete(t *testing.T) {
	truncated := amaranthtide.Errorf(amaranthtide.KindTruncated, "the engine closed the connection")
	answer := func(contentType string) *fakeService {
		return &fakeService{serve: func(req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
			header := []amaranthtide.HeaderField{{Name: "Content-Type", Value: contentType}}
			if err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt, Status: 200, Header: header}); err != nil {
				return err
			}
			if err := w.Chunk([]byte("data: {}\n\n")); err != nil {
				return err
			}
			return truncated
		}}
	}
	send := func(t *testing.T, s *fakeService) ([]byte, error) {
		is := is.New(t)
		req, err := http.NewRequest(http.MethodPost, newServer(t, s).URL+"/v1/chat/completions", strings.NewReader(chatBody))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer small")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		return io.ReadAll(resp.Body)
	}
	t.Run("events", func(t *testing.T) {
		body, err := send(t, answer("text/event-stream"))
		is.New(t).NoErr(err)
		if !bytes.Contains(body, []byte("event: error")) || bytes.Contains(body, []byte("[DONE]")) {
			t.Errorf("got: %s, want: an error event and no terminal event", body)
		}
	})
	t.Run("other", func(t *testing.T) {
		if body, err := send(t, answer("application/json")); err == nil {
			t.Errorf("got: %s, want: a broken connection", body)
		}
	})
}
