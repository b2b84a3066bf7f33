package logline_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/logline"
)

const (
	placed       = `  14.3 vm-1 {"@level":"info","@message":"request placed","@module":"amaranthtide.dispatch","@timestamp":"2026-03-02T08:00:14.000001Z","vm":"vm-1","request":"r1","server":"e1","load":3}`
	failed       = `{"@level":"warn","@message":"attempt failed","@timestamp":"2026-03-02T08:00:14.400000Z","vm":"vm-1","request":"r1","server":"e1","kind":"outcomeUnknown"}`
	unlisted     = `{"@level":"info","@message":"server unlisted","@timestamp":"2026-03-02T08:00:12.000000Z","vm":"vm-1","server":"e1"}`
	otherServer  = `{"@level":"info","@message":"server unlisted","@timestamp":"2026-03-02T08:00:12.000000Z","vm":"vm-1","server":"e2"}`
	otherRequest = `{"@level":"info","@message":"request placed","@timestamp":"2026-03-02T08:00:14.000000Z","vm":"vm-1","request":"r2","server":"e1"}`
	early        = `{"@level":"warn","@message":"feed lost","@timestamp":"2026-03-02T07:00:00.000000Z","vm":"vm-1"}`
)

// Guards against a trace that is not sorted by time, that lacks the state changes of the
// request's server, or that includes other requests, other servers or earlier changes.
func TestTrace(t *testing.T) {
	is := is.New(t)
	var lines []logline.Line
	for _, text := range []string{failed, placed, unlisted, otherServer, otherRequest, early} {
		l, err := logline.Parse([]byte(text))
		is.NoErr(err)
		lines = append(lines, l)
	}
	var got []string
	for _, l := range logline.Trace("r1", lines) {
		got = append(got, l.String())
	}
	is.Equal(got, []string{
		"server unlisted server=e1",
		"request placed server=e1 load=3",
		"attempt failed server=e1 kind=outcomeUnknown",
	})
	is.Equal(len(logline.Trace("r3", lines)), 0)
}

// Guards against truncated lines and other text that Parse accepts. Readers of log files
// skip the lines that it rejects.
func TestParseRejectsInvalidLines(t *testing.T) {
	for _, text := range []string{"", "plain text", `{"@message":"x"`, `{"@message":"no time"}`, `[1]`} {
		_, err := logline.Parse([]byte(text))
		if !amaranthtide.IsKind(err, amaranthtide.KindBadRequest) {
			t.Errorf("got: %v for %q, want: badRequest", err, text)
		}
	}
}
