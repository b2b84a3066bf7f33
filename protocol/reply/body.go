// Package reply converts errors to the response bodies that callers and operators
// receive.
//
// # Usage
//
//	w.WriteHeader(reply.Status(err))
//	w.Write(reply.New(err).JSON())
//
// The JSON form is {"error":{"kind","message","ran","retryAfterMillis"}}. If an event
// stream has already started, the same JSON is sent as the data of an event named
// "error".
package reply

import (
	"encoding/json"
	"time"

	"amaranthtide"
)

// Body is the JSON form of an error.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes an error.
type Detail struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Ran tells whether the request was run: "no", "yes" or "unknown".
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// New returns the body for err, which must not be nil. The message of a KindInternal
// error is replaced, since it may reveal internal details.
func New(err error) Body {
	kind := amaranthtide.KindOf(err)
	message := err.Error()
	if kind == amaranthtide.KindInternal {
		message = "internal error; see the router's log"
	}
	return Body{Detail{
		Kind:             kind.String(),
		Message:          message,
		Ran:              kind.Reply().Ran.String(),
		RetryAfterMillis: amaranthtide.RetryAfterOf(err).Milliseconds(),
	}}
}

// Status returns the HTTP status for err.
func Status(err error) int { return amaranthtide.KindOf(err).Reply().Status }

// RetryAfterSeconds returns the value of the Retry-After header for err, rounded up,
// and reports whether err has a retry delay.
func RetryAfterSeconds(err error) (int, bool) {
	wait := amaranthtide.RetryAfterOf(err)
	if wait <= 0 {
		return 0, false
	}
	return int((wait + time.Second - 1) / time.Second), true
}

// JSON returns the body as JSON.
func (b Body) JSON() []byte {
	// Marshaling strings and integers never fails.
	data, _ := json.Marshal(b)
	return data
}

// Event returns the body as a server-sent event named "error".
func (b Body) Event() []byte {
	data := append([]byte("event: error\ndata: "), b.JSON()...)
	return append(data, '\n', '\n')
}

// Err converts a decoded body back to an error. An unknown kind becomes KindInternal.
func (b Body) Err() error {
	kind, ok := amaranthtide.ParseKind(b.Error.Kind)
	if !ok {
		kind = amaranthtide.KindInternal
	}
	err := amaranthtide.Errorf(kind, "%s", b.Error.Message)
	if b.Error.RetryAfterMillis > 0 {
		err = amaranthtide.WithRetryAfter(err, time.Duration(b.Error.RetryAfterMillis)*time.Millisecond)
	}
	return err
}
