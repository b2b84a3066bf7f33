package follow

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
)

// updateReading determines and records whether this router must read the feed. A router
// without a view waits startPatience for rows from other routers first.
func (f *Follower) updateReading(now time.Time) bool {
	position := f.opts.Position(now)
	_, known := f.opts.Rows.Version(f.opts.PolledTable).Get()
	f.mu.Lock()
	defer f.mu.Unlock()
	reads := f.opts.Schedule.MustRead(position, now.Sub(f.peerView), f.readDelay)
	if !known {
		reads = f.peersStart || now.Sub(f.startedAt) >= startPatience
	}
	if f.reads == reads {
		return reads
	}
	f.reads = reads
	f.opts.Logger.Info("reading of the feed changed", "reads", reads, "zonePosition", position.Zone, "position", position.Router, "peerView", f.peerViewText(now))
	if reads {
		f.own.Reset()
		return true
	}
	// Earlier failures no longer tell whether the feed can be read, and earlier polls don't tell
	// what calls after the next takeover miss.
	clear(f.failures)
	f.unchecked.Clear()
	f.readDelay = 0
	if maxDelay := f.opts.Schedule.MaxDelay(position); maxDelay > 0 {
		f.readDelay = rand.N(maxDelay)
	}
	return false
}

// checkDelay returns the wait before the next call of updateReading.
func (f *Follower) checkDelay(now time.Time) time.Duration {
	if _, known := f.opts.Rows.Version(f.opts.PolledTable).Get(); known {
		return checkInterval
	}
	return max(time.Millisecond, min(startCheckInterval, startPatience-now.Sub(f.startedAt)))
}

// mustRelay reports whether this router relays what it has read from the feed.
func (f *Follower) mustRelay(now time.Time) bool {
	position := f.opts.Position(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Schedule.MustRelay(position, viewAge(now, f.peerView), viewAge(now, f.ownView()))
}

// viewAge returns the age of a view, absent if it is the zero time.
func viewAge(now, view time.Time) amaranthtide.Option[time.Duration] {
	if view.IsZero() {
		return amaranthtide.None[time.Duration]()
	}
	return amaranthtide.Some(max(0, now.Sub(view)))
}

// peerViewText returns the age of the view of other routers for the log.
func (f *Follower) peerViewText(now time.Time) string {
	age, ok := viewAge(now, f.peerView).Get()
	if !ok {
		return "none"
	}
	return age.String()
}

// ApplyFromPeer applies a page that a router with the given view has sent. The view doesn't
// count if it stems from a call of this router itself, which others confirm back to it:
// that doesn't show that another router can read the feed. A router without a copy of the table takes the
// rows of a router that can't read the feed only once its own calls have failed too: the feed may hold
// newer ones. It returns the rows that changed.
func (f *Follower) ApplyFromPeer(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage, peerView amaranthtide.Option[amaranthtide.FeedView]) []amaranthtide.FeedRow {
	_, known := f.opts.Rows.Version(table).Get()
	f.mu.Lock()
	_, failing := f.failures[f.opts.PolledTable]
	_, failingHere := f.failures[table]
	view, confirmed := peerView.Get()
	current := confirmed && f.opts.Schedule.Current(view.Age)
	f.peersStart = f.peersStart || !known && !confirmed
	if !known && !failing && !failingHere && !current {
		f.mu.Unlock()
		return nil
	}
	if confirmedAt := now.Add(-view.Age); confirmed && view.Era == f.eraWith(table, page) && view.Reader != f.opts.VM && confirmedAt.After(f.peerView) {
		f.peerView, f.peerReader = confirmedAt, view.Reader
		f.updateListReadability(now)
	}
	if table == f.opts.PolledTable && confirmed && view.Era == f.eraWith(table, page) && page.RestoreAge > 0 {
		f.restoredEarlier(table, now.Add(-page.RestoreAge))
	}
	f.mu.Unlock()
	if page.Version.IsZero() {
		return nil
	}
	return f.Apply(now, table, page)
}

// Lacks reports whether this router has lacked rows of a table for too long, of which another router has the
// newest one, to take that router's view for its own.
func (f *Follower) Lacks(now time.Time, table amaranthtide.FeedTable, newest amaranthtide.StoreVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	version, known := f.opts.Rows.Version(table).Get()
	age, behind := f.missed.Behind(now, table, version, newest)
	return behind && (known && version.Era() < newest.Era() || age > f.opts.Schedule.Patience())
}

// eraWith returns the era of the polled table once a page of a table is applied. A view of another era
// confirms another history.
func (f *Follower) eraWith(table amaranthtide.FeedTable, page amaranthtide.FeedPage) amaranthtide.StoreEra {
	era := f.opts.Rows.Version(f.opts.PolledTable).Or(amaranthtide.StoreVersion{}).Era()
	if table == f.opts.PolledTable && page.Whole {
		era = max(era, page.Version.Era())
	}
	return era
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// View returns this router's view, confirmed by its own calls or by those of another
// router. It is absent if the feed has never confirmed it.
func (f *Follower) View(now time.Time) amaranthtide.Option[amaranthtide.FeedView] {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := viewAge(now, latest(f.ownView(), f.peerView)).Get()
	if !ok {
		return amaranthtide.None[amaranthtide.FeedView]()
	}
	reader := f.opts.VM
	if f.peerView.After(f.ownView()) {
		reader = f.peerReader
	}
	return amaranthtide.Some(amaranthtide.FeedView{Age: age, Reader: reader, Era: f.opts.Rows.Version(f.opts.PolledTable).Or(amaranthtide.StoreVersion{}).Era()})
}

// Reading reports whether this router reads the feed and the feed answers.
func (f *Follower) Reading(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads && !f.opts.Schedule.Stale(now.Sub(f.ownView()))
}

// Stale reports whether this router should request rows from any router that may have
// newer ones.
func (f *Follower) Stale(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Schedule.Stale(now.Sub(latest(f.ownView(), f.peerView)))
}

// updateListReadability sets whether the server list can be read, by this router or by
// another one. Only then are removals from it final. A view that is late, for instance
// because the routers that read the feed have lost power, doesn't show that the list can't be
// read; failed calls of this router do. The caller holds mu.
func (f *Follower) updateListReadability(now time.Time) {
	view := latest(f.own.At(f.opts.PolledTable), f.peerView)
	_, failing := f.failures[f.opts.PolledTable]
	if failing {
		view = f.peerView
	}
	switch {
	case f.opts.Schedule.Current(now.Sub(view)):
		f.serverList.MarkReadable(now)
	case failing:
		f.serverList.MarkUnreadable()
	}
}
