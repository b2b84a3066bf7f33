package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	standin "amaranthtide/standin/engine"
	"amaranthtide/transport/engine"
)

// recorder is an AnswerWriter that stores the answer. If failAfter is positive, Chunk
// fails from that call on.
type recorder struct {
	heads, chunks, failAfter int
	head                     amaranthtide.AnswerHead
	body                     bytes.Buffer
	onChunk                  func()
}

func (a *recorder) Head(h amaranthtide.AnswerHead) error {
	a.heads++
	a.head = h
	return nil
}

func (a *recorder) Chunk(b []byte) error {
	a.chunks++
	a.body.Write(b)
	if a.onChunk != nil {
		a.onChunk()
	}
	if a.failAfter > 0 && a.chunks >= a.failAfter {
		return errors.New("caller disconnected")
	}
	return nil
}

// text returns the text of a stream and checks that event ids count up from 1.
func (a *recorder) text(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	for i, event := range strings.Split(strings.TrimSuffix(a.body.String(), "\n\n"), "\n\n") {
		id, data, _ := strings.Cut(event, "\n")
		if id != fmt.Sprintf("id: %d", i+1) {
			t.Fatalf("got: %q, want: id %d", event, i+1)
		}
		data = strings.TrimPrefix(data, "data: ")
		if data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String()
}

func request(stream bool, tokens int, messages ...string) *amaranthtide.Request {
	var list []string
	for i, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":%q,"content":%q}`, []string{"user", "assistant"}[i%2], m))
	}
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[%s]}`, stream, tokens, strings.Join(list, ","))
	return &amaranthtide.Request{Attempt: amaranthtide.NewAttemptID(), Stream: stream, Body: []byte(body)}
}

func startEngine(t testing.TB, cfg standin.Config) (*standin.Server, *engine.Client) {
	t.Helper()
	s, err := standin.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := engine.New(engine.Config{})
	t.Cleanup(c.Close)
	return s, c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Guards against answers that lack, repeat or reorder tokens, and against mixing up the
// answers of concurrent requests.
func TestAnswersAreComplete(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint(stream), func(t *testing.T) {
			is := is.New(t)
			s, c := startEngine(t, standin.Config{TokenInterval: time.Millisecond})
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Go(func() {
					req, a := request(stream, 20, fmt.Sprint("question ", i)), &recorder{}
					if err := c.Serve(context.Background(), s.Addr(), req, a); err != nil {
						t.Error(err)
						return
					}
					want, err := standin.Answer(req.Body)
					if err != nil || a.head.Attempt != req.Attempt || a.heads != 1 {
						t.Errorf("got: %v %+v, want: own answer", err, a.head)
					}
					if !stream {
						if !strings.Contains(a.body.String(), want) {
							t.Errorf("got: %s, want: %s", a.body.String(), want)
						}
					} else if got := a.text(t); got != want {
						t.Errorf("got: %q, want: %q", got, want)
					}
				})
			}
			wg.Wait()
			is.Equal(s.Counters().Completed, 12)
		})
	}
}

// Guards against a resumed stream that loses or repeats events, wherever the first
// connection breaks. Cutting it at each byte covers the boundaries of events.
func TestResumeAtEachByte(t *testing.T) {
	s, c := startEngine(t, standin.Config{TokenInterval: time.Nanosecond})
	req := request(true, 3, "q")
	var want recorder
	if err := c.Serve(context.Background(), s.Addr(), req, &want); err != nil {
		t.Fatal(err)
	}
	for cut := 1; cut <= want.body.Len(); cut++ {
		s.SetFaults(standin.Faults{CutAfterBytes: cut})
		req, got := request(true, 3, "q"), &recorder{}
		if err := c.Serve(context.Background(), s.Addr(), req, got); err != nil {
			t.Fatalf("cut after %d bytes: %v", cut, err)
		}
		text, err := standin.Answer(req.Body)
		if err != nil || got.text(t) != text || got.heads != 1 {
			t.Fatalf("cut after %d bytes: got: %s", cut, got.body.String())
		}
	}
	// The last cut comes after the complete answer, which needs no resumption.
	if got, want := s.Counters().Resumed, want.body.Len()-1; got != want {
		t.Errorf("resumed got: %d, want: %d", got, want)
	}
}

// Guards against reporting a truncated answer as complete, and against passing on
// incomplete events or part of an unstreamed answer.
func TestTruncatedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
	}{{"stream", true}, {"whole", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := startEngine(t, standin.Config{TokenInterval: time.Nanosecond, NoResume: true, Faults: standin.Faults{CutAfterBytes: 300}})
			a := &recorder{}
			err := c.Serve(context.Background(), s.Addr(), request(tt.stream, 20, "q"), a)
			if !amaranthtide.IsKind(err, amaranthtide.KindTruncated) {
				t.Errorf("got: %v, want: truncated", err)
			}
			if tt.stream && !strings.HasSuffix(a.body.String(), "\n\n") || !tt.stream && a.heads != 0 {
				t.Errorf("got: %q written, want: complete events only, nothing of an unstreamed answer", a.body.String())
			}
		})
	}
}

// Guards against accepting the answer to another attempt, and against a wrong kind of
// error for refusals and failures.
func TestKinds(t *testing.T) {
	head := func(status int, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Amaranthtide-Attempt", r.Header.Get("Amaranthtide-Attempt"))
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			_, _ = w.Write([]byte("data: x\n\ndata: [DONE]\n\n"))
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    amaranthtide.Kind
	}{
		{"own answer", head(200), 0},
		{"answer to another attempt", head(200, "Amaranthtide-Attempt", "other"), amaranthtide.KindBackendFailed},
		{"not a stream", head(200, "Content-Type", "application/json"), amaranthtide.KindBackendFailed},
		{"leaving", head(503, "Amaranthtide-Not-Run", "true", "Amaranthtide-Reason", "leaving"), amaranthtide.KindLeaving},
		{"full", head(503, "Amaranthtide-Not-Run", "true"), amaranthtide.KindFull},
		{"503 that may have run", head(503), amaranthtide.KindBackendFailed},
		{"closed without an answer", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, amaranthtide.KindBackendFailed},
		{"ended without terminal event", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Amaranthtide-Attempt", r.Header.Get("Amaranthtide-Attempt"))
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: x\n\ndata: [DONE]\n"))
		}, amaranthtide.KindTruncated},
		{"status that HTTP doesn't have", func(w http.ResponseWriter, r *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 000 OK\r\nAmaranthtide-Attempt: " + r.Header.Get("Amaranthtide-Attempt") +
				"\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\ndata: [DONE]\n\n\n\n"))
			_ = conn.Close()
		}, amaranthtide.KindBackendFailed},
		{"unknown length", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 400 Bad\r\n\r\nx"))
			_ = conn.Close()
		}, amaranthtide.KindTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(tt.handler)
			defer s.Close()
			c := engine.New(engine.Config{})
			defer c.Close()
			addr := netip.MustParseAddrPort(s.Listener.Addr().String())
			if got := amaranthtide.KindOf(c.Serve(context.Background(), addr, request(true, 1, "q"), &recorder{})); got != tt.want {
				t.Errorf("got: %v, want: %v", got, tt.want)
			}
		})
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	err = engine.New(engine.Config{}).Serve(context.Background(), addr, request(true, 1, "q"), &recorder{})
	if !amaranthtide.IsKind(err, amaranthtide.KindNoBackend) {
		t.Errorf("dial error got: %v, want: noBackend", err)
	}
}

// Guards against a resumption that appends the events of another attempt.
func TestResumptionOfOtherAttemptIsRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Amaranthtide-Resumable", "true")
		if r.Method == http.MethodGet {
			w.Header().Set("Amaranthtide-Attempt", "other")
			_, _ = w.Write([]byte("id: 2\ndata: theirs\n\ndata: [DONE]\n\n"))
			return
		}
		w.Header().Set("Amaranthtide-Attempt", r.Header.Get("Amaranthtide-Attempt"))
		_, _ = w.Write([]byte("id: 1\ndata: mine\n\n"))
	}))
	defer s.Close()
	c := engine.New(engine.Config{})
	defer c.Close()
	a := &recorder{}
	err := c.Serve(context.Background(), netip.MustParseAddrPort(s.Listener.Addr().String()), request(true, 1, "q"), a)
	if !amaranthtide.IsKind(err, amaranthtide.KindTruncated) || strings.Contains(a.body.String(), "theirs") {
		t.Errorf("got: %v %q, want: truncated", err, a.body.String())
	}
}

// Guards against a request that the engine keeps running after its context was canceled
// or its answer could not be written.
func TestCancel(t *testing.T) {
	tests := []struct {
		name        string
		noResume    bool
		writerFails bool
	}{{"context, resumable", false, false}, {"context, not resumable", true, false}, {"writer, resumable", false, true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := startEngine(t, standin.Config{TokenInterval: 5 * time.Millisecond, NoResume: tt.noResume, ResumeGrace: time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := &recorder{}
			if tt.writerFails {
				a.failAfter = 1
			} else {
				a.onChunk = cancel
			}
			err := c.Serve(ctx, s.Addr(), request(true, 1000, "q"), a)
			if !amaranthtide.IsKind(err, amaranthtide.KindCanceled) {
				t.Errorf("got: %v, want: canceled", err)
			}
			eventually(t, "cancellation", func() bool { return s.Counters().Cancelled == 1 && s.Counters().InFlight == 0 })
		})
	}
}

// Guards against a stand-in engine that withstands more load than a cold engine, keeps its
// boot identifier or loses its address over a restart, or doesn't count an overrun.
func TestColdStartAndRestart(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := startEngine(t, standin.Config{ColdLimit: 1, Warmup: time.Hour, TokenInterval: 5 * time.Millisecond, RecoverTime: 20 * time.Millisecond})
	boot := s.Boot()
	var wg sync.WaitGroup
	results := make(chan error, 2)
	for range 2 {
		wg.Go(func() { results <- c.Serve(ctx, s.Addr(), request(true, 200, "q"), &recorder{}) })
	}
	wg.Wait()
	is.True(<-results != nil) // the overrun breaks both connections
	is.True(<-results != nil)
	eventually(t, "return", func() bool { r, err := c.Load(ctx, s.Addr()); return err == nil && r.Boot != boot })
	is.Equal(s.Counters().OverloadCrashes, 1)
	s.Kill()
	_, err := c.Load(ctx, s.Addr())
	is.True(amaranthtide.IsKind(err, amaranthtide.KindNoBackend))
	s.Restart()
	eventually(t, "restart", func() bool { _, err := c.Load(ctx, s.Addr()); return err == nil })
	is.NoErr(c.Serve(ctx, s.Addr(), request(true, 2, "q"), &recorder{}))
	s.Leave()
	is.True(amaranthtide.IsKind(c.Serve(ctx, s.Addr(), request(true, 2, "q"), &recorder{}), amaranthtide.KindLeaving))
	r, err := c.Load(ctx, s.Addr())
	is.NoErr(err)
	is.True(r.Leaving)
}

// Guards against a frozen stand-in engine that still answers, and one that doesn't answer
// after it is thawed.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	s, _ := startEngine(t, standin.Config{})
	c := engine.New(engine.Config{ControlTimeout: 50 * time.Millisecond})
	s.Freeze()
	_, err := c.Load(context.Background(), s.Addr())
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBackendFailed))
	s.Thaw()
	_, err = c.Load(context.Background(), s.Addr())
	is.NoErr(err)
}

// Guards against wrong counts of cached tokens, from which cache reuse is computed.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	s, c := startEngine(t, standin.Config{TokenInterval: time.Nanosecond, CacheTokens: 60})
	serve := func(messages ...string) string {
		req, a := request(true, 4, messages...), &recorder{}
		is.NoErr(c.Serve(context.Background(), s.Addr(), req, a))
		return a.text(t)
	}
	long := strings.Repeat("x", 76) // 20 tokens with its role
	first := serve(long)
	serve(long, first, "more")
	n := s.Counters()
	is.Equal(n.CachedTokens, 27) // the question and its answer: 20 + 1 + 24/4
	is.Equal(n.IdealCachedTokens, 27)
	serve(strings.Repeat("y", 236)) // 60 tokens evict everything else
	serve(long)
	n = s.Counters()
	is.Equal(n.CachedTokens, 27)
	is.Equal(n.IdealCachedTokens, 47)
}

// Guards against an order with an outdated fencing number that takes effect at an engine
// that checks fencing.
func TestOrders(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(fmt.Sprint(check), func(t *testing.T) {
			is := is.New(t)
			s, c := startEngine(t, standin.Config{CheckFencing: check, OrderDelay: 20 * time.Millisecond})
			order := func(n amaranthtide.FencingNumber) error {
				return c.Order(context.Background(), s.Addr(), amaranthtide.Order{Fencing: n, Role: "decode", Deadline: time.Now().Add(5 * time.Second)})
			}
			is.NoErr(order(2))
			is.Equal(amaranthtide.IsKind(order(1), amaranthtide.KindFenced), check)
			effects := s.Orders()
			is.Equal(len(effects) == 1, check)
			is.Equal(effects[0].Order.Role, "decode")
		})
	}
}

// Guards against stand-in load reports that don't lag by the configured time.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	s, c := startEngine(t, standin.Config{ReportLag: 200 * time.Millisecond, TokenInterval: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx, s.Addr(), request(true, 1000, "q"), &recorder{}) })
	eventually(t, "admission", func() bool { return s.Counters().InFlight == 1 })
	r, err := c.Load(context.Background(), s.Addr())
	is.NoErr(err)
	is.Equal(r.InFlight, 0)
	eventually(t, "report", func() bool { r, err := c.Load(context.Background(), s.Addr()); return err == nil && r.InFlight == 1 })
	cancel()
	wg.Wait()
}

// Guards against an engine queue that ignores the priority of requests of class quick.
func TestPriorities(t *testing.T) {
	s, c := startEngine(t, standin.Config{Capacity: 1, TokenInterval: 5 * time.Millisecond})
	var wg sync.WaitGroup
	order := make(chan amaranthtide.Class, 3)
	for i, class := range []amaranthtide.Class{"", amaranthtide.ClassStandard, amaranthtide.ClassQuick} {
		req := request(true, 20, "q")
		req.Class = class
		wg.Go(func() {
			if err := c.Serve(context.Background(), s.Addr(), req, &recorder{}); err != nil {
				t.Error(err)
			}
			order <- class
		})
		eventually(t, "admission", func() bool { return s.Counters().Runs == i+1 })
	}
	wg.Wait()
	<-order
	if got := <-order; got != amaranthtide.ClassQuick {
		t.Errorf("second got: %s, want: quick", got)
	}
}

// Guards against an engine's earlier answer, written once more on a kept connection, that is taken for the answer
// to the next call: running work counts as not run or as done, or a load report is made up.
func TestRepeatedAnswerDoesNotAnswerNextCall(t *testing.T) {
	type call func(c *engine.Client, addr netip.AddrPort, attempt amaranthtide.AttemptID) error
	calls := map[string]call{
		"/v1/chat/completions": func(c *engine.Client, addr netip.AddrPort, attempt amaranthtide.AttemptID) error {
			req := request(false, 1, "a")
			req.Attempt = attempt
			return c.Serve(t.Context(), addr, req, &recorder{})
		},
		"/orders": func(c *engine.Client, addr netip.AddrPort, _ amaranthtide.AttemptID) error {
			return c.Order(t.Context(), addr, amaranthtide.Order{})
		},
		"/load": func(c *engine.Client, addr netip.AddrPort, _ amaranthtide.AttemptID) error {
			_, err := c.Load(t.Context(), addr)
			return err
		},
	}
	test := func(earlier, next call, path string, refused bool) {
		t.Run(fmt.Sprint(path, " refused ", refused), func(t *testing.T) {
			is := is.New(t)
			var first atomic.Value // address of the client of the first connection
			paths := make(chan string, 4)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				first.CompareAndSwap(nil, r.RemoteAddr)
				if r.RemoteAddr != first.Load() {
					panic(http.ErrAbortHandler) // the call is running and gets no answer
				}
				w.Header().Set("Amaranthtide-Attempt", "attempt1")
				if refused {
					w.Header().Set("Amaranthtide-Not-Run", "true")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte("{}"))
			}))
			defer s.Close()
			c, addr := engine.New(engine.Config{}), netip.MustParseAddrPort(s.Listener.Addr().String())
			defer c.Close()
			is.Equal(earlier(c, addr, "attempt1") != nil, refused)
			<-paths
			err := next(c, addr, "attempt2")
			is.Equal(<-paths, path)
			is.True(err != nil)
			is.True(amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo)
		})
	}
	for _, earlier := range calls {
		for path, next := range calls {
			test(earlier, next, path, true)
			test(earlier, next, path, false)
		}
	}
}

// Guards against an engine that keeps a resumable answer running after the router has given up on it, while
// another engine runs the request again.
func TestAbandonedAttemptIsCanceled(t *testing.T) {
	for name, answer := range map[string]struct {
		contentType, notRun, body string
		canceled                  int32
	}{
		"connection lost before the head":             {"", "", "", 1},
		"connection lost before an event, no resume":  {"text/event-stream", "", "", 1},
		"event without end":                           {"text/event-stream", "", strings.Repeat("x", 2<<20+2), 1},
		"head of another type, content can't be used": {"text/plain", "", "", 1},
		"refusal":         {"text/plain", "true", "", 0},
		"complete answer": {"text/event-stream", "", "data: [DONE]\n\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			req := request(true, 4, "hello")
			var canceled atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Amaranthtide-Attempt", string(req.Attempt))
				w.Header().Set("Amaranthtide-Resumable", "true")
				w.Header().Set("Amaranthtide-Not-Run", answer.notRun)
				w.Header().Set("Content-Type", answer.contentType)
				switch {
				case r.Method == http.MethodDelete && r.URL.Path == "/v1/streams/"+string(req.Attempt):
					canceled.Add(1)
					return
				case r.Method == http.MethodGet || answer.notRun != "":
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				case answer.contentType != "":
					_, _ = w.Write([]byte(answer.body))
					_ = http.NewResponseController(w).Flush()
				}
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			c := engine.New(engine.Config{})
			defer c.Close()
			err := c.Serve(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), req, &recorder{})
			if (err == nil) != (name == "complete answer") || canceled.Load() != answer.canceled {
				t.Errorf("got: error %v, %d cancellations, want: %d", err, canceled.Load(), answer.canceled)
			}
		})
	}
}
