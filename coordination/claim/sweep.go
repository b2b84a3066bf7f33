package claim

import (
	"time"

	"amaranthtide"
)

const (
	// DefaultRetention is the default of Retention.Settled. Repeats of a key receive the
	// stored answer for this time.
	DefaultRetention = 24 * time.Hour
	// DefaultDispatchedRetention is the default of Retention.Dispatched.
	DefaultDispatchedRetention = 30 * 24 * time.Hour
	// MaxSweepRows is the maximum number of rows that one transaction deletes.
	MaxSweepRows = 100
)

// Retention configures how long claims are kept after their last write. Zero fields
// use the defaults.
type Retention struct {
	// Settled applies to `done` and `released` claims.
	Settled time.Duration
	// Dispatched applies to claims without a result. Such a row is the only evidence
	// that the request may have run, and a repeat of its key would run the request
	// again once the row is deleted. Its caller has no answer and may retry late, so
	// the row should be kept much longer than settled ones. It must also be kept beyond
	// every deadline plus the difference between clocks, because its writer may still
	// send until the deadline.
	Dispatched time.Duration
}

// Sweep returns a transaction that deletes up to MaxSweepRows of the listed rows that
// have exceeded their retention, or none if there are no such rows. Each deletion is
// conditional on the listed version: if another router has deleted or written one of
// the rows, the entire transaction fails without effect, and the next listing contains
// the current state. Rows that cannot be decoded are kept.
func Sweep(now time.Time, listed []amaranthtide.StoredRow, retention Retention, token amaranthtide.WriteToken) amaranthtide.Option[amaranthtide.Transaction] {
	if retention.Settled <= 0 {
		retention.Settled = DefaultRetention
	}
	if retention.Dispatched <= 0 {
		retention.Dispatched = DefaultDispatchedRetention
	}
	tx := amaranthtide.Transaction{Token: token}
	for _, row := range listed {
		r, err := decodeRecord(row)
		if err != nil || !retention.expired(now, r) {
			continue
		}
		tx.Conditions = append(tx.Conditions, amaranthtide.Condition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, amaranthtide.Write{Key: row.Key})
		if len(tx.Writes) == MaxSweepRows {
			break
		}
	}
	if len(tx.Writes) == 0 {
		return amaranthtide.None[amaranthtide.Transaction]()
	}
	return amaranthtide.Some(tx)
}

func (r Retention) expired(now time.Time, rec record) bool {
	switch rec.State {
	case done, released:
		return now.Sub(rec.Time) > r.Settled
	default:
		return now.Sub(rec.Time) > r.Dispatched
	}
}
