package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide/transport/ingress"
)

// The requests whose answers end with their connection.
const (
	getUnframed = "GET /unframed HTTP/1.1\r\nHost: a\r\n\r\n"
	getOld      = "GET /old HTTP/1.0\r\n\r\n"
)

// writeEvents begins a stream that the end of its connection ends, and waits until then.
func writeEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.ProtoAtLeast(1, 1) {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(w, "data: 1\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// isReset reads the answer up to its end and reports whether that was a reset of the connection.
func (c client) isReset(t *testing.T) bool {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if !strings.HasPrefix(string(body), "data: 1") {
		t.Errorf("got: body %q, want: the event", body)
	}
	return errors.Is(err, syscall.ECONNRESET)
}

// Guards against an answer that ends with its connection and looks complete when the router ends it early.
func TestUnfinishedAnswersAreReset(t *testing.T) {
	ends := map[string]func(s *ingress.Server){
		"shutdown": func(s *ingress.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_ = s.Shutdown(ctx)
		},
		"close": (*ingress.Server).Close,
	}
	for name, end := range ends {
		for _, request := range []string{getUnframed, getOld} {
			s, addr := serve(t, writeEvents)
			c := dial(t, addr)
			c.send(t, request)
			if _, err := c.r.Peek(len("HTTP")); err != nil {
				t.Fatal(err)
			}
			go end(s)
			if !c.isReset(t) {
				t.Errorf("%s, %.12q: got: an ordinary end, want: a reset", name, request)
			}
		}
	}
}

// Guards against an answer that ends with its connection and looks complete when its handler gives it up.
func TestAbandonedAnswersAreReset(t *testing.T) {
	is := is.New(t)
	for _, request := range []string{getUnframed, getOld} {
		_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 20*time.Millisecond)
			defer cancel()
			writeEvents(w, r.WithContext(ctx))
		})
		c := dial(t, addr)
		c.send(t, request)
		is.True(c.isReset(t))
	}
}

// Guards against complete answers that are reset, which loses what their callers haven't read yet.
func TestFinishedAnswersEndOrderly(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 1<<20)
	_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unframed" {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		body := long
		if r.URL.RawQuery == "short" {
			body = "short"
		}
		_, _ = io.WriteString(w, body)
	})
	for _, request := range []string{getUnframed, getOld, strings.Replace(getUnframed, "/unframed", "/unframed?short", 1), strings.Replace(getOld, "/old", "/old?short", 1)} {
		c := dial(t, addr)
		c.send(t, request)
		time.Sleep(20 * time.Millisecond) // the server ends while the caller has read nothing
		resp, err := http.ReadResponse(c.r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(string(body) == long || string(body) == "short")
		// A short answer to a caller of HTTP/1.0 has a length.
		is.Equal(resp.ContentLength >= 0, strings.HasPrefix(request, "GET /old?short"))
	}
}

// killedServerVariable is set in the process of TestKilledServer that is killed.
const killedServerVariable = "INGRESS_TEST_KILLED_SERVER"

// Guards against an answer that ends with its connection and looks complete when its process is killed.
func TestKilledServer(t *testing.T) {
	if os.Getenv(killedServerVariable) != "" {
		_, addr := serve(t, writeEvents)
		fmt.Println(addr)
		select {}
	}
	is := is.New(t)
	for _, request := range []string{getUnframed, getOld} {
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilledServer$")
		cmd.Env = append(os.Environ(), killedServerVariable+"=1")
		out, err := cmd.StdoutPipe()
		is.NoErr(err)
		is.NoErr(cmd.Start())
		var addr string
		_, err = fmt.Fscanln(out, &addr)
		is.NoErr(err)
		c := dial(t, addr)
		c.send(t, request)
		_, err = c.r.Peek(len("HTTP"))
		is.NoErr(err)
		is.NoErr(cmd.Process.Signal(syscall.SIGKILL))
		is.True(c.isReset(t))
		_ = cmd.Wait()
	}
}
