package entry

import (
	"net/http"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// writeTimeout bounds one write to a caller. A caller that takes nothing for so
// long is treated as gone, so that it can't hold an engine's slot.
const writeTimeout = 30 * time.Second

// answerWriter passes an answer on to the caller as it comes.
type answerWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	req           *amaranthtide.Request
	headWritten   bool
	isEventStream bool
	// onFirstChunk is called with the onFirstChunk chunk and then nil.
	onFirstChunk func()
	// deadline is the write deadline in force. It is renewed when half of it has
	// passed, since setting it costs a system call's worth of work per chunk.
	deadline time.Time
}

func newAnswerWriter(w http.ResponseWriter, req *amaranthtide.Request, onFirstChunk func()) *answerWriter {
	return &answerWriter{w: w, controller: http.NewResponseController(w), req: req, onFirstChunk: onFirstChunk}
}

// Head implements amaranthtide.AnswerWriter.
func (a *answerWriter) Head(head amaranthtide.AnswerHead) error {
	header := a.w.Header()
	for _, f := range head.Header {
		if !notForwarded.Has(http.CanonicalHeaderKey(f.Name)) {
			header.Add(f.Name, f.Value)
		}
	}
	header.Set("Amaranthtide-Request", string(a.req.ID))
	header.Set("Amaranthtide-Attempt", string(head.Attempt))
	header.Set("Amaranthtide-Server", string(head.Server))
	a.isEventStream = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	a.headWritten = true
	a.extendDeadline()
	a.w.WriteHeader(head.Status)
	return nil
}

// Chunk implements amaranthtide.AnswerWriter.
func (a *answerWriter) Chunk(b []byte) error {
	a.extendDeadline()
	if a.onFirstChunk != nil {
		a.onFirstChunk()
		a.onFirstChunk = nil
	}
	if _, err := a.w.Write(b); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "write to the caller: %w", err)
	}
	if !a.isEventStream {
		return nil
	}
	if err := a.controller.Flush(); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "flush to the caller: %w", err)
	}
	return nil
}

func (a *answerWriter) extendDeadline() {
	now := time.Now()
	if a.deadline.Sub(now) > writeTimeout/2 {
		return
	}
	a.deadline = now.Add(writeTimeout)
	// Writers without deadlines, as in tests, are left without one.
	_ = a.controller.SetWriteDeadline(a.deadline)
}

// abort ends an answer that can't be completed. A stream of events gets an error
// event and no terminal event; any other answer loses its connection, so that the
// caller sees that it is cut short.
func (a *answerWriter) abort(err error) {
	if !a.isEventStream {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(reply.New(err).Event())
	_ = a.controller.Flush()
}
