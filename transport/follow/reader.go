package follow

import (
	"time"

	"amaranthtide"
)

// reads reports whether this router must read the relayed table itself: as the first
// reader of its zone, as the second while the first is silent, and as any other if no
// router is known to read it.
func (f *Follower) reads(now time.Time) bool {
	rank := f.opts.Rank(now)
	f.mu.Lock()
	silent := now.Sub(f.peerRead)
	f.mu.Unlock()
	_, known := f.opts.Rows.Version(f.opts.Relayed).Get()
	reading := !known || rank == 0 || rank > 0 && silent > standbyAge || silent > peerReadAge
	f.setReading(now, reading)
	return reading
}

// setReading notes whether this router reads the relayed table itself. What it knew
// of the feed's failures is of no use once it doesn't.
func (f *Follower) setReading(now time.Time, reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading == reading {
		return
	}
	f.reading = reading
	if !reading {
		delete(f.failing, f.opts.Relayed)
	}
	f.updateListing(now)
}

// PeerReads notes that another router can read the table's feed.
func (f *Follower) PeerReads(now time.Time, table amaranthtide.FeedTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.opts.Relayed {
		f.peerRead = now
		f.updateListing(now)
	}
}
