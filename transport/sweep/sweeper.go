// Package sweep deletes old claims from the platform's table service. The first
// contact of each zone sweeps; two that meet lose no more than one transaction.
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

// Control tells whether this router is a contact of its zone.
type Control interface {
	IsContact(now time.Time) (contact, first bool)
}

// Options are the parts that a Sweeper works with. Table and Control are required.
type Options struct {
	Table   amaranthtide.TableService
	Control Control
	// Interval is the time between listings; 0 is DefaultInterval.
	Interval time.Duration
	// Retention tells how long claims are kept; zero fields are the defaults.
	Retention claim.Retention
	Logger    hclog.Logger
}

const (
	// DefaultInterval lets one zone delete 20 claims a second, a small share of the
	// several hundred writes a second that the platform gives.
	DefaultInterval = 5 * time.Second
	pageSize        = 4 * claim.MaxSweep
)

// Sweeper runs until Close. It is concurrent-safe.
type Sweeper struct {
	opts Options
	// after is where the next listing begins.
	after  amaranthtide.StoredKey
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Sweeper that runs.
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

// Close stops the Sweeper and waits for the call under way.
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

// sweep lists the next page of claims and deletes those that are old.
func (s *Sweeper) sweep(now time.Time) {
	rows, err := s.opts.Table.List(s.ctx, claim.Prefix, s.after, pageSize)
	if err != nil {
		s.opts.Logger.Debug("claims not listed", "error", err)
		return
	}
	tx, ok := claim.Sweep(now, rows, s.opts.Retention, amaranthtide.NewToken()).Get()
	if ok {
		if _, err := s.opts.Table.Commit(s.ctx, tx); err != nil {
			s.opts.Logger.Debug("old claims not deleted", "error", err)
		}
		// The rows after the last one that was deleted are looked at next time.
		s.after = tx.Writes[len(tx.Writes)-1].Key
		return
	}
	s.after = ""
	if len(rows) == pageSize {
		s.after = rows[len(rows)-1].Key
	}
}
