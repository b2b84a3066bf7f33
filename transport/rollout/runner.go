// Package rollout runs rollouts: it keeps what one router knows of the operators' orders, the
// recorded states and the versions of the listed servers, decides which servers a request may use,
// and proposes the next state of each rollout. The decisions are those of package
// coordination/rollout.
//
// Rows come from package follow, outcomes and rollbacks of other routers from package peers. On a
// hub, which has the outcomes of the whole fleet, a Runner judges the new version several times a
// second. A rollback takes effect at once and is sent to all routers; the other steps take effect
// when they have been recorded. Of the hubs, the one whose zone is the first in the order of readers
// records; another one does once a step has been due for some time. Any number of routers may try:
// each step has the condition that the recorded state is the one that it follows.
//
// # Usage
//
//	r := rollout.New(rollout.Options{VM: "vm-1", Incarnation: inc, Limits: limits, Recorder: store,
//		Traffic: t, Configuration: c, Rows: rows, DeclaredTable: orders, RolloutTable: states})
//	r.Start(exchange, follower) // both use r: see follow.Rollouts, peers.Rollouts, direct.Versions
//	defer r.Close()             // waits for all goroutines
package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/reading"
	decision "amaranthtide/coordination/rollout"
	"amaranthtide/state/declared"
	"amaranthtide/state/feed"
	"amaranthtide/state/outcomes"
	"amaranthtide/state/shard"
	"amaranthtide/state/traffic"
)

const (
	// tickInterval is how often a hub judges. The outcomes of a router don't arrive more often.
	tickInterval = 250 * time.Millisecond
	// takeoverDelay is how long a step must have been due until a hub that isn't the first one
	// records it, and takeoverStep the additional delay of each position after the second.
	takeoverDelay = time.Second
	takeoverStep  = 250 * time.Millisecond
	// retryDelay is the time between two attempts to record a step, in which the feed shows
	// whether the first one succeeded.
	retryDelay = time.Second
	// rollbackDelay is how long a router must have been in contact with a hub until it has received
	// all rollbacks that aren't recorded yet: hubs send them again each second.
	rollbackDelay = 1500 * time.Millisecond
	// missingDelay is how long an order must have been missing in a complete table until it counts
	// as withdrawn.
	missingDelay = time.Second
	// maxObservationGap is the time without an observation after which a hub forgets what it has
	// observed. It is longer than the ordinary pauses of a process.
	maxObservationGap = 2 * time.Second
	// loadDelay is the time after the last step of the shift in which the loads that a hub knows may
	// lack requests which other routers have sent to old servers: the step has to reach the routers,
	// and their loads the hub.
	loadDelay = time.Second
	// minObservation is how long a hub observes a rollout before it raises the share or records the
	// success. Until then the outcomes and loads of the other routers may be missing.
	minObservation = 1500 * time.Millisecond
	// reportingAge is the age of the last outcomes of a router up to which it counts as reporting.
	reportingAge = 3 * time.Second
	// maxServices limits the services of which rollbacks are kept, since a message may name any.
	maxServices = 4096
)

// Network is the part of peers.Exchange that a Runner uses.
type Network interface {
	// IsHub reports whether this router is the hub of its zone.
	IsHub(now time.Time) bool
	// HubContact returns when this router last received a message of a hub.
	HubContact(now time.Time) time.Time
	// Position returns the position of this router in the order of readers.
	Position(now time.Time) reading.Position
	// SendRollbacks sends the rollbacks that Runner.Rollbacks returns to all routers.
	SendRollbacks(now time.Time)
}

// Feed is the part of follow.Follower that a Runner uses.
type Feed interface {
	// View returns this router's view of the feed, absent if the feed has never confirmed it.
	View(now time.Time) amaranthtide.Option[amaranthtide.FeedView]
}

// Options are the dependencies and settings of a Runner. All but Observe and Logger are required.
type Options struct {
	VM            amaranthtide.VMName
	Incarnation   amaranthtide.Incarnation
	Limits        decision.Limits
	Recorder      amaranthtide.RolloutRecorder
	Traffic       *traffic.Counter
	Configuration *declared.Configuration
	Rows          *feed.Tables
	// DeclaredTable is the table with the orders, RolloutTable the one with the states.
	DeclaredTable amaranthtide.FeedTable
	RolloutTable  amaranthtide.FeedTable
	// Observe is called with each outcome of this router's attempts; may be nil.
	Observe func(in amaranthtide.Instance, o outcomes.Outcome)
	Logger  hclog.Logger
}

// Runner runs the rollouts of one router. It is safe for concurrent use. Use New.
type Runner struct {
	opts     Options
	network  Network
	feed     Feed
	counter  *outcomes.Counter
	services *shard.Map[amaranthtide.ServiceName, *service]
	// views holds what requests need to know of the services that have a rollout.
	views *shard.Map[amaranthtide.ServiceName, *view]
	// confirmed is the time as of which the view of the operators' table is complete, and contact
	// when this router last received a message of a hub, in Unix nanoseconds; 0 means never.
	confirmed atomic.Int64
	contact   atomic.Int64
	// contactSince is since when this router has been in contact with a hub without interruption, in
	// Unix nanoseconds. Only run changes it.
	contactSince atomic.Int64
	// listed is set once the list of servers has been received.
	listed atomic.Bool

	mu sync.Mutex
	// reports holds when the last outcomes of each other router were received.
	reports map[amaranthtide.VMName]time.Time

	wake   chan struct{}
	writes chan write
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Runner that applies rows and messages, but neither judges nor records until Start.
func New(opts Options) *Runner {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Observe == nil {
		opts.Observe = func(amaranthtide.Instance, outcomes.Outcome) {}
	}
	r := &Runner{
		opts: opts, counter: outcomes.New(opts.VM, opts.Incarnation),
		services: shard.New[amaranthtide.ServiceName, *service](), views: shard.New[amaranthtide.ServiceName, *view](),
		reports: make(map[amaranthtide.VMName]time.Time), wake: make(chan struct{}, 1), writes: make(chan write, maxWrites),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start starts to judge and to record.
func (r *Runner) Start(n Network, f Feed) {
	r.network, r.feed = n, f
	r.wg.Go(r.run)
	r.wg.Go(r.loop)
}

// Close cancels a write in flight and waits for all goroutines.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// run judges all running rollouts until the runner is closed.
func (r *Runner) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
			r.refresh(time.Now())
		case now := <-ticker.C:
			r.refresh(now)
			r.judge(now)
		}
	}
}

// refresh updates what depends on the time: the views of the feed and of the hub, and the versions
// that have just appeared.
func (r *Runner) refresh(now time.Time) {
	r.updateContact(now)
	r.confirmed.Store(unixNano(r.confirmedAt(now)))
	for _, name := range r.names() {
		r.services.With(name, func(s *service, ok bool) {
			if ok && s.held {
				r.publish(now, s)
			}
		})
	}
}

// updateContact records the contact with a hub. A router that has just started, or was cut off, may
// lack a rollback.
func (r *Runner) updateContact(now time.Time) {
	if r.contactSince.Load() == 0 || now.Sub(fromUnixNano(r.contact.Load())) >= decision.MaxSilence {
		r.contactSince.Store(unixNano(now))
	}
	r.contact.Store(unixNano(r.network.HubContact(now)))
}

// inContact reports whether this router would know of a rollback.
func (r *Runner) inContact(now time.Time) bool {
	since := r.contactSince.Load()
	return since != 0 && now.Sub(fromUnixNano(since)) >= rollbackDelay && now.Sub(fromUnixNano(r.contact.Load())) < decision.MaxSilence
}

// confirmedAt returns the time as of which the view of the operators' table is complete, the zero
// time if this router lacks it or the table of states.
func (r *Runner) confirmedAt(now time.Time) time.Time {
	for _, table := range []amaranthtide.FeedTable{r.opts.DeclaredTable, r.opts.RolloutTable} {
		if _, known := r.opts.Rows.Version(table).Get(); !known {
			return time.Time{}
		}
	}
	v, ok := r.feed.View(now).Get()
	if !ok {
		return firstListing.Add(time.Nanosecond)
	}
	return now.Add(-v.Age)
}

// names returns the names of all services.
func (r *Runner) names() []amaranthtide.ServiceName {
	names := make([]amaranthtide.ServiceName, 0, r.services.Len())
	r.services.Range(func(name amaranthtide.ServiceName, _ *service) bool {
		names = append(names, name)
		return true
	})
	return names
}

// update applies f to the state of a service under its lock, publishes the result and logs a
// change of the stage.
func (r *Runner) update(now time.Time, name amaranthtide.ServiceName, f func(s *service)) {
	r.services.Update(name, func(s *service, ok bool) (*service, bool) {
		if !ok {
			s = newService(name)
		}
		f(s)
		r.publish(now, s)
		return s, true
	})
}

// OrderChanged implements follow.Rollouts.
func (r *Runner) OrderChanged(now time.Time, name amaranthtide.ServiceName, version amaranthtide.StoreVersion, order amaranthtide.Option[amaranthtide.RolloutOrder]) {
	r.update(now, name, func(s *service) {
		if !version.After(s.orderVersion) {
			return
		}
		if s.continues(version, order) {
			s.orderVersion = version
			s.adopt()
			return
		}
		s.order, s.orderVersion, s.orderAt, s.rejected = order, version, now, false
		s.adopt()
		if o, ok := order.Get(); ok {
			r.opts.Logger.Info("rollout ordered", "service", string(name), "to", string(o.To), "duration", o.Duration.String(), "order", version.String())
			return
		}
		r.opts.Logger.Info("order of a rollout withdrawn", "service", string(name), "version", version.String())
	})
}

// StateChanged implements follow.Rollouts.
func (r *Runner) StateChanged(now time.Time, name amaranthtide.ServiceName, version amaranthtide.StoreVersion, state amaranthtide.Option[amaranthtide.RolloutState]) {
	r.update(now, name, func(s *service) {
		s.setState(now, version, state)
		s.adopt()
	})
}

// StateLost implements follow.Rollouts. The state is recorded again.
func (r *Runner) StateLost(now time.Time, name amaranthtide.ServiceName, version amaranthtide.StoreVersion) {
	r.update(now, name, func(s *service) { s.lose(version) })
}

// ServersListed implements follow.Rollouts.
func (r *Runner) ServersListed(now time.Time, listed []amaranthtide.Instance) {
	at := now
	if !r.listed.Swap(true) {
		at = firstListing
	}
	byService := make(map[amaranthtide.ServiceName][]amaranthtide.Instance)
	for _, in := range listed {
		byService[in.Service] = append(byService[in.Service], in)
	}
	for _, name := range r.names() {
		if _, ok := byService[name]; !ok {
			r.update(now, name, func(s *service) { s.setInstances(now, nil) })
		}
	}
	for name, instances := range byService {
		r.update(now, name, func(s *service) { s.setInstances(at, instances) })
	}
	r.wakeUp()
}

// wakeUp makes run refresh what depends on the time, without waiting for it.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // it has been woken already
	}
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
