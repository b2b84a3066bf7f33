package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/reading"
)

// Guards against a router that restarts and uses a server that has left, or a key that was
// withdrawn, because it takes the old rows of a peer that can't read the feed, while the
// feed holds newer ones.
func TestStartIgnoresRowsOfStalePeer(t *testing.T) {
	is := is.New(t)
	source := newSource()
	source.set(operatorTable, ver(9))
	source.set(serversTable, ver(9), "e2")
	f := startFixture(t, source)
	old := amaranthtide.FeedPage{Whole: true, Version: ver(3), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "left", Version: ver(3), Value: []byte("{}")}}}
	f.ApplyFromPeer(time.Now(), serversTable, old, amaranthtide.Some(amaranthtide.FeedView{Age: time.Minute, Reader: "vm-2"}))
	is.Equal(f.servers.Len(), 0)
	eventually(t, "the listed server", func() bool { return f.servers.Len() == 1 })
	f.ApplyFromPeer(time.Now(), serversTable, old, amaranthtide.Some(amaranthtide.FeedView{Age: time.Duration(0), Reader: "vm-2"}))
	is.Equal(f.servers.ByService("s")[0].Name, amaranthtide.BackendServerName("e2"))
	is.Equal(f.servers.Len(), 1)
}

// Guards against a router that restarts while the feed is unavailable and serves nothing,
// although a peer still has the rows of before.
func TestStartDuringOutageTakesRowsOfStalePeer(t *testing.T) {
	source := newSource()
	source.setDown(true)
	f := startFixture(t, source)
	old := amaranthtide.FeedPage{Whole: true, Version: ver(3), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e1", Version: ver(3), Value: []byte("{}")}}}
	eventually(t, "the rows of the peer", func() bool {
		f.ApplyFromPeer(time.Now(), serversTable, old, amaranthtide.Some(amaranthtide.FeedView{Age: time.Minute, Reader: "vm-2"}))
		return f.servers.Len() == 1
	})
}

// Guards against calls of a router that starts while a peer has a current view.
func TestStartAsksPeersFirst(t *testing.T) {
	is := is.New(t)
	source := newSource()
	source.set(serversTable, ver(9), "e2")
	f := startFixture(t, source)
	f.rank.Store(reading.NotReader)
	page := amaranthtide.FeedPage{Whole: true, Version: ver(9), Rows: []amaranthtide.FeedRow{{Table: serversTable, Key: "e2", Version: ver(9), Value: []byte("{}")}}}
	f.ApplyFromPeer(time.Now(), serversTable, page, amaranthtide.Some(amaranthtide.FeedView{Age: 100 * time.Millisecond, Reader: "vm-2"}))
	time.Sleep(600 * time.Millisecond)
	is.Equal(f.servers.Len(), 1)
	is.Equal(source.count(serversTable), 0)
}

// Guards against a configuration that is in force before AtStart has returned, and against a router
// that AtStart keeps from starting if the store doesn't answer its call.
func TestAtStartComesBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	for _, hangs := range []bool{false, true} {
		source := newSource()
		source.set(operatorTable, ver(1))
		source.set(serversTable, ver(1), "e1")
		var returned atomic.Bool
		f := startFixtureWith(t, source, func(ctx context.Context) {
			if hangs {
				<-ctx.Done()
				return
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(source.count(operatorTable), 0)
			returned.Store(true)
		})
		began := time.Now()
		eventually(t, "the operators' table", func() bool { return source.count(operatorTable) > 0 })
		is.Equal(returned.Load(), !hangs)
		is.True(time.Since(began) < time.Second) // startPatience twice, and time to run
		f.Close()
	}
}

// Guards against a router that starts and never gets a configuration, because its calls for the operators'
// table fail, while the list can be read and the peers can't read that table either.
func TestStartWithoutOneTableTakesRowsOfStalePeer(t *testing.T) {
	source := newSource()
	source.set(serversTable, ver(9), "e1")
	source.refuse(operatorTable, true)
	f := startFixture(t, source)
	old := amaranthtide.FeedPage{Whole: true, Version: ver(3), Rows: []amaranthtide.FeedRow{{Table: operatorTable, Key: "config", Version: ver(3), Value: []byte("{}")}}}
	eventually(t, "the rows of the peer", func() bool {
		f.ApplyFromPeer(time.Now(), operatorTable, old, amaranthtide.Some(amaranthtide.FeedView{Age: time.Minute, Reader: "vm-2"}))
		return f.rows.Version(operatorTable).Or(ver(0)) == ver(3)
	})
}

// Guards against a router that was suspended while the store came back from a copy, and that keeps a server that has
// left since for as long as others did from the restore on.
func TestLateRestoreEndsAsAtOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	inEra := func(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(1, n) }
	f.source.set(operatorTable, inEra(1))
	f.source.set(serversTable, inEra(2), "e2")
	eventually(t, "the servers of the copy, and those that it lacks", func() bool { return f.servers.Len() == 2 })
	view := amaranthtide.Some(amaranthtide.FeedView{Reader: "vm-2", Era: 1})
	f.ApplyFromPeer(time.Now(), serversTable, amaranthtide.FeedPage{RestoreAge: time.Second}, view)
	time.Sleep(600 * time.Millisecond)
	is.Equal(f.servers.Len(), 2) // they may still be written again
	f.ApplyFromPeer(time.Now(), serversTable, amaranthtide.FeedPage{RestoreAge: 10 * time.Second}, view)
	began := time.Now()
	eventually(t, "the servers of the copy alone", func() bool { return f.servers.Len() == 1 })
	is.True(time.Since(began) < 2*time.Second)
}
