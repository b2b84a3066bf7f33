package follow

import (
	"time"

	"amaranthtide"
)

// updateReading determines and records whether this router must read the relayed table from
// the feed: as the first reader of its zone, as the second one while the first sends no
// notices, and as any other router while no router is known to read it. Each router reads
// it until it has a first version.
func (f *Follower) updateReading(now time.Time) bool {
	rank := f.opts.ReaderRank(now)
	f.mu.Lock()
	sincePeerRead := now.Sub(f.peerReadAt)
	f.mu.Unlock()
	_, known := f.opts.Rows.Version(f.opts.RelayedTable).Get()
	reading := !known || rank == 0 || rank > 0 && sincePeerRead > standbyTimeout || sincePeerRead > peerReadTimeout
	f.setReadsRelayed(now, reading)
	return reading
}

// setReadsRelayed records whether this router reads the relayed table from the feed. Its
// earlier failures are dropped when it stops reading, since they no longer tell whether the
// feed can be read.
func (f *Follower) setReadsRelayed(now time.Time, reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readsRelayed == reading {
		return
	}
	f.readsRelayed = reading
	if !reading {
		delete(f.failures, f.opts.RelayedTable)
	}
	f.updateListReadability(now)
}

// ObservePeerRead records that another router can read the table from the feed.
func (f *Follower) ObservePeerRead(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.opts.RelayedTable {
		f.peerReadAt = now
		f.updateListReadability(now)
	}
}
