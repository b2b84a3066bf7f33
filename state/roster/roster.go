// Package roster holds the last report of each router in the same zone and the last
// digest of each other zone.
//
// Reports and digests may arrive late, repeatedly and out of order. A report is
// accepted only if it is newer than the stored one: of a later incarnation, or of the
// same incarnation with a higher sequence. A digest is accepted only if its sequence
// is higher than that of the sender's last digest. A digest carries no incarnation,
// and a restarted sender begins again with a low sequence; it is accepted once the
// stored digest is older than DigestStaleAfter.
//
// # Usage
//
//	r := roster.New()
//	if r.Observe(now, report) {
//		// The report was newer than the stored one.
//	}
//	for _, p := range r.Peers() {
//		age := now.Sub(p.Received)
//	}
//	d, ok := r.Digest("zone-b")
//
// Nothing expires by itself: readers check the receive time, and Forget removes
// entries that were received before a given time.
package roster

import (
	"maps"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// DigestStaleAfter is the age of a stored digest beyond which a digest with a lower
// sequence from the same sender is accepted. Senders send several digests in this
// time.
const DigestStaleAfter = 10 * time.Second

// Roster holds reports and digests with their receive times. It is safe for concurrent
// use. Create one with New. Slices inside of reports and digests are shared and must
// not be modified.
type Roster struct {
	peers   *shard.Map[amaranthtide.VMName, Peer]
	digests *shard.Map[amaranthtide.ZoneName, map[amaranthtide.VMName]Digest]
}

// Peer is the last report of a router and the time at which it was received.
type Peer struct {
	Report   amaranthtide.RouterReport
	Received time.Time
}

// Digest is the last digest from one sender and the time at which it was received.
type Digest struct {
	Digest   amaranthtide.ZoneDigest
	Received time.Time
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		peers:   shard.New[amaranthtide.VMName, Peer](),
		digests: shard.New[amaranthtide.ZoneName, map[amaranthtide.VMName]Digest](),
	}
}

// Observe stores a report and returns true, or returns false if it isn't newer
// than the stored one.
func (r *Roster) Observe(now time.Time, report amaranthtide.RouterReport) bool {
	accepted := false
	r.peers.Update(report.VM, func(p Peer, ok bool) (Peer, bool) {
		if ok && !newer(report, p.Report) {
			return p, true
		}
		accepted = true
		return Peer{report, now}, true
	})
	return accepted
}

func newer(a, b amaranthtide.RouterReport) bool {
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
// newer than the last one from the same sender.
func (r *Roster) ObserveDigest(now time.Time, digest amaranthtide.ZoneDigest) bool {
	accepted := false
	r.digests.Update(digest.Zone, func(senders map[amaranthtide.VMName]Digest, _ bool) (map[amaranthtide.VMName]Digest, bool) {
		last, ok := senders[digest.From]
		if ok && digest.Sequence <= last.Digest.Sequence && now.Sub(last.Received) <= DigestStaleAfter {
			return senders, true
		}
		if senders == nil {
			senders = make(map[amaranthtide.VMName]Digest)
		}
		accepted = true
		senders[digest.From] = Digest{digest, now}
		return senders, true
	})
	return accepted
}

// Digest returns the most recently received digest of the zone from any sender, and
// whether there is one.
func (r *Roster) Digest(zone amaranthtide.ZoneName) (Digest, bool) {
	var last Digest
	found := false
	r.digests.With(zone, func(senders map[amaranthtide.VMName]Digest, _ bool) {
		last, found = mostRecent(senders)
	})
	return last, found
}

// Digests returns the most recently received digest of each zone in no particular
// order.
func (r *Roster) Digests() []Digest {
	var digests []Digest
	r.digests.Range(func(_ amaranthtide.ZoneName, senders map[amaranthtide.VMName]Digest) bool {
		if d, ok := mostRecent(senders); ok {
			digests = append(digests, d)
		}
		return true
	})
	return digests
}

// mostRecent returns the most recently received digest. It breaks ties by sender name, so
// that the result doesn't depend on the iteration order of the map.
func mostRecent(senders map[amaranthtide.VMName]Digest) (Digest, bool) {
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

// Forget removes reports and digests that were received before the given time. After
// that, a delayed older report of a removed router is accepted again, so the time
// should be further in the past than the longest delay of a message.
func (r *Roster) Forget(before time.Time) {
	for _, p := range r.Peers() {
		r.peers.Update(p.Report.VM, func(p Peer, ok bool) (Peer, bool) {
			return p, ok && !p.Received.Before(before)
		})
	}
	for _, d := range r.Digests() {
		r.digests.Update(d.Digest.Zone, func(senders map[amaranthtide.VMName]Digest, _ bool) (map[amaranthtide.VMName]Digest, bool) {
			maps.DeleteFunc(senders, func(_ amaranthtide.VMName, d Digest) bool { return d.Received.Before(before) })
			return senders, len(senders) > 0
		})
	}
}
