package reuse_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide/coordination/reuse"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a request that may not be repeated on a connection that has been idle for
// long, and against opening a connection for each request that may be.
func TestIdleTimeByRepeatability(t *testing.T) {
	is := is.New(t)
	var p reuse.Policy
	is.True(p.MayUse(start, 4*time.Second, true))
	is.True(!p.MayUse(start, 4*time.Second, false))
	is.True(p.MayUse(start, time.Second, false))
	is.True(!p.MayUse(start, 10*time.Second, true))
}

// Guards against a series of lost requests on connections that something drops after a
// fixed idle time, and against a restriction that never ends.
func TestLossRestrictsIdleTime(t *testing.T) {
	is := is.New(t)
	var p reuse.Policy
	p.Lost(start, 1200*time.Millisecond)
	is.True(!p.MayUse(start.Add(time.Second), 700*time.Millisecond, true))
	is.True(p.MayUse(start.Add(time.Second), 500*time.Millisecond, true))
	p.Lost(start.Add(2*time.Second), 20*time.Millisecond) // has another cause
	is.True(p.MayUse(start.Add(3*time.Second), 500*time.Millisecond, true))
	is.True(p.MayUse(start.Add(time.Minute), 4*time.Second, true))
}

// Guards against idle connections of many routers that take all connections of a server,
// which resets those of requests then.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	for _, fleet := range []struct{ connections, routers int }{{1050, 140}, {2100, 295}, {180, 12}, {939, 140}, {6, 4}} {
		kept := reuse.KeepCount(fleet.connections, fleet.routers)
		if kept < 1 || kept > 1 && 2*kept*fleet.routers > fleet.connections {
			t.Errorf("got: %d idle connections for each of %d routers, want: at least 1 and at most half of %d together", kept, fleet.routers, fleet.connections)
		}
	}
}

// Guards against using a connection just as its server closes it.
func TestAnnouncedIdleTime(t *testing.T) {
	is := is.New(t)
	is.Equal(reuse.KeepFor(4*time.Second), 2*time.Second)
	is.Equal(reuse.KeepFor(time.Minute), 5*time.Second)
	is.Equal(reuse.KeepFor(0), 5*time.Second)
}
