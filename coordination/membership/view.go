// Package membership decides which routers of a zone are live, which of them owns a
// backend server, and whether that ownership is settled.
//
// The view is the set of live routers of the zone: those with a fresh report that
// are in service in the table and not leaving. The owner of a server is the first
// router of the view in rendezvous order. A router is suspected when its last
// report is older than its suspicion time, max(1 s, 5 announced intervals).
//
// A router is the settled owner of a server if it was the owner in every view since
// the last view that was agreed upon. A view is agreed upon when every fresh peer,
// including peers that are out of service, reports the hash of the view and a table
// revision no older than the rows that the view was computed from, or when the view
// has not changed for the grace period. Without the check of the revision, a delayed
// report from before two opposite table changes would count as agreement. A router
// without fresh peers waits for the grace period. An unsettled owner has to admit
// fewer requests (see the admission package).
//
// # Pauses
//
// A router that did not call Tick for more than half its suspicion time has been
// paused. From then on (this is checked at every use) none of its ownerships is
// settled. After its next Tick it stays unsettled for the resume delay, which is half
// the longest suspicion time that it knows, and until the view is agreed upon again.
// If the pause was longer than the suspicion time, the router also owns nothing until
// each peer that was live before has reported again, or until the suspicion time has
// passed since it resumed. A start is treated as the end of such a pause.
//
// # Guarantee and assumptions
//
// At no time are two running routers both settled owners of one server, provided that
//
//   - the clocks that supply now never stop and run at the same rate; they may show
//     different times. On some hypervisors, Go's monotonic clock stands still while a
//     VM is suspended; such a pause is not detected;
//   - for each report, it or a later one of the same router is processed by every
//     running peer within half of the shorter suspicion time of the two, counted from
//     when it was sent or when the peer resumed from a pause; a stall of the peer that
//     is too short to count as a pause is part of that time;
//   - a change of the rows of VMs and of the zone reaches every running router of
//     the zone within half of the grace period;
//   - each Tick sends a report, and a report announces the true time to the next one.
//
// Proof sketch: let X and Y be settled owners of one server, X before Y in the
// server's order. Then X is not in Y's view. Both routers have been running without a
// pause for the resume delay. By the second assumption, Y has processed a report of X
// in that time and has not suspected X since. So Y excludes X because of the table,
// and one of the two routers has an outdated table. If it is X, then Y is not settled
// before X reports the newer revision or the grace period ends. The opposite case, in
// which X is back in service and Y doesn't know it yet, is analogous.
//
// Two routers may both be settled owners of one server in these cases:
//
//   - during a partition inside the zone that lasts longer than the suspicion time,
//     including one that cuts only one direction;
//   - when reports are delayed or lost beyond the second assumption;
//   - when a table change reaches some routers of the zone only after half the grace
//     period;
//   - when a router is paused between a check and the action that depends on it;
//   - when two processes run under one VM name.
//
// In these cases the damage is limited by the server's own load report, which the
// owner adds to its count.
//
// Once messages are delivered again, all routers agree on the view after at most the
// suspicion time, and every owner is settled at most the grace period later.
//
// # Usage
//
//	v := membership.New(now, membership.Config{Self: "vm-1", Zone: "a"}, interval)
//	interval = membership.Interval(len(v.Peers(now)), reportBytes, budget)
//	v.Tick(now, interval) // and send a report with v.Hash(now) to v.Peers(now)
//	v.Observe(now, report)
//	if owner, ok := v.Owner(now, group); ok && owner == "vm-1" {
//		settled := v.Settled(now, group)
//	}
package membership

import (
	"maps"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

const (
	// DefaultGrace is the grace period, after which an unchanged view counts as agreed
	// upon.
	DefaultGrace = 2 * time.Second
	// DigestMaxAge is the age beyond which a digest is ignored and its zone counts as
	// unreachable.
	DigestMaxAge = 3 * time.Second

	minSuspicion       = time.Second
	suspicionIntervals = 5
	minInterval        = 100 * time.Millisecond
	// peerRetention is how long a router is remembered after its last report if it is
	// not listed, so that its delayed reports are recognized as old.
	peerRetention = 10 * time.Minute
)

// Config identifies the router of a View.
type Config struct {
	Self amaranthtide.VMName
	Zone amaranthtide.ZoneName
	// Grace is the grace period; 0 means DefaultGrace.
	Grace time.Duration
	// Seeds are the VMs, of any zone, that the settings name.
	Seeds []amaranthtide.ListedVM
}

// View is one router's view of the fleet. It is not safe for concurrent use. Callers may
// modify the slices that its methods return.
type View struct {
	cfg       Config
	peers     map[amaranthtide.VMName]*peer
	listedVMs []amaranthtide.ListedVM
	zones     map[amaranthtide.ZoneName]remoteZone

	outOfService     amaranthtide.Set[amaranthtide.VMName]
	zoneOutOfService bool
	leaving          bool
	// revision is the table revision that last changed outOfService or
	// zoneOutOfService.
	revision amaranthtide.Revision

	interval time.Duration
	lastTick time.Time
	// resumedAt is the end of the last pause, or the start.
	resumedAt time.Time
	// awaitingPeers is set by a start or a long pause. While it is set, this router
	// owns nothing. It is cleared once all expectedPeers have reported, or after the
	// suspicion time.
	awaitingPeers bool
	expectedPeers amaranthtide.Set[amaranthtide.VMName]

	live      []amaranthtide.VMName
	hash      amaranthtide.ViewHash
	changedAt time.Time
	// recentLive is the union of the views since the last one that was agreed upon.
	// This router was the owner in each of them if it was in all of them and is the
	// owner in the union.
	recentLive []amaranthtide.VMName
	// selfWasAbsent is set if this router was missing from one of these views, or was
	// paused.
	selfWasAbsent bool
	// agreed tells whether the current view is agreed upon.
	agreed bool

	// live has to be recomputed if dirty is set or validUntil has passed.
	dirty      bool
	validUntil time.Time
}

type peer struct {
	report     amaranthtide.RouterReport
	receivedAt time.Time
}

type remoteZone struct {
	live       []amaranthtide.VMName
	receivedAt time.Time
}

// New returns the view of a router that starts now and sends its first report. The
// next report follows after at most interval.
func New(now time.Time, cfg Config, interval time.Duration) *View {
	if cfg.Grace == 0 {
		cfg.Grace = DefaultGrace
	}
	v := &View{
		cfg:           cfg,
		peers:         make(map[amaranthtide.VMName]*peer),
		zones:         make(map[amaranthtide.ZoneName]remoteZone),
		interval:      interval,
		lastTick:      now,
		resumedAt:     now,
		awaitingPeers: true,
		expectedPeers: amaranthtide.NewSet[amaranthtide.VMName](),
		changedAt:     now,
		selfWasAbsent: true,
		dirty:         true,
	}
	v.addExpectedPeers(cfg.Seeds)
	v.refresh(now)
	return v
}

// Interval returns the interval at which reports of the given size can be sent to
// the given number of peers within the bandwidth budget. It is at least 100 ms. A
// budget below 1 byte per second counts as 1.
func Interval(peers, reportBytes, budgetBytesPerSecond int) time.Duration {
	budgeted := time.Duration(peers) * time.Duration(reportBytes) * time.Second / time.Duration(max(budgetBytesPerSecond, 1))
	return max(minInterval, budgeted)
}

// Suspicion returns the suspicion time of a router that announced the interval.
func Suspicion(interval time.Duration) time.Duration {
	return max(minSuspicion, suspicionIntervals*interval)
}

func (v *View) addExpectedPeers(vms []amaranthtide.ListedVM) {
	for _, vm := range vms {
		if vm.Zone == v.cfg.Zone && vm.Name != v.cfg.Self {
			v.expectedPeers.Add(vm.Name)
		}
	}
}

// Tick records that this router is running and about to send a report. The report
// announces interval, and the next Tick must follow within it.
func (v *View) Tick(now time.Time, interval time.Duration) {
	sinceLastTick := now.Sub(v.lastTick)
	suspicion := Suspicion(v.interval)
	if sinceLastTick > suspicion {
		v.awaitingPeers = true
		clear(v.expectedPeers)
		for _, vm := range v.live {
			if vm != v.cfg.Self {
				v.expectedPeers.Add(vm)
			}
		}
	}
	if sinceLastTick > suspicion/2 {
		v.resumedAt, v.changedAt = now, now
		v.selfWasAbsent, v.agreed = true, false
	}
	v.lastTick, v.interval = now, interval
	v.dirty = true
	v.refresh(now)
}

// Observe applies a report of a router of this zone. It ignores the report and
// returns false if the report is not newer than the last one of that router, or is
// from another zone or from this router.
func (v *View) Observe(now time.Time, r amaranthtide.RouterReport) bool {
	if r.Zone != v.cfg.Zone || r.VM == v.cfg.Self {
		return false
	}
	p, ok := v.peers[r.VM]
	if ok && (r.Incarnation < p.report.Incarnation ||
		r.Incarnation == p.report.Incarnation && r.Sequence <= p.report.Sequence) {
		return false
	}
	r.Loads = nil // package roster stores the loads
	v.peers[r.VM] = &peer{r, now}
	v.dirty = true
	v.refresh(now)
	return true
}

// ObserveDigest applies a digest of another zone that the roster accepted as newer.
func (v *View) ObserveDigest(now time.Time, d amaranthtide.ZoneDigest) {
	if d.Zone != v.cfg.Zone {
		v.zones[d.Zone] = remoteZone{slices.Sorted(slices.Values(d.Live)), now}
	}
}

// SetListedVMs replaces the platform's list of the VMs of all zones. Since the list may
// be out of date, it only determines which routers are sent reports; whether a router is
// live or leaving follows from its own reports.
func (v *View) SetListedVMs(now time.Time, vms []amaranthtide.ListedVM) {
	v.listedVMs = slices.Clone(vms)
	if v.awaitingPeers && len(v.peers) == 0 {
		v.addExpectedPeers(vms)
	}
	listed := amaranthtide.NewSet[amaranthtide.VMName]()
	for _, vm := range vms {
		listed.Add(vm.Name)
	}
	for name, p := range v.peers {
		if !listed.Has(name) && now.Sub(p.receivedAt) > peerRetention {
			delete(v.peers, name)
		}
	}
}

// SetOutOfService sets which VMs are out of service in the table of the given
// revision, and whether this zone is. Call it after each table change to VMs or
// zones. The set must not be modified afterwards.
func (v *View) SetOutOfService(now time.Time, revision amaranthtide.Revision, vms amaranthtide.Set[amaranthtide.VMName], zoneOutOfService bool) {
	v.refresh(now)
	if v.zoneOutOfService == zoneOutOfService && maps.Equal(v.outOfService, vms) {
		return
	}
	v.outOfService, v.zoneOutOfService, v.revision, v.dirty = vms, zoneOutOfService, revision, true
	v.refresh(now)
}

// Leave records that this router is shutting down. It owns nothing from then on.
func (v *View) Leave(now time.Time) {
	v.refresh(now)
	v.leaving, v.dirty = true, true
	v.refresh(now)
}

// Live returns the routers of the view, sorted by name.
func (v *View) Live(now time.Time) []amaranthtide.VMName {
	v.refresh(now)
	return slices.Clone(v.live)
}

// Representatives returns the routers from which the contacts and table readers of
// this zone are chosen: the live routers or, if none is in service, all running ones.
// A zone that is out of service still has to read the table to learn that it is back
// in service.
func (v *View) Representatives(now time.Time) []amaranthtide.VMName {
	v.refresh(now)
	if len(v.live) > 0 {
		return slices.Clone(v.live)
	}
	var running []amaranthtide.VMName
	if !v.leaving {
		running = append(running, v.cfg.Self)
	}
	for name, p := range v.peers {
		if v.isFresh(now, p) && !p.report.Leaving {
			running = append(running, name)
		}
	}
	slices.Sort(running)
	return running
}

// MayOwn reports whether this router may own servers: its peers have reported since
// its start or last long pause, it is not in a long pause, and it is not leaving.
func (v *View) MayOwn(now time.Time) bool {
	v.refresh(now)
	return !v.awaitingPeers && !v.leaving && now.Sub(v.lastTick) <= Suspicion(v.interval)
}

// Hash returns the hash of the view.
func (v *View) Hash(now time.Time) amaranthtide.ViewHash {
	v.refresh(now)
	return v.hash
}

// Owner returns the owner of a group of this zone. It returns false if there is none,
// or if the owner would be this router but it may not own anything at present.
func (v *View) Owner(now time.Time, group amaranthtide.GroupName) (amaranthtide.VMName, bool) {
	v.refresh(now)
	owner, ok := placement.Owner(group, v.live)
	if owner == v.cfg.Self && (v.awaitingPeers || now.Sub(v.lastTick) > Suspicion(v.interval)) {
		return "", false
	}
	return owner, ok
}

// Settled reports whether this router is the settled owner of the group.
func (v *View) Settled(now time.Time, group amaranthtide.GroupName) bool {
	owner, ok := v.Owner(now, group)
	if !ok || owner != v.cfg.Self || v.paused(now) {
		return false
	}
	if v.agreed {
		return true
	}
	recentOwner, _ := placement.Owner(group, v.recentLive)
	return !v.selfWasAbsent && recentOwner == v.cfg.Self
}
