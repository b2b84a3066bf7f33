package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a backend server. Its handler writes answers byte by byte, so that it
// decides how they are framed.
type server struct {
	service, zone string
	addr          string
	store         *store
	rec           *recorder
	// handle answers a request that runs. It returns false if the connection ends with the answer.
	handle func(s *server, c *serverConn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	id       string
	born     time.Time
	seq      int
	listener net.Listener
	conns    map[*net.TCPConn]bool
	quit     chan struct{}
}

// serverConn is a connection of a router.
type serverConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// newServer starts a server and lists it.
func newServer(id, service, zone, ip string, st *store, rec *recorder, handle func(*server, *serverConn, *http.Request, []byte) bool) (*server, error) {
	s := &server{service: service, zone: zone, addr: ip + ":0", store: st, rec: rec, handle: handle, conns: make(map[*net.TCPConn]bool)}
	return s, s.start(id)
}

// start starts the server at its address under an id and lists it.
func (s *server) start(id string) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born, s.seq, s.listener, s.addr, s.quit = id, time.Now(), 0, l, l.Addr().String(), make(chan struct{})
	quit := s.quit
	s.mu.Unlock()
	s.rec.printf("server %s of %s starts at %s", id, s.service, s.addr)
	go s.accept(l)
	go s.beat(quit)
	return nil
}

// beat writes the server's entry now and then.
func (s *server) beat(quit chan struct{}) {
	for {
		s.list("ready")
		select {
		case <-quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) list(state string) {
	s.mu.Lock()
	s.seq++
	id, entry := s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 64, "state": state,
		wire.ColdLeft: 0, "seq": s.seq, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.store.put("servers", id, entry)
}

// name returns the id of the running server.
func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		tcp := c.(*net.TCPConn)
		s.mu.Lock()
		s.conns[tcp] = true
		s.mu.Unlock()
		go s.serve(&serverConn{tcp, bufio.NewReader(tcp)})
	}
}

// serve answers the requests on a connection.
func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.TCPConn)
		s.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get(wire.Expected); want != "" && want != s.name() {
			c.answer(r, 421, nil, "")
			continue
		}
		if !s.handle(s, c, r, body) {
			return
		}
	}
}

// crash resets all connections and closes the listener, as the end of the process does, and starts the
// server again under a new id after a time. Its old entry is removed then. It returns false if the server
// is down already.
func (s *server) crash(down time.Duration, newID string) bool {
	s.mu.Lock()
	id := s.id
	select {
	case <-s.quit:
		s.mu.Unlock()
		return false
	default:
	}
	close(s.quit)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	s.mu.Unlock()
	s.rec.printf("server %s crashes", id)
	time.AfterFunc(down, func() {
		s.store.put("servers", id, nil)
		if err := s.start(newID); err != nil {
			s.rec.printf("server %s does not start again: %v", newID, err)
		}
	})
	return true
}

// close ends the server.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.quit:
	default:
		close(s.quit)
	}
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// head writes the head of an answer with the given further lines.
func (c *serverConn) head(r *http.Request, status int, lines ...string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), wire.RequestID, r.Header.Get(wire.RequestID))
	for _, l := range lines {
		text += l + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n")
	return err
}

// answer writes a whole answer with a length.
func (c *serverConn) answer(r *http.Request, status int, lines []string, body string) {
	_ = c.head(r, status, append(lines, fmt.Sprintf("Content-Length: %d", len(body)))...)
	_, _ = io.WriteString(c, body)
}

// stampLine is the header line with the server's signature.
func (s *server) stampLine() string { return wire.Stamp + ": sig." + s.name() }

// event returns an event of a stream.
func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: tokens %s\n\n", n, strings.Repeat("x", 40))
}
