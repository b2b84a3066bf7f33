package follow

import (
	"time"

	"amaranthtide"
)

// updateReading reports whether this router must read the relayed table itself: as the first
// reader of its zone, as the second while the first is silent, and as any other if no
// router is known to read it.
func (f *Follower) updateReading(now time.Time) bool {
	rank := f.opts.Rank(now)
	f.mu.Lock()
	sincePeerRead := now.Sub(f.peerReadAt)
	f.mu.Unlock()
	_, known := f.opts.Rows.Version(f.opts.Relayed).Get()
	reading := !known || rank == 0 || rank > 0 && sincePeerRead > standbyTimeout || sincePeerRead > peerReadTimeout
	f.setReadsRelayed(now, reading)
	return reading
}

// setReadsRelayed notes whether this router reads the relayed table itself. What it knew
// of the feed's failures is of no use once it doesn't.
func (f *Follower) setReadsRelayed(now time.Time, reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readsRelayed == reading {
		return
	}
	f.readsRelayed = reading
	if !reading {
		delete(f.failures, f.opts.Relayed)
	}
	f.updateServerList(now)
}

// PeerReads notes that another router can read the table's feed.
func (f *Follower) PeerReads(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.opts.Relayed {
		f.peerReadAt = now
		f.updateServerList(now)
	}
}
