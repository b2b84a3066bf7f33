// Package standins implements the program standin, which runs one stand-in for an
// external system: the platform, a model engine or a plain service. It prints
// "listening on <address>" and exits on SIGTERM or SIGINT.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7100 --vm-lag 1s
//	standin engine --listen 127.0.0.1:7200 --model m --capacity 16 --cold-limit 2 --warmup 10s
//	standin application --delay 20ms
//
// The packages below the directory standin document the HTTP protocols and the faults
// that can be set over HTTP.
package standins

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/standin/application"
	"amaranthtide/standin/engine"
	"amaranthtide/standin/platform"
)

const exitUsage = 2

// Main runs the program with the arguments of the process. It returns after SIGTERM or
// SIGINT and exits with status 2 on an error.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitUsage)
	}
}

// server is a running stand-in.
type server interface {
	Addr() netip.AddrPort
	Close()
}

func run(ctx context.Context, args []string, out io.Writer) error {
	app := kingpin.New("standin", "Runs a stand-in for an external system on a loopback address.")
	listen := app.Flag("listen", "Loopback address; port 0 chooses a free port.").Default("127.0.0.1:0").String()
	seed := app.Flag("seed", "Seed of the random faults.").Uint64()
	constructors := map[string]func(addr netip.AddrPort, seed uint64) (server, error){
		"platform":    platformCommand(app),
		"engine":      engineCommand(app),
		"application": applicationCommand(app),
	}
	if len(args) == 0 {
		return errors.New("command missing: platform, engine or application; see --help")
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(*listen)
	if err != nil {
		return fmt.Errorf("flag --listen: %w", err)
	}
	s, err := constructors[name](addr, *seed)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, err := fmt.Fprintf(out, "listening on %v\n", s.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func platformCommand(app *kingpin.Application) func(netip.AddrPort, uint64) (server, error) {
	var cfg platform.Config
	c := app.Command("platform", "Table service, object store, VM list and weight store.")
	c.Flag("writes", "Writes per second.").Default("500").Float64Var(&cfg.Faults.WritesPerSecond)
	c.Flag("reads", "Reads per second.").Default("2000").Float64Var(&cfg.Faults.ReadsPerSecond)
	c.Flag("outage", "Start with an outage.").BoolVar(&cfg.Faults.Outage)
	c.Flag("lost-before", "Share of calls that fail without taking effect.").Float64Var(&cfg.Faults.LostBefore)
	c.Flag("lost-after", "Share of calls that take effect but lose their answer.").Float64Var(&cfg.Faults.LostAfter)
	delay := c.Flag("delay", "Delay of each call.").Duration()
	c.Flag("vm-lag", "Time until a change of the VM list becomes visible.").DurationVar(&cfg.VMLag)
	c.Flag("reservations", "Reservations of the weight store per second.").Default("2").Float64Var(&cfg.ReservationsPerSecond)
	return func(addr netip.AddrPort, seed uint64) (server, error) {
		cfg.Addr, cfg.Seed, cfg.Faults.Delay = addr, seed, amaranthtide.Duration(*delay)
		return platform.New(cfg)
	}
}

func engineCommand(app *kingpin.Application) func(netip.AddrPort, uint64) (server, error) {
	var cfg engine.Config
	c := app.Command("engine", "Model engine.")
	c.Flag("model", "Model to serve; empty serves all.").StringVar((*string)(&cfg.Model))
	c.Flag("capacity", "Maximum number of concurrent requests.").Default("16").IntVar(&cfg.Capacity)
	c.Flag("queue-limit", "Maximum number of queued requests of a warm engine; 0 is four times the capacity.").IntVar(&cfg.QueueLimit)
	c.Flag("cold-limit", "Maximum number of concurrent requests right after a boot; 0 is the capacity.").IntVar(&cfg.ColdLimit)
	c.Flag("warmup", "Time from a cold start until warm; 0 means never cold.").DurationVar(&cfg.Warmup)
	c.Flag("recover-time", "Downtime after an overload or a reboot.").Default("200ms").DurationVar(&cfg.RecoverTime)
	c.Flag("token-interval", "Duration of a decoding step with one request.").Default("20ms").DurationVar(&cfg.TokenInterval)
	c.Flag("batch-slowdown", "Relative increase of a step's duration with a full batch.").Default("0.5").Float64Var(&cfg.BatchSlowdown)
	c.Flag("prefill", "Uncached prompt tokens processed per second.").Default("20000").Float64Var(&cfg.PrefillTokensPerSecond)
	c.Flag("cache-tokens", "Size of the prefix cache.").Default("1048576").IntVar(&cfg.CacheTokens)
	c.Flag("report-lag", "Age of load reports.").DurationVar(&cfg.ReportLag)
	c.Flag("check-fencing", "Refuse orders with an old fencing number.").BoolVar(&cfg.CheckFencing)
	c.Flag("order-time", "Time until an order takes effect.").DurationVar(&cfg.OrderDelay)
	c.Flag("no-resume", "Disable resumption of streams.").BoolVar(&cfg.NoResume)
	c.Flag("resume-grace", "Time for which a stream without a reader can be resumed.").Default("2s").DurationVar(&cfg.ResumeGrace)
	c.Flag("cut-share", "Share of attempts whose connection breaks.").Float64Var(&cfg.Faults.CutShare)
	c.Flag("cross-share", "Share of answers with another attempt's identifier.").Float64Var(&cfg.Faults.WrongAttemptShare)
	return func(addr netip.AddrPort, seed uint64) (server, error) {
		cfg.Addr, cfg.Seed = addr, seed
		return engine.New(cfg)
	}
}

func applicationCommand(app *kingpin.Application) func(netip.AddrPort, uint64) (server, error) {
	var cfg application.Config
	c := app.Command("application", "Plain service.")
	c.Flag("delay", "Time between effect and answer.").DurationVar(&cfg.Delay)
	return func(addr netip.AddrPort, _ uint64) (server, error) {
		cfg.Addr = addr
		return application.New(cfg)
	}
}
