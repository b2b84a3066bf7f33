package entry

import (
	"net/http"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// writeTimeout limits one write to a caller. A caller that reads nothing for that long is
// treated as disconnected, so that it can't occupy an engine's slot.
const writeTimeout = 30 * time.Second

// answerWriter passes an answer on to the caller as it arrives.
type answerWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	req           *amaranthtide.Request
	headWritten   bool
	isEventStream bool
	// onFirstChunk is called for the first chunk and set to nil then.
	onFirstChunk func()
	// deadline is the current write deadline. It is extended only when half of its time
	// has passed, since setting it for each chunk costs about as much as a system call.
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
	// Some writers, such as those of tests, don't support deadlines.
	_ = a.controller.SetWriteDeadline(a.deadline)
}

// abort ends an answer that can't be completed. An event stream gets an error event and
// no terminal event. For any other answer the connection is closed, so that the caller
// notices the truncation.
func (a *answerWriter) abort(err error) {
	if !a.isEventStream {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(reply.New(err).Event())
	_ = a.controller.Flush()
}
