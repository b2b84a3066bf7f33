// Package registration decides which listed backend servers may get work, from the
// events of the platform's list and from how well the list can be read.
//
// A server whose entry is removed is gone at once. While the list was away, and
// shortly after, a removal may be nothing but a lapsed entry: the server then stays
// usable until LapseGrace after the list's return, and goes if its entry has not
// come back by then.
//
// # Usage
//
//	r := registration.New()
//	r.Put(now, instance)
//	r.Remove(now, "engine-1")
//	r.Lost(now)     // a call to the list failed
//	r.Returned(now) // a call succeeded
//	usable := r.Usable(now)
//
// A Registration is not concurrent-safe.
package registration

import (
	"slices"
	"strings"
	"time"

	"amaranthtide"
)

const (
	// LapseGrace is how long after the return of the list an entry may take to come
	// back. Servers write again within two heartbeats.
	LapseGrace = 2 * time.Second
	// unsettled is how long after a failed call a removal counts as one that the
	// outage caused, since the list is read with some delay.
	unsettled = 3 * time.Second
)

// Registration holds the servers of the list. Use New.
type Registration struct {
	servers map[amaranthtide.BackendServerName]entry
	away    bool
	// lost and returned are when the list was last lost and last came back.
	lost, returned time.Time
}

type entry struct {
	amaranthtide.Instance
	lapsed bool
	// lapsedAt is when the removal was seen.
	lapsedAt time.Time
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
	r.servers[in.Name] = entry{Instance: in}
	return !ok || old.lapsed || old.Instance != in
}

// Remove takes the removal of an entry. It reports whether the server is gone.
func (r *Registration) Remove(now time.Time, name amaranthtide.BackendServerName) bool {
	e, ok := r.servers[name]
	if !ok {
		return false
	}
	if !e.Leaving && r.unsettled(now) {
		if !e.lapsed {
			e.lapsed, e.lapsedAt = true, now
			r.servers[name] = e
		}
		return false
	}
	delete(r.servers, name)
	return true
}

// Replace takes the whole list. Servers that it lacks are removed.
func (r *Registration) Replace(now time.Time, all []amaranthtide.Instance) {
	listed := amaranthtide.NewSet[amaranthtide.BackendServerName]()
	for _, in := range all {
		listed.Add(in.Name)
		r.Put(now, in)
	}
	for name := range r.servers {
		if !listed.Has(name) {
			r.Remove(now, name)
		}
	}
}

// Lost notes that the list can't be read.
func (r *Registration) Lost(now time.Time) { r.away, r.lost = true, now }

// Returned notes that the list was read.
func (r *Registration) Returned(now time.Time) {
	if r.away {
		r.away, r.returned = false, now
	}
}

func (r *Registration) unsettled(now time.Time) bool {
	return r.away || (!r.lost.IsZero() && now.Sub(r.lost) < unsettled)
}

// Expire removes the lapsed servers whose grace has passed and returns their names.
func (r *Registration) Expire(now time.Time) []amaranthtide.BackendServerName {
	var gone []amaranthtide.BackendServerName
	for name, e := range r.servers {
		if r.expired(now, e) {
			gone = append(gone, name)
			delete(r.servers, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (r *Registration) expired(now time.Time, e entry) bool {
	if !e.lapsed || r.away {
		return false
	}
	from := r.returned
	if e.lapsedAt.After(from) {
		from = e.lapsedAt
	}
	return now.Sub(from) >= LapseGrace
}

// Usable returns the servers that may get work, ordered by name.
func (r *Registration) Usable(now time.Time) []amaranthtide.Instance {
	out := make([]amaranthtide.Instance, 0, len(r.servers))
	for _, e := range r.servers {
		if !e.Leaving && !r.expired(now, e) {
			out = append(out, e.Instance)
		}
	}
	slices.SortFunc(out, func(a, b amaranthtide.Instance) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}
