// Command third runs one case of the review: routers as processes, and stand-ins for the store, servers and
// clients in this process.
//
//	ROOT=<repository> third CASE FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule was broken, with 0 if it held and with 2 if the
// case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// run is a case. It reports whether the rule was broken.
type run func(rec *record, trouble bool) (broken bool, err error)

var cases = make(map[string]run)

// register adds a case. Each file of a case calls it for a package variable.
func register(name string, r run) bool {
	cases[name] = r
	return true
}

func main() { os.Exit(start()) }

func start() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return 2
	case broken:
		rec.say("BROKEN")
		return 1
	default:
		rec.say("held")
		return 0
	}
}
