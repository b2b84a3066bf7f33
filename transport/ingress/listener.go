package ingress

import (
	"errors"
	"io"
	"net"
	"time"

	"amaranthtide/state/memory"
)

const (
	// fullTimeout is how long new connections wait while there are too many. After it, they are
	// refused until there is room for some: otherwise callers would wait behind a crowd.
	fullTimeout = 100 * time.Millisecond
	// roomShare is the part of the connections that must be free until new ones wait again.
	roomShare = 1.0 / 16
	// retryInterval is the time between attempts to accept or keep a connection, unless another
	// one is closed before.
	retryInterval = 50 * time.Millisecond
	// refusal is the answer on a connection that is refused. No request of it has been read.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nRetry-After: 1\r\nConnection: close\r\n\r\nfull\n"
)

// Limits are the limits of a server. The zero value means none.
type Limits struct {
	// Guard closes connections when memory runs short. It is shared by the servers of a process.
	Guard *Guard
	// MaxConnections is the number of open connections; 0 means no limit.
	MaxConnections int
}

// memory returns the memory of the process, or nil if it has no limit.
func (l Limits) memory() *memory.Budget {
	if l.Guard == nil {
		return nil
	}
	return l.Guard.memory
}

// limitedListener accepts the connections of a Server within its limits.
type limitedListener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener. Only the end of the listener is an error: others, such as a
// lack of descriptors, pass.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.server.makeRoom(time.Now())
			l.server.awaitRoom()
			continue
		}
		if l.server.admit() {
			return newConnection(l.server, c, time.Now()), nil
		}
		_, _ = io.WriteString(c, refusal) // a new connection takes it at once, or is closed already
		_ = c.Close()
	}
}

// admit counts a new connection and reports whether it may stay. If there are too many, it closes
// another one, or waits until one is closed.
func (s *Server) admit() bool {
	evicted := false
	for {
		if s.add() {
			return true
		}
		now := time.Now()
		// What a closed connection held is free a little later: one is closed at a time.
		if !evicted && s.makeRoom(now) {
			evicted = true
			s.forgetRoom()
			continue
		}
		evicted = false
		if s.fullSince.IsZero() {
			s.fullSince = now
		}
		if now.Sub(s.fullSince) >= fullTimeout || s.isStopping() {
			if s.limits.Guard != nil {
				s.limits.Guard.refused.Add(1)
			}
			return false
		}
		s.awaitRoom()
	}
}

// forgetRoom drops the notice of a closed connection, so that awaitRoom waits for another one.
func (s *Server) forgetRoom() {
	select {
	case <-s.room:
	default:
	}
}

// add counts a connection unless there are too many, or no memory for it.
func (s *Server) add() bool {
	s.mu.Lock()
	full := s.limits.MaxConnections > 0 && s.open >= s.limits.MaxConnections
	if !full {
		s.open++
	}
	if float64(s.open) < (1-roomShare)*float64(s.limits.MaxConnections) {
		s.fullSince = time.Time{}
	}
	s.mu.Unlock()
	if full {
		return false
	}
	if memory := s.limits.memory(); memory != nil && !memory.Reserve(connectionBytes) {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		return false
	}
	if s.limits.Guard != nil {
		s.limits.Guard.open.Add(1)
	}
	return true
}

// closed ends the count of a connection.
func (s *Server) closed() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	if s.limits.Guard != nil {
		s.limits.Guard.open.Add(-1)
	}
	select {
	case s.room <- struct{}{}:
	default: // the listener hasn't received the last one yet
	}
}

// makeRoom closes a connection of the server, if one may be closed.
func (s *Server) makeRoom(now time.Time) bool {
	if s.limits.Guard == nil {
		return false
	}
	return s.limits.Guard.evict(now, s.openConnections(), func(int64) bool { return false }) > 0
}

// awaitRoom waits until a connection is closed, or some time has passed.
func (s *Server) awaitRoom() {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-s.room:
	case <-timer.C:
	}
}
