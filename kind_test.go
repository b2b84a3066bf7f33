package amaranthtide_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
)

// Guards against an error kind without an entry in the table of replies.
func TestEveryKindHasAReply(t *testing.T) {
	seen := amaranthtide.NewSet[string]()
	for _, k := range amaranthtide.Kinds() {
		r := k.Reply()
		if r.Name == "" || r.Status < 400 || seen.Has(r.Name) {
			t.Errorf("kind %d got: %+v, want: a unique name and an error status", k, r)
		}
		seen.Add(r.Name)
		if got, ok := amaranthtide.ParseKind(r.Name); !ok || got != k {
			t.Errorf("ParseKind(%q) got: %v, want: %v", r.Name, got, k)
		}
	}
}

// Guards against a wrapped error that loses its kind.
func TestKindOf(t *testing.T) {
	is := is.New(t)
	full := amaranthtide.Errorf(amaranthtide.KindFull, "queue of %s is full", "engine-1")
	is.Equal(amaranthtide.KindOf(nil), amaranthtide.Kind(0))
	is.Equal(amaranthtide.KindOf(full), amaranthtide.KindFull)
	is.Equal(full.Error(), "queue of engine-1 is full")
	is.Equal(amaranthtide.KindOf(fmt.Errorf("forward: %w", full)), amaranthtide.KindFull)
	is.Equal(amaranthtide.KindOf(amaranthtide.Errorf(amaranthtide.KindLeaving, "stop: %w", full)), amaranthtide.KindLeaving)
	is.Equal(amaranthtide.KindOf(context.Canceled), amaranthtide.KindCanceled)
	is.Equal(amaranthtide.KindOf(fmt.Errorf("x")), amaranthtide.KindInternal)
	is.Equal(amaranthtide.RetryAfterOf(full), time.Second)
	is.Equal(amaranthtide.RetryAfterOf(amaranthtide.WithRetryAfter(full, 3*time.Second)), 3*time.Second)
	is.Equal(amaranthtide.KindOf(amaranthtide.WithRetryAfter(full, time.Second)), amaranthtide.KindFull)
}
