package owner

import (
	"bytes"
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/placement"
)

// connectBackoff is how long a plain service that refused a connection gets no requests.
// Plain services send no load reports that would show their recovery.
const connectBackoff = time.Second

// leavingBackoff is how long a server that refused a request because it is leaving gets no
// requests. Engines announce in their next load report that they are leaving.
const leavingBackoff = 3 * time.Second

// sendAdmitted sends an admitted request and frees its slot afterwards.
func (o *Owner) sendAdmitted(ctx context.Context, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	began := time.Now()
	if row.Model != "" {
		o.chatEngines.Set(placement.ChatKey(req.Workspace, req.Chat), server)
	}
	counter := &countingWriter{AnswerWriter: w, server: server, owner: o, row: row, attempt: req.Attempt}
	err := o.sendToBackend(ctx, row, req, counter)
	if err != nil && counter.pause > 0 {
		err = amaranthtide.WithNotice(err, amaranthtide.ServerNotice{Pause: counter.pause})
	}
	o.finish(server, row, req, admission.Outcome{Complete: err == nil, Tokens: counter.tokens, Took: time.Since(began)}, err)
	return err
}

func (o *Owner) sendToBackend(ctx context.Context, row amaranthtide.BackendServer, req *amaranthtide.Request, w *countingWriter) error {
	if req.Repeatable() {
		err := o.backend(row).Serve(ctx, row.Address, req, w)
		o.opts.Observe(req, err)
		return err
	}
	return o.opts.Claims.Serve(ctx, req, w, func(ctx context.Context, answer amaranthtide.AnswerWriter) error {
		err := o.backend(row).Serve(ctx, row.Address, req, noticeWriter{answer, w})
		o.opts.Observe(req, err)
		return err
	})
}

func (o *Owner) backend(row amaranthtide.BackendServer) amaranthtide.Backend {
	if row.Model != "" {
		return o.opts.Engines
	}
	return o.opts.Services
}

// finish frees the slot of a request and starts queued requests that can start.
func (o *Owner) finish(server amaranthtide.BackendServerName, row amaranthtide.BackendServer, req *amaranthtide.Request, outcome admission.Outcome, err error) {
	_ = o.decide(time.Now(), server, row, func(now time.Time, s *serverState, _ admission.Limits) error {
		s.gate.Finish(now, req.Attempt, outcome)
		switch amaranthtide.KindOf(err) {
		case amaranthtide.KindNoBackend:
			s.setDown(true)
			s.downUntil = now.Add(connectBackoff)
		case amaranthtide.KindLeaving:
			s.leavingUntil = now.Add(leavingBackoff)
			s.gate.SetLeaving(true)
		}
		return nil
	})
	o.rebalance(time.Now(), member{server, row})
	o.wakeLoop()
}

// setDown sets whether the server is unreachable.
func (s *serverState) setDown(down bool) {
	s.down = down
	s.gate.SetDown(down)
}

// countingWriter adds the server to the head of the answer, counts the events of its
// stream, each of which is about one token, and receives the server's notice.
type countingWriter struct {
	amaranthtide.AnswerWriter
	server  amaranthtide.BackendServerName
	tokens  int
	owner   *Owner
	row     amaranthtide.BackendServer
	attempt amaranthtide.AttemptID
	// pause is the pause that the server asked for.
	pause time.Duration
}

var eventEnd = []byte("\n\n")

// Head implements amaranthtide.AnswerWriter.
func (c *countingWriter) Head(h amaranthtide.AnswerHead) error {
	h.Server = c.server
	return c.AnswerWriter.Head(h)
}

// Chunk implements amaranthtide.AnswerWriter.
func (c *countingWriter) Chunk(b []byte) error {
	c.tokens += bytes.Count(b, eventEnd)
	return c.AnswerWriter.Chunk(b)
}
