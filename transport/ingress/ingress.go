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

// idleCheckInterval is how often Shutdown looks for connections that have become idle.
const idleCheckInterval = 20 * time.Millisecond

// Server is concurrent-safe. Use New.
type Server struct {
	listener *net.TCPListener
	http     *http.Server
	wg       sync.WaitGroup

	mu          sync.Mutex
	connections amaranthtide.Set[*connection]
	stopping    bool
}

// New serves on the listener until Shutdown or Close. It sets the server's ConnState and
// wraps its Handler. failed is called if the listener fails before that.
func New(l *net.TCPListener, srv *http.Server, onError func(error)) *Server {
	s := &Server{listener: l, http: srv, connections: amaranthtide.NewSet[*connection]()}
	srv.ConnState, srv.Handler = s.onConnState, s.closeWhenStopping(srv.Handler)
	s.wg.Go(func() { s.serve(onError) })
	return s
}

func (s *Server) serve(onError func(error)) {
	err := s.http.Serve(trackingListener{s.listener})
	if !s.isStopping() {
		onError(err)
	}
}

// closeWhenStopping asks callers to close their connections while the server stops.
func (s *Server) closeWhenStopping(h http.Handler) http.Handler {
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

// onConnState follows the connections.
func (s *Server) onConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.connections.Add(conn)
		s.mu.Unlock()
	case http.StateIdle:
		conn.requestActive.Store(false)
	case http.StateHijacked, http.StateClosed:
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	}
}

// Shutdown accepts no more connections, closes those on which no request has arrived,
// and waits until the others are closed with their answers. When ctx ends, it cuts the connections that are left and
// returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		busy := s.closeIdle()
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			s.Close()
			return amaranthtide.Errorf(amaranthtide.KindShuttingDown, "%d connections were cut: %w", busy, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close cuts all connections and waits until the listener is closed.
func (s *Server) Close() {
	s.stopAccepting()
	_ = s.http.Close() // what remains of it is of no use
	s.wg.Wait()
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close() // closed before if this is a second call
}

// closeIdle closes the connections without a request and returns the number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	connections := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	s.mu.Unlock()
	busy := 0
	for _, c := range connections {
		if c.busy() {
			busy++
			continue
		}
		_ = c.Close() // the server notices by its read
		s.onConnState(c, http.StateClosed)
	}
	return busy
}
