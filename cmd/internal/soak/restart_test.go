package soak

import (
	"encoding/json"
	"testing"
	"time"

	"amaranthtide/platform/standin"
)

// Guards against an entry with the start of the server before, which routers ignore: the soak then expects them
// to know that a server leaves although its entry didn't count.
func TestEntriesKeepLastStart(t *testing.T) {
	s := newSoak(Options{Seed: 1})
	defer s.store.Close()
	b, err := s.newBackend(serviceApp, zones[0], firstVersion, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	restarted := s.began.Add(time.Minute)
	b.restart(restarted)
	s.register(b, standin.StateDraining)
	var entry map[string]any
	if err := json.Unmarshal(s.store.Value(standin.TableServers, b.name), &entry); err != nil {
		t.Fatal(err)
	}
	if got := entry[standin.FieldStarted]; got != float64(restarted.UnixMilli()) {
		t.Errorf("got: start %v, want: %d", got, restarted.UnixMilli())
	}
}
