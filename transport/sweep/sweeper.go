// Package sweep deletes old claims from the platform's table service. The first
// contact of each zone sweeps. If two sweepers delete the same rows, one of the two
// transactions fails without effect.
//
// # Usage
//
//	s := sweep.New(sweep.Options{Table: platform, Control: control})
//	defer s.Close()
package sweep

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/claim"
)

// Control reports whether this router is a contact of its zone, and the first one.
type Control interface {
	IsContact(now time.Time) (contact, first bool)
}

// Options holds the dependencies and settings of a Sweeper. Table and Control are
// required.
type Options struct {
	Table   amaranthtide.TableService
	Control Control
	// Interval is the time between listings; 0 is DefaultInterval.
	Interval time.Duration
	// Retention is how long claims are kept; zero fields use the defaults.
	Retention claim.Retention
	Logger    hclog.Logger
}

const (
	// DefaultInterval lets one zone delete 20 claims per second, a small share of the
	// several hundred writes per second that the platform allows.
	DefaultInterval = 5 * time.Second
	pageSize        = 4 * claim.MaxSweepRows
)

// Sweeper periodically deletes old claims. It is safe for concurrent use. Use New.
type Sweeper struct {
	opts Options
	// after is the key after which the next listing starts.
	after  amaranthtide.StoredKey
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a Sweeper, which runs until Close.
func New(opts Options) *Sweeper {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sweeper{opts: opts, ctx: ctx, cancel: cancel}
	s.wg.Go(s.run)
	return s
}

// Close cancels the current call and waits until the Sweeper has stopped.
func (s *Sweeper) Close() {
	s.cancel()
	s.wg.Wait()
}

func (s *Sweeper) run() {
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			if _, first := s.opts.Control.IsContact(now); first {
				s.sweep(now)
			}
		}
	}
}

// sweep lists the next page of claims and deletes those whose retention has expired.
func (s *Sweeper) sweep(now time.Time) {
	rows, err := s.opts.Table.List(s.ctx, claim.Prefix, s.after, pageSize)
	if err != nil {
		s.opts.Logger.Debug("failed to list claims", "error", err)
		return
	}
	tx, ok := claim.Sweep(now, rows, s.opts.Retention, amaranthtide.NewWriteToken()).Get()
	if ok {
		if _, err := s.opts.Table.Commit(s.ctx, tx); err != nil {
			// The next sweep lists the same page again.
			s.opts.Logger.Debug("failed to delete old claims", "error", err)
			return
		}
		// The transaction is bounded: the next sweep continues after the last deleted row.
		s.after = tx.Writes[len(tx.Writes)-1].Key
		return
	}
	s.after = ""
	if len(rows) == pageSize {
		s.after = rows[len(rows)-1].Key
	}
}
