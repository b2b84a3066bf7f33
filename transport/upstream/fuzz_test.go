package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"amaranthtide/transport/upstream"
)

// pieces are what a server of the fuzz test may send. The bodies name the request that they
// belong to; "none" has no identifier.
var pieces = []string{
	httpAnswer("1", "one"),
	httpAnswer("2", "two"),
	httpAnswer("3", "other"),
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 3\r\n\r\n",
	"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	"0\r\n\r\n",
	"\r\n",
	"garbage",
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\none",
	"HTTP/1.1 200",
	"two",
}

const (
	// awaitRequest makes the server of the fuzz test wait for the next request, closeNow
	// makes it close the connection, truncate after a part of an answer. Other bytes select
	// a piece.
	awaitRequest = 0xff
	closeNow     = 0xfe
	truncate     = 0xfd
)

// Guards against an answer that reaches another request than its own, whatever a server
// sends and when: duplicates, late, early and pipelined answers, answers without an
// identifier, broken framing.
func FuzzAnswersReachTheirRequest(f *testing.F) {
	f.Add([]byte{awaitRequest, 0, awaitRequest, 1})
	f.Add([]byte{awaitRequest, 0, 0, awaitRequest, 1})               // a second copy
	f.Add([]byte{awaitRequest, 0, awaitRequest, 0, 1})               // a late second copy
	f.Add([]byte{awaitRequest, 0, awaitRequest, 3})                  // one without an identifier
	f.Add([]byte{0, awaitRequest, 1, awaitRequest, 1})               // answers before their requests
	f.Add([]byte{awaitRequest, 4, 4, 2, 8, awaitRequest, 1})         // skipped answers
	f.Add([]byte{awaitRequest, 6, closeNow, awaitRequest, truncate}) // truncated answers
	f.Add([]byte{awaitRequest, 13, 15, awaitRequest, 5, 10, 11, 12})
	f.Fuzz(func(t *testing.T, script []byte) {
		script = script[:min(len(script), 24)]
		s := newServer(t, func(s *server, conn net.Conn, r *bufio.Reader) {
			defer func() { _ = conn.Close() }()
			for _, b := range script {
				switch b {
				case awaitRequest:
					if s.readRequest(r) == "" {
						return
					}
				case truncate:
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 30\r\n\r\ntwo")
					return
				case closeNow:
					return
				default:
					if _, err := io.WriteString(conn, pieces[int(b)%len(pieces)]); err != nil {
						return
					}
				}
			}
		})
		p := upstream.New(upstream.Options{DialTimeout: 5 * time.Second})
		defer p.Close()
		for id, want := range map[string]string{"1": "one", "2": "two"} {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			first := false
			e := exchange(s, id)
			e.Match = func(h http.Header, f bool) bool {
				first = f
				return h.Get("Id") == id || h.Get("Id") == "" && f
			}
			resp, err := p.Do(ctx, e)
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				withoutID := resp.Header.Get("Id") == "" && first
				framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
				if err == nil && framed && !withoutID && string(body) != want {
					t.Errorf("got: the body %q for request %s, want: %q", body, id, want)
				}
			}
			cancel()
		}
	})
}
