package ingress

import (
	"errors"
	"io"
	"time"
)

const (
	// bodyGrace and minBodyRate, in bytes per second, bound the time in which a body has to
	// arrive. A caller that sends a byte now and then would otherwise hold its memory without
	// end; one on a link of 128 kbit/s is fast enough.
	bodyGrace   = 5 * time.Second
	minBodyRate = 16 << 10
)

// requestBody tells the connection how the body of a request arrives.
type requestBody struct {
	io.ReadCloser
	conn *connection
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.bodyReceived(time.Now())
	} else if err == nil {
		b.conn.bodyArrives(n)
	}
	return n, err
}
