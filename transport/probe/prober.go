// Package probe periodically requests the load of the model engines that this router
// owns.
//
// # Usage
//
//	p := probe.New(probe.Options{Table: t, Owner: o, Engines: engines,
//		Interval: time.Second})
//	defer p.Close()
package probe

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
	"amaranthtide/state/table"
)

// Owner provides the engines to probe and receives the results of the probes.
type Owner interface {
	// ProbeTargets updates the set of servers that this router owns and returns those to
	// probe.
	ProbeTargets(now time.Time) []amaranthtide.BackendServerName
	// ObserveProbe records the result of a probe that was sent at sentAt.
	ObserveProbe(sentAt time.Time, server amaranthtide.BackendServerName, r amaranthtide.EngineReport, err error)
}

// Options holds the dependencies and settings of a Prober. All fields are required.
type Options struct {
	Table    *table.Table
	Owner    Owner
	Engines  amaranthtide.EngineControl
	Interval time.Duration
}

// Prober probes all owned engines once per interval. It is safe for concurrent use.
// Use New.
type Prober struct {
	opts Options
	// inFlight contains the engines with a probe in flight. Each engine is probed in its
	// own goroutine and at most once at a time, so that an engine that doesn't answer
	// neither delays the probes of others nor accumulates probes of its own.
	inFlight *shard.Map[amaranthtide.BackendServerName, struct{}]
	probes   atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a Prober, which runs until Close.
func New(opts Options) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{
		opts:     opts,
		inFlight: shard.New[amaranthtide.BackendServerName, struct{}](),
		ctx:      ctx,
		cancel:   cancel,
	}
	p.wg.Go(p.run)
	return p
}

// Close cancels probes in flight and waits for them to return.
func (p *Prober) Close() {
	p.cancel()
	p.wg.Wait()
}

// Probes returns the number of probes sent.
func (p *Prober) Probes() uint64 { return p.probes.Load() }

func (p *Prober) run() {
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-ticker.C:
			p.probeAll(now)
		}
	}
}

func (p *Prober) probeAll(now time.Time) {
	for _, server := range p.opts.Owner.ProbeTargets(now) {
		row, ok := p.opts.Table.BackendServer(server)
		if !ok || !p.tryBegin(server) {
			continue
		}
		p.wg.Go(func() { p.probe(server, row) })
	}
}

func (p *Prober) tryBegin(server amaranthtide.BackendServerName) bool {
	begun := false
	p.inFlight.Update(server, func(_ struct{}, busy bool) (struct{}, bool) {
		begun = !busy
		return struct{}{}, true
	})
	return begun
}

func (p *Prober) probe(server amaranthtide.BackendServerName, row amaranthtide.BackendServer) {
	defer p.inFlight.Delete(server)
	sentAt := time.Now()
	p.probes.Add(1)
	report, err := p.opts.Engines.Load(p.ctx, row.Address)
	if p.ctx.Err() != nil {
		return
	}
	p.opts.Owner.ObserveProbe(sentAt, server, report, err)
}
