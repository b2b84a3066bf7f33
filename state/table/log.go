package table

import "amaranthtide"

// logSize is the number of recent changes that a router keeps for other routers. At
// 28,000 changes a day it covers more than three hours; a router that is further
// behind loads a snapshot.
const logSize = 4096

// recentLog is a ring buffer of the latest changes, which have consecutive revisions.
type recentLog struct {
	ring []amaranthtide.Change
	// start is the revision of the last reset. The first entry after it has the next
	// revision.
	start amaranthtide.Revision
	// last is the revision of the latest entry, or start if there is none.
	last amaranthtide.Revision
}

func (l *recentLog) reset(at amaranthtide.Revision) { *l = recentLog{start: at, last: at} }

func (l *recentLog) add(c amaranthtide.Change) {
	l.last = c.Revision
	if len(l.ring) < logSize {
		l.ring = append(l.ring, c)
		return
	}
	l.ring[l.slot(c.Revision)] = c
}

func (l *recentLog) slot(r amaranthtide.Revision) int { return int((r - l.start - 1) % logSize) }

// after returns up to limit changes after revision r, and false if some of them are no
// longer in the log.
func (l *recentLog) after(r amaranthtide.Revision, limit int) ([]amaranthtide.Change, bool) {
	if r+amaranthtide.Revision(len(l.ring)) < l.last {
		return nil, false
	}
	if r >= l.last || limit <= 0 {
		return nil, true
	}
	changes := make([]amaranthtide.Change, min(int(l.last-r), limit))
	for i := range changes {
		changes[i] = l.ring[l.slot(r+1+amaranthtide.Revision(i))]
	}
	return changes, true
}
