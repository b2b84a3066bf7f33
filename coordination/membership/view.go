// Package membership decides which routers of a zone are live, who owns a backend
// server and whether that ownership is settled.
//
// The view is the set of routers of the zone with a fresh report that are in
// service in the table and not leaving. The owner of a server is the first of them
// in rendezvous order. A router is suspected when its last report is older than its
// suspicion time, max(1 s, 5 announced intervals).
//
// A router is a settled owner of a server if it was the owner in all views since
// the last time its view was agreed upon. A view is agreed upon once every fresh
// peer, also one that is out of service, reports its hash and a table revision that
// isn't older than the rows behind the view, or when the view has not changed for
// the grace. Without the revision, a late report from before two opposite table
// changes would pass for agreement. A router without fresh peers waits for the
// grace. An unsettled owner must admit less (see the admission package).
//
// # Pauses
//
// A router that did not call Tick for more than half its suspicion time has been
// paused; from that moment on (checked at use) none of its ownerships is settled.
// After its next Tick it stays unsettled for the hold, half the longest suspicion
// time that it knows, and until the view is agreed upon again. If the pause was
// longer than the suspicion time, the router also owns nothing until each peer that
// was live before has reported again, or until the suspicion time has passed since
// waking. A start counts as the end of such a pause.
//
// # What holds and under which assumptions
//
// At no time two running routers are both settled owners of one server, if
//
//   - the clocks that supply now never stop and run at the same rate; they may show
//     different times. Go's monotonic clock stands still while a VM is suspended on
//     some hypervisors; such a pause is not seen;
//   - of each report, it or a later one of the same router is processed by every
//     running peer within half of the shorter suspicion time of the two after it was
//     sent, or after the peer woke from a pause; a stall of the peer that is too
//     short for a pause counts as part of that time;
//   - a change of the rows of VMs and of the zone reaches every running router of
//     the zone within half of the grace;
//   - each Tick sends a report, and a report announces the true time to the next.
//
// The argument: let X and Y be settled owners of one server and X the first of the
// two in its order. Then Y doesn't see X. Both have been running without a pause
// for the hold, in which, by the second assumption, Y has processed a report of X and
// not suspected it since. So Y excludes X by the table, and one of the two lags. If it
// is X, Y is not settled before X reports the newer revision, nor before the grace.
// The opposite case, X back in service before Y knows, is alike.
//
// These cases remain, in which two routers may both be settled:
//
//   - a partition inside the zone that lasts longer than the suspicion time, for
//     as long as it lasts; also one in which only one direction is cut;
//   - reports that are late or lost beyond the assumption;
//   - a table change that reaches some routers of the zone only after half the grace;
//   - a router that is paused between a check and the act that follows from it;
//   - two processes that run under one VM name.
//
// In these cases the server's own load report, which the owner adds to its count,
// limits the harm.
//
// When messages flow again, all routers agree on the view after at most the
// suspicion time, and every owner is settled after at most the grace more.
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
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

const (
	// DefaultGrace is the time after which an unchanged view counts as agreed upon.
	DefaultGrace = 2 * time.Second
	// DigestLife is the age from which a digest says nothing about its zone.
	DigestLife = 3 * time.Second

	minSuspicion       = time.Second
	suspicionIntervals = 5
	minInterval        = 100 * time.Millisecond
	// peerRetention is how long a router that is neither listed nor heard is kept, so
	// that its delayed reports are recognized as old.
	peerRetention = 10 * time.Minute
)

// Config tells a View who it is.
type Config struct {
	Self amaranthtide.VMName
	Zone amaranthtide.ZoneName
	// Grace is DefaultGrace if it is 0.
	Grace time.Duration
	// Seeds are VMs of any zone that are known from the settings.
	Seeds []amaranthtide.ListedVM
}

// View is one router's view of the fleet. It is not concurrent-safe. Slices that
// its methods return belong to the caller.
type View struct {
	cfg   Config
	peers map[amaranthtide.VMName]*peer
	list  []amaranthtide.ListedVM
	zones map[amaranthtide.ZoneName]remoteZone

	outOfService     amaranthtide.Set[amaranthtide.VMName]
	zoneOutOfService bool
	leaving          bool
	// revision is the table revision since which out and zoneOut are as they are.
	revision amaranthtide.Revision

	interval      time.Duration
	lastTick      time.Time
	resumedAt     time.Time
	awaitingPeers bool
	// expectedPeers are the routers to hear before the fence falls.
	expectedPeers amaranthtide.Set[amaranthtide.VMName]

	live      []amaranthtide.VMName
	hash      amaranthtide.ViewHash
	changedAt time.Time
	// recentLive holds all routers of the views since the last agreement. Self was the
	// owner in each of them if it was in all and is the owner in the recentLive.
	recentLive    []amaranthtide.VMName
	selfWasAbsent bool
	agreed        bool

	// dirty and expiry tell when live has to be computed again.
	dirty      bool
	validUntil time.Time
}

type peer struct {
	report     amaranthtide.Report
	receivedAt time.Time
}

type remoteZone struct {
	live       []amaranthtide.VMName
	receivedAt time.Time
}

// Peer is another router and where it is reached.
type Peer struct {
	Name    amaranthtide.VMName
	Zone    amaranthtide.ZoneName
	Address netip.AddrPort
}

// New returns the view of a router that starts now and sends its first report, to
// be followed by the next after at most interval.
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

// Interval returns the time between reports of the given size to the given number
// of peers that keeps within the budget, at least 100 ms. A budget below 1 byte per
// second counts as 1.
func Interval(peers, reportBytes, budgetBytesPerSecond int) time.Duration {
	budgeted := time.Duration(peers) * time.Duration(reportBytes) * time.Second / time.Duration(max(budgetBytesPerSecond, 1))
	return max(minInterval, budgeted)
}

// Suspicion returns the time after which a router with the announced interval is suspected.
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

// Tick notes that this router runs and is about to send a report. The next Tick
// follows after at most interval, which the report announces.
func (v *View) Tick(now time.Time, interval time.Duration) {
	paused := now.Sub(v.lastTick)
	suspicion := Suspicion(v.interval)
	if paused > suspicion {
		v.awaitingPeers = true
		clear(v.expectedPeers)
		for _, vm := range v.live {
			if vm != v.cfg.Self {
				v.expectedPeers.Add(vm)
			}
		}
	}
	if paused > suspicion/2 {
		v.resumedAt, v.changedAt = now, now
		v.selfWasAbsent, v.agreed = true, false
	}
	v.lastTick, v.interval = now, interval
	v.dirty = true
	v.refresh(now)
}

// Observe takes in a report of a router of this zone. It returns false and ignores
// the report if it is older than the last one, of another zone, or of this router.
func (v *View) Observe(now time.Time, r amaranthtide.Report) bool {
	if r.Zone != v.cfg.Zone || r.VM == v.cfg.Self {
		return false
	}
	p, ok := v.peers[r.VM]
	if ok && (r.Incarnation < p.report.Incarnation ||
		r.Incarnation == p.report.Incarnation && r.Sequence <= p.report.Sequence) {
		return false
	}
	r.Loads = nil // the roster holds them
	v.peers[r.VM] = &peer{r, now}
	v.dirty = true
	v.refresh(now)
	return true
}

// ObserveDigest takes in a digest of another zone that the roster accepted as news.
func (v *View) ObserveDigest(now time.Time, d amaranthtide.Digest) {
	if d.Zone != v.cfg.Zone {
		v.zones[d.Zone] = remoteZone{slices.Sorted(slices.Values(d.Live)), now}
	}
}

// List takes in the platform's list of the VMs of all zones. The list lags: it only
// tells whom to talk to, and direct reports decide who is live and leaving.
func (v *View) List(now time.Time, vms []amaranthtide.ListedVM) {
	v.list = slices.Clone(vms)
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

// SetOutOfService takes in which VMs, and whether this zone, are out of service in
// the table of the given revision. Call it after each change of the table that
// concerns VMs or zones. The set must not be changed afterwards.
func (v *View) SetOutOfService(now time.Time, revision amaranthtide.Revision, vms amaranthtide.Set[amaranthtide.VMName], zoneOut bool) {
	v.refresh(now)
	if v.zoneOutOfService == zoneOut && maps.Equal(v.outOfService, vms) {
		return
	}
	v.outOfService, v.zoneOutOfService, v.revision, v.dirty = vms, zoneOut, revision, true
	v.refresh(now)
}

// Leave notes that this router shuts down: it owns nothing any more.
func (v *View) Leave(now time.Time) {
	v.refresh(now)
	v.leaving, v.dirty = true, true
	v.refresh(now)
}

func (v *View) isFresh(now time.Time, p *peer) bool {
	return now.Sub(p.receivedAt) <= Suspicion(p.report.Interval)
}

// refresh brings the view up to now.
func (v *View) refresh(now time.Time) {
	if v.dirty || now.After(v.validUntil) {
		v.recomputeLive(now)
	}
	if v.awaitingPeers && v.peersReported(now) {
		v.awaitingPeers = false
	}
	if !v.agreed && v.checkAgreement(now) {
		v.agreed = true
		v.recentLive, v.selfWasAbsent = v.live, !v.isLive(v.cfg.Self)
	}
}

func (v *View) recomputeLive(now time.Time) {
	v.dirty, v.validUntil = false, now.Add(time.Hour)
	var live []amaranthtide.VMName
	if !v.leaving && !v.outOfService.Has(v.cfg.Self) && !v.zoneOutOfService {
		live = append(live, v.cfg.Self)
	}
	for name, p := range v.peers {
		if !v.isFresh(now, p) {
			continue
		}
		if end := p.receivedAt.Add(Suspicion(p.report.Interval)); end.Before(v.validUntil) {
			v.validUntil = end
		}
		if !p.report.Leaving && !v.outOfService.Has(name) && !v.zoneOutOfService {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	if v.hash != 0 && slices.Equal(live, v.live) {
		return
	}
	v.live, v.hash = live, hashLive(live)
	v.changedAt, v.agreed = now, false
	v.recentLive = slices.Compact(slices.Sorted(slices.Values(slices.Concat(v.recentLive, live))))
	v.selfWasAbsent = v.selfWasAbsent || !v.isLive(v.cfg.Self)
}

func hashLive(live []amaranthtide.VMName) amaranthtide.ViewHash {
	var d xxhash.Digest
	d.Reset()
	for _, vm := range live {
		_, _ = d.WriteString(string(vm)) // never fails
		_, _ = d.WriteString("\n")       // not part of a name
	}
	return amaranthtide.ViewHash(d.Sum64())
}

func (v *View) isLive(vm amaranthtide.VMName) bool {
	_, ok := slices.BinarySearch(v.live, vm)
	return ok
}

// peersReported reports whether the fence may fall.
func (v *View) peersReported(now time.Time) bool {
	if now.Sub(v.lastTick) > Suspicion(v.interval) {
		return false
	}
	if now.Sub(v.resumedAt) > Suspicion(v.interval) {
		return true
	}
	for vm := range v.expectedPeers {
		if p, ok := v.peers[vm]; !ok || !p.receivedAt.After(v.resumedAt) {
			return false
		}
	}
	return len(v.expectedPeers) > 0
}

// checkAgreement reports whether the view counts as agreed upon.
func (v *View) checkAgreement(now time.Time) bool {
	if v.awaitingPeers || v.paused(now) || now.Sub(v.resumedAt) < v.resumeDelay() {
		return false
	}
	if now.Sub(v.changedAt) >= v.cfg.Grace {
		return true
	}
	agreeing := 0
	for _, p := range v.peers {
		if !v.isFresh(now, p) || p.report.Leaving {
			continue
		}
		if p.report.View != v.hash || p.report.Revision < v.revision {
			return false
		}
		agreeing++
	}
	return agreeing > 0
}

func (v *View) paused(now time.Time) bool {
	return now.Sub(v.lastTick) > Suspicion(v.interval)/2
}

// resumeDelay returns the time for which a router that woke stays unsettled. It covers the
// peers with the longest interval, whose reports take the longest to arrive.
func (v *View) resumeDelay() time.Duration {
	longest := v.interval
	for _, p := range v.peers {
		longest = max(longest, p.report.Interval)
	}
	return Suspicion(longest) / 2
}

// Live returns the routers of the view in the order of their names.
func (v *View) Live(now time.Time) []amaranthtide.VMName {
	v.refresh(now)
	return slices.Clone(v.live)
}

// Representatives returns the routers among which the contacts and readers of this
// zone are chosen: the live ones or, if none is in service, those that run. A zone
// out of service has to read the table to learn that it is back.
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

// Awake reports whether this router may own anything: it has heard its peers since
// its start or last pause, and doesn't leave.
func (v *View) Awake(now time.Time) bool {
	v.refresh(now)
	return !v.awaitingPeers && !v.leaving && now.Sub(v.lastTick) <= Suspicion(v.interval)
}

// Hash returns the hash of the view.
func (v *View) Hash(now time.Time) amaranthtide.ViewHash {
	v.refresh(now)
	return v.hash
}

// Owner returns the owner of a server of this zone, and false if there is none or
// if it would be this router but it owns nothing at present.
func (v *View) Owner(now time.Time, group amaranthtide.GroupName) (amaranthtide.VMName, bool) {
	v.refresh(now)
	owner, ok := placement.Owner(group, v.live)
	if owner == v.cfg.Self && (v.awaitingPeers || now.Sub(v.lastTick) > Suspicion(v.interval)) {
		return "", false
	}
	return owner, ok
}

// Settled reports whether this router is the owner of the server and settled.
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

// Peers returns the other routers of this zone that are worth a report: seeds,
// listed ones and those with a fresh report, in the order of their names.
func (v *View) Peers(now time.Time) []Peer { return v.knownPeers(now, v.cfg.Zone) }

func (v *View) knownPeers(now time.Time, z amaranthtide.ZoneName) []Peer {
	byName := make(map[amaranthtide.VMName]Peer)
	for _, vms := range [][]amaranthtide.ListedVM{v.cfg.Seeds, v.list} {
		for _, vm := range vms {
			if vm.Zone == z && vm.Name != v.cfg.Self {
				byName[vm.Name] = Peer{vm.Name, vm.Zone, vm.Address}
			}
		}
	}
	for name, p := range v.peers {
		if z == v.cfg.Zone && v.isFresh(now, p) {
			byName[name] = Peer{name, p.report.Zone, p.report.Address}
		}
	}
	peers := make([]Peer, 0, len(byName))
	for _, p := range byName {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return peers
}

// LiveIn returns the live routers of a zone. It returns false if the zone is
// unreachable: another one without a digest in the last DigestLife.
func (v *View) LiveIn(now time.Time, z amaranthtide.ZoneName) ([]amaranthtide.VMName, bool) {
	if z == v.cfg.Zone {
		return v.Live(now), true
	}
	zone, ok := v.zones[z]
	if !ok || now.Sub(zone.receivedAt) > DigestLife {
		return nil, false
	}
	return slices.Clone(zone.live), true
}

// Contacts returns the contacts of a zone whose addresses are known, without this
// router. Of an unreachable zone, or one out of service, they are chosen among the
// listed VMs that don't leave, so that digests flow.
func (v *View) Contacts(now time.Time, z amaranthtide.ZoneName) []Peer {
	known := v.knownPeers(now, z)
	live, _ := v.LiveIn(now, z)
	if len(live) == 0 {
		for _, p := range known {
			if !v.isListedLeaving(p.Name) {
				live = append(live, p.Name)
			}
		}
	}
	contacts := placement.Contacts(z, live)
	return slices.DeleteFunc(known, func(p Peer) bool { return !slices.Contains(contacts, p.Name) })
}

func (v *View) isListedLeaving(name amaranthtide.VMName) bool {
	return slices.ContainsFunc(v.list, func(vm amaranthtide.ListedVM) bool { return vm.Name == name && vm.Leaving })
}
