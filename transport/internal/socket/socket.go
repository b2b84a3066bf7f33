// Package socket reports the state of a connection's socket without reading from it.
//
// # Usage
//
//	if socket.Peek(conn) == socket.Readable {
//		// The peer has sent bytes that were not read yet.
//	}
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a socket as seen by its reader.
type State int

// The states. Unknown is a socket that can't be examined, such as one closed on this
// side.
const (
	Unknown State = iota
	// Empty is an open connection without unread bytes.
	Empty
	// Readable is a connection with unread bytes.
	Readable
	// ClosedByPeer is a connection that the peer has closed.
	ClosedByPeer
)

// Peek returns the state of the connection's socket. It doesn't block.
func Peek(c *net.TCPConn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Unknown
	}
	n := 0
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Unknown
	case errors.Is(recvErr, syscall.EAGAIN):
		return Empty
	case recvErr != nil:
		return Unknown
	case n > 0:
		return Readable
	default:
		return ClosedByPeer
	}
}
