package sweep_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/claim"
	standin "amaranthtide/standin/platform"
	"amaranthtide/transport/claims"
	"amaranthtide/transport/platform"
	"amaranthtide/transport/sweep"
)

type alwaysFirst struct{}

func (alwaysFirst) IsContact(time.Time) (contact, first bool) { return true, true }

type discard struct{}

func (discard) Head(amaranthtide.AnswerHead) error { return nil }
func (discard) Chunk([]byte) error                 { return nil }

// Guards against claims that are never deleted from the table service, and against
// deleting claims before their retention expires.
func TestOldClaimsAreDeleted(t *testing.T) {
	is := is.New(t)
	server, err := standin.New(standin.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	is.NoErr(err)
	defer server.Close()
	client := platform.New(platform.Config{Addr: server.Addr()})
	defer client.Close()
	driver := claims.New(claims.Options{VM: "vm-1", Table: client, Objects: client})
	send := func(_ context.Context, w amaranthtide.AnswerWriter) error {
		return w.Head(amaranthtide.AnswerHead{Status: 200})
	}
	for _, key := range []amaranthtide.IdempotencyKey{"a", "b", "c"} {
		req := &amaranthtide.Request{Workspace: "w", Key: key, Attempt: amaranthtide.NewAttemptID(), Deadline: time.Now().Add(time.Minute)}
		is.NoErr(driver.Serve(t.Context(), req, discard{}, send))
	}
	driver.Close()
	count := func() int {
		rows, err := client.List(t.Context(), claim.Prefix, "", 10)
		is.NoErr(err)
		return len(rows)
	}
	is.Equal(count(), 3)

	defaultSweeper := sweep.New(sweep.Options{Table: client, Control: alwaysFirst{}, Interval: 10 * time.Millisecond})
	time.Sleep(100 * time.Millisecond)
	defaultSweeper.Close()
	is.Equal(count(), 3)

	eagerSweeper := sweep.New(sweep.Options{
		Table: client, Control: alwaysFirst{}, Interval: 10 * time.Millisecond,
		Retention: claim.Retention{Settled: time.Nanosecond},
	})
	defer eagerSweeper.Close()
	for until := time.Now().Add(5 * time.Second); count() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("got: %d claims, want: none", count())
		}
	}
}
