package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	resetAttempts = 24
	// longBodyBytes don't fit into the buffers of both sockets.
	longBodyBytes = 16 << 20
)

// upload sends a long body and returns the body of the answer.
func upload(t *testing.T, s *server) (string, error) {
	t.Helper()
	e := exchange(s, "a")
	e.Message = []byte("POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 16777216\r\n\r\n")
	e.Body = make([]byte, longBodyBytes)
	resp, err := newPool(t).Do(t.Context(), e)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against the first part of an answer without framing that is taken for all of it: the server
// resets the connection while the request is being sent, and the write learns of it, not the read.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	s := newServer(t, func(_ *server, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r) // fails with the connection
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close() // with unread bytes, which resets the connection
	})
	whole := 0
	for range resetAttempts {
		if body, err := upload(t, s); err == nil {
			t.Logf("got: %q without an error", body)
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("got: a complete answer in %d of %d attempts, want: none", whole, resetAttempts)
	}
}

// Guards against an answer without framing that is lost because its server ends it in the ordinary way
// before it has read the request.
func TestEndDuringUploadIsAnEnd(t *testing.T) {
	s := newServer(t, func(_ *server, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r) // fails with the connection
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite() // fails only on a closed connection
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	})
	for range resetAttempts {
		if body, err := upload(t, s); err != nil || body != "whole" {
			t.Fatalf("got: %q, %v, want: the whole answer", body, err)
		}
	}
}
