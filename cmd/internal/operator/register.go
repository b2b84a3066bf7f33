// Package operator implements the operators' command line. It reads and changes the
// configuration table and shows the state of the fleet through the console of any
// router.
//
// # Usage
//
//	app := kingpin.New("amaranthtide", "...")
//	operator.Register(app)
//	os.Exit(operator.Execute(app, os.Args[1:]))
//
// A program may register commands of its own on the same application. Commands exit
// with status 0 on success, with 1 if they fail or the fleet has problems, and with 2
// if the arguments are invalid; "table plan" exits with 2 if it finds differences.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
	// statusChanges is the exit status of a plan that has differences.
	statusChanges = 2
)

const tokenVariable = "AMARANTHTIDE_TOKEN"

// Main runs the operators' commands with the arguments of the process and exits.
func Main() {
	app := kingpin.New("amaranthtide", "Operates a fleet of routers.")
	Register(app)
	os.Exit(Execute(app, os.Args[1:]))
}

// Execute runs the command that args select, prints its error, if any, and returns
// the exit status of the process.
func Execute(app *kingpin.Application, args []string) int {
	_, err := app.Parse(args)
	return Status(app, os.Stderr, err)
}

// Status prints err, the result of app.Parse, to w and returns the exit status of the
// process. Commands run as part of app.Parse, so that err may come from a command.
func Status(app *kingpin.Application, w io.Writer, err error) int {
	var e *exitError
	switch {
	case err == nil:
		return statusOK
	case !errors.As(err, &e):
		_, _ = fmt.Fprintf(w, "%s: %v; see --help\n", app.Name, err)
		return statusUsage
	case e.message != "":
		_, _ = fmt.Fprintf(w, "%s: %s\n", app.Name, e.message)
	}
	return e.status
}

// exitError is the error of a command and the exit status that it leads to. An empty
// message is not printed.
type exitError struct {
	status  int
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }

func failureError(format string, args ...any) error {
	return &exitError{statusFailed, fmt.Sprintf(format, args...)}
}

func usageError(format string, args ...any) error {
	return &exitError{statusUsage, fmt.Sprintf(format, args...)}
}

// commonFlags are the flags of all commands.
type commonFlags struct {
	routers []string
	token   string
	json    bool
	timeout time.Duration
	out     io.Writer
}

// Register adds the operators' commands to an application.
func Register(app *kingpin.Application) {
	registerTable(app)
	registerStatus(app)
	registerOutOfServiceCommand(app, "zone", "Takes an availability zone out of service and back.")
	registerOutOfServiceCommand(app, "vm", "Takes a router's VM out of service and back.")
}

// addCommonFlags adds the common flags to a command.
func addCommonFlags(c *kingpin.CmdClause) *commonFlags {
	f := &commonFlags{out: os.Stdout}
	c.Flag("router", "Console of a router, IP:port. Repeatable; the next one is tried if one does not respond.").
		Required().StringsVar(&f.routers)
	c.Flag("token", "Token of the operator. The environment variable keeps it out of the process list.").
		Envar(tokenVariable).StringVar(&f.token)
	c.Flag("json", "Print JSON.").BoolVar(&f.json)
	c.Flag("timeout", "Timeout of a request to one router.").Default("15s").DurationVar(&f.timeout)
	return f
}

// action returns a kingpin action that runs a command with a client. SIGTERM and
// SIGINT cancel the command's context.
func (f *commonFlags) action(run func(ctx context.Context, c *client) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		var routers []netip.AddrPort
		for _, text := range f.routers {
			a, err := netip.ParseAddrPort(text)
			if err != nil {
				return usageError("flag --router: value %q is not allowed; allowed: an IP address and a port, such as 10.0.0.1:9000", text)
			}
			routers = append(routers, a)
		}
		if f.token == "" {
			return usageError("token missing: set flag --token or environment variable %s", tokenVariable)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return run(ctx, newClient(routers, f.token, f.timeout))
	}
}
