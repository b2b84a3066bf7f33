// Package application is a stand-in for a plain service. It answers every path and
// counts how often it took effect for each idempotency key, so that tests see a
// request that ran twice.
//
// # Usage
//
//	s, err := application.New(application.Config{})
//	...
//	defer s.Close()
//	s.BreakNext(application.AfterEffect, 1) // the next request gets no answer
//	fmt.Println(s.Stats().Effects["key-1"])
//
// The HTTP protocol: a request of any method to any path takes effect once and gets
// status 200 with the text that Answer returns. The header Idempotency-Key names the
// effect; the service does not look at it otherwise, so that a request that is sent
// twice takes effect twice.
//
//	GET  /stats                             Stats
//	POST /standin/break?at=POINT&times=N    as BreakNext
//	POST /standin/delay?for=DURATION        as SetDelay
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

	"amaranthtide/standin/internal/host"
)

// Point is a moment in the handling of a request.
type Point string

// The points at which a connection can be closed.
const (
	// BeforeRead is after the head of the request arrived and before its body is read.
	BeforeRead Point = "beforeRead"
	// AfterRead is after the whole request was read and before its effect.
	AfterRead Point = "afterRead"
	// AfterEffect is after the effect and before the answer.
	AfterEffect Point = "afterEffect"
	// MidAnswer is after half of the answer's body.
	MidAnswer Point = "midAnswer"
)

const maxBodyBytes = 4 << 20

// Config is what a Server needs. The zero value is usable.
type Config struct {
	// Addr is a loopback address; the zero value is 127.0.0.1 with any port.
	Addr netip.AddrPort
	// Delay is the time between the effect and the answer.
	Delay time.Duration
}

// Stats count requests since the start.
type Stats struct {
	// Effects holds the number of effects for each idempotency key; the empty key is
	// not in it.
	Effects map[string]int `json:"effects"`
	// Unkeyed is the number of effects without a key.
	Unkeyed int `json:"unkeyed"`
	Total   int `json:"total"`
	// Broken is the number of connections that were closed on purpose.
	Broken int `json:"broken"`
}

// Server is a running stand-in. It is concurrent-safe.
type Server struct {
	host *host.Host

	mu     sync.Mutex
	delay  time.Duration
	breaks map[Point]int
	stats  Stats
}

// New starts a stand-in.
func New(cfg Config) (*Server, error) {
	s := &Server{delay: cfg.Delay, breaks: make(map[Point]int), stats: Stats{Effects: make(map[string]int)}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("POST /standin/break", s.handleBreak)
	mux.HandleFunc("POST /standin/delay", s.handleDelay)
	mux.HandleFunc("/", s.serve)
	h, err := host.New(host.Config{Addr: cfg.Addr, Handler: mux})
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Addr returns the address that the stand-in listens on.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the stand-in and waits for its handlers.
func (s *Server) Close() { s.host.Close() }

// BreakNext closes the connections of the next requests at the given point.
func (s *Server) BreakNext(at Point, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks[at] = times
}

// SetDelay sets the time between effect and answer for the requests to come.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Stats returns the counts.
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

// Answer returns the answer to a request. The query is in its escaped form.
func Answer(method, path, query string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%s %s?%s %d %s\n", method, path, query, len(body), hex.EncodeToString(sum[:]))
}

// takeBreak reports whether the connection is to be closed at this point.
func (s *Server) takeBreak(p Point) bool {
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
	at := Point(q.Get("at"))
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
