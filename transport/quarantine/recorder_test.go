package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	decision "amaranthtide/coordination/quarantine"
	"amaranthtide/transport/crashes"
	"amaranthtide/transport/quarantine"
)

// store holds the rows by slot. It loses the responses of writes, or hangs.
type store struct {
	mu                    sync.Mutex
	rows                  map[int]amaranthtide.QuarantineRow
	version               amaranthtide.StoreVersion
	reads, writes         int
	losesResponses, hangs bool
}

func (s *store) ReadQuarantines(ctx context.Context) ([]amaranthtide.QuarantineRow, error) {
	s.mu.Lock()
	s.reads++
	hangs := s.hangs
	var rows []amaranthtide.QuarantineRow
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return rows, nil
}

func (s *store) WriteQuarantines(_ context.Context, w amaranthtide.QuarantineWrite) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.version = ver(s.version.Number() + 1)
	for _, row := range w.Puts {
		if s.rows[row.Slot].Version != row.Version {
			return amaranthtide.Errorf(amaranthtide.KindConflict, "injected conflict")
		}
		row.Version = s.version
		s.rows[row.Slot] = row
	}
	if s.losesResponses {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "injected loss")
	}
	return nil
}

// counts returns the numbers of reads, writes and rows.
func (s *store) counts() [3]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return [3]int{s.reads, s.writes, len(s.rows)}
}

// start returns the ledgers of the only router, which writes.
func start(t *testing.T, s *store) *crashes.Tracker {
	t.Helper()
	var r *quarantine.Recorder
	tracker := crashes.New(crashes.Options{VM: "vm-1", OnChanged: func(now time.Time, service amaranthtide.ServiceName, released []amaranthtide.PromptPart) {
		r.Changed(now, service, released)
	}})
	r = quarantine.New(quarantine.Options{VM: "vm-1", Store: s, Ledgers: tracker})
	r.Start()
	t.Cleanup(r.Close)
	r.SetRouters([]amaranthtide.VMName{"vm-1"})
	return tracker
}

func crash(tracker *crashes.Tracker) decision.Subject {
	s := decision.SubjectOf(&amaranthtide.Request{Service: "pool", PromptParts: []amaranthtide.PromptPart{"base", "deadly"}})
	for i := range 3 {
		now := time.Now()
		tracker.Crashed(now, now, s, amaranthtide.BackendServerName(fmt.Sprint("e", i)), true)
	}
	return s
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("got: not within 20 s, want: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a write that is repeated because its response was lost, although its row is there.
func TestLostResponse(t *testing.T) {
	s := &store{rows: make(map[int]amaranthtide.QuarantineRow), losesResponses: true}
	crash(start(t, s))
	eventually(t, "a second round", func() bool { return s.counts()[0] == 2 })
	time.Sleep(3 * time.Second) // a third round would have begun
	is.New(t).Equal(s.counts(), [3]int{2, 1, 1})
}

// Guards against requests, and a shutdown, that wait for a store which doesn't answer.
func TestHangingStoreDelaysNothing(t *testing.T) {
	is := is.New(t)
	s := &store{rows: make(map[int]amaranthtide.QuarantineRow), hangs: true}
	tracker := start(t, s)
	subject := crash(tracker)
	eventually(t, "a call", func() bool { return s.counts()[0] == 1 })
	began := time.Now()
	for range 1000 {
		is.True(tracker.Check(time.Now(), subject) != nil)
		tracker.Answered(time.Now(), time.Now(), decision.Subject{Service: "pool", Suspects: []amaranthtide.PromptPart{"base", "sound"}})
	}
	is.True(time.Since(began) < time.Second)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
