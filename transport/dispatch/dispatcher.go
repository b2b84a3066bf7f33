// Package dispatch serves callers' requests through the owners of backend servers. For each
// request it takes the next backend server from the request's plan, determines the owner of
// the server and forwards the request to that router, or serves it locally if this router
// is the owner.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{VM: "vm-1", Zone: "a", Table: t, Control: c,
//		Owner: o, Forwarder: m, Policy: rendezvous.Policy{}})
//	err := d.Serve(ctx, req, w)
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/quota"
	"amaranthtide/coordination/retry"
	"amaranthtide/coordination/route"
	"amaranthtide/state/shard"
	"amaranthtide/state/table"
)

// Control provides the owners and loads of servers and the live routers.
type Control interface {
	Owner(now time.Time, server amaranthtide.BackendServerName) (amaranthtide.VMName, bool)
	LiveIn(now time.Time, zone amaranthtide.ZoneName) ([]amaranthtide.VMName, bool)
	Live(now time.Time) []amaranthtide.VMName
	Address(vm amaranthtide.VMName) (netip.AddrPort, bool)
	Load(server amaranthtide.BackendServerName) (amaranthtide.ServerLoad, time.Time)
	Leaving(server amaranthtide.BackendServerName) bool
}

// Options are the dependencies and settings of a Dispatcher. All but Logger are required.
type Options struct {
	VM        amaranthtide.VMName
	Zone      amaranthtide.ZoneName
	Table     *table.Table
	Control   Control
	Owner     amaranthtide.Owner
	Forwarder amaranthtide.Forwarder
	Policy    amaranthtide.PlacementPolicy
	Logger    hclog.Logger
}

// Dispatcher implements amaranthtide.Service. It is safe for concurrent use.
type Dispatcher struct {
	opts       Options
	workspaces *shard.Map[amaranthtide.WorkspaceName, *workspaceLimits]
}

// workspaceLimits holds the request limiter and the retry budget of one workspace at this
// router.
type workspaceLimits struct {
	limiter quota.Limiter
	budget  retry.Budget
}

var _ amaranthtide.Service = (*Dispatcher)(nil)

// New returns a Dispatcher that serves requests with the given options.
func New(opts Options) *Dispatcher {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	return &Dispatcher{
		opts:       opts,
		workspaces: shard.New[amaranthtide.WorkspaceName, *workspaceLimits](),
	}
}

// Serve implements amaranthtide.Service. It sets req.Attempt to the ID of the last attempt.
func (d *Dispatcher) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	now := time.Now()
	if err := d.admit(now, req.Workspace); err != nil {
		return err
	}
	defer d.release(req.Workspace)
	plan := route.New(route.Config{
		Request:   req,
		Zones:     d.routeZones(now, req),
		Policy:    d.opts.Policy,
		InService: d.inService,
		Retry:     func() bool { return d.takeRetry(req.Workspace) },
		Spread:    rand.Float64(),
	})
	for {
		target, err := plan.Next(time.Now())
		if err != nil {
			return err
		}
		req.Attempt = amaranthtide.NewAttemptID()
		aw := &attemptWriter{AnswerWriter: w, attempt: req.Attempt}
		err = d.sendAttempt(ctx, target, req, aw)
		if err == nil {
			return nil
		}
		d.opts.Logger.Debug("attempt failed", "request", req.ID, "attempt", req.Attempt, "workspace", req.Workspace,
			"server", target.Server, "kind", amaranthtide.KindOf(err), "error", err)
		if aw.headSent {
			plan.Failed(time.Now(), err, true)
			continue
		}
		plan.Refused(time.Now(), err, amaranthtide.None[amaranthtide.VMName]())
	}
}

// sendAttempt sends the request to the owner of the target's server.
func (d *Dispatcher) sendAttempt(ctx context.Context, target route.Target, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	attempt := *req
	attempt.MayQueue = target.MayQueue
	vm, addr, err := d.ownerOf(time.Now(), target)
	if err != nil {
		return err
	}
	if vm == d.opts.VM {
		return d.opts.Owner.Serve(ctx, target.Server, &attempt, w)
	}
	return d.opts.Forwarder.Forward(ctx, addr, target.Server, &attempt, w)
}

// ownerOf returns the owner of the target's server and the owner's address; the address is
// not set if this router is the owner.
func (d *Dispatcher) ownerOf(now time.Time, target route.Target) (amaranthtide.VMName, netip.AddrPort, error) {
	vm, ok := target.Owner.Get()
	if !ok {
		vm, ok = d.opts.Control.Owner(now, target.Server)
	}
	if !ok {
		return "", netip.AddrPort{}, amaranthtide.Errorf(amaranthtide.KindNoBackend, "no live router owns %s", target.Server)
	}
	if vm == d.opts.VM {
		return vm, netip.AddrPort{}, nil
	}
	addr, ok := d.opts.Control.Address(vm)
	if !ok {
		return "", netip.AddrPort{}, amaranthtide.Errorf(amaranthtide.KindNoBackend, "address of router %s is unknown", vm)
	}
	return vm, addr, nil
}

// attemptWriter checks that an answer belongs to its attempt.
type attemptWriter struct {
	amaranthtide.AnswerWriter
	attempt amaranthtide.AttemptID
	// headSent is set once a part of the answer was passed to the caller.
	headSent bool
}

// Head implements amaranthtide.AnswerWriter.
func (a *attemptWriter) Head(h amaranthtide.AnswerHead) error {
	if h.Attempt != a.attempt {
		return amaranthtide.Errorf(amaranthtide.KindInternal, "answer belongs to attempt %s, want %s", h.Attempt, a.attempt)
	}
	a.headSent = true
	return a.AnswerWriter.Head(h)
}
