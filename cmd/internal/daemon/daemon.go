// Package daemon implements the program amaranthtided. It is a package of its own so
// that the binary of the scenario tests can run as that program.
//
// # Usage
//
//	func main() { daemon.Main() }
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"amaranthtide/protocol/settings"
	"amaranthtide/state/memory"
	"amaranthtide/transport/router"
)

const (
	statusFailed      = 1
	statusBadSettings = 2
)

// Main runs the program with the arguments of the process. It returns after a graceful
// shutdown and exits with a status other than 0 if anything fails.
func Main() {
	app := kingpin.New("amaranthtided", "Routes chats to model engines and calls to plain services.")
	file := app.Flag("settings", "Settings file (INI).").Required().String()
	check := app.Flag("check", "Print the settings in force and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusBadSettings)
	}
	if *check {
		if err := cfg.Write(os.Stdout); err != nil {
			os.Exit(statusFailed)
		}
		return
	}
	logger := newLogger(cfg.Log)
	if err := run(cfg, logger); err != nil {
		logger.Error("router failed", "error", err)
		os.Exit(statusFailed)
	}
}

func newLogger(cfg settings.Log) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "amaranthtided",
		Level:      hclog.LevelFromString(cfg.Level),
		JSONFormat: cfg.JSON,
		Output:     os.Stderr,
	})
}

// smallMemory is the memory in bytes below which it is scarcer than processor time.
const smallMemory = 1 << 30

// limitMemory sets the soft limit of the Go runtime for a process with n bytes of memory; 0 is
// unknown.
func limitMemory(n int64) {
	if n == 0 {
		return
	}
	debug.SetMemoryLimit(memory.RuntimeLimit(n))
	if n <= smallMemory {
		debug.SetGCPercent(memory.GCPercent)
	}
}

func run(cfg settings.Settings, logger hclog.Logger) error {
	limitMemory(router.ProcessMemory(cfg))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := router.New(cfg, router.Options{Logger: logger})
	if err != nil {
		return err
	}
	logger.Info("router started", "vm", cfg.Router.VM, "zone", cfg.Router.Zone,
		"callers", r.CallerAddr(), "console", r.ConsoleAddr(), "listen", r.MeshAddr())
	<-ctx.Done()
	stop()
	return r.Close()
}
