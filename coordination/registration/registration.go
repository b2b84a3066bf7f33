// Package registration decides which backend servers on the platform's list may get
// work, from the changes of the list and from whether the list can be read.
//
// A server is normally dropped as soon as its entry is removed. While the list is
// unreadable, and for LapseGrace after it became readable again, a removal may only
// mean that the entry lapsed. The server then stays usable, and is dropped at the end
// of the grace period if its entry has not come back.
//
// # Usage
//
//	r := registration.New()
//	r.Put(now, instance)
//	r.Remove(now, "engine-1")
//	r.MarkUnreadable()  // calls for the list fail
//	r.MarkReadable(now) // this or another router can read it again
//	servers := r.Listed(now)
//
// A Registration is not safe for concurrent use.
package registration

import (
	"slices"
	"strings"
	"time"

	"amaranthtide"
)

// LapseGrace is how long a lapsed entry may take to come back after the list became
// readable again. Servers write their entries again within two heartbeats.
const LapseGrace = 2 * time.Second

// presumedColdDuration is how long the servers of a zone that returned count as cold.
// It covers two heartbeats of a server.
const presumedColdDuration = 2500 * time.Millisecond

// Registration holds the servers on the platform's list. Create one with New.
type Registration struct {
	servers    map[amaranthtide.BackendServerName]entry
	unreadable bool
	// readableSince is when the list last became readable again.
	readableSince time.Time
}

type entry struct {
	amaranthtide.Instance
	// lapsed marks an entry that was removed while mayHaveLapsed was true.
	lapsed bool
	// presumedColdUntil is the time until which the server counts as cold, regardless
	// of its entry.
	presumedColdUntil time.Time
}

// New returns an empty Registration.
func New() *Registration {
	return &Registration{servers: make(map[amaranthtide.BackendServerName]entry)}
}

// Put adds or updates an entry of the list. It reports whether anything changed. An
// entry from an earlier start of the server than the known one is ignored.
func (r *Registration) Put(_ time.Time, in amaranthtide.Instance) bool {
	old, ok := r.servers[in.Name]
	if ok && in.Started.Before(old.Started) {
		return false
	}
	if old.presumedColdUntil.After(in.ColdUntil) {
		in.ColdUntil = old.presumedColdUntil
	}
	r.servers[in.Name] = entry{Instance: in, presumedColdUntil: old.presumedColdUntil}
	return !ok || old.lapsed || old.Instance != in
}

// Remove removes an entry of the list. It reports whether the server was dropped.
func (r *Registration) Remove(now time.Time, name amaranthtide.BackendServerName) bool {
	e, ok := r.servers[name]
	if !ok {
		return false
	}
	if !e.Leaving && r.mayHaveLapsed(now) {
		e.lapsed = true
		r.servers[name] = e
		return false
	}
	delete(r.servers, name)
	return true
}

// ZoneReturned records that a zone is back in service. Its servers may have turned cold
// in the meantime, which their entries show only after the next heartbeats. Until then
// they count as cold.
func (r *Registration) ZoneReturned(now time.Time, zone amaranthtide.ZoneName) {
	until := now.Add(presumedColdDuration)
	for name, e := range r.servers {
		if e.Zone != zone {
			continue
		}
		e.presumedColdUntil = until
		if e.ColdUntil.Before(until) {
			e.ColdUntil = until
		}
		r.servers[name] = e
	}
}

// MarkUnreadable records that calls for the list fail, and that no other router has shown
// that it can read it.
func (r *Registration) MarkUnreadable() { r.unreadable = true }

// MarkReadable records that this or another router can read the list.
func (r *Registration) MarkReadable(now time.Time) {
	if r.unreadable {
		r.unreadable, r.readableSince = false, now
	}
}

func (r *Registration) mayHaveLapsed(now time.Time) bool {
	return r.unreadable || (!r.readableSince.IsZero() && now.Sub(r.readableSince) < LapseGrace)
}

// Expire drops the lapsed servers whose grace period has ended and returns their names.
func (r *Registration) Expire(now time.Time) []amaranthtide.BackendServerName {
	var gone []amaranthtide.BackendServerName
	for name, e := range r.servers {
		if r.isExpired(now, e) {
			gone = append(gone, name)
			delete(r.servers, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (r *Registration) isExpired(now time.Time, e entry) bool {
	if !e.lapsed || r.unreadable {
		return false
	}
	return now.Sub(r.readableSince) >= LapseGrace
}

// Listed returns the servers, sorted by name. Servers that are leaving must not get
// work.
func (r *Registration) Listed(now time.Time) []amaranthtide.Instance {
	out := make([]amaranthtide.Instance, 0, len(r.servers))
	for _, e := range r.servers {
		if !r.isExpired(now, e) {
			out = append(out, e.Instance)
		}
	}
	slices.SortFunc(out, func(a, b amaranthtide.Instance) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}
