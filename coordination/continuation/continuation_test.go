package continuation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/continuation"
)

const service = amaranthtide.ServiceName("llm")

var start = time.Date(2026, 12, 8, 8, 0, 0, 0, time.UTC)

func servers(versions ...amaranthtide.VersionName) []amaranthtide.Instance {
	var out []amaranthtide.Instance
	for i, v := range versions {
		out = append(out, amaranthtide.Instance{Name: amaranthtide.BackendServerName(fmt.Sprint("e", i)), Service: service, Version: v})
	}
	return out
}

func base(v amaranthtide.VersionName, era amaranthtide.StoreEra) amaranthtide.Option[amaranthtide.BaseVersion] {
	return amaranthtide.Some(amaranthtide.BaseVersion{Service: service, Version: v, Era: era})
}

// Guards against a stream that goes on at a server of another version, or of an unknown one.
func TestServersOfVersion(t *testing.T) {
	is := is.New(t)
	is.Equal(len(continuation.Servers(servers("v1", "v2", "v1"), "v1")), 2)
	is.Equal(len(continuation.Servers(servers("v1", "v2"), "v3")), 0)
	is.Equal(len(continuation.Servers(servers("v1", ""), "")), 0)
	is.Equal(len(continuation.Servers(servers("", ""), "")), 2)
}

// Guards against a version that is taken for known because the store lacks a record: without a base version,
// and after it has come back from an older copy.
func TestVersionWithoutRecord(t *testing.T) {
	is := is.New(t)
	none := amaranthtide.None[amaranthtide.StreamRecord]()
	v, ok := continuation.Version(none, 1, base("v1", 1))
	is.True(ok)
	is.Equal(v, amaranthtide.VersionName("v1"))
	_, ok = continuation.Version(none, 2, base("v1", 1))
	is.True(!ok)
	_, ok = continuation.Version(none, 0, amaranthtide.None[amaranthtide.BaseVersion]())
	is.True(!ok)
	v, ok = continuation.Version(amaranthtide.Some(amaranthtide.StreamRecord{Version: "v2"}), 2, base("v1", 1))
	is.True(ok)
	is.Equal(v, amaranthtide.VersionName("v2"))
}

// Guards against a router that takes the only listed version for that of all streams although it has just
// started, or another version has served a moment ago.
func TestOnlyVersion(t *testing.T) {
	is := is.New(t)
	h := continuation.NewHistory()
	only := func(at time.Duration) amaranthtide.VersionName {
		v, ok := h.Only(start.Add(at), service)
		if !ok {
			return "unknown"
		}
		return v
	}
	h.Observe(start, servers("v1"))
	is.Equal(only(continuation.MaxLife-time.Second), amaranthtide.VersionName("unknown"))
	is.Equal(only(continuation.MaxLife), amaranthtide.VersionName("v1"))
	at := time.Minute
	h.Observe(start.Add(at), servers("v1", "v2"))
	is.Equal(only(at), amaranthtide.VersionName("unknown"))
	h.Observe(start.Add(2*at), servers("v2"))
	is.Equal(only(2*at+continuation.MaxLife), amaranthtide.VersionName("unknown"))
	is.Equal(only(2*at+continuation.MaxLife+1), amaranthtide.VersionName("v2"))
	h.Observe(start.Add(3*at), nil)
	is.Equal(only(3*at+time.Second), amaranthtide.VersionName("v2"))
}

// stream is a stream of the model, and what its caller knows.
type stream struct {
	id      amaranthtide.RequestID
	version amaranthtide.VersionName
	began   time.Duration
}

// modelStore is the platform's store of the model.
type modelStore struct {
	era     amaranthtide.StoreEra
	base    amaranthtide.Option[amaranthtide.BaseVersion]
	records map[amaranthtide.RequestID]amaranthtide.VersionName
}

func (s modelStore) clone() modelStore {
	records := make(map[amaranthtide.RequestID]amaranthtide.VersionName)
	for id, v := range s.records {
		records[id] = v
	}
	return modelStore{s.era, s.base, records}
}

// modelRouter is one router: what it knows is lost when it is killed.
type modelRouter struct {
	history  *continuation.History
	base     amaranthtide.Option[amaranthtide.BaseVersion]
	era      amaranthtide.StoreEra
	eraSince time.Time
	written  map[amaranthtide.RequestID]amaranthtide.VersionName
}

func newModelRouter(now time.Time, listed []amaranthtide.Instance) *modelRouter {
	r := &modelRouter{history: continuation.NewHistory(), written: make(map[amaranthtide.RequestID]amaranthtide.VersionName)}
	r.history.Observe(now, listed)
	return r
}

// read reads the base version, and writes the records again that a restored store may lack.
func (r *modelRouter) read(now time.Time, s *modelStore) {
	if s.era > r.era || r.eraSince.IsZero() {
		r.era, r.eraSince = s.era, now
		for id, v := range r.written {
			s.records[id] = v
		}
	}
	r.base = s.base
}

// Guards against a take-up that is joined with a stream of another version: over replacements of versions, kills
// of single and of all routers, and restores of the store at any moments. A version may be unknown, but
// never a wrong one.
func TestVersionIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		listed := servers("v0")
		store := &modelStore{records: make(map[amaranthtide.RequestID]amaranthtide.VersionName)}
		copies := []modelStore{store.clone()}
		routers := []*modelRouter{newModelRouter(now, listed), newModelRouter(now, listed), newModelRouter(now, listed)}
		var streams []stream
		versions, known := 1, 0
		for step := range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0: // a server of the newest version comes
				if rapid.Bool().Draw(t, "newer") {
					versions++
				}
				listed = append(slices.Clone(listed), servers(amaranthtide.VersionName(fmt.Sprint("v", versions-1)))...)
			case 1: // servers leave
				if n := rapid.IntRange(1, len(listed)).Draw(t, "leave"); n < len(listed) {
					listed = slices.Clone(listed[n:])
				}
			case 2:
				routers[rapid.IntRange(0, 2).Draw(t, "killed")] = newModelRouter(now, listed)
			case 3:
				for i := range routers {
					routers[i] = newModelRouter(now, listed)
				}
			case 4: // the store comes back from an older copy
				era := store.era + 1
				*store = copies[max(0, len(copies)-1-rapid.IntRange(0, 10).Draw(t, "age"))].clone()
				store.era = era
			}
			for _, r := range routers {
				r.history.Observe(now, listed)
			}
			reader := routers[rapid.IntRange(0, 2).Draw(t, "reader")]
			reader.read(now, store)
			if b, ok := reader.history.NextBase(now, service, store.base, store.era, reader.eraSince); ok {
				store.base = amaranthtide.Some(b)
			}
			copies = append(copies, store.clone())
			writer := routers[rapid.IntRange(0, 2).Draw(t, "writer")]
			s := stream{amaranthtide.RequestID(fmt.Sprint(step)), listed[rapid.IntRange(0, len(listed)-1).Draw(t, "server")].Version, now.Sub(start)}
			if continuation.MustRecord(writer.base, s.version) {
				store.records[s.id], writer.written[s.id] = s.version, s.version
			}
			streams = append(streams, s)
			taken := streams[max(0, len(streams)-1-rapid.IntRange(0, 8).Draw(t, "taken"))]
			if now.Sub(start)-taken.began > continuation.MaxLife {
				continue
			}
			router := routers[rapid.IntRange(0, 2).Draw(t, "router")]
			v, ok := router.history.Only(now, service)
			if !ok {
				router.read(now, store)
				record := amaranthtide.None[amaranthtide.StreamRecord]()
				if recorded, found := store.records[taken.id]; found {
					record = amaranthtide.Some(amaranthtide.StreamRecord{Version: recorded})
				}
				v, ok = continuation.Version(record, store.era, store.base)
			}
			if ok && v != taken.version {
				t.Fatalf("step %d: got: version %s for a stream of %s, base %v, want: its version or none", step, v, taken.version, store.base)
			}
			if ok {
				known++
			}
		}
	})
}
