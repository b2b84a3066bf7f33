// Package scenario runs test scripts in which the programs of the fleet and the
// stand-ins run as separate processes on loopback.
package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthtide"
	"amaranthtide/cmd/internal/daemon"
	"amaranthtide/cmd/internal/operator"
	"amaranthtide/cmd/internal/standins"
	"amaranthtide/internal/port"
	"amaranthtide/standin/engine"
	"amaranthtide/transport/editor"
	"amaranthtide/transport/platform"
)

func TestMain(m *testing.M) {
	// Each script runs up to 20 processes. More than two scripts at once would overload
	// the machine and exceed the time limits that the scripts check.
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		"amaranthtided": daemon.Main,
		"amaranthtide":  operator.Main,
		"standin":       standins.Main,
	})
}

// waitTimeout limits each wait of a script.
const waitTimeout = 15 * time.Second

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":   ports,
			"expand":  expand,
			"seed":    seed,
			"ready":   ready,
			"ask":     ask,
			"call":    call,
			"get":     get,
			"spawn":   spawn,
			"signal":  signal,
			"ended":   ended,
			"pause":   pause,
			"waitfor": waitfor,
			"fleet":   fleet,
			"start":   start,
			"put":     put,
			"post":    post,
			"edit":    edit,
			"sum":     sum,
			"reach":   reach,
			"compare": compare,
			"inforce": inforce,
			"chats":   chats,
			"calls":   calls,
			"report":  report,
		},
	})
}

// ports NAME... sets each variable to a loopback address with a free port.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		addr, err := port.Free()
		ts.Check(err)
		ts.Setenv(name, addr.String())
	}
}

// expand FILE... replaces $NAME in files by the value of the script's variable.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		file := ts.MkAbs(name)
		data, err := os.ReadFile(file)
		ts.Check(err)
		ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
	}
}

// seed ADDRESS FILE commits the rows in a file, one JSON object per line, to the
// platform at the address. It waits until the platform responds.
func seed(ts *testscript.TestScript, _ bool, args []string) {
	client := platform.New(platform.Config{Addr: netip.MustParseAddrPort(args[0])})
	defer client.Close()
	var edits []amaranthtide.Edit
	for line := range strings.Lines(ts.ReadFile(args[1])) {
		var row amaranthtide.Row
		ts.Check(json.Unmarshal([]byte(line), &row))
		edits = append(edits, amaranthtide.Edit{Key: row.Key, Value: row.Value})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result := editor.New(editor.Options{Table: client, Publisher: discardPublisher{}}).Apply(ctx, "scenario", edits)
	ts.Check(result.Err)
}

type discardPublisher struct{}

func (discardPublisher) Push([]amaranthtide.Change) {}

// ready ADDRESS... waits until the routers whose consoles have these addresses are
// ready.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	for _, addr := range args {
		until := time.Now().Add(waitTimeout)
		for {
			resp, err := http.Get("http://" + addr + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				ts.Fatalf("%s is not ready: %v\n%s", addr, err, logs(ts))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// logs returns the logs of a script's routers.
func logs(ts *testscript.TestScript) string {
	var all strings.Builder
	for name := range running(ts) {
		if strings.HasPrefix(name, "router-") {
			all.WriteString(name + ":\n" + ts.ReadFile(name+".log"))
		}
	}
	return all.String()
}

// ask ADDRESS WORKSPACE CHAT TEXT requests a streamed chat completion and checks that
// the answer is complete and belongs to the request. It prints the answer. If negated,
// it expects an error.
func ask(ts *testscript.TestScript, neg bool, args []string) {
	body, err := json.Marshal(map[string]any{
		"stream":     true,
		"max_tokens": 20,
		"messages":   []map[string]string{{"role": "user", "content": args[3]}},
	})
	ts.Check(err)
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0]+"/v1/chat/completions", bytes.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	req.Header.Set("Amaranthtide-Chat", args[2])
	status, header, answer := send(ts, req)
	if neg {
		if status < http.StatusBadRequest {
			ts.Fatalf("got status %d, want an error", status)
		}
		return
	}
	if status != http.StatusOK {
		ts.Fatalf("got status %d: %s", status, answer)
	}
	want, err := engine.Answer(body)
	ts.Check(err)
	if got := content(answer); got != want || !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		ts.Fatalf("got answer %q, want %q and a terminal event", got, want)
	}
	ts.Setenv("SERVER", header.Get("Amaranthtide-Server"))
}

// call ADDRESS WORKSPACE ROUTE KEY BODY calls a plain service and prints the answer. If
// negated, it expects an error.
func call(ts *testscript.TestScript, neg bool, args []string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0]+"/services/"+args[2]+"/entries", strings.NewReader(args[4]))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	if args[3] != "" {
		req.Header.Set("Idempotency-Key", args[3])
	}
	status, _, answer := send(ts, req)
	if (status >= http.StatusBadRequest) != neg {
		ts.Fatalf("got status %d: %s", status, answer)
	}
}

// get URL sends a GET request and prints the response. If negated, it expects an error.
func get(ts *testscript.TestScript, neg bool, args []string) {
	req, err := http.NewRequest(http.MethodGet, args[0], nil)
	ts.Check(err)
	if status, _, _ := send(ts, req); (status >= http.StatusBadRequest) != neg {
		ts.Fatalf("got status %d", status)
	}
}

func send(ts *testscript.TestScript, req *http.Request) (int, http.Header, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, err = ts.Stdout().Write(data)
	ts.Check(err)
	return resp.StatusCode, resp.Header, string(data)
}

// content returns the text of a streamed answer.
func content(stream string) string {
	var text strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: {")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte("{"+data), &chunk) == nil {
			for _, c := range chunk.Choices {
				text.WriteString(c.Delta.Content)
			}
		}
	}
	return text.String()
}
