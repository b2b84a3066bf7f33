package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"amaranthtide/platform/standin"
	"amaranthtide/protocol/statusline"
)

const (
	callInterval = 25 * time.Millisecond
	callTimeout  = 4 * time.Second
	// requestTimeout is the time that a caller gives the router.
	requestTimeout = 2 * time.Second
	// unreadWindow is the time before the end of a connection in which a request may
	// have been sent without the router reading it.
	unreadWindow = 200 * time.Millisecond
	usualChats   = 6
	// longBodyShare is the share of payments and lookups whose body doesn't fit into one write.
	longBodyShare = 0.05
	minLongBody   = 20 << 10
	maxLongBody   = 200 << 10
)

// paths has one request path per route of standin.Config. The routes differ in whether
// requests may be repeated and streams resumed.
var paths = []string{"/list/1", "/pay/1", "/chat/1", "/draft/1"}

// caller sends one request at a time to random routers over keep-alive connections.
type caller struct {
	soak   *soak
	client *http.Client
	random *rand.Rand
	number int
	sent   int
	// chats is the number of chats that the caller's streams belong to.
	chats int
}

func (s *soak) newCaller(number int) *caller {
	return &caller{
		soak: s, number: number, chats: usualChats, random: rand.New(rand.NewPCG(s.opts.Seed, uint64(number)+1)),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(ctx, c.soak.routers[c.random.IntN(len(c.soak.routers))], drawPath(c.random))
		time.Sleep(callInterval)
	}
}

// call sends one request, checks the response and reports whether it was served.
func (c *caller) call(ctx context.Context, r *router, path string) bool {
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.soak.opts.Seed, c.number, c.sent)
	key, drawn := c.soak.drawKey(c.random)
	current := c.soak.currentRotation()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r, path, id, key, requestTimeout)
	if err != nil {
		c.soak.addViolation(time.Now(), "soak", "create request: %v", err)
		return false
	}
	sent := time.Now()
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		c.soak.countAnswer("no answer")
		if reused && ctx.Err() == nil {
			c.checkUnanswered(time.Now(), sent, id, path, r, err)
		}
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.soak.countAnswer("cut answer")
		if path == resumablePath {
			c.takeUp(ctx, id, string(text))
		}
		return false
	}
	c.soak.countAnswer(fmt.Sprint(resp.StatusCode))
	if drawn.key != "" && (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusUnauthorized) {
		c.soak.observeKey(time.Now(), sent, r, id, drawn, resp.StatusCode == http.StatusOK)
	}
	c.check(sent, id, path, r, resp, string(text))
	c.soak.checkChange(time.Now(), sentRequest{id, path, key, r, sent, drawn, current}, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// newRequest returns a request that the router must end within the timeout.
func (c *caller) newRequest(ctx context.Context, r *router, path, id, key string, timeout time.Duration) (*http.Request, error) {
	// net/http does not retry a request whose body can't be rewound.
	text := path
	if eventsOf(id, path) == 0 && c.random.Float64() < longBodyShare {
		text = strings.Repeat("x", minLongBody+c.random.IntN(maxLongBody-minLongBody))
	}
	body := io.NopCloser(strings.NewReader(text))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.Host = "shop.example"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(headerRouter, r.name)
	req.Header.Set(headerSent, fmt.Sprint(time.Now().UnixMicro()))
	req.Header.Set(standin.HeaderCredential, key)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set(standin.HeaderPromptPrefix, fmt.Sprintf("%x:100,%x:10", c.random.IntN(c.chats), c.number<<20|c.sent))
	return req, nil
}

// checkUnanswered checks a request whose reused connection ended without an answer. It
// skips streams, since a server may have aborted them, and requests that the router may
// not have read before it closed the connection.
func (c *caller) checkUnanswered(now, sent time.Time, id, path string, r *router, err error) {
	if strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/draft/") || now.Sub(sent) <= unreadWindow {
		return
	}
	if r.connectionFaults.quiet(now, now.Sub(sent)+quietTime) {
		c.soak.addViolation(now, "lost", "request %s %s at %s ended without an answer %s after it was sent: %v", id, path, r.name, now.Sub(sent), err)
	}
}

// check verifies a complete response.
func (c *caller) check(sent time.Time, id, path string, r *router, resp *http.Response, body string) {
	now := time.Now()
	if err := statusline.Check(resp); err != nil {
		c.soak.addViolation(now, "answer", "request %s at %s: %v", id, r.name, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		c.checkBody(now, sent, id, path, resp, body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if mayRunOnce(path) {
			c.soak.recordRefusal(id)
		}
		if body == quarantinedAnswer && c.soak.fleetQuiet(now, quietTime) {
			c.soak.addViolation(now, "held", "sound request %s %s was held back by %s", id, path, r.name)
		}
		if resp.Header.Get("Retry-After") == "" && resp.Header.Get(standin.HeaderSignature) == "" {
			c.soak.addViolation(now, "refusal", "request %s was refused by %s without a Retry-After header", id, r.name)
		}
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if mayRunOnce(path) {
			c.soak.recordRefusal(id)
		}
	}
}

// eventsOf returns the number of events of the answer to a request, 0 if it isn't a stream.
func eventsOf(id, path string) int {
	switch {
	case path == "/chat/1", path == "/draft/1":
		return streamEvents
	case isLong(path):
		return longEvents(id)
	default:
		return 0
	}
}

func (c *caller) checkBody(now, sent time.Time, id, path string, resp *http.Response, body string) {
	if events := eventsOf(id, path); events > 0 {
		var want strings.Builder
		for n := 1; n <= events; n++ {
			want.WriteString(eventText(id, n))
		}
		mayBeShort := c.soak.serverMayHaveEnded(now, sent, id) && strings.HasPrefix(want.String(), body)
		if body != want.String() && !mayBeShort {
			c.soak.addViolation(now, "stream", "request %s got a complete stream with the wrong content: %q", id, body)
		}
		return
	}
	_, server, _ := strings.Cut(body, " by ")
	if body != answerText(id, server) || resp.Header.Get(standin.HeaderSignature) != standin.Signature(server) {
		c.soak.addViolation(now, "answer", "request %s got %q signed %q", id, body, resp.Header.Get(standin.HeaderSignature))
	}
}
