package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"amaranthtide"
)

// Guards against bytes that are no answer and reach the caller as one: net/http accepts status codes
// that HTTP doesn't have.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "099": false, "600": false, "999": false, "+20": false, "-20": false, "+200": false, "20": false, "2 0": false,
		"200": true, "599": true, "404": true,
	} {
		s := newServer(t, func(s *server, conn net.Conn, r *bufio.Reader) {
			id := s.readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", status, id)
		})
		resp, err := newPool(t).Do(t.Context(), exchange(s, "a"))
		if valid != (err == nil) || !valid && !amaranthtide.IsKind(err, amaranthtide.KindBackendFailed) {
			t.Errorf("status %q: got: %v, want: valid %v", status, err, valid)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}
