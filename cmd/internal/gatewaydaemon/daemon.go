// Package gatewaydaemon implements the program amaranthtidegw. It is a package of its
// own so that the binary of a test can run as that program.
//
// # Usage
//
//	func main() { gatewaydaemon.Main() }
package gatewaydaemon

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"amaranthtide/platform"
	"amaranthtide/state/memory"
	"amaranthtide/transport/gateway"
	"amaranthtide/transport/logsink"
)

const (
	statusFailed      = 1
	statusBadSettings = 2
)

// Main runs the program with the arguments of the process. It returns after a graceful
// shutdown and exits with a status other than 0 if anything fails.
func Main() {
	app := kingpin.New("amaranthtidegw", "Routes requests on the users' platform.")
	file := app.Flag("settings", "Settings file (INI).").Default(platform.SettingsPath()).String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg, err := platform.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusBadSettings)
	}
	if *check {
		return
	}
	sink := logsink.New(os.Stdout, logsink.Options{BytesPerSecond: cfg.LogBytesPerSecond})
	logger := hclog.New(&hclog.LoggerOptions{Name: "amaranthtide", Level: cfg.LogLevel, JSONFormat: true, Output: sink.Writer()})
	err = run(*file, cfg, logger.With("vm", string(cfg.VM)), sink)
	if err != nil {
		logger.Error("router failed", "error", err)
	}
	sink.Close()
	if err != nil {
		os.Exit(statusFailed)
	}
}

func run(file string, cfg platform.Settings, logger hclog.Logger, sink *logsink.Sink) error {
	debug.SetGCPercent(memory.GCPercent)
	setMemoryLimit(cfg)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	opts, closeClients := platform.Options(cfg, logger, sink.Dropped)
	defer closeClients()
	g, err := gateway.New(opts)
	if err != nil {
		return err
	}
	logger.Info("router started", "zone", cfg.Zone, "callers", cfg.CallerListen, "listen", cfg.MeshListen)
	r := newReloader(file, cfg, g, logger)
	defer r.close()
	<-stop
	return g.Close()
}

func setMemoryLimit(cfg platform.Settings) {
	debug.SetMemoryLimit(memory.RuntimeLimit(cfg.MemoryBytes()))
}
