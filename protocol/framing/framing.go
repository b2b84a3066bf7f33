// Package framing tells how the end of an HTTP/1.1 message is marked (RFC 9112, section 6.3).
//
// A message whose end is that of its connection can't be told from one that broke off, unless the
// connection is reset. Both sides of a router need to know: whoever forwards such an answer must reset
// the connection if the answer doesn't come to its end, and whoever receives one must not take a reset
// for its end.
//
// # Usage
//
//	if framing.OfResponse(resp) == framing.ConnectionClose {
//		// Only the end of the connection ends the body.
//	}
package framing

import "net/http"

// Framing is what marks the end of a message.
type Framing int

// The framings.
const (
	// None is the framing of a message that has no body, whatever its header says.
	None Framing = iota
	// Length is a Content-Length.
	Length
	// Chunked is the chunked transfer coding.
	Chunked
	// ConnectionClose is the end of the connection.
	ConnectionClose
)

// OfResponse returns the framing of a response that was read.
func OfResponse(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return Chunked
	case resp.ContentLength >= 0:
		return Length
	default:
		return ConnectionClose
	}
}

// OfAnswer returns the framing with which net/http writes the answer to r with the given status and
// header. It is ConnectionClose also for answers to which net/http adds a length at their end, as it
// does for short answers to callers of HTTP/1.0.
func OfAnswer(r *http.Request, status int, h http.Header) Framing {
	switch {
	case r.Method == http.MethodHead, status < http.StatusOK, status == http.StatusNoContent, status == http.StatusNotModified:
		return None
	case h.Get("Transfer-Encoding") == "identity":
		return ConnectionClose
	case h.Get("Content-Length") != "":
		return Length
	case !r.ProtoAtLeast(1, 1):
		return ConnectionClose
	default:
		return Chunked
	}
}
