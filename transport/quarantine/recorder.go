// Package quarantine keeps the quarantines of a router in the platform's store, so that they survive
// a restart of all routers. Package coordination/quarantine/stored decides what is written when;
// this package makes the calls, in a goroutine that no request waits for.
//
// # Usage
//
//	r := quarantine.New(quarantine.Options{VM: "vm-1", Store: store, Ledgers: tracker, Logger: logger})
//	r.Start()
//	defer r.Close() // waits for the goroutine
//	r.SetRouters(names)
//	r.Changed(now, service, released) // after changes of the ledgers
//	r.Load(ctx) // reads the table once, when the router starts
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/quarantine/stored"
)

// writerOrderSalt selects the order of the routers that write.
const writerOrderSalt = "quarantine"

// Ledgers hold the quarantines of all services.
type Ledgers interface {
	// Current returns the quarantines that have not ended.
	Current(now time.Time) []amaranthtide.Quarantine
	// Merge adds what the platform's store knows.
	Merge(now time.Time, e amaranthtide.CrashEvidence)
}

// Options are the dependencies of a Recorder. All but Logger are required.
type Options struct {
	VM      amaranthtide.VMName
	Store   amaranthtide.QuarantineStore
	Ledgers Ledgers
	Logger  hclog.Logger
}

// Recorder reads and writes the table of quarantines. It is safe for concurrent use. Use New.
type Recorder struct {
	opts Options

	mu       sync.Mutex
	table    *stored.Table
	position int
	// loaded is closed, and replaced, when a read for Load has succeeded or any round has failed.
	loaded chan struct{}

	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Recorder that makes no calls until Start.
func New(opts Options) *Recorder {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	r := &Recorder{opts: opts, table: stored.New(), position: -1, loaded: make(chan struct{}), wake: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start starts to make calls when they are due.
func (r *Recorder) Start() { r.wg.Go(r.run) }

// Close cancels a call in flight and waits for the goroutine.
func (r *Recorder) Close() {
	r.cancel()
	r.wg.Wait()
}

// SetRouters replaces the set of registered routers, which determines who writes.
func (r *Recorder) SetRouters(routers []amaranthtide.VMName) {
	position := slices.Index(placement.TopRouters(writerOrderSalt, routers, stored.Writers), r.opts.VM)
	r.mu.Lock()
	isChanged := position != r.position
	r.position = position
	r.mu.Unlock()
	if isChanged {
		r.wakeUp()
	}
}

// Changed records that quarantines of a service may have begun or become longer, and that answers
// have ended those of the released parts.
func (r *Recorder) Changed(now time.Time, service amaranthtide.ServiceName, released []amaranthtide.PromptPart) {
	if len(released) > 0 {
		r.mu.Lock()
		for _, p := range released {
			r.table.Release(now, service, p)
		}
		r.mu.Unlock()
	}
	r.wakeUp()
}

// Load reads the table and adds its quarantines to the ledgers. It returns once that has succeeded or
// failed, or ctx ends. A failed read is repeated later.
func (r *Recorder) Load(ctx context.Context) {
	r.mu.Lock()
	r.table.BeginLoad(time.Now())
	loaded := r.loaded
	r.mu.Unlock()
	r.wakeUp()
	select {
	case <-loaded:
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
}

// StoreRestored records that the store has come back from an older copy. The quarantines in force that it lacks
// are written again.
func (r *Recorder) StoreRestored() {
	r.mu.Lock()
	r.table.Forget()
	r.mu.Unlock()
	r.wakeUp()
}

// wakeUp makes run compute again when its next round is due, without waiting for it.
func (r *Recorder) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// run makes the rounds until the recorder is closed.
func (r *Recorder) run() {
	for r.await() {
		r.round()
	}
}

// await waits until a round is due. It returns false once the recorder is closed.
func (r *Recorder) await() bool {
	for r.ctx.Err() == nil {
		var due <-chan time.Time
		var timer *time.Timer
		if at, ok := r.next(time.Now()).Get(); ok {
			wait := time.Until(at)
			if wait <= 0 {
				return true
			}
			timer = time.NewTimer(wait)
			due = timer.C
		}
		select {
		case <-due:
		case <-r.wake:
		case <-r.ctx.Done():
		}
		if timer != nil {
			timer.Stop()
		}
	}
	return false
}

// next returns when the next round is due.
func (r *Recorder) next(now time.Time) amaranthtide.Option[time.Time] {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Read under the lock: with an older list, a quarantine that has ended since would count as in force.
	r.table.Update(now, r.opts.Ledgers.Current(now))
	return r.table.Next(r.position)
}

// round reads the table and writes what is due.
func (r *Recorder) round() {
	rows, err := r.opts.Store.ReadQuarantines(r.ctx)
	if err != nil {
		r.failed(err, amaranthtide.QuarantineWrite{})
		return
	}
	r.take(time.Now(), rows)
	now := time.Now()
	r.mu.Lock()
	w := r.table.Plan(now, r.position, r.opts.Ledgers.Current(now))
	r.mu.Unlock()
	if len(w.Puts) > 0 {
		if err := r.opts.Store.WriteQuarantines(r.ctx, w); err != nil {
			r.failed(err, w)
			return
		}
		r.opts.Logger.Info("quarantines stored", "rows", len(w.Puts), "removed", len(w.Removals))
	}
	r.mu.Lock()
	r.table.Done(time.Now(), w)
	r.mu.Unlock()
}

// take applies the rows that were read. If this router is loading, their quarantines are evidence
// like that of another router, and Load returns.
func (r *Recorder) take(now time.Time, rows []amaranthtide.QuarantineRow) {
	r.logProblems(rows)
	r.mu.Lock()
	loading := r.table.Loading()
	known := r.table.Read(now, rows)
	r.mu.Unlock()
	if !loading {
		return
	}
	if len(known) > 0 {
		r.opts.Ledgers.Merge(now, amaranthtide.CrashEvidence{Quarantines: known})
		r.opts.Logger.Info("stored quarantines read", "quarantines", len(known))
	}
	r.mu.Lock()
	r.endLoad()
	r.mu.Unlock()
}

// endLoad makes Load return. The caller holds mu.
func (r *Recorder) endLoad() {
	close(r.loaded)
	r.loaded = make(chan struct{})
}

// failed records a failed call. w is the write that failed, if any.
func (r *Recorder) failed(err error, w amaranthtide.QuarantineWrite) {
	if !amaranthtide.IsKind(err, amaranthtide.KindOutcomeUnknown) {
		w = amaranthtide.QuarantineWrite{}
	}
	r.mu.Lock()
	r.table.Failed(time.Now(), w)
	r.endLoad()
	r.mu.Unlock()
	if r.ctx.Err() == nil {
		r.opts.Logger.Warn("quarantines not stored or read", "kind", amaranthtide.KindOf(err).String(), "error", err)
	}
}

// logProblems logs one line for all malformed rows.
func (r *Recorder) logProblems(rows []amaranthtide.QuarantineRow) {
	var last error
	n := 0
	for _, row := range rows {
		if err := stored.Problem(row); err != nil {
			n++
			last = err
		}
	}
	if n > 0 {
		r.opts.Logger.Warn("malformed rows of quarantines ignored", "rows", n, "last", last)
	}
}
