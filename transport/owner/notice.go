package owner

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/ratelimit"
)

// noticeWriter passes the answer to the embedded writer, and the notice past it to the counter: the
// writers in between don't implement amaranthtide.NoticeWriter.
type noticeWriter struct {
	amaranthtide.AnswerWriter
	counter *countingWriter
}

var (
	_ amaranthtide.NoticeWriter = noticeWriter{}
	_ amaranthtide.NoticeWriter = (*countingWriter)(nil)
)

// Notice implements amaranthtide.NoticeWriter.
func (w noticeWriter) Notice(now time.Time, n amaranthtide.ServerNotice) { w.counter.Notice(now, n) }

// Notice implements amaranthtide.NoticeWriter.
func (c *countingWriter) Notice(now time.Time, n amaranthtide.ServerNotice) {
	c.pause = min(n.Pause, outlier.MaxPause)
	if n == (amaranthtide.ServerNotice{}) && !c.owner.isLimited(c.server) {
		return
	}
	c.owner.recordNotice(now, member{c.server, c.row}, c.attempt, n)
}

// isLimited reports whether the server has announced a limit of its requests.
func (o *Owner) isLimited(server amaranthtide.BackendServerName) (limited bool) {
	o.servers.With(server, func(s *serverState, ok bool) { limited = ok && s.gate.Limit() > 0 })
	return limited
}

// recordNotice records the notice in the response to an attempt. It is ignored if the row names
// another address by now, since the response came from the server of an earlier entry.
func (o *Owner) recordNotice(now time.Time, m member, attempt amaranthtide.AttemptID, n amaranthtide.ServerNotice) {
	row, ok := o.opts.Table.BackendServer(m.name)
	if !ok || row.Address != m.row.Address {
		return
	}
	leaves, pauses, invalid := false, false, false
	var limitChange string
	var limit amaranthtide.RequestRate
	_ = o.decide(now, m.name, row, func(now time.Time, s *serverState, _ admission.Limits) error {
		s.noticeRevision = o.rowRevision(m.name)
		leaves, pauses = s.gate.Notice(now, attempt, n, rand.Float64())
		invalid = n.Invalid != "" && n.Invalid != s.invalidNotice
		s.invalidNotice = n.Invalid
		limit = s.gate.Limit()
		if limitChange = ratelimit.Describe(s.loggedLimit, limit); limitChange != "" {
			s.loggedLimit = limit
		}
		return nil
	})
	o.wakeLoop() // moves the requests that wait for the server
	if invalid {
		o.opts.Logger.Warn("notice of server ignored", "server", m.name, "notice", n.Invalid)
	}
	if leaves {
		o.opts.Logger.Info("server says that it leaves", "server", m.name)
	}
	if limitChange != "" {
		o.opts.Logger.Info(limitChange, "server", m.name, "perSecond", float64(limit))
	}
	if pauses {
		o.opts.Logger.Info("server asks for a pause", "server", m.name, "pauseMillis", n.Pause.Milliseconds())
	}
}

// endOldNotice ends the notice of a server whose row is newer.
func (o *Owner) endOldNotice(now time.Time, s *serverState) {
	if s.gate.HasNotice(now) && o.rowRevision(s.name) > s.noticeRevision {
		s.gate.Renew(now)
	}
}

func (o *Owner) rowRevision(server amaranthtide.BackendServerName) amaranthtide.Revision {
	row, _ := o.opts.Table.Row(amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: string(server)})
	return row.Revision
}
