package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitfor PATTERN PROGRAM ARG... runs a program repeatedly until its output matches.
func waitfor(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	until := time.Now().Add(waitTimeout)
	for {
		cmd := exec.Command(program(ts, args[1]), args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"), "AMARANTHTIDE_TOKEN="+ts.Getenv("AMARANTHTIDE_TOKEN"))
		out, _ := cmd.CombinedOutput() // only the output matters, not the exit status
		if pattern.Match(out) {
			_, err := ts.Stdout().Write(out)
			ts.Check(err)
			return
		}
		if time.Now().After(until) {
			ts.Fatalf("output of %v never matched %q; last output:\n%s", args[1:], args[0], out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// program returns the path of a program of the script.
func program(ts *testscript.TestScript, name string) string {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if p := filepath.Join(dir, name); exists(p) {
			return p
		}
	}
	ts.Fatalf("program %s is not in the path", name)
	return ""
}
