package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/cmd/internal/deployment"
	"amaranthtide/coordination/placement/leastload"
	"amaranthtide/coordination/placement/plain"
	"amaranthtide/coordination/placement/random"
	"amaranthtide/standin/caller"
)

const (
	// The zone is out of service during the third quarter of a run.
	zoneOutAt, zoneBackAt = 0.5, 0.75
	// zoneSettleTime is the time after the return of the zone that still counts as part
	// of the zone move.
	zoneSettleTime = 3 * time.Second
	// One in replacedDivisor engines is replaced during a run.
	replacedDivisor = 10
	flapCount       = 6
)

// benchRow holds the measurements of one policy.
type benchRow struct {
	Policy                      string  `json:"policy"`
	CacheReuse                  float64 `json:"cacheReuse"`
	CacheReuseIdeal             float64 `json:"cacheReuseIdeal"`
	SkewMax                     float64 `json:"skewMax"`
	SkewPlain                   float64 `json:"skewPlain"`
	SkewP99                     float64 `json:"skewP99"`
	ControlBytesPerRouterSecond float64 `json:"controlBytesPerRouterSecond"`
	ServedDuringZoneMove        float64 `json:"servedDuringZoneMove"`
	FirstTokenP99Millis         float64 `json:"firstTokenP99Millis"`
	SmallWorkspaceWaitP99Millis float64 `json:"smallWorkspaceWaitP99Millis"`
	QuickCallP99Millis          float64 `json:"quickCallP99Millis"`

	Requests       int  `json:"requests"`
	Answered       int  `json:"answered"`
	GuaranteesKept bool `json:"promisesKept"`
	RefusedNotRun  int  `json:"refusedNotRun"`

	seconds []caller.SecondStats
	skew    []float64
}

type benchResult struct {
	Profile  string
	Duration amaranthtide.Duration
	Seed     uint64
	Policies []benchRow
}

// benchPolicy is a placement policy to compare. A nil policy is the routers' default.
// unbounded disables caps and ramps, which only the fleet's own policy uses.
type benchPolicy struct {
	name      string
	policy    amaranthtide.PlacementPolicy
	unbounded bool
}

var benchPolicies = []benchPolicy{
	{"amaranthtide", nil, false},
	{"random", random.Policy{}, true},
	{"leastReportedLoad", leastload.Policy{}, true},
	{"plainRendezvous", plain.Policy{}, true},
}

var profiles = map[string]func() deployment.Profile{
	"latawiec": deployment.Latawiec,
	"haneul":   deployment.Haneul,
}

func benchCommand(app *kingpin.Application) (string, action) {
	c := app.Command("bench", "Compare placement policies under the same load, or measure the overhead of routing.")
	profile := c.Flag("profile", "Deployment: latawiec or haneul.").Default("latawiec").Enum("latawiec", "haneul")
	duration := c.Flag("duration", "Time of the load of each policy.").Default("60s").Duration()
	seed := c.Flag("seed", "Seed of the callers.").Default("1").Uint64()
	asJSON := c.Flag("json", "Print one JSON object.").Bool()
	plot := c.Flag("plot", "Plot the measures over time to this PNG file.").PlaceHolder("FILE").String()
	direct := c.Flag("direct", "Measure the overhead of routing compared with direct calls of the engines.").Bool()
	return c.FullCommand(), func(ctx context.Context, s streams) error {
		if *direct {
			return runDirect(ctx, s, *asJSON, *seed)
		}
		result := benchResult{Profile: *profile, Duration: amaranthtide.Duration(*duration), Seed: *seed}
		for _, b := range benchPolicies {
			_, _ = fmt.Fprintf(s.err, "policy %s\n", b.name)
			row, err := bench(ctx, profiles[*profile](), b, *duration, *seed, s.err)
			if err != nil {
				return fmt.Errorf("policy %s: %w", b.name, err)
			}
			result.Policies = append(result.Policies, row)
		}
		if *plot != "" {
			if err := drawFile(*plot, result); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(s.out, result.Policies)
		}
		return result.print(s.out)
	}
}

func bench(ctx context.Context, p deployment.Profile, b benchPolicy, duration time.Duration, seed uint64, log io.Writer) (benchRow, error) {
	d, err := deployment.New(ctx, deployment.Config{Profile: p, Seed: seed, Policy: b.policy, Unbounded: b.unbounded})
	if err != nil {
		return benchRow{}, err
	}
	defer d.Close()
	warmed := warmUp(ctx, d, seed)
	s := &script{log: log}
	churn(ctx, s, d, duration)
	var out, back time.Time
	zone := p.Zones[1]
	at := func(share float64) time.Duration { return time.Duration(share * float64(duration)) }
	s.add(at(zoneOutAt), "zone "+string(zone)+" is taken out of service", func() error {
		out = time.Now()
		return d.SetZoneOutOfService(ctx, zone, true)
	})
	s.add(at(zoneBackAt), "zone "+string(zone)+" returns to service", func() error {
		back = time.Now()
		return d.SetZoneOutOfService(ctx, zone, false)
	})
	load := d.Load(duration, seed)
	control, begin := d.ControlBytes(), time.Now()
	s.start(ctx)
	r := load.Run(ctx)
	elapsed := time.Since(begin).Seconds()
	if err := s.wait(); err != nil {
		return benchRow{}, err
	}
	if err := ctx.Err(); err != nil {
		return benchRow{}, err
	}
	skew := d.Observer().Skew()
	return benchRow{
		Policy: b.name, CacheReuse: r.CacheReuse, CacheReuseIdeal: r.CacheReuseIdeal,
		SkewMax: skew.Max, SkewPlain: skew.MaxPlain, SkewP99: skew.P99,
		ControlBytesPerRouterSecond: float64(d.ControlBytes()-control) / elapsed / float64(len(d.Routers())),
		ServedDuringZoneMove:        r.AnsweredShare(out, back.Add(zoneSettleTime)),
		FirstTokenP99Millis:         millis(r.FirstToken.P99),
		SmallWorkspaceWaitP99Millis: millis(r.SmallFirstToken.P99),
		QuickCallP99Millis:          millis(r.QuickTotal.P99),
		Requests:                    r.Requests, Answered: r.Answered, RefusedNotRun: r.RefusedNotRun,
		GuaranteesKept: r.Passed() && warmed.Passed(),
		seconds:        r.Seconds, skew: d.Observer().SkewSeries(r.Start),
	}, nil
}

// churn adds steps that replace engines one after the other and make one engine flap.
func churn(ctx context.Context, s *script, d *deployment.Deployment, duration time.Duration) {
	engines := d.Engines()
	flapping, rest := engines[0], engines[1:]
	replaced := max(1, len(engines)/replacedDivisor)
	for i := range replaced {
		name := rest[(i*len(rest)/replaced+1)%len(rest)]
		at := duration * time.Duration(2*i+1) / time.Duration(2*replaced+1)
		s.add(at, "engine "+string(name)+" is replaced", func() error {
			// In the background, since the script continues while the old engine drains.
			go func() { _ = d.ReplaceEngine(ctx, name) }()
			return nil
		})
	}
	for i := range flapCount {
		at := duration * time.Duration(4*i+1) / (4 * flapCount)
		s.add(at, "engine "+string(flapping)+" flaps", func() error { return d.KillEngine(flapping) })
		s.add(at+duration/(4*flapCount), "engine "+string(flapping)+" restarts cold", func() error { return d.RestartEngine(flapping) })
	}
}

func millis(d amaranthtide.Duration) float64 {
	return float64(time.Duration(d).Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

func (r benchResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "profile %s, %v per policy, seed %d\n", r.Profile, time.Duration(r.Duration), r.Seed)
	_, _ = fmt.Fprintln(w, "policy\tcacheReuse\tcacheReuseIdeal\tskewMax\tskewPlain\tskewP99\tcontrolBytesPerRouterSecond"+
		"\tservedDuringZoneMove\tfirstTokenP99Millis\tsmallWorkspaceWaitP99Millis\tquickCallP99Millis\t")
	for _, p := range r.Policies {
		_, _ = fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.0f\t%.5f\t%.1f\t%.1f\t%.1f\t\n", p.Policy, p.CacheReuse,
			p.CacheReuseIdeal, p.SkewMax, p.SkewPlain, p.SkewP99, p.ControlBytesPerRouterSecond,
			p.ServedDuringZoneMove, p.FirstTokenP99Millis, p.SmallWorkspaceWaitP99Millis, p.QuickCallP99Millis)
	}
	return w.Flush()
}

func drawFile(name string, r benchResult) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := drawPlot(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
