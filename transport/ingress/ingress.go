// Package ingress serves HTTP on a listener and shuts down without losing a request that
// a caller has already sent on an open connection.
//
// It replaces the Shutdown of net/http, which closes a connection that it considers idle
// although an unread request is in the socket, and drops a request whose header is being
// read when the shutdown begins. On a VM that is short of processor time, both happen to
// requests that were sent well before the shutdown.
//
// # Usage
//
//	s := ingress.New(listener, &http.Server{Handler: h}, onError)
//	defer s.Close()
//	err := s.Shutdown(ctx) // waits for requests in flight
//
// A server with Limits bounds what its callers take from the process. It counts connections and
// the heads of requests as they arrive, and closes connections when descriptors or memory run
// short: the longest idle first, then requests that arrive too slowly, then answers that are
// not read. Of these requests, only those whose answer was being sent have run.
//
//	g := ingress.NewGuard(memory.New(limit))
//	defer g.Close()
//	s := ingress.NewLimited(listener, srv, ingress.Limits{Guard: g, MaxConnections: 1000}, onError)
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthtide"
)

const (
	// idleCheckInterval is the time between checks for idle connections during a shutdown.
	idleCheckInterval = 20 * time.Millisecond
	// nextRequestTime is how long a connection stays open after an answer during a shutdown. A
	// caller that sends its next request at once would otherwise see a reset, and couldn't tell
	// whether the request was read.
	nextRequestTime = 200 * time.Millisecond
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Server is an HTTP server on one listener. It is safe for concurrent use. Use New.
type Server struct {
	listener *net.TCPListener
	http     *http.Server
	limits   Limits
	wg       sync.WaitGroup
	// room gets a value when a connection is closed.
	room chan struct{}
	// fullSince is since when there has been no room for another connection; only the listener
	// uses it.
	fullSince time.Time

	mu          sync.Mutex
	connections amaranthtide.Set[*connection]
	// open is the number of connections that hold a descriptor.
	open     int
	stopping bool
}

// New serves on the listener until Shutdown or Close. It sets the ConnState of srv and
// wraps its Handler. onError is called if the listener fails before then.
func New(l *net.TCPListener, srv *http.Server, onError func(error)) *Server {
	return NewLimited(l, srv, Limits{}, onError)
}

// NewLimited is like New for a server with limits.
func NewLimited(l *net.TCPListener, srv *http.Server, limits Limits, onError func(error)) *Server {
	s := &Server{listener: l, http: srv, limits: limits, room: make(chan struct{}, 1), connections: amaranthtide.NewSet[*connection]()}
	if limits.Guard != nil {
		limits.Guard.add(s)
	}
	srv.ConnState, srv.Handler = s.onConnState, s.trackRequests(srv.Handler)
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.wg.Go(func() { s.run(onError) })
	return s
}

func (s *Server) run(onError func(error)) {
	err := s.http.Serve(limitedListener{s.listener, s})
	if !s.isStopping() {
		onError(err)
	}
}

// trackRequests wraps a handler to record when requests and their bodies arrive, and to close
// connections after their current request while the server stops.
func (s *Server) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A request that arrived together with the one before was read before that one's answer
		// ended.
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		conn.beginRequest(time.Now(), len(r.Header), hasBody)
		if hasBody {
			_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
			r = r.WithContext(r.Context())        // net/http goes on using the body of the original
			r.Body = &requestBody{ReadCloser: r.Body, conn: conn}
		}
		if s.isStopping() {
			w.Header().Set("Connection", "close")
		}
		answer := &answerWriter{ResponseWriter: w, conn: conn, request: r}
		h.ServeHTTP(answer, r)
		answer.finish()
	})
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// onConnState tracks the open connections and the ends of their requests.
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
		conn.answered(time.Now())
	case http.StateHijacked, http.StateClosed:
		conn.release()
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	}
}

// openConnections returns the open connections.
func (s *Server) openConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	return open
}

// Shutdown stops accepting connections, closes those without a request, and waits until
// the others are closed after their answers. When ctx ends, it closes the remaining
// connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		busy := s.closeIdle(time.Now())
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			s.Close()
			return amaranthtide.Errorf(amaranthtide.KindShuttingDown, "%d connections closed with requests in flight: %w", busy, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections, also those with requests in flight, and
// waits until the server has ended.
func (s *Server) Close() {
	s.stopAccepting()
	_ = s.http.Close() // its error is only that of the listener, which is closed already
	s.wg.Wait()
	if s.limits.Guard != nil {
		s.limits.Guard.remove(s)
	}
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close() // fails if it was closed by an earlier call
}

// closeIdle closes the connections without a request and returns how many are busy.
func (s *Server) closeIdle(now time.Time) int {
	busy := 0
	for _, c := range s.openConnections() {
		if c.busy(now) {
			busy++
			continue
		}
		_ = c.Close() // the server's pending read fails then
		s.onConnState(c, http.StateClosed)
	}
	return busy
}
