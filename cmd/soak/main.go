// Command soak injects random faults into routers that run as separate processes and
// checks from outside that their guarantees hold.
//
// # Usage
//
//	go run ./cmd/soak --seed 7 --duration 60s
//	go run ./cmd/soak --seed 1 --seeds 50 --duration 20s --json
//	go run ./cmd/soak --seed 1 --duration 30s --rollouts --fault killRouter --fault storeRefuses
//
// If a guarantee was violated, it prints the seed, the faults before the violation and
// the directory of the routers' logs, and exits with status 1.
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
	app := kingpin.New("soak", "Injects faults into real routers and checks their guarantees.")
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	duration := app.Flag("duration", "Duration of the fault injection per seed.").Default("30s").Duration()
	faults := app.Flag("fault", "Fault to inject, may be repeated; all by default.").Strings()
	rollouts := app.Flag("rollouts", "Move services to servers of other versions, good and bad ones.").Bool()
	router := app.Flag("router", "Program of the router, for instance of another version; built from this folder by default.").String()
	asJSON := app.Flag("json", "Print reports as JSON, one per line.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	dir, err := os.MkdirTemp("", "amaranthtide-soak-")
	app.FatalIfError(err, "create log directory")
	binary := *router
	if binary == "" {
		binary = filepath.Join(dir, "amaranthtidegw")
		build := exec.Command("go", "build", "-o", binary, "./cmd/amaranthtidegw")
		build.Stderr = os.Stderr
		app.FatalIfError(build.Run(), "build router")
	}

	// On a signal, soak.Run stops the routers before this process exits.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := false
	for i := range *seeds {
		logs := filepath.Join(dir, fmt.Sprint(*seed+uint64(i)))
		app.FatalIfError(os.Mkdir(logs, 0o700), "create log directory")
		report, err := soak.Run(ctx, soak.Options{
			Seed: *seed + uint64(i), Duration: *duration, Router: []string{binary}, Dir: logs, Faults: *faults, Rollouts: *rollouts,
		})
		app.FatalIfError(err, "soak")
		failed = failed || len(report.Violations) > 0
		app.FatalIfError(printReport(report, logs, *asJSON), "output")
	}
	if failed {
		os.Exit(1)
	}
}

func printReport(r soak.Report, logs string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d: %d faults, %d starts, answers %v, engines over the limit at %d of %d requests, %d violations\n", r.Seed, r.Faults, r.Starts, r.Answers, r.OverLimit, r.EngineRequests, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Printf("  %.3f s %s: %s\n", v.Time.Seconds(), v.Guarantee, v.Text)
		for _, e := range v.Events {
			fmt.Printf("    before: %s\n", e)
		}
	}
	if len(r.Violations) > 0 {
		fmt.Printf("  logs: %s\n", logs)
	}
	return nil
}
