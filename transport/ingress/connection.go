package ingress

import (
	"net"
	"sync/atomic"

	"amaranthtide/transport/internal/socket"
)

// trackingListener wraps accepted connections, so that the Server knows which are busy.
type trackingListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: c}, nil
}

// connection records whether a request has begun to arrive on it.
type connection struct {
	*net.TCPConn
	// requestActive is true from the first byte of a request to the end of its answer.
	requestActive atomic.Bool
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.requestActive.Store(true)
	}
	return n, err
}

// busy reports whether a request is in progress or unread in the socket.
func (c *connection) busy() bool {
	return socket.Peek(c.TCPConn) == socket.Readable || c.requestActive.Load()
}

var _ net.Conn = (*connection)(nil)
