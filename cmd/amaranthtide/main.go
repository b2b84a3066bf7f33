// Command amaranthtide is the command line for operators and developers. It reads
// and changes the configuration table, takes zones and VMs out of service and returns
// them, shows the state of the fleet and where a request would go, and runs a demo and
// benchmarks.
//
// # Usage
//
//	export AMARANTHTIDE_TOKEN=...
//	amaranthtide status --router 10.0.0.1:9000 --router 10.0.1.1:9000
//	amaranthtide table plan ./table --router 10.0.0.1:9000
//	amaranthtide zone out north-a --router 10.0.0.1:9000
//	amaranthtide demo --json
//	amaranthtide bench --profile latawiec --duration 60s --plot bench.png
//	amaranthtide bench --direct
//	amaranthtide explain 9c41d07be2a35f68 vm-1.log vm-2.log
//	amaranthtide crashes vm-1.log vm-2.log
//	amaranthtide where --router 10.0.0.1:9464 --host shop.example --path /chat --header "Accept: text/event-stream"
//
// The exit status is 0 on success, 1 on failure and 2 for invalid arguments. The exit
// statuses of the operators' commands, implemented in cmd/internal/operator, are in
// docs/operators.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide/cmd/internal/operator"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// streams are the outputs of a subcommand: results go to out, progress and errors to
// err.
type streams struct{ out, err io.Writer }

// action runs a subcommand after its flags have been parsed.
type action func(ctx context.Context, s streams) error

// commands register the subcommands that are not the operators'. Each function returns
// the name of its command and its action.
var commands = []func(app *kingpin.Application) (string, action){
	demoCommand,
	benchCommand,
	explainCommand,
	crashesCommand,
	whereCommand,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], streams{os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, s streams) int {
	app := kingpin.New("amaranthtide", "Command line of the router fleet.")
	app.UsageWriter(s.err)
	actions := make(map[string]action, len(commands))
	for _, register := range commands {
		name, do := register(app)
		actions[name] = do
	}
	operator.Register(app)
	if len(args) == 0 {
		// Parse would print the usage and end with status 0.
		_, _ = fmt.Fprintln(s.err, "amaranthtide: command missing; see --help")
		return exitUsage
	}
	name, err := app.Parse(args)
	do, ok := actions[name]
	if err != nil || !ok {
		return operator.Status(app, s.err, err)
	}
	if err := do(ctx, s); err != nil {
		_, _ = fmt.Fprintf(s.err, "amaranthtide: %v\n", err)
		return exitFailure
	}
	return 0
}
