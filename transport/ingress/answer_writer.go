package ingress

import (
	"net/http"

	"amaranthtide/protocol/framing"
)

// answerWriter marks the connection of an answer that ends with it, so that the connection is reset
// unless the answer comes to its end. An ordinary close, by a shutdown or by the system after the
// process was killed, would make the part that was sent look complete.
type answerWriter struct {
	http.ResponseWriter
	conn       *connection
	request    *http.Request
	headSent   bool
	unfinished bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.begin(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin records that the answer begins, unless it has.
func (w *answerWriter) begin(status int) {
	if w.headSent {
		return
	}
	w.headSent = true
	if framing.OfAnswer(w.request, status, w.Header()) == framing.ConnectionClose {
		w.unfinished = true
		w.conn.resetOnClose(true)
	}
}

// finish ends an answer whose handler has returned: once all of it is in the socket, the connection may
// end in the ordinary way.
func (w *answerWriter) finish() {
	if !w.unfinished {
		return
	}
	// net/http adds a length to a short answer to a caller of HTTP/1.0, if none of it was written yet.
	if w.Header().Get("Transfer-Encoding") != "" || w.conn.answerBegun() {
		if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
			return
		}
	}
	w.conn.resetOnClose(false)
}
