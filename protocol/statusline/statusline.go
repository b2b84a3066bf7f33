// Package statusline checks the status line of a response that net/http has parsed. net/http accepts any
// three characters that strconv.Atoi accepts and that are not negative, among them 000, 999 and +20.
//
// # Usage
//
//	if err := statusline.Check(resp); err != nil {
//		// The bytes are no answer.
//	}
package statusline

import (
	"fmt"
	"net/http"
)

// The range of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error unless the status code of the response has three digits and is from 100 to 599.
func Check(resp *http.Response) error {
	code, ok := resp.StatusCode, len(resp.Status) >= len("200")
	for i := 0; ok && i < len("200"); i++ {
		ok = '0' <= resp.Status[i] && resp.Status[i] <= '9'
	}
	if !ok || code < minStatus || code > maxStatus {
		return fmt.Errorf("invalid status %.20q", resp.Status)
	}
	return nil
}
