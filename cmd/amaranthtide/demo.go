package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/cmd/internal/deployment"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/observer"
)

const (
	// demoDuration leaves time after the last step, at 19 s, and keeps the whole demo
	// under a minute.
	demoDuration   = 24 * time.Second
	warmupDuration = 5 * time.Second
	// One in warmupDivisor callers takes part in warming the engines up.
	warmupDivisor = 4
	// skewTolerance absorbs rounding errors of floating-point numbers.
	skewTolerance = 1e-9
)

// demoResult holds the measurements of the callers and the stand-ins. Only the control
// bytes are counted by the routers themselves.
type demoResult struct {
	caller.Result
	SkewMax                     float64       `json:"skewMax"`
	Skew                        observer.Skew `json:"skew"`
	ControlBytesPerRouterSecond float64       `json:"controlBytesPerRouterSecond"`
}

var errGuaranteeViolated = errors.New("a guarantee was violated")

func (r demoResult) violatesGuarantee() bool {
	return !r.Passed() || r.SkewMax > amaranthtide.DefaultCapMultiple+skewTolerance || r.Skew.LateAdmissions > 0
}

func demoCommand(app *kingpin.Application) (string, action) {
	c := app.Command("demo", "Run a whole deployment on loopback for under a minute and check its guarantees.")
	asJSON := c.Flag("json", "Print one JSON object.").Bool()
	seed := c.Flag("seed", "Seed of the callers.").Default("1").Uint64()
	return c.FullCommand(), func(ctx context.Context, s streams) error {
		r, err := demo(ctx, s.err, *seed)
		if err != nil {
			return err
		}
		if *asJSON {
			err = printJSON(s.out, r)
		} else {
			err = r.print(s.out)
		}
		if err == nil && r.violatesGuarantee() {
			err = errGuaranteeViolated
		}
		return err
	}
}

func demo(ctx context.Context, log io.Writer, seed uint64) (demoResult, error) {
	d, err := deployment.New(ctx, deployment.Config{Profile: deployment.Demo(), Seed: seed})
	if err != nil {
		return demoResult{}, err
	}
	defer d.Close()
	_, _ = fmt.Fprintf(log, "%d routers, %d engines; warming up\n", len(d.Routers()), len(d.Engines()))
	warmed := warmUp(ctx, d, seed)
	s := demoScript(ctx, d, log)
	load := d.Load(demoDuration, seed)
	control, begin := d.ControlBytes(), time.Now()
	s.start(ctx)
	r := demoResult{Result: load.Run(ctx)}
	elapsed := time.Since(begin).Seconds()
	if err := s.wait(); err != nil {
		return demoResult{}, err
	}
	r.ControlBytesPerRouterSecond = float64(d.ControlBytes()-control) / elapsed / float64(len(d.Routers()))
	r.Skew = d.Observer().Skew()
	r.SkewMax = r.Skew.Max
	r.addViolations(warmed)
	return r, nil
}

// addViolations adds the violations of another load, such as the warm-up, whose other
// results are not reported.
func (r *demoResult) addViolations(other caller.Result) {
	r.WrongAnswers += other.WrongAnswers
	r.TruncatedAnswers += other.TruncatedAnswers
	r.DoubleRuns += other.DoubleRuns
	r.RefusedButRan += other.RefusedButRan
	r.AnsweredNotRun += other.AnsweredNotRun
	r.Requests += other.WrongAnswers + other.TruncatedAnswers
}

// warmUp runs a part of the load until the engines are warm.
func warmUp(ctx context.Context, d *deployment.Deployment, seed uint64) caller.Result {
	cfg := d.LoadConfig()
	cfg.Workspaces = make([]caller.Workspace, len(cfg.Workspaces))
	for i, w := range d.LoadConfig().Workspaces {
		w.ChatCallers, w.QuickCallers, w.ServiceCallers = (w.ChatCallers+warmupDivisor-1)/warmupDivisor, 1, 0
		cfg.Workspaces[i] = w
	}
	// A different seed avoids the chats and idempotency keys of the load.
	cfg.Duration, cfg.Seed = warmupDuration, seed+warmupSeedOffset
	return caller.New(cfg).Run(ctx)
}

const warmupSeedOffset = 1 << 32

func demoScript(ctx context.Context, d *deployment.Deployment, log io.Writer) *script {
	s := &script{log: log}
	engines, routers := d.Engines(), d.Routers()
	killed, rebooted, vm := engines[0], engines[len(engines)-1], routers[0]
	const zone amaranthtide.ZoneName = "b"
	s.add(2*time.Second, "engine "+string(killed)+" is killed", func() error { return d.KillEngine(killed) })
	s.add(4*time.Second, "router "+string(vm)+" is killed", func() error { return d.KillRouter(vm) })
	s.add(6*time.Second, "engine "+string(killed)+" restarts cold", func() error { return d.RestartEngine(killed) })
	s.add(8*time.Second, "a new router replaces the killed one", func() error { return d.AddRouter(ctx, deployment.Demo().Zones[0]) })
	s.add(11*time.Second, "zone b is taken out of service", func() error { return d.SetZoneOutOfService(ctx, zone, true) })
	s.add(16*time.Second, "zone b returns to service", func() error { return d.SetZoneOutOfService(ctx, zone, false) })
	s.add(19*time.Second, "engine "+string(rebooted)+" reboots without notice", func() error { return d.RebootEngine(rebooted) })
	return s
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (r demoResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("refused as not run", r.RefusedNotRun)
	row("failed, and said so", r.Failed)
	row("outcome unknown", r.UnknownOutcome)
	row("wrong answers", r.WrongAnswers)
	row("truncated answers shown as complete", r.TruncatedAnswers)
	row("double runs", r.DoubleRuns)
	row("refused as not run, but ran", r.RefusedButRan)
	row("answered, but not run", r.AnsweredNotRun)
	row("greatest skew (at most 1.25)", fmt.Sprintf("%.3f (load %d at mean %.2f)", r.SkewMax, r.Skew.MaxLoad, r.Skew.MaxMean))
	row("mean load of an engine at admissions", fmt.Sprintf("%.2f", r.Skew.MeanLoad))
	row("work at servers out of service for 3 s", r.Skew.LateAdmissions)
	row("cache reuse (of the possible; ideal)", fmt.Sprintf("%.1f%% (%.1f%%)", 100*r.CacheReuse, 100*r.CacheReuseIdeal))
	row("first token, median and p99", fmt.Sprintf("%v, %v", time.Duration(r.FirstToken.Median), time.Duration(r.FirstToken.P99)))
	row("quick call p99", time.Duration(r.QuickTotal.P99))
	row("control bytes per router and second", fmt.Sprintf("%.0f", r.ControlBytesPerRouterSecond))
	return w.Flush()
}
