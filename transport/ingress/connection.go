package ingress

import (
	"net"
	"sync/atomic"

	"amaranthtide/transport/internal/socket"
)

// acceptor makes the connections of a listener known to the Server.
type acceptor struct{ *net.TCPListener }

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	c, err := a.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: c}, nil
}

// connection knows whether a request has begun to arrive on it.
type connection struct {
	*net.TCPConn
	// reading is set from the first byte of a request to the end of its answer.
	reading atomic.Bool
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.reading.Store(true)
	}
	return n, err
}

// busy reports whether a request is in progress or waits in the socket.
func (c *connection) busy() bool { return socket.Look(c.TCPConn) == socket.Waiting || c.reading.Load() }

var _ net.Conn = (*connection)(nil)
