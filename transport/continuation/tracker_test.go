package continuation_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	decision "amaranthtide/coordination/continuation"
	"amaranthtide/transport/continuation"
)

const service = amaranthtide.ServiceName("llm")

// fakeStore is an amaranthtide.StreamStore in memory.
type fakeStore struct {
	mu      sync.Mutex
	down    bool
	era     amaranthtide.StoreEra
	records map[amaranthtide.RequestID]amaranthtide.StreamRecord
	bases   []amaranthtide.BaseVersion
	writes  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: make(map[amaranthtide.RequestID]amaranthtide.StreamRecord)}
}

// call takes the time of a call and fails it if the store is down.
func (s *fakeStore) call() error {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return amaranthtide.Errorf(amaranthtide.KindPlatformDown, "injected failure")
	}
	return nil
}

func (s *fakeStore) RecordStreams(_ context.Context, records []amaranthtide.StreamRecord) error {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if err != nil {
		return err
	}
	for _, r := range records {
		s.records[r.Stream] = r
	}
	return nil
}

func (s *fakeStore) RemoveStreams(_ context.Context, streams []amaranthtide.RequestID) error {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range streams {
		delete(s.records, id)
	}
	return err
}

func (s *fakeStore) FindStream(_ context.Context, id amaranthtide.RequestID) (amaranthtide.Option[amaranthtide.StreamRecord], amaranthtide.StoreEra, error) {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok {
		return amaranthtide.Some(r), s.era, err
	}
	return amaranthtide.None[amaranthtide.StreamRecord](), s.era, err
}

func (s *fakeStore) HasStreams(_ context.Context, after time.Time) (bool, amaranthtide.StoreEra, error) {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.ExpiresAt.After(after) {
			return true, s.era, err
		}
	}
	return false, s.era, err
}

func (s *fakeStore) SweepStreams(context.Context, int, time.Time) (int, error) { return 0, s.call() }

func (s *fakeStore) BaseVersions(context.Context) ([]amaranthtide.BaseVersion, amaranthtide.StoreEra, error) {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bases, s.era, err
}

func (s *fakeStore) SetBaseVersion(_ context.Context, b amaranthtide.BaseVersion) error {
	err := s.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		b.Row = amaranthtide.NewStoreVersion(s.era, uint64(len(s.bases)+1))
		s.bases = []amaranthtide.BaseVersion{b}
	}
	return err
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) count() (records, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.writes
}

func server(v amaranthtide.VersionName) amaranthtide.Instance {
	return amaranthtide.Instance{Name: amaranthtide.BackendServerName("e-" + v), Service: service, Version: v}
}

// startTracker starts the tracker of a router that lists servers of the given versions.
func startTracker(t *testing.T, s *fakeStore, versions ...amaranthtide.VersionName) *continuation.Tracker {
	t.Helper()
	tracker := continuation.New(continuation.Options{Store: s, IsKeeper: func(time.Time) bool { return true }})
	list(tracker, versions...)
	tracker.Start()
	return tracker
}

func list(tracker *continuation.Tracker, versions ...amaranthtide.VersionName) {
	var listed []amaranthtide.Instance
	for _, v := range versions {
		listed = append(listed, server(v))
	}
	tracker.ServersListed(time.Now(), listed)
}

func request(id amaranthtide.RequestID) *amaranthtide.Request {
	return &amaranthtide.Request{ID: id, Service: service, Arrived: time.Now()}
}

func resuming(id amaranthtide.RequestID) *amaranthtide.Request {
	return &amaranthtide.Request{ID: id + "-again", Service: service, ResumesAfter: "3", Resumes: id}
}

// Guards against a record that is written while one version serves, and against a first event that is passed
// on before the record of its stream: the version would be lost with the router.
func TestRecordComesBeforeFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		tracker := startTracker(t, s, "v1")
		defer tracker.Close()
		time.Sleep(5 * time.Second)
		before := time.Now()
		tracker.Began(t.Context(), before, request("a"), server("v1"))
		is.Equal(time.Since(before), time.Duration(0))
		list(tracker, "v1", "v2")
		for i := range 40 { // at once, with few writes
			go tracker.Began(t.Context(), time.Now(), request(amaranthtide.RequestID(fmt.Sprint("b", i))), server("v2"))
		}
		time.Sleep(100 * time.Millisecond)
		records, writes := s.count()
		is.Equal(records, 40)
		is.True(writes <= 3)
		tracker.Began(t.Context(), time.Now(), request("c"), server("v2"))
		records, _ = s.count()
		is.Equal(records, 41)

		started := startTracker(t, s, "v2") // after a restart of all routers
		defer started.Close()
		for id, want := range map[amaranthtide.RequestID]amaranthtide.VersionName{"a": "v1", "b7": "v2", "c": "v2"} {
			v, err := started.VersionOf(t.Context(), time.Now(), resuming(id))
			is.NoErr(err)
			is.Equal(v, want)
		}
		time.Sleep(decision.MaxLife + time.Minute)
		records, _ = s.count()
		is.Equal(records, 0) // expired
	})
}

// Guards against streams that wait without end for a store that is away, and against records that are never
// written once it is back.
func TestStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		tracker := startTracker(t, s, "v1", "v2")
		defer tracker.Close()
		time.Sleep(2 * time.Second)
		s.setDown(true)
		for i := range 5 {
			began := time.Now()
			tracker.Began(t.Context(), began, request(amaranthtide.RequestID(fmt.Sprint(i))), server("v2"))
			is.True(time.Since(began) <= 300*time.Millisecond)
		}
		_, err := tracker.VersionOf(t.Context(), time.Now(), resuming("other"))
		is.Equal(amaranthtide.KindOf(err).Reply().Ran, amaranthtide.RanNo)
		is.True(amaranthtide.RetryAfterOf(err) > 0)
		v, err := tracker.VersionOf(t.Context(), time.Now(), resuming("3")) // began here
		is.NoErr(err)
		is.Equal(v, amaranthtide.VersionName("v2"))
		s.setDown(false)
		time.Sleep(time.Second)
		records, _ := s.count()
		is.Equal(records, 5)
	})
}

// Guards against a stream whose record is lost with a restore of the store and that is then taken for one of the
// base version.
func TestRestoreLosesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		tracker := startTracker(t, s, "v1")
		defer tracker.Close()
		time.Sleep(2 * time.Second)
		list(tracker, "v1", "v2")
		tracker.Began(t.Context(), time.Now(), request("a"), server("v2"))
		s.mu.Lock()
		s.era++
		clear(s.records)
		s.mu.Unlock()
		started := startTracker(t, s, "v1", "v2")
		defer started.Close()
		_, err := started.VersionOf(t.Context(), time.Now(), resuming("a"))
		is.True(err != nil) // not known
		tracker.StoreRestored()
		time.Sleep(100 * time.Millisecond)
		v, err := started.VersionOf(t.Context(), time.Now(), resuming("a"))
		is.NoErr(err)
		is.Equal(v, amaranthtide.VersionName("v2"))
		time.Sleep(decision.MaxLife + 3*time.Second)
		v, err = started.VersionOf(t.Context(), time.Now(), resuming("from before the versions"))
		is.NoErr(err)
		is.Equal(v, amaranthtide.VersionName("v1"))
	})
}

// Guards against a service whose base version stays one that has left, so that every stream is recorded for good.
func TestBaseVersionFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		tracker := startTracker(t, s, "v1")
		defer tracker.Close()
		time.Sleep(2 * time.Second)
		list(tracker, "v1", "v2")
		time.Sleep(time.Minute)
		list(tracker, "v2")
		time.Sleep(decision.MaxLife + 5*time.Second)
		_, before := s.count()
		tracker.Began(t.Context(), time.Now(), request("a"), server("v2"))
		_, writes := s.count()
		is.Equal(writes, before)
	})
}

// Guards against take-ups whose callers don't name the stream and that are refused after a restart of all routers
// although only one version has served, and against one that is joined although another has.
func TestTakeUpWithoutName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		tracker := startTracker(t, s, "v1")
		defer tracker.Close()
		time.Sleep(2 * time.Second)
		versionOf := func(versions ...amaranthtide.VersionName) amaranthtide.VersionName {
			started := startTracker(t, s, versions...)
			defer started.Close()
			v, err := started.VersionOf(t.Context(), time.Now(), resuming(""))
			if err != nil {
				return "unknown"
			}
			return v
		}
		is.Equal(versionOf("v1"), amaranthtide.VersionName("v1"))
		is.Equal(versionOf("v1", "v2"), amaranthtide.VersionName("unknown"))
		is.Equal(versionOf("v2"), amaranthtide.VersionName("unknown"))
		list(tracker, "v1", "v2")
		tracker.Began(t.Context(), time.Now(), request("a"), server("v2"))
		is.Equal(versionOf("v1"), amaranthtide.VersionName("unknown"))
		time.Sleep(decision.MaxLife)
		is.Equal(versionOf("v1"), amaranthtide.VersionName("v1"))
	})
}
