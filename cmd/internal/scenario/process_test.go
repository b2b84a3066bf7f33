package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a program that a script started with spawn.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// processes holds the running programs of each script by name.
var processes sync.Map // *testscript.TestScript -> map[string]*process

func running(ts *testscript.TestScript) map[string]*process {
	all, _ := processes.LoadOrStore(ts, make(map[string]*process))
	return all.(map[string]*process)
}

// spawn NAME PROGRAM ARG... starts a program in the background, which the script stops
// with signal. Its output goes to NAME.log. Programs that still run at the end of the
// script are killed.
func spawn(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	path := ""
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if p := filepath.Join(dir, args[1]); exists(p) {
			path = p
			break
		}
	}
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	cmd := exec.Command(path, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel sends SIGHUP to the stopped processes of a group whose shell has exited,
	// as when the tests run in the background. A process group of its own avoids this.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan error, 1)}
	go p.run(log)
	running(ts)[name] = p
	ts.Defer(func() { _ = cmd.Process.Kill() })
}

func (p *process) run(log *os.File) {
	p.done <- p.cmd.Wait()
	_ = log.Close()
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal SIGNAL NAME... sends a signal to programs that were started with spawn.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		p, ok := running(ts)[name]
		if !ok {
			ts.Fatalf("%s is not running", name)
		}
		ts.Check(p.cmd.Process.Signal(signals[args[0]]))
	}
}

// ended NAME... waits until programs have exited with status 0, or with another status
// if the command is negated.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		p := running(ts)[name]
		select {
		case err := <-p.done:
			if (err != nil) != neg {
				ts.Fatalf("%s ended with %v:\n%s", name, err, ts.ReadFile(name+".log"))
			}
		case <-time.After(waitTimeout):
			ts.Fatalf("%s has not ended:\n%s", name, ts.ReadFile(name+".log"))
		}
		delete(running(ts), name)
	}
}

// pause DURATION waits. Scripts use it for times that are part of the guarantee under
// test.
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(strings.Join(args, ""))
	ts.Check(err)
	time.Sleep(d)
}
