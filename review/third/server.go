package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a server of a service. It keeps its entry in the store, and answers 421 to
// requests that expect another server.
type server struct {
	id, service, zone string
	slots             int
	store             *store
	rec               *record
	handle            http.HandlerFunc // of requests that are for this server

	mu       sync.Mutex
	addr     string
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	state    string
	seq      int
	written  string        // the entry without seq as it was last written, with the era of the store
	skew     time.Duration // by which the clock of the machine is ahead
	hasLeft  bool          // writes nothing to the store any more
}

func newServer(d *deployment, id, service, zone string, slots int) *server {
	return &server{id: id, service: service, zone: zone, slots: slots, store: d.store, rec: d.rec, state: "ready", conns: make(map[net.Conn]bool)}
}

// start starts the server, at its earlier address if it had one.
func (s *server) start() error {
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr, s.listener, s.born = l.Addr().String(), l, time.Now().Add(s.skew).UnixMilli()
	s.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		default:
		}
	}}
	go func() { _ = srv.Serve(l) }()
	s.beat()
	return nil
}

// crash ends the server as the end of its process does: its connections are reset. It reports false if the
// server is down already.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = make(map[net.Conn]bool)
	return true
}

// run writes the entry once per heartbeat while the server is up.
func (s *server) run() {
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		up := s.listener != nil
		s.mu.Unlock()
		if up {
			s.beat()
		}
	}
}

// beat writes the entry if more than its seq has changed, or if the store has come back from a copy.
func (s *server) beat() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		fieldColdMS: 0, "born": s.born,
	}
	content := fmt.Sprint(entry, s.store.currentEra())
	if s.hasLeft || content == s.written {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry["seq"] = s.seq
	s.mu.Unlock()
	if !s.store.put("servers", s.id, entry) {
		s.rec.add("server %s can't write its entry", s.id)
		return
	}
	s.mu.Lock()
	s.written = content
	s.mu.Unlock()
}

// setState changes the state in the entry.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(hdrSelf, s.id)
		return
	}
	id := r.Header.Get(hdrRequestID)
	w.Header().Set(hdrRequestID, id)
	if r.Header.Get(hdrInstance) != s.id {
		s.rec.add("server %s answers 421 to %s", s.id, id)
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(hdrStamp, fmt.Sprintf("stamp-%s-%s", s.id, id))
	s.handle(w, r)
}
