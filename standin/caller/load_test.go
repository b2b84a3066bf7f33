package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/reply"
	"amaranthtide/standin/application"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/engine"
	"amaranthtide/standin/observer"
)

// fakeRouter is a router that generates the answers itself. corrupt modifies the body of
// the correct answer.
type fakeRouter struct {
	corrupt func(body string) string
	mu      sync.Mutex
	effects map[amaranthtide.IdempotencyKey]int
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/register"); ok {
		f.mu.Lock()
		f.effects[amaranthtide.IdempotencyKey(r.Header.Get("Idempotency-Key"))]++
		f.mu.Unlock()
		_, _ = io.WriteString(w, f.corrupt(application.Answer(r.Method, path, "", body)))
		return
	}
	text, _ := engine.Answer(body)
	quoted, _ := json.Marshal(text)
	if strings.Contains(string(body), `"stream":true`) {
		_, _ = io.WriteString(w, f.corrupt(`data: {"choices":[{"delta":{"content":`+string(quoted)+"}}]}\n\ndata: [DONE]\n\n"))
		return
	}
	_, _ = io.WriteString(w, f.corrupt(`{"choices":[{"message":{"content":`+string(quoted)+`}}]}`))
}

func runLoad(t *testing.T, h http.Handler, cfg caller.Config) caller.Result {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	refusing := httptest.NewServer(nil)
	refusing.Close()
	for _, s := range []*httptest.Server{refusing, s} {
		cfg.Routers = append(cfg.Routers, netip.MustParseAddrPort(s.Listener.Addr().String()))
	}
	cfg.Model, cfg.Route, cfg.Seed = "m", "register", 1
	cfg.Duration, cfg.Pause, cfg.MaxRequests = 5*time.Second, time.Millisecond, 12
	return caller.New(cfg).Run(context.Background())
}

var (
	chatCallers    = []caller.Workspace{{Name: "w", ChatCallers: 2}}
	quickCallers   = []caller.Workspace{{Name: "w", QuickCallers: 2}}
	serviceCallers = []caller.Workspace{{Name: "w", ServiceCallers: 6}}
)

// Guards against checks that never fail: each kind of faulty answer must be counted as
// such, and only as such.
func TestOutcomes(t *testing.T) {
	replace := func(old, replacement string) func(string) string {
		return func(s string) string { return strings.Replace(s, old, replacement, 1) }
	}
	endWithError := func(kind amaranthtide.Kind) func(string) string {
		return func(s string) string {
			return s[:strings.Index(s, "data: [DONE]")] + string(reply.New(amaranthtide.Errorf(kind, "x")).Event())
		}
	}
	var mu sync.Mutex
	previous := map[string]string{}
	previousAnswer := func(s string) string {
		mu.Lock()
		defer mu.Unlock()
		got, ok := previous["answer"]
		previous["answer"] = s
		if !ok {
			return "x" + s
		}
		return got
	}
	unchanged := func(s string) string { return s }
	tests := []struct {
		name       string
		workspaces []caller.Workspace
		corrupt    func(string) string
		count      func(caller.Result) int
	}{
		{"complete stream", chatCallers, unchanged, func(r caller.Result) int { return r.Answered }},
		{"complete quick request", quickCallers, unchanged, func(r caller.Result) int { return r.Answered }},
		{"complete call", serviceCallers, unchanged, func(r caller.Result) int { return r.Answered }},
		{"stream with a wrong word", chatCallers, replace(`"content":"`, `"content":"zzzzzz `), func(r caller.Result) int { return r.WrongAnswers }},
		{"answer to another quick request", quickCallers, previousAnswer, func(r caller.Result) int { return r.WrongAnswers }},
		{"call with a wrong word", serviceCallers, replace("POST", "GET"), func(r caller.Result) int { return r.WrongAnswers }},
		{"doubled stream", chatCallers, func(s string) string { return s + s }, func(r caller.Result) int { return r.WrongAnswers }},
		{"stream without its last word", chatCallers, func(s string) string {
			end := strings.Index(s, ` "}}]}`)
			return s[:strings.LastIndexByte(s[:end], ' ')+1] + s[end+1:]
		}, func(r caller.Result) int { return r.TruncatedAnswers }},
		{"stream without its end", chatCallers, replace("data: [DONE]\n\n", ""), func(r caller.Result) int { return r.TruncatedAnswers }},
		{"quick request cut in the middle", quickCallers, func(s string) string { return s[:len(s)/2] }, func(r caller.Result) int { return r.TruncatedAnswers }},
		{"call cut in the middle", serviceCallers, func(s string) string { return s[:len(s)/2] }, func(r caller.Result) int { return r.TruncatedAnswers }},
		{"stream with a failure", chatCallers, endWithError(amaranthtide.KindBackendFailed), func(r caller.Result) int { return r.Failed }},
		{"stream refused after text", chatCallers, endWithError(amaranthtide.KindFull), func(r caller.Result) int { return r.Failed }},
		{"stream of unknown outcome", chatCallers, endWithError(amaranthtide.KindInternal), func(r caller.Result) int { return r.UnknownOutcome }},
		{"broken connection", quickCallers, func(string) string { panic(http.ErrAbortHandler) }, func(r caller.Result) int { return r.UnknownOutcome }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRouter{corrupt: tt.corrupt, effects: map[amaranthtide.IdempotencyKey]int{}}
			r := runLoad(t, f, caller.Config{Workspaces: tt.workspaces})
			t.Logf("%+v", r)
			is.Equal(r.Requests, 12)
			is.Equal(tt.count(r), 12)
		})
	}
}

// Guards against calls that run twice, or are answered without running, and are not
// reported.
func TestEffects(t *testing.T) {
	tests := []struct {
		name  string
		ran   int
		count func(caller.Result) int
	}{
		{"double run", 2, func(r caller.Result) int { return r.DoubleRuns }},
		{"answered without effect", 0, func(r caller.Result) int { return r.AnsweredNotRun }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRouter{corrupt: func(s string) string { return s }, effects: map[amaranthtide.IdempotencyKey]int{}}
			r := runLoad(t, f, caller.Config{Workspaces: serviceCallers, Effects: func() map[amaranthtide.IdempotencyKey]int {
				for key := range f.effects {
					f.effects[key] = tt.ran
					break
				}
				return f.effects
			}})
			is.Equal(tt.count(r), 1)
			is.True(!r.Passed())
		})
	}
}

// Guards against requests that are refused as "not run", run all the same, and are not
// reported.
func TestRefusedButRan(t *testing.T) {
	is := is.New(t)
	o := observer.New()
	e, err := engine.New(o.Watch("e", engine.Config{}))
	is.NoErr(err)
	defer e.Close()
	refuse := func(w http.ResponseWriter) {
		err := amaranthtide.WithRetryAfter(amaranthtide.Errorf(amaranthtide.KindFull, "full"), time.Millisecond)
		w.WriteHeader(reply.Status(err))
		_, _ = w.Write(reply.New(err).JSON())
	}
	r := runLoad(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := http.Post("http://"+e.Addr().String()+r.URL.Path, "application/json", r.Body)
		if err == nil {
			_ = resp.Body.Close()
		}
		refuse(w)
	}), caller.Config{Workspaces: quickCallers, Observer: o})
	is.Equal(r.RefusedNotRun, 12)
	is.Equal(r.RefusedButRan, 12)

	f := &fakeRouter{corrupt: func(s string) string { return s }, effects: map[amaranthtide.IdempotencyKey]int{}}
	r = runLoad(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.ServeHTTP(httptest.NewRecorder(), r)
		refuse(w)
	}), caller.Config{Workspaces: serviceCallers, Effects: func() map[amaranthtide.IdempotencyKey]int { return f.effects }})
	is.Equal(r.RefusedNotRun, 12)
	is.Equal(r.RefusedButRan, 12)
	is.Equal(r.DoubleRuns, 12*5) // each call runs once in each of its six tries
}
