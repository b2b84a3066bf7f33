package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Router is one process of the deploy file's role: target/amaranthtidegw.
type Router struct {
	Name, Callers, Ready, Mesh, Metrics string

	cmd  *exec.Cmd
	file string
	log  *os.File
}

// RouterSettings are the fields of the settings file that the cases vary.
type RouterSettings struct {
	Zone     string
	MemoryMB int
	GraceS   int
	Store    string
}

// Fleet is a set of routers that share a temporary folder.
type Fleet struct {
	Dir     string
	Routers []*Router
}

// NewFleet allocates free ports for n routers, without starting them.
func NewFleet(n int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir}
	for i := range n {
		r := &Router{Name: fmt.Sprintf("front-%d", i+1)}
		for _, addr := range []*string{&r.Callers, &r.Ready, &r.Mesh, &r.Metrics} {
			if *addr, err = FreeAddr(); err != nil {
				return nil, err
			}
		}
		f.Routers = append(f.Routers, r)
	}
	return f, nil
}

// The ports of the routers are below those that the system gives to outgoing connections.
const (
	minPort = 20000
	maxPort = 32000
)

// FreeAddr returns a free loopback address.
func FreeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", errors.New("no free port found")
}

// Start starts a router with the settings that deploy/router.ini would yield.
func (f *Fleet) Start(i int, s RouterSettings) error {
	r := f.Routers[i]
	var seeds []string
	for _, o := range f.Routers[:min(3, len(f.Routers))] {
		seeds = append(seeds, o.Mesh)
	}
	if s.GraceS == 0 {
		s.GraceS = 8
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 206
	}
	text := fmt.Sprintf(`[router]
vm = %s
zone = %s
callers = %s
ready = %s
listen = %s
metrics = %s
seeds = %s
fleetKey = amaranthtide-fleet
shutdownGrace = %ds

[store]
address = %s

[limits]
capMultiple = 2
leavingBound = 2000ms
configurationBound = 2000ms
retryRatio = 0.2
retrySlack = 104
retryWindow = 10s
memoryMegabytes = %d
linkMegabits = 700.0

[log]
level = info
bytesPerSecond = 65536
`, r.Name, s.Zone, r.Callers, r.Ready, r.Mesh, r.Metrics, strings.Join(seeds, ","), s.GraceS, s.Store, s.MemoryMB)
	r.file = filepath.Join(f.Dir, r.Name+".ini")
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		return err
	}
	if r.log == nil {
		var err error
		if r.log, err = os.Create(filepath.Join(f.Dir, r.Name+".log")); err != nil {
			return err
		}
	}
	r.cmd = exec.Command("target/amaranthtidegw")
	r.cmd.Env = []string{Names.SettingsFile + "=" + r.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.cmd.Start()
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(sig syscall.Signal) { _ = r.cmd.Process.Signal(sig) }

// Pid returns the process id.
func (r *Router) Pid() int { return r.cmd.Process.Pid }

// Wait waits for the end of the process.
func (r *Router) Wait() error { return r.cmd.Wait() }

// AwaitReady waits until the router reports that it is ready.
func (r *Router) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.Ready + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready within %v", r.Name, timeout)
}

// Close kills all routers and removes the folder.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.cmd != nil && r.cmd.Process != nil {
			_ = r.cmd.Process.Kill()
			_, _ = r.cmd.Process.Wait()
		}
		if r.log != nil {
			r.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	}
}
