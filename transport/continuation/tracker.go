// Package continuation finds out which version of a service's software began a stream that a caller takes up
// again, and keeps what that needs in the platform's store. Package coordination/continuation decides; this
// package makes the calls.
//
// # Usage
//
//	t := continuation.New(continuation.Options{Store: store, IsKeeper: first, Logger: logger})
//	t.Start()
//	defer t.Close() // waits for the goroutines
//	t.ServersListed(now, listed)        // before requests may be sent to them
//	t.Began(ctx, now, req, in)          // before the first event is passed on
//	v, err := t.VersionOf(ctx, now, req) // of a stream that req takes up
package continuation

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/continuation"
	"amaranthtide/state/streams"
)

const (
	// keepInterval is how often base versions are checked, and read again while they differ from the listed
	// versions.
	keepInterval = time.Second
	// keepRetryInterval is the time after a failed read until the next one.
	keepRetryInterval = 3 * time.Second
	// sweepInterval is the time between two calls that remove the expired records of routers that are gone.
	sweepInterval = time.Minute
	// sweepAge is the time since the expiry of a record from which on it is removed by others.
	sweepAge = time.Minute
	// lookupTimeout is how long a request waits for what the store knows of its stream.
	lookupTimeout = 500 * time.Millisecond
	// lookupRetryAfter is when callers should return if the store couldn't be read.
	lookupRetryAfter = time.Second
)

// Options are the dependencies of a Tracker. All but Logger are required.
type Options struct {
	Store amaranthtide.StreamStore
	// IsKeeper reports whether this router writes the base versions. One router of the fleet does.
	IsKeeper func(now time.Time) bool
	Logger   hclog.Logger
}

// Tracker knows the versions of streams. It is safe for concurrent use. Use New.
type Tracker struct {
	opts     Options
	own      *streams.Streams
	recorder *recorder

	mu      sync.Mutex
	history *continuation.History
	// listed holds the services with listed servers, by the last list.
	listed amaranthtide.Set[amaranthtide.ServiceName]
	// bases holds the base versions as of the last read; readBases is set once there was one. era is the
	// newest era of the store, known since eraSince.
	bases     map[amaranthtide.ServiceName]amaranthtide.BaseVersion
	readBases bool
	era       amaranthtide.StoreEra
	eraSince  time.Time
	// readAt is when the next read of the base versions may be made after one that failed.
	readAt  time.Time
	sweptAt time.Time
	round   int

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Tracker that makes no calls until Start.
func New(opts Options) *Tracker {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	t := &Tracker{
		opts: opts, own: streams.New(), recorder: newRecorder(opts.Store, opts.Logger), history: continuation.NewHistory(),
		listed: amaranthtide.NewSet[amaranthtide.ServiceName](), bases: make(map[amaranthtide.ServiceName]amaranthtide.BaseVersion),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Start starts to read and write the store.
func (t *Tracker) Start() {
	t.wg.Go(t.run)
	t.wg.Go(func() { t.recorder.run(t.ctx) })
}

// Close cancels the calls in flight and waits for the goroutines.
func (t *Tracker) Close() {
	t.cancel()
	t.wg.Wait()
}

// ServersListed records the listed servers. It is called before requests may be sent to them.
func (t *Tracker) ServersListed(now time.Time, listed []amaranthtide.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Observe(now, listed)
	t.listed = amaranthtide.NewSet[amaranthtide.ServiceName]()
	for _, in := range listed {
		t.listed.Add(in.Service)
	}
}

// Began records that a server has begun to write the stream of a request. It returns once the stream has its
// record, if it needs one, or if that takes too long: then it is written later.
func (t *Tracker) Began(ctx context.Context, _ time.Time, req *amaranthtide.Request, in amaranthtide.Instance) {
	record := amaranthtide.StreamRecord{Stream: req.ID, Service: in.Service, Version: in.Version, ExpiresAt: req.Arrived.Add(continuation.MaxLife)}
	t.own.Add(record)
	t.mu.Lock()
	mustRecord := continuation.MustRecord(t.base(in.Service), in.Version)
	t.mu.Unlock()
	if mustRecord {
		t.recorder.record(ctx, record)
	}
}

// base returns the base version of a service, absent if it isn't known. The caller holds mu.
func (t *Tracker) base(service amaranthtide.ServiceName) amaranthtide.Option[amaranthtide.BaseVersion] {
	b, ok := t.bases[service]
	if !ok {
		return amaranthtide.None[amaranthtide.BaseVersion]()
	}
	return amaranthtide.Some(b)
}

// VersionOf returns the version that began the stream that a request takes up again. An error means that it
// isn't known: the request must not run.
func (t *Tracker) VersionOf(ctx context.Context, now time.Time, req *amaranthtide.Request) (amaranthtide.VersionName, error) {
	if r, ok := t.own.Get(now, req.Resumes); ok && r.Service == req.Service {
		return r.Version, nil
	}
	t.mu.Lock()
	only, ok := t.history.Only(now, req.Service)
	t.mu.Unlock()
	if ok {
		return only, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	record, others, era, err := t.lookUp(ctx, now, req.Resumes)
	if err != nil {
		return "", t.lookupFailed(req, err)
	}
	if _, found := record.Get(); !found {
		if err := t.readBaseVersions(ctx); err != nil {
			return "", t.lookupFailed(req, err)
		}
	}
	t.mu.Lock()
	base, current := t.base(req.Service), t.era
	if req.Resumes == "" && (others || !t.history.ListsOnly(req.Service, base)) {
		base = amaranthtide.None[amaranthtide.BaseVersion]()
	}
	t.mu.Unlock()
	v, known := continuation.Version(record, max(era, current), base)
	t.opts.Logger.Info("stream looked up", "request", string(req.ID), "stream", string(req.Resumes), "version", string(v), "known", known)
	if !known {
		return "", unknownVersion(req)
	}
	return v, nil
}

// lookUp returns the record of a stream, absent if it has none. others reports whether there are records at
// all, which matters if the caller doesn't name its stream.
func (t *Tracker) lookUp(ctx context.Context, now time.Time, stream amaranthtide.RequestID) (record amaranthtide.Option[amaranthtide.StreamRecord], others bool, era amaranthtide.StoreEra, err error) {
	if stream == "" {
		others, era, err = t.opts.Store.HasStreams(ctx, now)
		return record, others, era, err
	}
	record, era, err = t.opts.Store.FindStream(ctx, stream)
	return record, false, era, err
}

func unknownVersion(req *amaranthtide.Request) error {
	return amaranthtide.Errorf(amaranthtide.KindNoBackend, "service %s: the version that began stream %s isn't known", req.Service, req.Resumes)
}

func (t *Tracker) lookupFailed(req *amaranthtide.Request, err error) error {
	t.opts.Logger.Warn("lookup of a stream failed", "request", string(req.ID), "stream", string(req.Resumes), "error", err)
	return amaranthtide.WithRetryAfter(unknownVersion(req), lookupRetryAfter)
}

// StoreRestored records that the store has come back from an older copy, which may lack records.
func (t *Tracker) StoreRestored() {
	t.recorder.repeat()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readBases = false
}

// run keeps the base versions and removes expired records until the tracker is closed.
func (t *Tracker) run() {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for now := time.Now(); ; {
		t.own.Expire(now)
		t.keep(now)
		t.sweep(now)
		select {
		case <-t.ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// keep reads the base versions if they may have changed, and writes those that are due if this router is the
// keeper.
func (t *Tracker) keep(now time.Time) {
	if !t.mustRead(now) {
		return
	}
	if err := t.readBaseVersions(t.ctx); err != nil {
		t.opts.Logger.Warn("base versions can't be read", "error", err)
		t.mu.Lock()
		t.readAt = now.Add(keepRetryInterval)
		t.mu.Unlock()
		return
	}
	if !t.opts.IsKeeper(now) {
		return
	}
	for _, b := range t.dueBases(now) {
		err := t.opts.Store.SetBaseVersion(t.ctx, b)
		t.opts.Logger.Info("base version written", "service", string(b.Service), "version", string(b.Version), "era", uint64(b.Era), "error", err)
	}
}

// mustRead reports whether the base versions may have to change, or may have been changed by another router:
// they are not those of the only version of each service.
func (t *Tracker) mustRead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.readAt) {
		return false
	}
	if !t.readBases {
		return true
	}
	for service := range t.listed {
		only, settled := t.history.Only(now, service)
		b, ok := t.bases[service]
		if !ok || b.Era != t.era || !settled && !t.history.Lists(service, b.Version) || settled && b.Version != only {
			return true
		}
	}
	return false
}

// dueBases returns the base versions that have to be written.
func (t *Tracker) dueBases(now time.Time) []amaranthtide.BaseVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []amaranthtide.BaseVersion
	for service := range t.listed {
		if b, ok := t.history.NextBase(now, service, t.base(service), t.era, t.eraSince); ok {
			due = append(due, b)
		}
	}
	return due
}

// readBaseVersions reads the base versions of all services.
func (t *Tracker) readBaseVersions(ctx context.Context) error {
	bases, era, err := t.opts.Store.BaseVersions(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return nil // late
	}
	if era > t.era || t.eraSince.IsZero() {
		t.era, t.eraSince = era, time.Now()
	}
	clear(t.bases)
	for _, b := range bases {
		t.bases[b.Service] = b
	}
	t.readBases = true
	return nil
}

// sweep removes expired records that their routers have left, if this router is the keeper.
func (t *Tracker) sweep(now time.Time) {
	if t.sweptAt.IsZero() {
		t.sweptAt = now
	}
	if now.Sub(t.sweptAt) < sweepInterval || !t.opts.IsKeeper(now) {
		return
	}
	t.sweptAt = now
	t.round++
	n, err := t.opts.Store.SweepStreams(t.ctx, t.round, now.Add(-sweepAge))
	if err != nil || n > 0 {
		t.opts.Logger.Info("expired records of streams removed", "records", n, "error", err)
	}
}
