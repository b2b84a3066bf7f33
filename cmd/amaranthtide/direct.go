package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"amaranthtide/cmd/internal/deployment"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/engine"
)

const (
	directEngines  = 4
	directCapacity = 16
	// directStreams is half of the engines' slots.
	directStreams = directEngines * directCapacity / 2
	// directPause spans many decoding steps. With a shorter pause, requests would arrive
	// at the same phase of a step each time, and a later arrival would only shorten the
	// wait for the next step, which hides the overhead of routing.
	directPause = 40 * time.Millisecond
	// directCallers is the number of callers that keeps about directStreams in flight in
	// spite of their pauses.
	directCallers = directStreams * 7 / 6
	// directRounds is the number of pairs of a direct and a routed phase. They alternate
	// so that both run under the same conditions of the machine.
	directRounds        = 5
	directPhaseDuration = 4 * time.Second
	memoryStreams       = 800
	memoryTokens        = 100
	memoryInterval      = 80 * time.Millisecond
	memoryWait          = 6 * time.Second
)

// directResult holds the overhead of routing, measured in one run.
type directResult struct {
	DirectFirstTokenMedianMillis float64 `json:"directFirstTokenMedianMillis"`
	DirectFirstTokenP99Millis    float64 `json:"directFirstTokenP99Millis"`
	// AddedMedianMillis and AddedP99Millis are medians over the rounds. Each round gives
	// the routed quantile minus the direct one.
	AddedMedianMillis float64 `json:"addedMedianMillis"`
	AddedP99Millis    float64 `json:"addedP99Millis"`
	// AddedMedianMillisByRound and AddedP99MillisByRound show the variation between
	// rounds.
	AddedMedianMillisByRound []float64 `json:"addedMedianMillisByRound"`
	AddedP99MillisByRound    []float64 `json:"addedP99MillisByRound"`
	// TokensPerCoreSecond is the number of streamed tokens per second of CPU time that
	// the routed phases used in addition to the direct ones, for both hops together.
	TokensPerCoreSecond  float64 `json:"tokensPerCoreSecond"`
	KiBPerStreamInFlight float64 `json:"kibPerStreamInFlight"`
	MiBPerIdleRouter     float64 `json:"mibPerIdleRouter"`
	Requests             int     `json:"requests"`
	Answered             int     `json:"answered"`
}

// phaseResult holds the measurements of one phase of load.
type phaseResult struct {
	result caller.Result
	cpu    time.Duration
	tokens int
}

func directProfile(routersPerZone int, e engine.Config) deployment.Profile {
	p := deployment.Demo()
	p.Name, p.RoutersPerZone, p.Engines, p.Services, p.Engine = "direct", routersPerZone, directEngines, 1, e
	// Prefill and the slowdown of full batches are switched off: they depend on the
	// placement and would count as overhead of routing.
	p.Engine.PrefillTokensPerSecond, p.Engine.BatchSlowdown = 1e12, 1e-9
	return p
}

func runDirect(ctx context.Context, s streams, asJSON bool, seed uint64) error {
	var r directResult
	_, _ = fmt.Fprintln(s.err, "latency and CPU time at half load")
	if err := r.measureLatency(ctx, seed); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(s.err, "memory")
	if err := r.measureMemory(ctx, seed); err != nil {
		return err
	}
	if asJSON {
		return printJSON(s.out, r)
	}
	return r.print(s.out)
}

func (r *directResult) measureLatency(ctx context.Context, seed uint64) error {
	p := directProfile(2, engine.Config{Capacity: directCapacity, TokenInterval: 4 * time.Millisecond})
	d, err := deployment.New(ctx, deployment.Config{Profile: p, Seed: seed})
	if err != nil {
		return err
	}
	defer d.Close()
	cfg := d.LoadConfig()
	cfg.Workspaces = []caller.Workspace{{Name: p.Workspaces[0].Name, ChatCallers: directCallers}}
	cfg.Pause, cfg.Duration, cfg.Observer, cfg.Effects, cfg.Dial = directPause, directPhaseDuration, nil, nil, nil
	run := func(addrs []netip.AddrPort) phaseResult {
		seed++
		cfg.Routers, cfg.Seed = addrs, seed
		cpu, tokens := cpuTime(), d.OutputTokens()
		result := caller.New(cfg).Run(ctx)
		r.Requests += result.Requests
		r.Answered += result.Answered
		return phaseResult{result, cpuTime() - cpu, d.OutputTokens() - tokens}
	}
	run(d.CallerAddresses()) // opens connections
	var direct, routed phaseResult
	var directMedian, directP99 []float64
	for range directRounds {
		a, b := run(d.EngineAddresses()), run(d.CallerAddresses())
		if err := ctx.Err(); err != nil {
			return err
		}
		direct.cpu, direct.tokens = direct.cpu+a.cpu, direct.tokens+a.tokens
		routed.cpu, routed.tokens = routed.cpu+b.cpu, routed.tokens+b.tokens
		fa, fb := a.result.FirstToken, b.result.FirstToken
		directMedian, directP99 = append(directMedian, millis(fa.Median)), append(directP99, millis(fa.P99))
		r.AddedMedianMillisByRound = append(r.AddedMedianMillisByRound, millis(fb.Median-fa.Median))
		r.AddedP99MillisByRound = append(r.AddedP99MillisByRound, millis(fb.P99-fa.P99))
	}
	r.DirectFirstTokenMedianMillis, r.DirectFirstTokenP99Millis = median(directMedian), median(directP99)
	r.AddedMedianMillis, r.AddedP99Millis = median(r.AddedMedianMillisByRound), median(r.AddedP99MillisByRound)
	base := direct.cpu.Seconds() / float64(max(1, direct.tokens)) * float64(routed.tokens)
	if added := routed.cpu.Seconds() - base; added > 0 {
		r.TokensPerCoreSecond = float64(routed.tokens) / added
	}
	return nil
}

// measureMemory measures the memory of an idle router, by comparing deployments with
// and without routers, and that of a stream in flight, by comparing routed and direct
// streams.
func (r *directResult) measureMemory(ctx context.Context, seed uint64) error {
	e := engine.Config{Capacity: memoryStreams, TokenInterval: memoryInterval}
	base := memoryInUse()
	alone, err := deployment.New(ctx, deployment.Config{Profile: directProfile(0, e), Seed: seed})
	if err != nil {
		return err
	}
	without := memoryInUse() - base
	alone.Close()
	base = memoryInUse()
	// Caps don't change the memory per stream but would keep the load below
	// memoryStreams.
	d, err := deployment.New(ctx, deployment.Config{Profile: directProfile(2, e), Seed: seed, Unbounded: true})
	if err != nil {
		return err
	}
	defer d.Close()
	routers := float64(len(d.Routers()))
	r.MiBPerIdleRouter = float64(memoryInUse()-base-without) / routers / (1 << 20)
	direct, err := streamMemory(ctx, d, d.EngineAddresses(), seed)
	if err != nil {
		return err
	}
	routed, err := streamMemory(ctx, d, d.CallerAddresses(), seed+1)
	if err != nil {
		return err
	}
	r.KiBPerStreamInFlight = float64(routed-direct) / memoryStreams / (1 << 10)
	return nil
}

// streamMemory returns the memory used by memoryStreams streams in flight.
func streamMemory(ctx context.Context, d *deployment.Deployment, addrs []netip.AddrPort, seed uint64) (int64, error) {
	cfg := d.LoadConfig()
	cfg.Workspaces = []caller.Workspace{{Name: cfg.Workspaces[0].Name, ChatCallers: memoryStreams}}
	cfg.Routers, cfg.Seed, cfg.Observer, cfg.Effects, cfg.Dial = addrs, seed, nil, nil, nil
	cfg.Pause, cfg.Duration, cfg.MaxRequests = time.Second, memoryWait, memoryStreams
	cfg.MinOutput, cfg.MaxOutput = memoryTokens, memoryTokens
	before := memoryInUse()
	l := caller.New(cfg)
	ended := make(chan caller.Result, 1)
	go func() { ended <- l.Run(ctx) }()
	time.Sleep(memoryWait)
	during := memoryInUse()
	inFlight := 0
	for _, n := range d.InFlight() {
		inFlight += n
	}
	if result := <-ended; inFlight < memoryStreams*9/10 {
		return 0, fmt.Errorf("only %d of %d streams were in flight: %+v", inFlight, memoryStreams, result.Kinds)
	}
	return during - before, nil
}

// memoryInUse returns the bytes of the live heap and of the stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	if len(s) == 0 {
		return 0
	}
	return s[len(s)/2]
}

func (r directResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("requests, answered", "%d, %d", r.Requests, r.Answered)
	row("direct first token, median and p99", "%.2f ms, %.2f ms", r.DirectFirstTokenMedianMillis, r.DirectFirstTokenP99Millis)
	row("added by routing, median", "%.2f ms %.2f", r.AddedMedianMillis, r.AddedMedianMillisByRound)
	row("added by routing, p99", "%.2f ms %.2f", r.AddedP99Millis, r.AddedP99MillisByRound)
	row("streamed tokens per second and core of the routers", "%.0f", r.TokensPerCoreSecond)
	row("memory per stream in flight, both hops", "%.1f KiB", r.KiBPerStreamInFlight)
	row("memory per idle router", "%.1f MiB", r.MiBPerIdleRouter)
	return w.Flush()
}
