package standins

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against stand-ins that don't print their address, don't stop when their
// context ends or accept invalid arguments.
func TestRun(t *testing.T) {
	tests := []struct{ command, path string }{
		{"platform", "/vms"}, {"engine", "/load"}, {"application", "/stats"},
	}
	for _, tt := range tests {
		t.Run(tt.command, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, w := io.Pipe()
			ended := make(chan error, 1)
			go func() { ended <- run(ctx, []string{tt.command}, w) }()
			line, err := bufio.NewReader(r).ReadString('\n')
			addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
			if err != nil || !ok {
				t.Fatalf("got: %q %v, want: listening on <address>", line, err)
			}
			resp, err := http.Get("http://" + addr + tt.path)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got: %v %v, want: 200", resp.StatusCode, err)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	for _, args := range [][]string{{}, {"queue"}, {"engine", "--listen", "192.0.2.1:0"}, {"engine", "--capacity", "x"}} {
		if err := run(context.Background(), args, io.Discard); err == nil {
			t.Errorf("%v got: no error, want: an error", args)
		}
	}
}
