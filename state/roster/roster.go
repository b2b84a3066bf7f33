// Package roster holds what the other routers last told about themselves: the last
// report of each router of the own zone and the last digest of each other zone.
//
// Reports and digests may arrive late, twice and out of order. A report counts only
// if it is newer than the stored one: of a later incarnation, or of the same
// incarnation with a higher sequence. A digest counts only if its sequence is
// higher than the last of the same sender. A digest carries no incarnation, so a
// sender that restarts begins again with a low sequence; it is believed once the
// stored digest is older than RestartAfter.
//
// # Usage
//
//	r := roster.New()
//	if r.Observe(now, report) {
//		// The report is news.
//	}
//	for _, p := range r.Peers() {
//		age := now.Sub(p.Received)
//	}
//	d, ok := r.Digest("zone-b")
//
// Nothing expires by itself: readers judge by the receive time, and Forget removes
// what is older than a given time.
package roster

import (
	"maps"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// RestartAfter is the age from which a stored digest no longer hides lower
// sequences of its sender. Contacts send digests several times in this time.
const RestartAfter = 10 * time.Second

// Roster is concurrent-safe. Use New. Slices inside of reports and digests are
// shared and must not be changed.
type Roster struct {
	peers *shard.Map[amaranthtide.VMName, Peer]
	zones *shard.Map[amaranthtide.ZoneName, map[amaranthtide.VMName]Digest]
}

// Peer is the last report of a router and when it was received.
type Peer struct {
	Report   amaranthtide.Report
	Received time.Time
}

// Digest is a digest and when it was received.
type Digest struct {
	Digest   amaranthtide.Digest
	Received time.Time
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		peers: shard.New[amaranthtide.VMName, Peer](),
		zones: shard.New[amaranthtide.ZoneName, map[amaranthtide.VMName]Digest](),
	}
}

// Observe stores a report and returns true, or returns false if it isn't newer
// than the stored one.
func (r *Roster) Observe(now time.Time, report amaranthtide.Report) bool {
	news := false
	r.peers.Update(report.VM, func(p Peer, ok bool) (Peer, bool) {
		if ok && !newer(report, p.Report) {
			return p, true
		}
		news = true
		return Peer{report, now}, true
	})
	return news
}

func newer(a, b amaranthtide.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Peer returns the last report of a router and whether there is one.
func (r *Roster) Peer(vm amaranthtide.VMName) (Peer, bool) { return r.peers.Get(vm) }

// Peers returns the last reports of all routers in no particular order.
func (r *Roster) Peers() []Peer {
	var peers []Peer
	r.peers.Range(func(_ amaranthtide.VMName, p Peer) bool {
		peers = append(peers, p)
		return true
	})
	return peers
}

// ObserveDigest stores a digest and returns true, or returns false if it isn't
// newer than the last of the same sender.
func (r *Roster) ObserveDigest(now time.Time, digest amaranthtide.Digest) bool {
	news := false
	r.zones.Update(digest.Zone, func(senders map[amaranthtide.VMName]Digest, _ bool) (map[amaranthtide.VMName]Digest, bool) {
		last, ok := senders[digest.From]
		if ok && digest.Sequence <= last.Digest.Sequence && now.Sub(last.Received) <= RestartAfter {
			return senders, true
		}
		if senders == nil {
			senders = make(map[amaranthtide.VMName]Digest)
		}
		news = true
		senders[digest.From] = Digest{digest, now}
		return senders, true
	})
	return news
}

// Digest returns the digest of the zone that was received last, from whichever
// sender, and whether there is one.
func (r *Roster) Digest(zone amaranthtide.ZoneName) (Digest, bool) {
	var last Digest
	found := false
	r.zones.With(zone, func(senders map[amaranthtide.VMName]Digest, _ bool) {
		last, found = latest(senders)
	})
	return last, found
}

// Digests returns the last digest of each zone in no particular order.
func (r *Roster) Digests() []Digest {
	var digests []Digest
	r.zones.Range(func(_ amaranthtide.ZoneName, senders map[amaranthtide.VMName]Digest) bool {
		if d, ok := latest(senders); ok {
			digests = append(digests, d)
		}
		return true
	})
	return digests
}

// latest breaks ties of the receive time by sender, so that the result doesn't
// depend on the order of a map.
func latest(senders map[amaranthtide.VMName]Digest) (Digest, bool) {
	var last Digest
	found := false
	for from, d := range senders {
		if !found || d.Received.After(last.Received) ||
			d.Received.Equal(last.Received) && from < last.Digest.From {
			last, found = d, true
		}
	}
	return last, found
}

// Forget removes reports and digests that were received before the given time. An
// older report of a forgotten router counts as new again, so the time should lie
// well before the longest delay of a message.
func (r *Roster) Forget(before time.Time) {
	for _, p := range r.Peers() {
		r.peers.Update(p.Report.VM, func(p Peer, ok bool) (Peer, bool) {
			return p, ok && !p.Received.Before(before)
		})
	}
	for _, d := range r.Digests() {
		r.zones.Update(d.Digest.Zone, func(senders map[amaranthtide.VMName]Digest, _ bool) (map[amaranthtide.VMName]Digest, bool) {
			maps.DeleteFunc(senders, func(_ amaranthtide.VMName, d Digest) bool { return d.Received.Before(before) })
			return senders, len(senders) > 0
		})
	}
}
