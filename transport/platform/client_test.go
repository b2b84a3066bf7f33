package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	standin "amaranthtide/standin/platform"
	"amaranthtide/transport/platform"
)

func startStandin(t *testing.T, cfg standin.Config) (*standin.Server, *platform.Client) {
	t.Helper()
	s, err := standin.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := platform.New(platform.Config{Addr: s.Addr(), Timeout: 100 * time.Millisecond})
	t.Cleanup(c.Close)
	return s, c
}

func put(key, value string, version amaranthtide.RowVersion) amaranthtide.Transaction {
	k := amaranthtide.StoredKey(key)
	return amaranthtide.Transaction{
		Token:      amaranthtide.NewWriteToken(),
		Conditions: []amaranthtide.Condition{{Key: k, Version: version}},
		Writes:     []amaranthtide.Write{{Key: k, Value: []byte(value)}},
	}
}

// Guards against error kinds that claim more than the client knows: a commit that was
// applied must never return KindPlatformDown, and its token must be in the row.
func TestErrorKindsUnderFaults(t *testing.T) {
	tests := []struct {
		name            string
		faults          standin.Faults
		commit, get     amaranthtide.Kind
		applied, closed bool
	}{
		{"no faults", standin.Faults{}, 0, 0, true, false},
		{"outage", standin.Faults{Outage: true}, amaranthtide.KindPlatformDown, amaranthtide.KindPlatformDown, false, false},
		{"request lost", standin.Faults{LostBefore: 1}, amaranthtide.KindOutcomeUnknown, amaranthtide.KindPlatformDown, false, false},
		{"answer lost", standin.Faults{LostAfter: 1}, amaranthtide.KindOutcomeUnknown, amaranthtide.KindPlatformDown, true, false},
		{"timeout", standin.Faults{Delay: amaranthtide.Duration(time.Second)}, amaranthtide.KindOutcomeUnknown, amaranthtide.KindPlatformDown, false, false},
		{"unreachable", standin.Faults{}, amaranthtide.KindPlatformDown, amaranthtide.KindPlatformDown, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s, c := startStandin(t, standin.Config{})
			// With a kept-alive connection, the test also detects retries by net/http.
			_, err := c.Get(ctx, "a")
			is.NoErr(err)
			s.SetFaults(tt.faults)
			if tt.closed {
				s.Close()
				// A new client has no idle connection. Depending on when the old client
				// notices that its connection broke, the call would count as connected.
				c = platform.New(platform.Config{Addr: s.Addr()})
				defer c.Close()
			}
			tx := put("a", "1", 0)
			r := c.Do(ctx, amaranthtide.TableCall{Transaction: amaranthtide.Some(tx)})
			is.Equal(amaranthtide.KindOf(r.Err), tt.commit)
			is.Equal(amaranthtide.KindOf(c.Do(ctx, amaranthtide.TableCall{Key: "a"}).Err), tt.get)
			_, err = c.List(ctx, "", "", 5)
			is.Equal(amaranthtide.KindOf(err), tt.get)
			is.Equal(amaranthtide.KindOf(c.PutObject(ctx, "o", []byte("x"))), tt.commit)
			if tt.closed {
				return
			}
			s.SetFaults(standin.Faults{})
			row, err := c.Get(ctx, "a")
			is.NoErr(err)
			got, ok := row.Get()
			is.Equal(ok, tt.applied)
			if ok {
				is.Equal(got.Token, tx.Token)
			}
		})
	}
}

// Guards against partially applied transactions, conditions that are not checked and
// row versions that are reused after a deletion.
func TestTransactions(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := startStandin(t, standin.Config{})
	first, err := c.Commit(ctx, put("a", "1", 0))
	is.NoErr(err)
	bad := put("b", "1", 0)
	bad.Conditions = append(bad.Conditions, amaranthtide.Condition{Key: "a", Version: first[0] + 1})
	_, err = c.Commit(ctx, bad)
	is.True(amaranthtide.IsKind(err, amaranthtide.KindConflict))
	row, err := c.Get(ctx, "b")
	is.NoErr(err)
	_, ok := row.Get()
	is.True(!ok)
	deleted, err := c.Commit(ctx, amaranthtide.Transaction{Writes: []amaranthtide.Write{{Key: "a"}, {Key: "c", Value: []byte{}}}})
	is.NoErr(err)
	is.Equal(deleted[0], amaranthtide.RowVersion(0))
	again, err := c.Commit(ctx, put("a", "1", 0))
	is.NoErr(err)
	is.True(again[0] > first[0])
	is.Equal(s.Counts().Conflicts, 1)
}

// Guards against paging that skips or repeats rows.
func TestListPages(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := startStandin(t, standin.Config{})
	tx := amaranthtide.Transaction{Token: "t"}
	for i := range 25 {
		tx.Writes = append(tx.Writes, amaranthtide.Write{Key: amaranthtide.StoredKey(fmt.Sprintf("p/%02d", i)), Value: []byte("x")})
	}
	tx.Writes = append(tx.Writes, amaranthtide.Write{Key: "a", Value: []byte("x")}, amaranthtide.Write{Key: "q/?&", Value: []byte("x")})
	_, err := c.Commit(ctx, tx)
	is.NoErr(err)
	var after amaranthtide.StoredKey
	n := 0
	for {
		rows, err := c.List(ctx, "p/", after, 10)
		is.NoErr(err)
		if len(rows) == 0 {
			break
		}
		for _, r := range rows {
			is.True(r.Key > after)
			after = r.Key
			n++
		}
	}
	is.Equal(n, 25)
	row, err := c.Get(ctx, "q/?&")
	is.NoErr(err)
	_, ok := row.Get()
	is.True(ok)
}

// Guards against a stand-in that lacks the lag of the VM list, the rate limits or the
// control calls that the scenario tests depend on.
func TestLagLimitsAndControl(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := startStandin(t, standin.Config{VMLag: 150 * time.Millisecond, ReservationsPerSecond: 10})
	vm := amaranthtide.ListedVM{Name: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:7000")}
	s.SetVMs([]amaranthtide.ListedVM{vm})
	vm.Leaving = true
	s.SetVMs([]amaranthtide.ListedVM{vm})
	vms, err := c.ListVMs(ctx)
	is.NoErr(err)
	is.True(!vms[0].Leaving)
	time.Sleep(200 * time.Millisecond)
	vms, err = c.ListVMs(ctx)
	is.NoErr(err)
	is.True(vms[0].Leaving)

	_, err = c.Reserve(ctx, "m")
	is.NoErr(err)
	wait, err := c.Reserve(ctx, "m")
	is.NoErr(err)
	is.True(wait > 0)

	req, err := http.NewRequest(http.MethodPut, "http://"+s.Addr().String()+"/standin/faults", strings.NewReader(`{"writesPerSecond":5}`))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	limited := 0
	for range 20 {
		if amaranthtide.IsKind(c.PutObject(ctx, "o", nil), amaranthtide.KindPlatformDown) {
			limited++
		}
	}
	is.True(limited >= 15)
	is.Equal(s.Counts().Limited, limited)
}
