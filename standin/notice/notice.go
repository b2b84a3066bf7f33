// Package notice holds what a simulated server says of itself in its responses.
//
// # Usage
//
//	s.SetNotice(notice.Notice{Leaving: "1"})
//	s.SetNotice(notice.Notice{RetryAfter: "2.5"})
package notice

import (
	"net/http"

	"amaranthtide/protocol/wire"
)

// Notice holds header values, which need not be valid. An empty one is not sent.
type Notice struct {
	// Leaving is the value of the header Amaranthtide-Leaving in each response.
	Leaving string `json:"leaving"`
	// RetryAfter is the pause with which the server refuses requests.
	RetryAfter string `json:"retryAfter"`
	// Limit is the value of the header Amaranthtide-Limit in each response.
	Limit string `json:"limit"`
}

// SetHeaders adds the headers of all responses to the head of one.
func (n Notice) SetHeaders(h http.Header) {
	if n.Leaving != "" {
		h.Set(wire.HeaderLeaving, n.Leaving)
	}
	if n.Limit != "" {
		h.Set(wire.HeaderLimit, n.Limit)
	}
}
