package misbehavior

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits are those of a process.
type Limits struct {
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int
	// MemoryBytes is the memory at which its machine would end the process. The Go runtime
	// gets 70% of it as its soft limit.
	MemoryBytes int64
}

// runtimeMemoryShare is the part of the memory that the Go runtime gets as its soft limit.
const runtimeMemoryShare = 0.7

// Usage is what a process uses.
type Usage struct {
	// PeakBytes is the highest resident memory.
	PeakBytes int64
	// Descriptors is the highest number of open descriptors that was seen.
	Descriptors int
}

// Process is a running program. Use Start.
type Process struct {
	cmd    *exec.Cmd
	output *os.File
	ended  chan struct{}
	stop   chan struct{}
	wg     sync.WaitGroup

	mu          sync.Mutex
	err         error
	descriptors int
}

// Start runs a program under the limits. Its output goes to the file named output.
func Start(output string, limits Limits, program string, args ...string) (*Process, error) {
	file, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	// A Go program raises its soft limit to the hard one, so the shell lowers both.
	script := append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(limits.Descriptors), program}, args...)
	p := &Process{cmd: exec.Command("/bin/sh", script...), output: file, ended: make(chan struct{}), stop: make(chan struct{})}
	soft := int64(runtimeMemoryShare * float64(limits.MemoryBytes))
	p.cmd.Env = append(os.Environ(), "GOMEMLIMIT="+strconv.FormatInt(soft, 10))
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		_ = file.Close()
		return nil, err
	}
	p.wg.Go(p.run)
	p.wg.Go(p.loop)
	return p, nil
}

// run waits for the end of the process.
func (p *Process) run() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.ended)
}

// sampleInterval is the time between counts of the open descriptors.
const sampleInterval = 10 * time.Millisecond

// loop counts the open descriptors.
func (p *Process) loop() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-ticker.C:
			files, err := os.ReadDir(p.path("fd"))
			if err != nil {
				continue
			}
			p.mu.Lock()
			p.descriptors = max(p.descriptors, len(files))
			p.mu.Unlock()
		}
	}
}

func (p *Process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// ResetUsage starts the measurement of Usage anew.
func (p *Process) ResetUsage() error {
	const resetPeak = "5" // see proc_pid_clear_refs(5)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.descriptors = 0
	return os.WriteFile(p.path("clear_refs"), []byte(resetPeak), 0)
}

// Usage returns what the process has used since the start or the last ResetUsage, or an error
// if it has ended.
func (p *Process) Usage() (Usage, error) {
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return Usage{}, fmt.Errorf("process has ended: %w", p.err)
	default:
	}
	status, err := os.ReadFile(p.path("status"))
	if err != nil {
		return Usage{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Descriptors: p.descriptors}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			if err != nil {
				return Usage{}, err
			}
			u.PeakBytes = kilobytes << 10
		}
	}
	return u, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Close kills the process and waits for its end.
func (p *Process) Close() {
	close(p.stop)
	_ = p.cmd.Process.Kill() // fails if it has ended
	p.wg.Wait()
	_ = p.output.Close()
}

// Build builds programs of this module into a directory.
func Build(ctx context.Context, dir string, packages ...string) error {
	cmd := exec.CommandContext(ctx, "go", append([]string{"build", "-o", dir + string(filepath.Separator)}, packages...)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w: %s", err, out)
	}
	return nil
}
