package framing_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"amaranthtide/protocol/framing"
)

// Guards against an answer that ends with its connection and isn't recognized as such.
func TestFraming(t *testing.T) {
	for _, c := range []struct {
		method, proto, header string
		status                int
		want                  framing.Framing
	}{
		{"GET", "1.1", "Content-Length: 0\r\n", 200, framing.Length},
		{"GET", "1.1", "Transfer-Encoding: chunked\r\n", 200, framing.Chunked},
		{"GET", "1.1", "", 200, framing.ConnectionClose},
		{"POST", "1.0", "", 500, framing.ConnectionClose},
		{"GET", "1.1", "", 204, framing.Length},
	} {
		message := fmt.Sprintf("HTTP/%s %d OK\r\n%s\r\n", c.proto, c.status, c.header)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(message)), &http.Request{Method: c.method})
		if err != nil {
			t.Fatal(err)
		}
		if got := framing.OfResponse(resp); got != c.want {
			t.Errorf("response %q: got: %v, want: %v", message, got, c.want)
		}
		_ = resp.Body.Close()
	}
	for _, c := range []struct {
		method, field, value string
		minor, status        int
		want                 framing.Framing
	}{
		{"GET", "Transfer-Encoding", "identity", 1, 200, framing.ConnectionClose},
		{"GET", "Content-Length", "4", 0, 200, framing.Length},
		{"GET", "X", "y", 0, 200, framing.ConnectionClose},
		{"GET", "X", "y", 1, 200, framing.Chunked},
		{"HEAD", "Transfer-Encoding", "identity", 1, 200, framing.None},
		{"GET", "Transfer-Encoding", "identity", 1, 304, framing.None},
	} {
		r := &http.Request{Method: c.method, ProtoMajor: 1, ProtoMinor: c.minor}
		if got := framing.OfAnswer(r, c.status, http.Header{c.field: {c.value}}); got != c.want {
			t.Errorf("answer to %+v: got: %v, want: %v", c, got, c.want)
		}
	}
}
