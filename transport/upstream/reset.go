package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// socketConn is a TCP connection whose reads report a reset that one of its writes has met. The system
// reports a reset once, to the call that comes first; afterwards reads return io.EOF, as at the ordinary
// end of the connection, which ends an answer without framing.
type socketConn struct {
	*net.TCPConn
	// writing is held during a write.
	writing sync.Mutex
	// reset is the reset that a write has met; nil if none has. writing guards it.
	reset error
}

// writeBuffers writes all buffers.
func (c *socketConn) writeBuffers(b *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.TCPConn)
	// After an orderly end, writes fail with EPIPE instead.
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset = err
	}
	return n, err
}

// Read implements io.Reader. No answer follows io.EOF, so that a write in progress is ended then.
func (c *socketConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // in the past; fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.reset != nil {
		err = c.reset
	}
	return n, err
}
