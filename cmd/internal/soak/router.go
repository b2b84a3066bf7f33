package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthtide/platform/standin"
)

// grace is the shutdown grace of routers, after which they are killed.
const grace = 4 * time.Second

// router is one router process. It has its own link to the store, and one through which
// other routers reach it.
type router struct {
	name, zone string
	command    []string
	dir        string
	callers    netip.AddrPort
	ready      netip.AddrPort
	listen     netip.AddrPort
	// store is the router's own address of the store, which storeLink leads to.
	store      *standin.Endpoint
	storeLink  *link
	routerLink *link

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	// termAt is the time of the last SIGTERM.
	termAt time.Time
	// faults has all faults of the router, connectionFaults only the kills and freezes,
	// which may break connections.
	faults           faultIntervals
	connectionFaults faultIntervals
	// partitions has the faults of the router's connections from other routers.
	partitions faultIntervals
}

const settingsTemplate = `[router]
vm = %s
zone = %s
callers = %s
ready = %s
listen = %s
advertise = %s
metrics = %s
seeds = %s
fleetKey = amaranthtide-soak
shutdownGrace = %s
[store]
address = %s
[limits]
capMultiple = 2
leavingBound = 2s
configurationBound = 2s
retryRatio = 0.2
retrySlack = 100
retryWindow = 10s
memoryMegabytes = 200
linkMegabits = 1000
%s[log]
level = info
bytesPerSecond = 262144
`

// rolloutLimits are the settings that enable rollouts.
var rolloutLimits = fmt.Sprintf("exposureShare = %v\nexposureSlack = %d\nrollbackBound = %s\n", exposureShare, exposureSlack, rollbackBound)

// writeSettings writes the settings file of the router, with additional limits.
func (r *router) writeSettings(metrics netip.AddrPort, seeds, limits string) error {
	text := fmt.Sprintf(settingsTemplate, r.name, r.zone, r.callers, r.ready, r.listen, r.routerLink.addr(), metrics, seeds, grace, r.storeLink.addr(), limits)
	return os.WriteFile(r.settingsFile(), []byte(text), 0o600)
}

func (r *router) settingsFile() string { return filepath.Join(r.dir, r.name+".ini") }

func (r *router) logFile() string { return filepath.Join(r.dir, r.name+".log") }

// start starts the process unless it is running.
func (r *router) start(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(r.logFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.command[0], append(r.command[1:], "--settings", r.settingsFile())...)
	cmd.Stdout, cmd.Stderr = out, out
	// A process group of its own: the kernel sends SIGHUP to the stopped processes of a
	// group whose shell has exited.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Env = append(os.Environ(), routerVariable+"=1")
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	r.cmd, r.ended = cmd, make(chan struct{})
	r.faults.addInstant(now)
	r.starts++
	go r.run(cmd, out, r.ended)
	return nil
}

// run waits until the process has exited.
func (r *router) run(cmd *exec.Cmd, out *os.File, ended chan struct{}) {
	_ = cmd.Wait() // the exit status is not checked, only what callers observe
	_ = out.Close()
	r.mu.Lock()
	r.cmd = nil
	r.mu.Unlock()
	close(ended)
}

// signal sends a signal to the process, if it is running, and records it as a fault.
// SIGHUP, which reloads the settings, is not a fault.
func (r *router) signal(now time.Time, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case syscall.SIGHUP:
	case syscall.SIGTERM:
		r.faults.addInstant(now)
		r.termAt = now
	default:
		r.faults.addInstant(now)
		r.connectionFaults.addInstant(now)
	}
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s) // fails if the process has just exited
	}
}

// terminatedAt returns the time of the last SIGTERM, zero if there was none.
func (r *router) terminatedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.termAt
}

// stop terminates the process and kills it if it is still running after the grace.
func (r *router) stop() {
	r.mu.Lock()
	cmd, ended := r.cmd, r.ended
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = cmd.Process.Kill()
		<-ended
	}
}
