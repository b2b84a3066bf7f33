// Package application simulates a plain service. It answers every path and counts the
// effects of each idempotency key, so that tests detect requests that ran twice.
//
// # Usage
//
//	s, err := application.New(application.Config{})
//	...
//	defer s.Close()
//	s.BreakNext(application.AfterEffect, 1) // the next request takes effect but gets no answer
//	fmt.Println(s.Stats().Effects["key-1"])
//
// The HTTP protocol: each request, with any method and path, takes effect once and gets
// status 200 and the text that Answer returns. Effects are counted under the header
// Idempotency-Key. The service doesn't deduplicate by it: a request that is sent twice
// takes effect twice.
//
//	GET  /stats                             Stats
//	POST /standin/break?at=POINT&times=N    calls BreakNext
//	POST /standin/delay?for=DURATION        calls SetDelay
//	PUT  /standin/notice                    calls SetNotice with {"leaving": VALUE, "retryAfter": VALUE}
//
// Responses repeat the header Amaranthtide-Attempt. They have Amaranthtide-Leaving while the
// notice has Leaving. While it has RetryAfter, requests take no effect and are refused with
// status 503, Retry-After, Amaranthtide-Not-Run: true and Amaranthtide-Reason: full.
package application

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"crypto/sha256"

	"amaranthtide"
	"amaranthtide/protocol/wire"
	"amaranthtide/standin/internal/host"
	"amaranthtide/standin/notice"
)

// BreakPoint is a step in the handling of a request.
type BreakPoint string

// Points at which a connection can be closed.
const (
	// BeforeRead is after the request's header arrived and before its body is read.
	BeforeRead BreakPoint = "beforeRead"
	// AfterRead is after the whole request was read and before its effect.
	AfterRead BreakPoint = "afterRead"
	// AfterEffect is after the effect and the delay, before the answer.
	AfterEffect BreakPoint = "afterEffect"
	// MidAnswer is after half of the answer's body was sent.
	MidAnswer BreakPoint = "midAnswer"
)

const maxBodyBytes = 4 << 20

// Config configures a Server. The zero value selects the defaults.
type Config struct {
	// Addr is an IPv4 loopback address; the zero value selects 127.0.0.1 and a free port.
	Addr netip.AddrPort
	// Delay is the time between the effect and the answer.
	Delay time.Duration
}

// Stats counts effects and closed connections since the start.
type Stats struct {
	// Effects is the number of effects of each idempotency key.
	Effects map[string]int `json:"effects"`
	// Unkeyed is the number of effects without a key, Total the number of all effects.
	Unkeyed int `json:"unkeyed"`
	Total   int `json:"total"`
	// Broken is the number of connections closed because of BreakNext.
	Broken int `json:"broken"`
	// Refused is the number of requests that were refused because of SetNotice.
	Refused int `json:"refused"`
}

// Server is a running simulated service. It is safe for concurrent use.
type Server struct {
	host *host.Host

	mu     sync.Mutex
	delay  time.Duration
	breaks map[BreakPoint]int
	notice notice.Notice
	stats  Stats
}

// New starts a service.
func New(cfg Config) (*Server, error) {
	s := &Server{delay: cfg.Delay, breaks: make(map[BreakPoint]int), stats: Stats{Effects: make(map[string]int)}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("POST /standin/break", s.handleBreak)
	mux.HandleFunc("POST /standin/delay", s.handleDelay)
	mux.HandleFunc("PUT /standin/notice", s.handleNotice)
	mux.HandleFunc("/", s.serve)
	h, err := host.New(host.Config{Addr: cfg.Addr, Handler: mux})
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the service and waits for its handlers.
func (s *Server) Close() { s.host.Close() }

// BreakNext closes the connections of the next requests at the given point; times is the
// number of these requests.
func (s *Server) BreakNext(at BreakPoint, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks[at] = times
}

// SetDelay sets the time between effect and answer for future requests.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetNotice replaces what responses say of the service. With RetryAfter, the service refuses
// requests with that pause.
func (s *Server) SetNotice(n notice.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = n
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Effects = make(map[string]int, len(s.stats.Effects))
	for k, n := range s.stats.Effects {
		out.Effects[k] = n
	}
	return out
}

// Answer returns the body of the answer to a request. path and query are escaped, as in
// the request.
func Answer(method, path, query string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%s %s?%s %d %s\n", method, path, query, len(body), hex.EncodeToString(sum[:]))
}

// takeBreak reports whether the connection must be closed at this point, and counts it
// if so.
func (s *Server) takeBreak(p BreakPoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaks[p] <= 0 {
		return false
	}
	s.breaks[p]--
	s.stats.Broken++
	return true
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.takeBreak(BeforeRead) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.takeBreak(AfterRead) {
		panic(http.ErrAbortHandler)
	}
	if s.writeNotice(w, r) {
		return
	}
	delay := s.countEffect(r.Header.Get("Idempotency-Key"))
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if s.takeBreak(AfterEffect) {
		panic(http.ErrAbortHandler)
	}
	text := Answer(r.Method, r.URL.EscapedPath(), r.URL.RawQuery, body)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if s.takeBreak(MidAnswer) {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// writeNotice sets the headers that echo the attempt and say that the service leaves. It
// reports whether it has refused the request.
func (s *Server) writeNotice(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	n := s.notice
	if n.RetryAfter != "" {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if attempt := r.Header.Get(wire.HeaderAttempt); attempt != "" {
		w.Header().Set(wire.HeaderAttempt, attempt)
	}
	n.SetHeaders(w.Header())
	if n.RetryAfter == "" {
		return false
	}
	w.Header().Set("Retry-After", n.RetryAfter)
	w.Header().Set(wire.HeaderNotRun, "true")
	w.Header().Set(wire.HeaderReason, amaranthtide.KindFull.String())
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// countEffect counts an effect and returns the delay of its answer.
func (s *Server) countEffect(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Total++
	if key == "" {
		s.stats.Unkeyed++
	} else {
		s.stats.Effects[key]++
	}
	return s.delay
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

func (s *Server) handleBreak(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	times, err := strconv.Atoi(q.Get("times"))
	at := BreakPoint(q.Get("at"))
	if err != nil || at != BeforeRead && at != AfterRead && at != AfterEffect && at != MidAnswer {
		http.Error(w, "at must be beforeRead, afterRead, afterEffect or midAnswer, times a whole number", http.StatusBadRequest)
		return
	}
	s.BreakNext(at, times)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDelay(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetDelay(d)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleNotice(w http.ResponseWriter, r *http.Request) {
	var n notice.Notice
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetNotice(n)
	w.WriteHeader(http.StatusNoContent)
}
