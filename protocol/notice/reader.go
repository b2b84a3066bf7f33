// Package notice decodes what a backend server says of itself in the head of a response: that
// it leaves, the rate of requests that it takes, and with status 503 the pause that it asks for.
//
// # Usage
//
//	r := notice.Reader{LeavingHeader: wire.HeaderLeaving, LimitHeader: wire.HeaderLimit}
//	n := r.Read(now, resp.StatusCode, resp.Header)
//
// The pause is the value of Retry-After: seconds, with or without a fraction, or an HTTP date. 0
// and a date in the past are no pause. Negative numbers, NaN, infinite numbers and other texts are
// no pause either and are described in ServerNotice.Invalid. If the header comes twice, the longer
// pause counts. Package coordination/outlier limits the pause.
//
// The rate is a decimal number of requests a second, as amaranthtide.NewRequestRate takes it. Other values
// are no limit and are described in ServerNotice.Invalid. If the header comes twice, the lower rate
// counts.
//
// The caller must check that the response belongs to its request.
package notice

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
)

// maxPauseSeconds bounds a pause before its conversion to a duration. Package outlier has the
// limit that applies.
const maxPauseSeconds = 365 * 24 * 3600

const retryAfterHeader = "Retry-After"

// Reader decodes notices.
type Reader struct {
	// LeavingHeader is the name, in canonical form, of the header that is "1" if the server leaves.
	LeavingHeader string
	// LimitHeader is the name, in canonical form, of the header with the rate of requests that the server
	// takes; empty if servers announce none.
	LimitHeader string
}

// Read decodes the notice in the head of a response. The result is the zero value if there is
// none.
func (r Reader) Read(now time.Time, status int, header http.Header) amaranthtide.ServerNotice {
	var n amaranthtide.ServerNotice
	switch value := strings.TrimSpace(header.Get(r.LeavingHeader)); value {
	case "", "0":
	case "1":
		n.Leaving = true
	default:
		n.Invalid = fmt.Sprintf("%s: %.40q", r.LeavingHeader, value)
	}
	r.readLimit(header, &n)
	if status != http.StatusServiceUnavailable {
		return n
	}
	for _, value := range header.Values(retryAfterHeader) {
		pause, ok := parsePause(now, value)
		if !ok {
			n.Invalid = fmt.Sprintf("%s: %.40q", retryAfterHeader, value)
		}
		n.Pause = max(n.Pause, pause)
	}
	return n
}

func (r Reader) readLimit(header http.Header, n *amaranthtide.ServerNotice) {
	for _, value := range header.Values(r.LimitHeader) {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) { // true for NaN, too
			n.Invalid = fmt.Sprintf("%s: %.40q", r.LimitHeader, value)
			continue
		}
		if limit := amaranthtide.NewRequestRate(perSecond); limit > 0 && (n.Limit == 0 || limit < n.Limit) {
			n.Limit = limit
		}
	}
}

func parsePause(now time.Time, value string) (pause time.Duration, ok bool) {
	value = strings.TrimSpace(value)
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds >= 0) || math.IsInf(seconds, 0) { // true for NaN, too
			return 0, false
		}
		return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return min(max(0, at.Sub(now)), maxPauseSeconds*time.Second), true
}
