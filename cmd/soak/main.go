// Command soak plays randomized faults against routers that run as processes of their
// own and checks the promises from outside.
//
// # Usage
//
//	go run ./cmd/soak --seed 7 --duration 60s
//	go run ./cmd/soak --seed 1 --seeds 50 --duration 20s --json
//
// It ends with status 1 if a promise was broken; it then prints the seed, the faults
// before it and where the routers' logs are.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide/cmd/internal/soak"
)

func main() {
	app := kingpin.New("soak", "Plays faults against real routers and checks the promises.")
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	duration := app.Flag("duration", "Length of the faults of one seed.").Default("30s").Duration()
	asJSON := app.Flag("json", "Print reports as JSON, one a line.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	dir, err := os.MkdirTemp("", "amaranthtide-soak-")
	app.FatalIfError(err, "directory of the logs")
	binary := filepath.Join(dir, "amaranthtidegw")
	build := exec.Command("go", "build", "-o", binary, "./cmd/amaranthtidegw")
	build.Stderr = os.Stderr
	app.FatalIfError(build.Run(), "build of the router")

	// A signal ends the run in order, so that no router outlives it.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := false
	for i := range *seeds {
		logs := filepath.Join(dir, fmt.Sprint(*seed+uint64(i)))
		app.FatalIfError(os.Mkdir(logs, 0o700), "directory of the logs")
		report, err := soak.Run(ctx, soak.Options{
			Seed: *seed + uint64(i), Duration: *duration, Router: []string{binary}, Dir: logs,
		})
		app.FatalIfError(err, "soak")
		failed = failed || len(report.Violations) > 0
		app.FatalIfError(show(report, logs, *asJSON), "output")
	}
	if failed {
		os.Exit(1)
	}
}

// show prints a report.
func show(r soak.Report, logs string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d: %d faults, %d starts, answers %v, %d violations\n", r.Seed, r.Faults, r.Starts, r.Answers, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Printf("  %.3f s %s: %s\n", v.Time.Seconds(), v.Promise, v.Text)
		for _, e := range v.Events {
			fmt.Printf("    before: %s\n", e)
		}
	}
	if len(r.Violations) > 0 {
		fmt.Printf("  logs: %s\n", logs)
	}
	return nil
}
