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

// loads holds the running loads by script and name, as processes does.
var loads sync.Map // *testscript.TestScript -> map[string]*load

// load sends requests in the background and judges every answer.
type load struct {
	routers []routerTarget
	tokens  int
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	counts   map[string]int
	failures []string
	// keys holds the outcomes of requests that may not be repeated.
	keys map[string]*keyOutcomes
}

type routerTarget struct{ id, callers, console string }

type keyOutcomes struct {
	ok, refused, failed, unknown int
}

const (
	maxWorkers  = 64
	requestTime = 10 * time.Second
	loadPause   = 10 * time.Millisecond
)

func newLoad(ts *testscript.TestScript, args []string, workers int) *load {
	if workers > maxWorkers {
		ts.Fatalf("%d workers, want at most %d", workers, maxWorkers)
	}
	l := &load{stop: make(chan struct{}), counts: map[string]int{}, keys: map[string]*keyOutcomes{}}
	// A connection is never reused, since net/http sends again on one that broke.
	l.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTime}
	for _, id := range strings.Split(args[1], ",") {
		l.routers = append(l.routers, routerTarget{id, ts.Getenv("CALLERS_" + id), ts.Getenv("CONSOLE_" + id)})
	}
	all, _ := loads.LoadOrStore(ts, map[string]*load{})
	all.(map[string]*load)[args[0]] = l
	ts.Defer(l.stopAndWait)
	return l
}

// chats NAME ROUTERS WORKERS TOKENS streams chats in the background until report. As
// the platform's balancer does, workers choose among the routers that are ready.
func chats(ts *testscript.TestScript, _ bool, args []string) {
	workers, err := strconv.Atoi(args[2])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[3])
	ts.Check(err)
	l := newLoad(ts, args, workers)
	l.tokens = tokens
	for i := range workers {
		l.wg.Go(func() { l.sendChats(args[0] + strconv.Itoa(i)) })
	}
}

// calls NAME ROUTERS WORKERS calls the route entries in the background until report,
// each key with one body by two routers at once.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	workers, err := strconv.Atoi(args[2])
	ts.Check(err)
	l := newLoad(ts, args, workers)
	for i := range workers {
		l.wg.Go(func() { l.sendCalls(args[0] + strconv.Itoa(i)) })
	}
}

// report NAME ends a load and prints its counts: ok, refused (not run), failed (ran),
// unknown, errorEvent, cut, unreachable, and those of the kinds. It fails if an
// answer that was shown as complete is not the whole answer to its own request. If
// there were calls, it sends each key once more to the first router and compares the
// outcomes with the effects that the application counted.
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
		ts.Fatalf("%d faults, the first: %s", len(l.failures), l.failures[0])
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
	case <-time.After(loadPause):
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

func (l *load) sendChats(worker string) {
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
			l.addFailure("%s %d by %s was shown as complete: %q, want %q", worker, n, r.id, content(answer), want)
		case complete:
			l.countOutcome("ok")
		case strings.Contains(answer, "event: error\n"):
			l.countOutcome("errorEvent")
		default:
			l.addFailure("%s %d by %s ended in order without a terminal event or an error: %q", worker, n, r.id, content(answer))
		}
	}
}

// do sends a request and returns how it ended.
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
		l.addFailure("status %d without a readable error: %q", resp.StatusCode, data)
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

func (l *load) sendCalls(worker string) {
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
		l.addFailure("%s got the answer %q", key, answer)
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

// checkKeys compares what callers were told with the effects.
func (l *load) checkKeys(ts *testscript.TestScript, app string) {
	effects := applicationEffects(ts, app)
	for key, k := range l.keys {
		switch n := effects[key]; {
		case n > 1:
			l.addFailure("%s took effect %d times", key, n)
		case n == 0 && k.ok+k.failed > 0:
			l.addFailure("%s did not take effect, and its caller was told that it ran", key)
		case n > 0 && k.ok+k.failed+k.unknown == 0:
			l.addFailure("%s took effect, and all callers were told that it did not run", key)
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
			l.addFailure("%s took effect %d times after a repeat", key, n)
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
