// Package registration decides which listed backend servers may get work, from the
// events of the platform's list and from how well the list can be read.
//
// A server whose entry is removed is gone at once. While the list was away, and
// until LapseGrace after its return, a removal may be nothing but a lapsed entry: the
// server then stays usable and goes at the end of the grace if its entry has not come
// back by then.
//
// # Usage
//
//	r := registration.New()
//	r.Put(now, instance)
//	r.Remove(now, "engine-1")
//	r.Lost()        // no router can read the list
//	r.Returned(now) // this or another router can
//	servers := r.Listed(now)
//
// A Registration is not concurrent-safe.
package registration

import (
	"slices"
	"strings"
	"time"

	"amaranthtide"
)

// LapseGrace is how long after the return of the list an entry may take to come
// back. Servers write again within two heartbeats.
const LapseGrace = 2 * time.Second

// presumedColdDuration covers two heartbeats of a server.
const presumedColdDuration = 2500 * time.Millisecond

// Registration holds the servers of the list. Use New.
type Registration struct {
	servers    map[amaranthtide.BackendServerName]entry
	unreadable bool
	// readableSince is when the list last came back.
	readableSince time.Time
}

type entry struct {
	amaranthtide.Instance
	// lapsed marks an entry that was removed while the list was unsettled.
	lapsed bool
	// presumedColdUntil is until when the server counts as cold whatever its entry says.
	presumedColdUntil time.Time
}

// New returns an empty Registration.
func New() *Registration {
	return &Registration{servers: make(map[amaranthtide.BackendServerName]entry)}
}

// Put takes an entry of the list. It reports whether anything changed. An entry of
// an earlier start than the one known is ignored.
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

// Remove takes the removal of an entry. It reports whether the server is gone.
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

// ZoneReturned notes that a zone is back in service. Its servers may have turned cold
// meanwhile, which their entries tell only with the next heartbeats: until then they
// count as cold.
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

// Lost notes that no router can read the list.
func (r *Registration) Lost() { r.unreadable = true }

// Returned notes that the list was read.
func (r *Registration) Returned(now time.Time) {
	if r.unreadable {
		r.unreadable, r.readableSince = false, now
	}
}

func (r *Registration) mayHaveLapsed(now time.Time) bool {
	return r.unreadable || (!r.readableSince.IsZero() && now.Sub(r.readableSince) < LapseGrace)
}

// Expire removes the lapsed servers whose grace has passed and returns their names.
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

// Listed returns the servers of the list, ordered by name. Those that are leaving may
// get no work.
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
