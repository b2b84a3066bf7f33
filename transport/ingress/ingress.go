// Package ingress serves HTTP on a listener and can stop without the loss of a request
// that a caller has sent on a kept connection.
//
// It exists beside the Shutdown of net/http, which closes a connection that it takes
// for idle although a request waits in the socket, and drops a request whose header
// was read while it shuts down. On a VM that is short of processor time both happen
// to requests that were sent well before.
//
// # Usage
//
//	s := ingress.New(listener, &http.Server{Handler: h}, failed)
//	defer s.Close()
//	err := s.Shutdown(ctx) // waits for requests in flight
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthtide"
)

// sweepInterval is how often Shutdown looks for connections that have become idle.
const sweepInterval = 20 * time.Millisecond

// Server is concurrent-safe. Use New.
type Server struct {
	listener *net.TCPListener
	http     *http.Server
	wg       sync.WaitGroup

	mu       sync.Mutex
	open     amaranthtide.Set[*connection]
	stopping bool
}

// New serves on the listener until Shutdown or Close. It sets the server's ConnState and
// wraps its Handler. failed is called if the listener fails before that.
func New(l *net.TCPListener, srv *http.Server, failed func(error)) *Server {
	s := &Server{listener: l, http: srv, open: amaranthtide.NewSet[*connection]()}
	srv.ConnState, srv.Handler = s.connState, s.handler(srv.Handler)
	s.wg.Go(func() { s.run(failed) })
	return s
}

func (s *Server) run(failed func(error)) {
	err := s.http.Serve(acceptor{s.listener})
	if !s.isStopping() {
		failed(err)
	}
}

// handler asks callers to close their connections while the server stops.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// connState follows the connections.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.open.Add(conn)
		s.mu.Unlock()
	case http.StateIdle:
		conn.reading.Store(false)
	case http.StateHijacked, http.StateClosed:
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
	}
}

// Shutdown accepts no more connections, closes those on which no request has arrived,
// and waits until the others are closed with their answers. When ctx ends, it cuts the connections that are left and
// returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		left := s.closeIdle()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			s.Close()
			return amaranthtide.Errorf(amaranthtide.KindShuttingDown, "%d connections were cut: %w", left, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close cuts all connections and waits until the listener is closed.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close() // what remains of it is of no use
	s.wg.Wait()
}

func (s *Server) stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close() // closed before if this is a second call
}

// closeIdle closes the connections without a request and returns the number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	left := 0
	for _, c := range open {
		if c.busy() {
			left++
			continue
		}
		_ = c.Close() // the server notices by its read
		s.connState(c, http.StateClosed)
	}
	return left
}
