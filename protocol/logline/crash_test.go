package logline_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/logline"
)

// Guards against a comparison that names a part of sound prompts, or misses the one that all
// crashes share.
func TestPartOutcomesNamesSharedPart(t *testing.T) {
	is := is.New(t)
	line := func(message, request, server, prompt string) logline.Line {
		return logline.Line{
			Message: message, Request: amaranthtide.RequestID(request), Server: amaranthtide.BackendServerName(server),
			Fields: map[string]string{"prompt": prompt},
		}
	}
	got := logline.PartOutcomes([]logline.Line{
		line("request placed", "r1", "e1", "base,club,bad,x1"),
		line("server crashed", "r1", "e1", "base,club,bad,x1"),
		line("request placed", "r2", "e2", "base,club,x2"),
		line("request ended", "r2", "e2", ""),
		line("server crashed", "r3", "e3", "base,other,bad,x3"),
	})
	is.True(len(got) > 1)
	is.Equal(got[0], logline.PartOutcome{Part: "bad", Crashes: 2, Prompts: 2})
	is.Equal(got[len(got)-2], logline.PartOutcome{Part: "base", Crashes: 2, Prompts: 2, Answered: 1})
	is.Equal(got[len(got)-1], logline.PartOutcome{Part: "club", Crashes: 1, Prompts: 1, Answered: 1})
}
