// Package owner serves forwarded requests with the backend servers that this
// router owns: it admits, queues, counts and sends them.
//
// # Usage
//
//	o := owner.New(owner.Options{VM: "vm-1", Zone: "a", Table: t, Ledger: l, Control: c,
//		Engines: engines, Services: services, Claims: claims})
//	defer o.Close() // waits for requests in flight
//	err := o.Serve(ctx, "engine-1", req, w)
//
// Each backend server has a gate in a sharded map; decisions about a server run
// under the lock of its shard and, inside of it, under that of its model in the
// ledger.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/ramp"
	"amaranthtide/state/load"
	"amaranthtide/state/shard"
	"amaranthtide/state/table"
)

// Control tells an Owner what it owns.
type Control interface {
	Owns(now time.Time, server amaranthtide.BackendServerName) (owns, settled bool)
	Resumable(now time.Time, server amaranthtide.BackendServerName, age time.Duration) (amaranthtide.ServerLoad, bool)
	// Leaving reports whether the platform's list says that the server leaves.
	Leaving(server amaranthtide.BackendServerName) bool
}

// Claims serves requests that may not be repeated.
type Claims interface {
	// Serve sends the request by send at most once, and only with a claim. It passes
	// the whole answer, also that of an earlier attempt, to w.
	Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter, send func(ctx context.Context, w amaranthtide.AnswerWriter) error) error
}

// Options are the parts that an Owner works with. All but Logger, Observe and
// Unbounded are required.
type Options struct {
	VM       amaranthtide.VMName
	Zone     amaranthtide.ZoneName
	Table    *table.Table
	Ledger   *load.Ledger
	Control  Control
	Engines  amaranthtide.Backend
	Services amaranthtide.Backend
	Claims   Claims
	// MaxQueue bounds the requests that wait for one server.
	MaxQueue int
	// Quiet is the time after taking a server over in which nothing starts.
	Quiet time.Duration
	// Resume is the greatest age of another router's report of an allowance from
	// which a new owner goes on.
	Resume time.Duration
	// Unbounded lifts the cap and the ramp, for measurements against baselines.
	Unbounded bool
	// Observe is called at the end of each attempt that was sent; may be nil.
	Observe func(req *amaranthtide.Request, err error)
	Logger  hclog.Logger
}

// unboundedLimit replaces capacity and cap for baselines.
const unboundedLimit = 1 << 20

// Owner implements amaranthtide.Owner. It is concurrent-safe.
type Owner struct {
	opts  Options
	gates *shard.Map[amaranthtide.BackendServerName, *station]

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	wg     sync.WaitGroup
}

// station is a gate with the requests that wait at it.
type station struct {
	gate    *admission.Gate
	model   amaranthtide.ModelName
	config  admission.Config
	waiting map[amaranthtide.AttemptID]chan error
	// downUntil is when a plain service that refused a connection is tried again.
	downUntil time.Time
	// refusedUntil is when a server that refused a request as leaving is tried again.
	refusedUntil time.Time
}

var _ amaranthtide.Owner = (*Owner)(nil)

// New returns an Owner and starts its loop.
func New(opts Options) *Owner {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Observe == nil {
		opts.Observe = func(*amaranthtide.Request, error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		opts:   opts,
		gates:  shard.New[amaranthtide.BackendServerName, *station](),
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
	}
	o.wg.Go(o.run)
	return o
}

// Close stops the loop and waits until no request is being served.
func (o *Owner) Close() {
	o.cancel()
	o.wg.Wait()
}

// Serve implements amaranthtide.Owner.
func (o *Owner) Serve(ctx context.Context, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	row, ok := o.opts.Table.BackendServer(server)
	if !ok || row.Zone != o.opts.Zone {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "backend server %s is not in zone %s", server, o.opts.Zone)
	}
	if zone, _ := o.opts.Table.Zone(row.Zone); zone.OutOfService {
		return amaranthtide.Errorf(amaranthtide.KindZoneOut, "zone %s is out of service", row.Zone)
	}
	if req.Repeatable() && !req.Deadline.IsZero() {
		// A forwarded request carries its deadline in itself, not in its context.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if err := o.admit(ctx, server, row, req); err != nil {
		return err
	}
	return o.send(ctx, server, row, req, w)
}

// admit returns nil once the request has a slot at the server.
func (o *Owner) admit(ctx context.Context, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, req *amaranthtide.Request) error {
	ticket := admission.Ticket{
		Ticket: fairness.Ticket{
			Attempt:   req.Attempt,
			Workspace: req.Workspace,
			Class:     req.Class,
			Weight:    req.Weight,
			Cost:      req.Cost,
			Deadline:  req.Deadline,
		},
		MayQueue: req.MayQueue,
	}
	var granted chan error
	err := o.decide(time.Now(), server, row, func(now time.Time, s *station, l admission.Limits) error {
		decision, err := s.gate.Submit(now, ticket, l)
		if decision == admission.Queued {
			granted = make(chan error, 1)
			s.waiting[req.Attempt] = granted
		}
		return err
	})
	if err != nil || granted == nil {
		return err
	}
	o.notify()
	return o.wait(ctx, server, row, req, granted)
}

// wait blocks until a queued request may start.
func (o *Owner) wait(ctx context.Context, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, req *amaranthtide.Request, granted chan error) error {
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
	}
	err := o.decide(time.Now(), server, row, func(now time.Time, s *station, _ admission.Limits) error {
		delete(s.waiting, req.Attempt)
		s.gate.Cancel(now, req.Attempt)
		return nil
	})
	if err != nil {
		return err
	}
	if ctx.Err() == context.DeadlineExceeded {
		return amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "deadline passed in the queue of %s", server)
	}
	return amaranthtide.Errorf(amaranthtide.KindCanceled, "canceled in the queue of %s", server)
}

// decide runs f and then starts what may start, under the locks of the server.
func (o *Owner) decide(now time.Time, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, f func(now time.Time, s *station, l admission.Limits) error) error {
	owns, settled := o.opts.Control.Owns(now, server)
	model, _ := o.opts.Table.Model(row.Model)
	var err error
	o.gates.Update(server, func(s *station, ok bool) (*station, bool) {
		if !ok {
			s = o.newStation(now, server, row)
		}
		s.gate.SetOwned(now, owns)
		s.gate.SetLeaving(o.leaving(now, s, server, row))
		o.opts.Ledger.Update(now, row.Model, server, func(v load.View) int {
			err = f(now, s, o.limits(now, s, v, model, settled))
			s.startNext(now, o.limits(now, s, v, model, settled))
			return s.gate.InFlight()
		})
		return s, true
	})
	return err
}

func (o *Owner) limits(now time.Time, s *station, v load.View, model amaranthtide.Model, settled bool) admission.Limits {
	if o.opts.Unbounded {
		return admission.Limits{Settled: true}
	}
	return s.gate.Limits(now, v, model, settled)
}

func (o *Owner) newStation(now time.Time, server amaranthtide.BackendServerName, row amaranthtide.BackendServer) *station {
	cfg := o.gateConfig(server, row)
	s := &station{
		gate:    admission.New(now, cfg),
		model:   row.Model,
		config:  cfg,
		waiting: make(map[amaranthtide.AttemptID]chan error),
	}
	if l, ok := o.opts.Control.Resumable(now, server, o.opts.Resume); ok {
		s.gate.Resume(now, l.Boot, l.Allowance)
	}
	return s
}

func (o *Owner) leaving(now time.Time, s *station, server amaranthtide.BackendServerName, row amaranthtide.BackendServer) bool {
	return row.Leaving || o.opts.Control.Leaving(server) || now.Before(s.refusedUntil)
}

func (o *Owner) gateConfig(server amaranthtide.BackendServerName, row amaranthtide.BackendServer) admission.Config {
	cfg := admission.Config{
		Server: server,
		Ramp: ramp.Config{
			ColdLimit: row.ColdLimit,
			Capacity:  row.Capacity,
			Duration:  time.Duration(row.RampDuration),
		},
		QueueLimit: o.opts.MaxQueue,
		Quiet:      o.opts.Quiet,
	}
	if o.opts.Unbounded {
		cfg.Ramp = ramp.Config{ColdLimit: unboundedLimit, Capacity: unboundedLimit}
		cfg.Quiet = 0
	}
	return cfg
}

// startNext hands the slots that are free to the requests that wait.
func (s *station) startNext(now time.Time, l admission.Limits) {
	started, refused := s.gate.Next(now, l)
	for _, t := range started {
		s.resolve(t.Attempt, nil)
	}
	for _, r := range refused {
		s.resolve(r.Ticket.Attempt, r.Err)
	}
}

func (s *station) resolve(attempt amaranthtide.AttemptID, err error) {
	if granted, ok := s.waiting[attempt]; ok {
		delete(s.waiting, attempt)
		granted <- err
	}
}
