package table

import "amaranthtide"

// maxLogEntries is the number of recent changes that a router keeps for other
// routers. At 28,000 changes a day it covers more than three hours; a router that is
// further behind loads a snapshot.
const maxLogEntries = 4096

// changeLog is a ring buffer of the latest changes, which have consecutive revisions.
type changeLog struct {
	ring []amaranthtide.Change
	// start is the revision of the last reset. The first entry after it has the next
	// revision.
	start amaranthtide.Revision
	// last is the revision of the latest entry, or start if there is none.
	last amaranthtide.Revision
}

func (l *changeLog) reset(revision amaranthtide.Revision) {
	*l = changeLog{start: revision, last: revision}
}

func (l *changeLog) add(c amaranthtide.Change) {
	l.last = c.Revision
	if len(l.ring) < maxLogEntries {
		l.ring = append(l.ring, c)
		return
	}
	l.ring[l.position(c.Revision)] = c
}

func (l *changeLog) position(r amaranthtide.Revision) int {
	return int((r - l.start - 1) % maxLogEntries)
}

// after returns up to limit changes after revision r, and false if some of them are no
// longer in the log.
func (l *changeLog) after(r amaranthtide.Revision, limit int) ([]amaranthtide.Change, bool) {
	if r+amaranthtide.Revision(len(l.ring)) < l.last {
		return nil, false
	}
	if r >= l.last || limit <= 0 {
		return nil, true
	}
	changes := make([]amaranthtide.Change, min(int(l.last-r), limit))
	for i := range changes {
		changes[i] = l.ring[l.position(r+1+amaranthtide.Revision(i))]
	}
	return changes, true
}
