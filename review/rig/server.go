package rig

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in for a backend server. It rejects requests for another instance, echoes
// Request-Id and signs its answers, as PROTOCOL.md says.
type Server struct {
	ID, Addr, Service, Zone string
	// Handle answers the requests that are run.
	Handle http.HandlerFunc

	record *Record
	mu     sync.Mutex
	runs   map[string]int // by Request-Id
}

// NewServer starts a server on a free loopback port.
func NewServer(record *Record, id, service, zone string, handle http.HandlerFunc) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: l.Addr().String(), Service: service, Zone: zone, Handle: handle, record: record, runs: make(map[string]int)}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	return s, nil
}

// Stamp is the signature of the server's answers.
func (s *Server) Stamp() string { return "stamp-" + s.ID }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get(Names.Expected) != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.Printf("server %s runs %s (%s %s, Last-Event-Id %q)", s.ID, id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
	w.Header().Set(Names.Stamp, s.Stamp())
	s.Handle(w, r)
}

// Runs returns how often the server has run the request.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Entry is the server's row in the store.
func (s *Server) Entry(slots int) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": "v1", "slots": slots, "state": "ready",
		Names.ColdLeft: 0, "stage": "both", "seq": 1, "born": time.Now().UnixMilli(),
	}
}
