package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthtide/protocol/reply"
	"amaranthtide/standin/application"
	"amaranthtide/standin/engine"
)

// loads holds the loads of each script by name.
var loads sync.Map // *testscript.TestScript -> map[string]*load

// load sends requests in the background and checks every answer.
type load struct {
	routers []routerTarget
	tokens  int
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	counts   map[string]int
	failures []string
	// keys has the outcomes of calls by idempotency key.
	keys map[string]*keyOutcomes
}

type routerTarget struct{ id, callers, console string }

// keyOutcomes counts the outcomes of the calls with one idempotency key. refused includes
// calls whose router was unreachable.
type keyOutcomes struct {
	ok, refused, failed, unknown int
}

const (
	maxWorkers      = 64
	requestTimeout  = 10 * time.Second
	requestInterval = 10 * time.Millisecond
)

func newLoad(ts *testscript.TestScript, args []string, workers int) *load {
	if workers > maxWorkers {
		ts.Fatalf("%d workers, want at most %d", workers, maxWorkers)
	}
	l := &load{stop: make(chan struct{}), counts: map[string]int{}, keys: map[string]*keyOutcomes{}}
	// Connections are not reused, since net/http retries a request if a reused connection
	// breaks.
	l.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	for _, id := range strings.Split(args[1], ",") {
		l.routers = append(l.routers, routerTarget{id, ts.Getenv("CALLERS_" + id), ts.Getenv("CONSOLE_" + id)})
	}
	all, _ := loads.LoadOrStore(ts, map[string]*load{})
	all.(map[string]*load)[args[0]] = l
	ts.Defer(l.stopAndWait)
	return l
}

// chats NAME ROUTERS WORKERS TOKENS streams chats in the background until report. Like
// the platform's load balancer, workers choose among the routers that are ready.
func chats(ts *testscript.TestScript, _ bool, args []string) {
	workers, err := strconv.Atoi(args[2])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[3])
	ts.Check(err)
	l := newLoad(ts, args, workers)
	l.tokens = tokens
	for i := range workers {
		l.wg.Go(func() { l.loopChats(args[0] + strconv.Itoa(i)) })
	}
}

// calls NAME ROUTERS WORKERS calls the route entries in the background until report.
// It sends each idempotency key with the same body to two routers at once.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	workers, err := strconv.Atoi(args[2])
	ts.Check(err)
	l := newLoad(ts, args, workers)
	for i := range workers {
		l.wg.Go(func() { l.loopCalls(args[0] + strconv.Itoa(i)) })
	}
}

// report NAME stops a load and prints its counts: ok, refused (not run), failed (ran),
// unknown, errorEvent, cut, unreachable, and those of the error kinds. It fails if an
// answer that looks complete is not the whole answer to its own request. After calls,
// it compares the outcomes with the effects that the application counted and repeats a
// sample of the keys at the first router, which must not take effect again.
func report(ts *testscript.TestScript, _ bool, args []string) {
	all, _ := loads.Load(ts)
	l := all.(map[string]*load)[args[0]]
	l.stopAndWait()
	if len(l.keys) > 0 {
		l.checkKeys(ts, ts.Getenv("APP"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := fmt.Fprintf(ts.Stdout(), "ok=%d refused=%d failed=%d unknown=%d errorEvent=%d cut=%d unreachable=%d keys=%d %v\n",
		l.counts["ok"], l.counts["refused"], l.counts["failed"], l.counts["unknown"], l.counts["errorEvent"], l.counts["cut"],
		l.counts["unreachable"], len(l.keys), l.counts)
	ts.Check(err)
	if len(l.failures) > 0 {
		ts.Fatalf("%d failures, the first: %s", len(l.failures), l.failures[0])
	}
}

func (l *load) stopAndWait() {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	case <-time.After(requestInterval):
		return false
	}
}

func (l *load) countOutcome(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

func (l *load) addFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// readyRouter returns a router that is ready; false if none is.
func (l *load) readyRouter() (routerTarget, bool) {
	for _, i := range rand.Perm(len(l.routers)) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.routers[i].console+"/readyz", nil)
		resp, err := l.client.Do(req)
		cancel()
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return l.routers[i], true
		}
	}
	return routerTarget{}, false
}

func (l *load) loopChats(worker string) {
	for n := 0; !l.stopped(); n++ {
		r, ok := l.readyRouter()
		if !ok {
			l.countOutcome("noneReady")
			continue
		}
		body, _ := json.Marshal(map[string]any{"stream": true, "max_tokens": l.tokens,
			"messages": []map[string]string{{"role": "user", "content": fmt.Sprint(worker, " ", n)}}})
		req, _ := http.NewRequest(http.MethodPost, "http://"+r.callers+"/v1/chat/completions", bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer small")
		req.Header.Set("Amaranthtide-Chat", fmt.Sprint(worker, n%8))
		want, _ := engine.Answer(body)
		outcome, answer := l.do(req)
		if outcome != "ok" {
			l.countOutcome(outcome)
			continue
		}
		switch complete := strings.HasSuffix(answer, "data: [DONE]\n\n"); {
		case complete && content(answer) != want:
			l.addFailure("chat %s %d through %s looks complete with the answer %q, want %q", worker, n, r.id, content(answer), want)
		case complete:
			l.countOutcome("ok")
		case strings.Contains(answer, "event: error\n"):
			l.countOutcome("errorEvent")
		default:
			l.addFailure("chat %s %d through %s ended normally without a terminal event or an error: %q", worker, n, r.id, content(answer))
		}
	}
}

// do sends a request and returns its outcome and its answer.
func (l *load) do(req *http.Request) (outcome, answer string) {
	resp, err := l.client.Do(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return "unreachable", ""
	}
	if err != nil {
		l.countOutcome("cut: " + path.Base(err.Error()))
		return "cut", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		l.countOutcome("cut in the answer: " + path.Base(err.Error()))
		return "cut", string(data)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return "ok", string(data)
	}
	var body reply.Body
	if json.Unmarshal(data, &body) != nil {
		l.addFailure("status %d without a valid error body: %q", resp.StatusCode, data)
		return "unknown", ""
	}
	l.countOutcome(body.Error.Kind)
	switch body.Error.Ran {
	case "no":
		return "refused", ""
	case "yes":
		return "failed", ""
	default:
		return "unknown", ""
	}
}

func (l *load) loopCalls(worker string) {
	for n := 0; !l.stopped(); n++ {
		key := fmt.Sprint(worker, "-", n)
		k := &keyOutcomes{}
		l.mu.Lock()
		l.keys[key] = k
		l.mu.Unlock()
		var pair sync.WaitGroup
		for _, i := range rand.Perm(len(l.routers))[:min(2, len(l.routers))] {
			pair.Go(func() { l.call(l.routers[i], key, k) })
		}
		pair.Wait()
	}
}

func (l *load) call(r routerTarget, key string, k *keyOutcomes) {
	body := "fee of " + key
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.callers+"/services/entries/entries", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer small")
	req.Header.Set("Idempotency-Key", key)
	outcome, answer := l.do(req)
	if outcome == "ok" && answer != application.Answer(http.MethodPost, "/entries", "", []byte(body)) {
		l.addFailure("key %s got the wrong answer %q", key, answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
	switch outcome {
	case "ok":
		k.ok++
	case "refused", "unreachable":
		k.refused++
	case "failed":
		k.failed++
	default:
		k.unknown++
	}
}

// checkKeys compares the outcomes that callers were told with the effects that the
// application counted, and repeats a sample of the keys.
func (l *load) checkKeys(ts *testscript.TestScript, app string) {
	effects := applicationEffects(ts, app)
	for key, k := range l.keys {
		switch n := effects[key]; {
		case n > 1:
			l.addFailure("key %s took effect %d times", key, n)
		case n == 0 && k.ok+k.failed > 0:
			l.addFailure("key %s did not take effect, but a caller was told that it ran", key)
		case n > 0 && k.ok+k.failed+k.unknown == 0:
			l.addFailure("key %s took effect, but all callers were told that it did not run", key)
		}
	}
	const repeated = 100
	for key, k := range l.keys {
		if k.ok+k.refused+k.failed+k.unknown < 3 && len(l.keys) < repeated || rand.IntN(len(l.keys)) < repeated {
			l.call(l.routers[0], key, &keyOutcomes{})
		}
	}
	for key, n := range applicationEffects(ts, app) {
		if _, mine := l.keys[key]; mine && n > 1 {
			l.addFailure("key %s took effect %d times after a repeated call", key, n)
		}
	}
}

func applicationEffects(ts *testscript.TestScript, app string) map[string]int {
	resp, err := http.Get("http://" + app + "/stats")
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var stats application.Stats
	ts.Check(json.NewDecoder(resp.Body).Decode(&stats))
	return stats.Effects
}

// metric returns the value of a metric in the Prometheus text format.
func metric(r io.Reader, name string) float64 {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 2 && (fields[0] == name || strings.HasPrefix(fields[0], name+"{")) {
			v, _ := strconv.ParseFloat(fields[1], 64)
			return v
		}
	}
	return 0
}
