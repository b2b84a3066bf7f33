package admission

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/outlier"
)

// notices holds what the server said of itself in its responses.
type notices struct {
	record outlier.Record
	// since is when this router learned of the server's current incarnation.
	since time.Time
	// present is set while record may hold a notice of this incarnation.
	present bool
	// limit is the rate that the server announces.
	limit rateLimit
}

// Notice records what the server said of itself in the response to a running attempt. It is
// ignored if the attempt started before the server's current incarnation was known. spread is
// passed to outlier.Record. Notice reports whether the server says for the first time that it
// leaves, and whether it pauses because of the notice.
func (g *Gate) Notice(now time.Time, attempt amaranthtide.AttemptID, n amaranthtide.ServerNotice, spread float64) (leaves, pauses bool) {
	r, ok := g.running[attempt]
	if !ok || r.started.Before(g.notices.since) {
		return false, false
	}
	if n.Leaving {
		leaves = g.notices.record.Leave(g.notices.since)
		g.notices.present = true
	}
	if n.Pause > 0 {
		g.notices.record.Pause(now, g.notices.since, n.Pause, spread)
		g.notices.present, pauses = true, true
	}
	g.notices.limit.observe(now, r.started, n.Limit)
	return leaves, pauses
}

// Renew records another incarnation of the server, for which earlier notices don't hold. Observe
// calls it for a new boot.
func (g *Gate) Renew(now time.Time) { g.notices = notices{record: g.notices.record, since: now} }

// HasNotice reports whether the server gets fewer or no requests because of a notice.
func (g *Gate) HasNotice(now time.Time) bool {
	if g.notices.present {
		at, ok := g.notices.record.Reopens(now, g.notices.since)
		g.notices.present = !ok || !at.IsZero()
	}
	return g.notices.present || g.notices.limit.bucket != nil
}

// SaysLeaving reports whether the server has said in a response that it leaves.
func (g *Gate) SaysLeaving() bool {
	return g.notices.present && g.notices.record.Leaving(g.notices.since)
}

// Pauses reports whether the server gets no request now because of the pause that it asked for, or of the
// rate that it announces.
func (g *Gate) Pauses(now time.Time) bool { return g.pauseLeft(now, 0) > 0 }

// pauseLeft returns the time until the server's pause and rate let a request start after the given
// number of others; 0 if the server has neither.
func (g *Gate) pauseLeft(now time.Time, ahead int) time.Duration {
	if !g.HasNotice(now) {
		return 0
	}
	left := g.notices.limit.left(now, ahead)
	if at, ok := g.notices.record.Turn(now, g.notices.since, ahead); ok && g.notices.present {
		left = max(left, at.Sub(now))
	}
	return left
}

// refuseInPause refuses the queued requests whose deadline is not after the end of the pause.
func (g *Gate) refuseInPause(now time.Time) {
	left := g.pauseLeft(now, 0)
	if left == 0 {
		return
	}
	for _, t := range g.queue.Expire(now.Add(left)) {
		g.refused = append(g.refused, Refusal{t, g.pauseRefusal(left)})
	}
}

func (g *Gate) pauseRefusal(left time.Duration) error {
	err := amaranthtide.Errorf(amaranthtide.KindFull, "%s pauses for another %s", g.cfg.Server, left)
	return amaranthtide.WithNotice(err, amaranthtide.ServerNotice{Pause: left})
}

// checkPause returns an error if the server pauses and the request may not wait for the end of
// the pause, or can't start by its deadline. wait is the estimated wait without the pause.
func (g *Gate) checkPause(now time.Time, t fairness.Ticket, mayQueue bool, wait time.Duration) error {
	left := g.pauseLeft(now, g.queue.Len())
	if left == 0 {
		return nil
	}
	if mayQueue && (t.Deadline.IsZero() || now.Add(left+wait).Before(t.Deadline)) {
		return nil
	}
	return g.pauseRefusal(left)
}
