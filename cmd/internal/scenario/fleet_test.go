package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/transport/editor"
	"amaranthtide/transport/platform"
)

// fleet ZONE=ROUTERS/ENGINES... [FLAG...] starts the platform, the application app,
// the engines engine-a1, engine-a2 and so on with the flags, and the routers
// router-a1 and so on, and waits until the routers are ready. It sets the variables
// PLATFORM, APP, ENGINE_a1, LISTEN_a1, CALLERS_a1, CONSOLE_a1 and so on. A script may set
// MODEL_ROW to fields of the model's row, ENGINE_ROW to those of the engines' rows that
// replace the default capacity and cold limit, and GRACE to the shutdown grace.
func fleet(ts *testscript.TestScript, _ bool, args []string) {
	var rows, consoles, routers, flags []string
	row := func(kind, name, format string, values ...any) {
		rows = append(rows, fmt.Sprintf(`{"key":{"kind":%q,"name":%q},"value":{%s}}`, kind, name, fmt.Sprintf(format, values...)))
	}
	var zones []string
	for _, a := range args {
		if strings.HasPrefix(a, "--") {
			flags = append(flags, a)
			continue
		}
		zones = append(zones, a)
	}
	ports(ts, false, []string{"PLATFORM", "APP"})
	spawn(ts, false, []string{"platform", "standin", "--listen=" + ts.Getenv("PLATFORM"), "platform"})
	spawn(ts, false, []string{"app", "standin", "--listen=" + ts.Getenv("APP"), "application", "--delay=50ms"})
	row("model", "chat", "%s", ts.Getenv("MODEL_ROW"))
	row("workspace", "small", `"weight":1,"model":"chat"`)
	row("route", "entries", ``)
	engineRow := ts.Getenv("ENGINE_ROW")
	if engineRow == "" {
		engineRow = `"capacity":16,"coldLimit":16`
	}
	for _, z := range zones {
		var zone string
		var nRouters, nEngines int
		_, err := fmt.Sscanf(strings.NewReplacer("=", " ", "/", " ").Replace(z), "%s %d %d", &zone, &nRouters, &nEngines)
		ts.Check(err)
		row("zone", zone, ``)
		row("backendServer", "app-"+zone, `"zone":%q,"address":%q,"route":"entries","capacity":64,"coldLimit":64`, zone, ts.Getenv("APP"))
		for i := range nEngines {
			id := zone + strconv.Itoa(i+1)
			ports(ts, false, []string{"ENGINE_" + id})
			addr := ts.Getenv("ENGINE_" + id)
			spawn(ts, false, append([]string{"engine-" + id, "standin", "--listen=" + addr, "engine"}, flags...))
			row("backendServer", "engine-"+id, `"zone":%q,"address":%q,"model":"chat",%s`, zone, addr, engineRow)
		}
		for i := range nRouters {
			id := zone + strconv.Itoa(i+1)
			ports(ts, false, []string{"LISTEN_" + id, "CALLERS_" + id, "CONSOLE_" + id})
			row("vm", "router-"+id, `"zone":%q,"address":%q`, zone, ts.Getenv("LISTEN_"+id))
			routers = append(routers, id)
			consoles = append(consoles, ts.Getenv("CONSOLE_"+id))
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs("fleet.json"), []byte(strings.Join(rows, "\n")+"\n"), 0o600))
	seed(ts, false, []string{ts.Getenv("PLATFORM"), "fleet.json"})
	for _, id := range routers {
		ts.Check(os.WriteFile(ts.MkAbs("router-"+id+".ini"), []byte(routerSettings(ts, id, routers)), 0o600))
		start(ts, false, []string{id})
	}
	ready(ts, false, consoles)
}

func routerSettings(ts *testscript.TestScript, id string, routers []string) string {
	var seeds []string
	for _, other := range routers {
		if other != id && other[0] == id[0] {
			seeds = append(seeds, ts.Getenv("LISTEN_"+other))
		}
	}
	grace := ts.Getenv("GRACE")
	if grace == "" {
		grace = "300ms"
	}
	return fmt.Sprintf(`[router]
vm = router-%s
zone = %c
listen = %s
callers = %s
console = %s
fleetKey = 0123456789abcdef
seeds = %s
shutdownGrace = %s
[platform]
address = %s
vmListInterval = 500ms
`, id, id[0], ts.Getenv("LISTEN_"+id), ts.Getenv("CALLERS_"+id), ts.Getenv("CONSOLE_"+id),
		strings.Join(seeds, ","), grace, ts.Getenv("PLATFORM"))
}

// start ID... starts routers that the command fleet has set up.
func start(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		spawn(ts, false, []string{"router-" + id, "amaranthtided", "--settings", "router-" + id + ".ini"})
	}
}

// put URL JSON sends a PUT request, for example to set the faults of a stand-in. @FILE
// as the body sends the content of a file.
func put(ts *testscript.TestScript, _ bool, args []string) {
	body := args[1]
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(file)
	}
	req, err := http.NewRequest(http.MethodPut, args[0], strings.NewReader(body))
	ts.Check(err)
	if status, _, text := send(ts, req); status >= http.StatusBadRequest {
		ts.Fatalf("got status %d: %s", status, text)
	}
}

// post URL sends a POST request that controls a stand-in. It ignores io.EOF, since an
// engine that reboots closes the connection of the request as well.
func post(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(args[0], "", nil)
	if errors.Is(err, io.EOF) {
		return
	}
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("got status %d", resp.StatusCode)
	}
}

// edit KIND NAME FIELDS merges fields, given as JSON, into a row, commits the change and
// fails if it is not accepted. It sets REVISION to the revision of the change.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	key := amaranthtide.RowKey{Kind: amaranthtide.RowKind(args[0]), Name: args[1]}
	client := platform.New(platform.Config{Addr: netip.MustParseAddrPort(ts.Getenv("PLATFORM")), Timeout: time.Second})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	stored, err := client.Get(ctx, change.RowStoredKey(key))
	for ; err != nil && ctx.Err() == nil; stored, err = client.Get(ctx, change.RowStoredKey(key)) {
		time.Sleep(20 * time.Millisecond) // a script may make the platform lose answers
	}
	ts.Check(err)
	found, ok := stored.Get()
	if !ok {
		ts.Fatalf("%s does not exist", key)
	}
	row, err := change.DecodeRow(found)
	ts.Check(err)
	fields := map[string]any{}
	data, err := amaranthtide.EncodeRowValue(row.Value)
	ts.Check(err)
	ts.Check(json.Unmarshal(data, &fields))
	ts.Check(json.Unmarshal([]byte(args[2]), &fields))
	data, err = json.Marshal(fields)
	ts.Check(err)
	value, err := amaranthtide.DecodeRowValue(key.Kind, data)
	ts.Check(err)
	result := editor.New(editor.Options{Table: client, Publisher: discardPublisher{}}).Apply(ctx, "scenario",
		[]amaranthtide.Edit{{Key: key, Expected: row.Revision, Value: value}})
	ts.Check(result.Err)
	ts.Setenv("REVISION", fmt.Sprint(result.Changes[0].Revision))
}

// sum VAR FIELD ENGINE... sets a variable to the sum of a counter over engines.
func sum(ts *testscript.TestScript, _ bool, args []string) {
	total := counterSum(ts, args[1], args[2:])
	ts.Setenv(args[0], fmt.Sprint(total))
	ts.Logf("%s of %v: %v", args[1], args[2:], total)
}

// reach N FIELD ENGINE... waits until the sum of a counter over engines is at least N.
func reach(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	until := time.Now().Add(waitTimeout)
	for {
		got := counterSum(ts, args[1], args[2:])
		if got >= want {
			return
		}
		if time.Now().After(until) {
			ts.Fatalf("%s of %v: got: %v, want: at least %v\n%s", args[1], args[2:], got, want, logs(ts))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func counterSum(ts *testscript.TestScript, field string, engines []string) float64 {
	total := 0.0
	for _, id := range engines {
		resp, err := http.Get("http://" + ts.Getenv("ENGINE_"+id) + "/standin/counters")
		ts.Check(err)
		counters := map[string]float64{}
		ts.Check(json.NewDecoder(resp.Body).Decode(&counters))
		_ = resp.Body.Close()
		n, ok := counters[field]
		if !ok {
			ts.Fatalf("no counter %s", field)
		}
		total += n
	}
	return total
}

// compare A OP B fails unless the comparison of two numbers holds; OP is =, < or <=.
func compare(ts *testscript.TestScript, neg bool, args []string) {
	a, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	b, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	holds := map[string]bool{"=": a == b, "<": a < b, "<=": a <= b}[args[1]]
	if holds == neg {
		ts.Fatalf("got: %v, want: %v\n%s", args[0], args[1:], logs(ts))
	}
}

// inforce WITHIN REVISION ID... waits until a revision of the table is in force at the
// routers and fails if this takes longer than WITHIN.
func inforce(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	want, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	began := time.Now()
	for _, id := range args[2:] {
		for revision(ts, id) < want {
			if time.Since(began) > within {
				ts.Fatalf("router-%s has revision %v after %v, want: %v", id, revision(ts, id), within, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	ts.Logf("revision %v in force after %v", want, time.Since(began).Round(time.Millisecond))
}

// revision returns the revision in force at a router, or 0 if it does not respond.
func revision(ts *testscript.TestScript, id string) float64 {
	resp, err := http.Get("http://" + ts.Getenv("CONSOLE_"+id) + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return metric(resp.Body, "amaranthtide_table_revision")
}
