package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a client's request.
type request struct {
	id, method, path string
	headers          map[string]string
	// key is the client's key; empty means clientKey.
	key      string
	body     string
	deadline time.Duration
}

// answer is what a client has seen of an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// unframed is set for an answer with neither a length nor chunks.
	unframed bool
	// complete is set if the answer ended as its framing says: with its last byte or chunk, or, without
	// framing, with the end of its connection and no error.
	complete bool
	err      error
}

// clientKey is the key that all clients have.
const clientKey = "key0123456789abcdef"

// send sends a request on a new connection and reads its answer.
func send(addr string, q request) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	key := q.key
	if key == "" {
		key = clientKey
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n",
		q.method, q.path, wire.RequestID, q.id, wire.Deadline, q.deadline.Milliseconds(), wire.Credential, key)
	for name, value := range q.headers {
		text += name + ": " + value + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case !a.complete:
		return fmt.Sprintf("status %d, %d bytes, broken off: %v", a.status, len(a.body), a.err)
	default:
		return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
	}
}

// isTimeout reports whether the client gave up.
func (a answer) isTimeout() bool {
	var t net.Error
	return errors.As(a.err, &t) && t.Timeout()
}
