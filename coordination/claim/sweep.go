package claim

import (
	"time"

	"amaranthtide"
)

const (
	// DefaultRetention is how long the answer of a key can be asked for again.
	DefaultRetention = 24 * time.Hour
	// DefaultDispatchedRetention is how long a claim without a result is kept.
	DefaultDispatchedRetention = 30 * 24 * time.Hour
	// MaxSweep bounds the rows that one transaction deletes.
	MaxSweep = 100
)

// Retention tells how long claims are kept after their last write. Zero fields
// are the defaults.
type Retention struct {
	// Settled is for `done` and `released` claims.
	Settled time.Duration
	// Dispatched is for claims without a result. Such a row is the only evidence
	// that the request may have run, and a repeat of its key would run the request
	// again once the row is gone. Its caller has no answer and is the one most
	// likely to come back late, so the row outlasts the settled ones by far. It
	// must also outlast every deadline plus the difference between clocks, since
	// its writer may still send before the deadline.
	Dispatched time.Duration
}

// Sweep returns a transaction that deletes up to MaxSweep of the listed rows
// that are older than the retention; absent if there are none. Each deletion is
// conditional on the version that was listed: if another router swept or wrote
// one of the rows, the whole transaction fails without effect and the next
// listing shows why. Rows that can't be read are kept.
func Sweep(now time.Time, listed []amaranthtide.StoredRow, retention Retention, token amaranthtide.Token) amaranthtide.Option[amaranthtide.Transaction] {
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
		if len(tx.Writes) == MaxSweep {
			break
		}
	}
	if len(tx.Writes) == 0 {
		return amaranthtide.None[amaranthtide.Transaction]()
	}
	return amaranthtide.Some(tx)
}

func (k Retention) expired(now time.Time, r record) bool {
	switch r.State {
	case done, released:
		return now.Sub(r.Time) > k.Settled
	default:
		return now.Sub(r.Time) > k.Dispatched
	}
}
