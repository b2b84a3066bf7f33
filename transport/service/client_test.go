package service_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/standin/application"
	"amaranthtide/transport/service"
)

type answerRecorder struct {
	head        amaranthtide.AnswerHead
	headWritten bool
	body        bytes.Buffer
}

func (a *answerRecorder) Head(h amaranthtide.AnswerHead) error {
	a.head, a.headWritten = h, true
	return nil
}

func (a *answerRecorder) Chunk(b []byte) error {
	a.body.Write(b)
	return nil
}

func startService(t *testing.T) *application.Server {
	t.Helper()
	s, err := application.New(application.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newRequest(key amaranthtide.IdempotencyKey) *amaranthtide.Request {
	return &amaranthtide.Request{
		Attempt: amaranthtide.NewAttemptID(), Key: key, Method: http.MethodPost, Path: "/pay/a%2Fb", Query: "x=1",
		Header: []amaranthtide.HeaderField{{Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}}, Body: []byte("fee"),
	}
}

// sendWithDefaultClient sends a request with an idempotency key through
// http.DefaultClient.
func sendWithDefaultClient(s *application.Server) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr().String()+"/pay", strings.NewReader("fee"))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", "key-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against running a request with an idempotency key twice. The subtests with
// the default client verify the test itself: http.Client retries on a kept-alive
// connection, so that the request may take effect twice.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	tests := []struct {
		at      application.BreakPoint
		effects int
		// defaultClientEffects is the number of effects of the broken request when
		// net/http may retry it.
		defaultClientEffects int
	}{
		{application.BeforeRead, 0, 1},
		{application.AfterRead, 0, 1},
		{application.AfterEffect, 1, 2},
		{application.MidAnswer, 1, 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.at), func(t *testing.T) {
			is := is.New(t)
			s := startService(t)
			c := service.New()
			defer c.Close()
			for range 3 { // with a shared transport, these would leave idle connections
				is.NoErr(c.Serve(context.Background(), s.Addr(), newRequest(""), &answerRecorder{}))
				is.NoErr(c.Serve(context.Background(), s.Addr(), newRequest("warm"), &answerRecorder{}))
			}
			s.BreakNext(tt.at, 1)
			a := &answerRecorder{}
			err := c.Serve(context.Background(), s.Addr(), newRequest("key-1"), a)
			is.True(amaranthtide.IsKind(err, amaranthtide.KindOutcomeUnknown))
			is.True(!a.headWritten)
			is.Equal(s.Stats().Effects["key-1"], tt.effects)
			is.Equal(s.Stats().Broken, 1)
		})
		t.Run("default client "+string(tt.at), func(t *testing.T) {
			is := is.New(t)
			s := startService(t)
			is.NoErr(sendWithDefaultClient(s))
			s.BreakNext(tt.at, 1)
			_ = sendWithDefaultClient(s)
			is.Equal(s.Stats().Effects["key-1"]-1, tt.defaultClientEffects)
		})
	}
}

// Guards against wrong error kinds for repeatable requests, and against forwarding
// part of an answer.
func TestRepeatableKinds(t *testing.T) {
	tests := []struct {
		at   application.BreakPoint
		want amaranthtide.Kind
	}{
		{application.BeforeRead, amaranthtide.KindBackendFailed},
		{application.AfterRead, amaranthtide.KindBackendFailed},
		{application.AfterEffect, amaranthtide.KindBackendFailed},
		{application.MidAnswer, amaranthtide.KindTruncated},
	}
	for _, tt := range tests {
		t.Run(string(tt.at), func(t *testing.T) {
			is := is.New(t)
			s := startService(t)
			c := service.New()
			defer c.Close()
			s.BreakNext(tt.at, 1)
			a := &answerRecorder{}
			is.Equal(amaranthtide.KindOf(c.Serve(context.Background(), s.Addr(), newRequest(""), a)), tt.want)
			is.True(!a.headWritten)
		})
	}
}

// Guards against requests that are modified in transit, and against dial errors that
// are reported as if the request had been sent.
func TestAnswerAndDialError(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	c := service.New()
	defer c.Close()
	a, req := &answerRecorder{}, newRequest("key-1")
	is.NoErr(c.Serve(context.Background(), s.Addr(), req, a))
	is.Equal(a.body.String(), application.Answer(req.Method, req.Path, req.Query, req.Body))
	is.Equal(a.head.Attempt, req.Attempt)
	for _, f := range a.head.Header {
		is.True(f.Name != "Connection")
	}
	addr := s.Addr()
	s.Close()
	for _, key := range []amaranthtide.IdempotencyKey{"", "key-2"} {
		err := c.Serve(context.Background(), addr, newRequest(key), &answerRecorder{})
		is.Equal(amaranthtide.KindOf(err), amaranthtide.KindNoBackend)
	}
}
