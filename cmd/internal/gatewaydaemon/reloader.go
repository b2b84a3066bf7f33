package gatewaydaemon

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide/platform"
	"amaranthtide/transport/gateway"
)

// pollInterval is the time between checks for a new version of the settings file, which
// may change without a signal.
const pollInterval = 5 * time.Second

// reloader reloads the settings on SIGHUP and when the file has changed.
type reloader struct {
	file         string
	cfg          platform.Settings
	gateway      *gateway.Gateway
	logger       hclog.Logger
	lastModified time.Time

	signals chan os.Signal
	done    chan struct{}
	wg      sync.WaitGroup
}

func newReloader(file string, cfg platform.Settings, g *gateway.Gateway, logger hclog.Logger) *reloader {
	r := &reloader{
		file: file, cfg: cfg, gateway: g, logger: logger, lastModified: modTime(file),
		signals: make(chan os.Signal, 1), done: make(chan struct{}),
	}
	signal.Notify(r.signals, syscall.SIGHUP)
	r.wg.Go(r.run)
	return r
}

// close stops the reloader and waits for it to finish.
func (r *reloader) close() {
	signal.Stop(r.signals)
	close(r.done)
	r.wg.Wait()
}

func (r *reloader) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			if m := modTime(r.file); !m.Equal(r.lastModified) {
				r.reload("file changed")
			}
		}
	}
}

func (r *reloader) reload(reason string) {
	r.lastModified = modTime(r.file)
	cfg, err := platform.Load(r.file)
	if err != nil {
		r.logger.Error("settings not reloaded, keeping the previous ones", "reason", reason, "error", err)
		return
	}
	r.logger.SetLevel(cfg.LogLevel)
	setMemoryLimit(cfg)
	r.gateway.Reload(gateway.Options{Grace: cfg.ShutdownGrace, EngineLoadCap: cfg.EngineLoadCap(), MemoryBytes: cfg.MemoryBytes()})
	r.logger.Info("settings reloaded", "reason", reason, "restart", cfg.NeedsRestart(r.cfg))
	r.cfg = cfg
}

// modTime returns the modification time of a file, or the zero time if it is unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
