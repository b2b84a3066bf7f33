package reply_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// Guards against an error kind or retry delay that is lost between router and caller.
func TestBodyRoundTripsKindAndRetryAfter(t *testing.T) {
	is := is.New(t)
	err := amaranthtide.WithRetryAfter(amaranthtide.Errorf(amaranthtide.KindFull, "all full"), 1500*time.Millisecond)
	var b reply.Body
	is.NoErr(json.Unmarshal(reply.New(err).JSON(), &b))
	is.Equal(b.Error.Ran, "no")
	is.Equal(amaranthtide.KindOf(b.Err()), amaranthtide.KindFull)
	is.Equal(amaranthtide.RetryAfterOf(b.Err()), 1500*time.Millisecond)
	seconds, ok := reply.RetryAfterSeconds(err)
	is.True(ok)
	is.Equal(seconds, 2)
}

// Guards against internal details in responses to callers.
func TestInternalMessageIsReplaced(t *testing.T) {
	b := reply.New(errors.New("secret detail"))
	if b.Error.Message == "secret detail" || b.Error.Kind != "internal" || b.Error.Ran != "unknown" {
		t.Errorf("got: %+v, want: a replaced message of an internal error", b)
	}
}
