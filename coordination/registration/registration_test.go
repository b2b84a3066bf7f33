package registration_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/registration"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func server(name amaranthtide.BackendServerName) amaranthtide.Instance {
	return amaranthtide.Instance{Name: name, Service: "s", Zone: "a", Started: start}
}

// usable returns the listed servers that may get work.
func usable(r *registration.Registration, now time.Time) []amaranthtide.Instance {
	return slices.DeleteFunc(r.Listed(now), func(in amaranthtide.Instance) bool { return in.Leaving })
}

func names(in []amaranthtide.Instance) []amaranthtide.BackendServerName {
	out := []amaranthtide.BackendServerName{}
	for _, i := range in {
		out = append(out, i.Name)
	}
	return out
}

// Guards against requests to a server whose entry was removed while the list was
// readable.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	r.Put(at(0), server("e1"))
	is.True(r.Remove(at(time.Second), "e1"))
	is.Equal(names(usable(r, at(time.Second))), []amaranthtide.BackendServerName{})
}

// Guards against dropping all servers when their entries lapse during an outage of the
// list, and against keeping servers whose entries do not come back.
func TestLapsedEntriesStayForGracePeriod(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	r.Put(at(0), server("e1"))
	r.Put(at(0), server("e2"))
	r.MarkUnreadable()
	r.MarkReadable(at(10 * time.Second))
	is.True(!r.Remove(at(10*time.Second), "e1"))
	is.True(!r.Remove(at(10*time.Second), "e2"))
	is.Equal(len(usable(r, at(11*time.Second))), 2)
	r.Put(at(11*time.Second), server("e2"))

	end := at(10*time.Second + registration.LapseGrace)
	is.Equal(names(usable(r, end)), []amaranthtide.BackendServerName{"e2"})
	is.Equal(r.Expire(end), []amaranthtide.BackendServerName{"e1"})
	is.Equal(len(r.Expire(end)), 0)
}

// Guards against delaying a removal after the grace period has ended. Such a server
// has left and must not get new work.
func TestRemovalAfterGraceTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	r.Put(at(0), server("e1"))
	r.MarkUnreadable()
	r.MarkReadable(at(10 * time.Second))
	is.True(r.Remove(at(10*time.Second+registration.LapseGrace), "e1"))
}

// Guards against a grace period that restarts with each successful read of the list.
func TestGraceStartsOnce(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	r.Put(at(0), server("e1"))
	r.MarkUnreadable()
	r.MarkReadable(at(10 * time.Second))
	r.MarkReadable(at(11 * time.Second))
	is.True(r.Remove(at(10*time.Second+registration.LapseGrace), "e1"))
}

// Guards against new work for a server that is marked as leaving, and against an entry
// from before a restart that replaces the newer one of the same name.
func TestLeavingAndRestart(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	is.True(r.Put(at(0), server("e1")))
	is.True(!r.Put(at(0), server("e1")))
	leaving := server("e1")
	leaving.Leaving = true
	is.True(r.Put(at(0), leaving))
	is.Equal(len(usable(r, at(0))), 0)

	restarted := server("e1")
	restarted.Started = at(time.Minute)
	is.True(r.Put(at(time.Minute), restarted))
	is.True(!r.Put(at(time.Minute), leaving))
	is.Equal(len(usable(r, at(time.Minute))), 1)
}

// Guards against full load on the servers of a zone that is back in service. They may
// have turned cold, and their first entries may still say that they are warm.
func TestServersOfAReturnedZoneCountAsCold(t *testing.T) {
	is := is.New(t)
	r := registration.New()
	r.Put(at(0), server("e1"))
	otherZone := server("e2")
	otherZone.Zone = "b"
	r.Put(at(0), otherZone)
	r.ZoneReturned(at(time.Minute), "a")
	r.Put(at(time.Minute+time.Second), server("e1"))
	soon := at(time.Minute + 2*time.Second)
	list := r.Listed(soon)
	is.True(soon.Before(list[0].ColdUntil))
	is.True(!soon.Before(list[1].ColdUntil))

	later := at(time.Minute + 4*time.Second)
	r.Put(later, server("e1"))
	is.True(!later.Before(r.Listed(later)[0].ColdUntil))
}
