package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/membership"
)

const (
	step          = 50 * time.Millisecond
	interval      = 2 * step
	suspicion     = time.Second
	grace         = 2 * time.Second
	maxTableDelay = 900 * time.Millisecond // under half the grace
)

var groupNames = []amaranthtide.GroupName{"s1", "s2", "s3", "s4"}

// router is one simulated router. Its clock is ahead of the fleet's by offset.
type router struct {
	name        amaranthtide.VMName
	view        *membership.View
	offset      time.Duration
	incarnation amaranthtide.Incarnation
	sequence    uint64
	frozen      bool
	leaving     bool
	// resumedAt is the end of the last pause. A stall of up to half the suspicion time
	// is not a pause; it counts as part of the delivery time of the reports.
	resumedAt time.Time
	lastTick  time.Time
	revision  int
}

type sentReport struct {
	sequence uint64
	sentAt   time.Time
}

type message struct {
	arrivesAt time.Time
	report    amaranthtide.RouterReport
}

// link holds the reports in transit from one router to another, and whether their
// delivery has met the assumption that the package states.
type link struct {
	queue []message
	cut   bool
	// unconfirmed are the reports for which neither they nor a later one have been
	// processed.
	unconfirmed []sentReport
	// violatedAt is when the delivery assumption last did not hold.
	violatedAt time.Time
}

// fleet simulates the routers of one zone in discrete steps.
type fleet struct {
	now     time.Time
	routers []*router
	links   map[[2]int]*link
	// tables holds, for each table revision, which VMs are out of service and when each
	// router receives it.
	tables []tableRevision
	lossy  bool
	// settled counts the settled owners seen. pairs counts the pairs of settled owners
	// of one server, which are allowed only while the delivery assumption is violated.
	settled, pairs int
}

type tableRevision struct {
	outOfService amaranthtide.Set[amaranthtide.VMName]
	arrivesAt    []time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), links: map[[2]int]*link{}}
	for i := range n {
		r := &router{name: amaranthtide.VMName(fmt.Sprintf("vm-%d", i)), offset: time.Duration(i) * time.Hour}
		f.routers = append(f.routers, r)
		for j := range n {
			f.links[[2]int{i, j}] = &link{}
		}
	}
	for i := range f.routers {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	r := f.routers[i]
	r.incarnation++
	r.sequence, r.frozen, r.leaving, r.resumedAt, r.lastTick = 0, false, false, f.now, f.now.Add(-interval)
	r.view = membership.New(f.clock(r), membership.Config{Self: r.name, Zone: "z"}, interval)
	for j := range f.routers {
		f.links[[2]int{j, i}].queue = nil
		f.links[[2]int{i, j}].unconfirmed = nil
	}
	if r.revision > 0 {
		r.view.SetOutOfService(f.clock(r), amaranthtide.Revision(r.revision), f.tables[r.revision-1].outOfService, false)
	}
}

func (f *fleet) resume(r *router) {
	r.frozen = false
	if f.now.Sub(r.lastTick) > suspicion/2 {
		r.resumedAt = f.now
	}
}

func (f *fleet) clock(r *router) time.Time { return f.now.Add(r.offset) }

func (f *fleet) editTable(t *rapid.T) {
	out := amaranthtide.NewSet[amaranthtide.VMName]()
	if n := len(f.tables); n > 0 {
		for vm := range f.tables[n-1].outOfService {
			out.Add(vm)
		}
	}
	vm := rapid.SampledFrom(f.routers).Draw(t, "vm").name
	if out.Has(vm) {
		out.Remove(vm)
	} else {
		out.Add(vm)
	}
	rev := tableRevision{outOfService: out}
	for range f.routers {
		delay := time.Duration(rapid.IntRange(0, int(maxTableDelay/step)).Draw(t, "tableDelay")) * step
		rev.arrivesAt = append(rev.arrivesAt, f.now.Add(delay))
	}
	f.tables = append(f.tables, rev)
}

// advance runs the fleet for one step.
func (f *fleet) advance(t *rapid.T) {
	f.now = f.now.Add(step)
	for i, r := range f.routers {
		if r.frozen {
			continue
		}
		for rev := len(f.tables); rev > r.revision; rev-- {
			if !f.now.Before(f.tables[rev-1].arrivesAt[i]) {
				r.revision = rev
				r.view.SetOutOfService(f.clock(r), amaranthtide.Revision(rev), f.tables[rev-1].outOfService, false)
			}
		}
		f.receive(i)
		if f.now.Sub(r.lastTick) >= interval {
			f.send(t, i)
		}
	}
	f.recordViolations()
}

func (f *fleet) receive(i int) {
	r := f.routers[i]
	for j := range f.routers {
		l := f.links[[2]int{j, i}]
		l.queue = slices.DeleteFunc(l.queue, func(m message) bool {
			if m.arrivesAt.After(f.now) {
				return false
			}
			if r.view.Observe(f.clock(r), m.report) && m.report.Incarnation == f.routers[j].incarnation {
				l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(s sentReport) bool { return s.sequence <= m.report.Sequence })
			}
			return true
		})
	}
}

func (f *fleet) send(t *rapid.T, i int) {
	r := f.routers[i]
	r.lastTick = f.now
	r.view.Tick(f.clock(r), interval)
	r.sequence++
	report := amaranthtide.RouterReport{
		VM: r.name, Zone: "z", Incarnation: r.incarnation, Sequence: r.sequence,
		View: r.view.Hash(f.clock(r)), Interval: interval, Leaving: r.leaving,
		Revision: amaranthtide.Revision(r.revision),
	}
	for j := range f.routers {
		l := f.links[[2]int{i, j}]
		if i == j {
			continue
		}
		l.unconfirmed = append(l.unconfirmed, sentReport{r.sequence, f.now})
		if l.cut || f.lossy && rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
			continue
		}
		delay := rapid.IntRange(0, 3).Draw(t, "delay")
		l.queue = append(l.queue, message{f.now.Add(time.Duration(delay) * step), report})
	}
}

// recordViolations records on which links the delivery assumption does not hold now.
func (f *fleet) recordViolations() {
	for pair, l := range f.links {
		to := f.routers[pair[1]]
		if pair[0] == pair[1] || to.frozen || len(l.unconfirmed) == 0 {
			continue
		}
		since := l.unconfirmed[0].sentAt
		if to.resumedAt.After(since) {
			since = to.resumedAt
		}
		if f.now.Sub(since) > suspicion/2 {
			l.violatedAt = f.now
		}
	}
}

// assumptionHolds reports whether the delivery assumption has held between two routers
// for the last suspicion time.
func (f *fleet) assumptionHolds(i, j int) bool {
	ij, ji := f.links[[2]int{i, j}], f.links[[2]int{j, i}]
	return f.now.Sub(ij.violatedAt) > suspicion && f.now.Sub(ji.violatedAt) > suspicion
}

func (f *fleet) checkSettled(t *rapid.T) {
	for _, s := range groupNames {
		var settled []int
		for i, r := range f.routers {
			if !r.frozen && r.view.Settled(f.clock(r), s) {
				settled = append(settled, i)
			}
		}
		f.settled += len(settled)
		for a, i := range settled {
			for _, j := range settled[:a] {
				f.pairs++
				if f.assumptionHolds(i, j) {
					t.Fatalf("%s got: settled owners %s and %s, want: at most one", s, f.routers[j].name, f.routers[i].name)
				}
			}
		}
	}
}

// Guards against two routers that are both settled owners of one server and would
// each use its full limit, and against routers that don't agree again after faults
// have ended.
func TestOneSettledOwner(t *testing.T) {
	settled, pairs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 6).Draw(t, "routers"))
		pick := rapid.IntRange(0, len(f.routers)-1)
		run := func(t *rapid.T, most int) {
			for range rapid.IntRange(1, most).Draw(t, "steps") {
				f.advance(t)
				f.checkSettled(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { run(t, 50) },
			"freeze": func(t *rapid.T) {
				r := f.routers[pick.Draw(t, "router")]
				r.frozen = true
				run(t, 50)
				f.resume(r)
				f.checkSettled(t) // before the router does anything else
			},
			"pauseAround": func(t *rapid.T) { // pauses of about the suspicion time
				r := f.routers[pick.Draw(t, "router")]
				r.frozen = true
				for range int(suspicion/step) - rapid.IntRange(0, 4).Draw(t, "less") {
					f.advance(t)
					f.checkSettled(t)
				}
				f.resume(r)
				f.checkSettled(t)
			},
			"restart": func(t *rapid.T) { f.restart(pick.Draw(t, "router")) },
			"leave": func(t *rapid.T) {
				r := f.routers[pick.Draw(t, "router")]
				if !r.frozen {
					r.leaving = true
					r.view.Leave(f.clock(r))
				}
			},
			"cut": func(t *rapid.T) {
				f.links[[2]int{pick.Draw(t, "from"), pick.Draw(t, "to")}].cut = true
			},
			"heal": func(*rapid.T) {
				for _, l := range f.links {
					l.cut = false
				}
			},
			"loss":  func(t *rapid.T) { f.lossy = !f.lossy },
			"table": f.editTable,
		})
		f.checkRecovery(t)
		settled, pairs = settled+f.settled, pairs+f.pairs
	})
	t.Logf("%d settled owners seen, %d pairs outside the delivery assumption", settled, pairs)
}

// checkRecovery ends all faults and checks that the routers agree.
func (f *fleet) checkRecovery(t *rapid.T) {
	f.lossy = false
	for _, l := range f.links {
		l.cut = false
	}
	// The bound includes the longest delays of a report and of a table change.
	for range int((suspicion + grace + maxTableDelay + 4*step) / step) {
		f.advance(t)
		f.checkSettled(t)
	}
	want := f.routers[0].view.Live(f.clock(f.routers[0]))
	for _, r := range f.routers {
		if got := r.view.Live(f.clock(r)); !slices.Equal(got, want) {
			t.Fatalf("%s got: %v, want: %v", r.name, got, want)
		}
	}
	for _, s := range groupNames {
		owner, ok := f.routers[0].view.Owner(f.clock(f.routers[0]), s)
		for _, r := range f.routers {
			if got, _ := r.view.Owner(f.clock(r), s); got != owner || ok != (len(want) > 0) {
				t.Fatalf("owner of %s at %s got: %q, want: %q", s, r.name, got, owner)
			}
			if got := r.view.Settled(f.clock(r), s); got != (ok && owner == r.name) {
				t.Fatalf("%s at %s got: settled %v, want: only at the owner %s", s, r.name, got, owner)
			}
		}
	}
}

// Guards against servers that become unsettled although their owner didn't change,
// and against a router that, after a pause, still acts as the owner of servers.
func TestOnlyMovedServersBecomeUnsettled(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.New(now, membership.Config{Self: "a", Zone: "z"}, interval)
	sequence := uint64(0)
	observeReport := func(vm amaranthtide.VMName, live ...amaranthtide.VMName) {
		sequence++
		peerView := membership.New(now, membership.Config{Self: live[0], Zone: "z"}, interval)
		for _, l := range live[1:] {
			peerView.Observe(now, amaranthtide.RouterReport{VM: l, Zone: "z", Incarnation: 1, Sequence: 1})
		}
		a.Observe(now, amaranthtide.RouterReport{VM: vm, Zone: "z", Incarnation: 1, Sequence: sequence, Interval: interval, View: peerView.Hash(now)})
	}
	for range 40 {
		now = now.Add(interval)
		a.Tick(now, interval)
		observeReport("b", "a", "b")
	}
	for range 12 { // b stops reporting
		now = now.Add(interval)
		a.Tick(now, interval)
	}
	is.Equal(a.Live(now), []amaranthtide.VMName{"a"})
	kept, moved := 0, 0
	for i := range 50 {
		if a.Settled(now, amaranthtide.GroupName(fmt.Sprint("s", i))) {
			kept++
		} else {
			moved++
		}
	}
	is.True(kept > 10 && moved > 10)
	for range 20 {
		now = now.Add(interval)
		a.Tick(now, interval)
	}
	is.True(a.Settled(now, "s1"))
	is.True(!a.Settled(now.Add(suspicion*6/10), "s1")) // paused
	now = now.Add(suspicion + step)
	_, owns := a.Owner(now, "s1")
	is.True(!owns) // paused, checked at use
	a.Tick(now, interval)
	_, owns = a.Owner(now, "s1")
	is.True(!owns) // b may still report within the suspicion time
	for range 11 {
		now = now.Add(interval)
		a.Tick(now, interval)
	}
	_, owns = a.Owner(now, "s1")
	is.True(owns)
	a.SetOutOfService(now, 1, nil, true)
	_, owns = a.Owner(now, "s1")
	is.True(!owns)
}

// Guards against a delayed report from before two opposite table changes that counts
// as agreement on the view after them.
func TestOldReportDoesNotCountAsAgreement(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.New(now, membership.Config{Self: "a", Zone: "z"}, interval)
	report := amaranthtide.RouterReport{VM: "b", Zone: "z", Incarnation: 1, Interval: interval}
	observeReport := func() {
		report.Sequence++
		a.Observe(now, report)
	}
	for range 40 {
		now = now.Add(interval)
		a.Tick(now, interval)
		observeReport()
		report.View = a.Hash(now)
	}
	owned := slices.IndexFunc(groupNames, func(s amaranthtide.GroupName) bool { return a.Settled(now, s) })
	is.True(owned >= 0)
	a.SetOutOfService(now, 1, amaranthtide.NewSet[amaranthtide.VMName]("a"), false)
	a.SetOutOfService(now, 2, nil, false)
	observeReport() // the same view, but computed from revision 0
	is.True(!a.Settled(now, groupNames[owned]))
	report.Revision = 2
	observeReport()
	is.True(a.Settled(now, groupNames[owned]))
}

// Guards against an outdated VM list that overrides direct reports, and against zones
// that count as reachable because of an outdated digest.
func TestMemberSources(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := membership.New(now, membership.Config{Self: "a", Zone: "z", Seeds: []amaranthtide.ListedVM{{Name: "b", Zone: "z"}}}, interval)
	v.SetListedVMs(now, []amaranthtide.ListedVM{{Name: "c", Zone: "z", Leaving: true}, {Name: "y1", Zone: "y"}, {Name: "y2", Zone: "y", Leaving: true}})
	is.True(v.Observe(now, amaranthtide.RouterReport{VM: "c", Zone: "z", Incarnation: 2, Sequence: 1, Interval: interval}))
	is.True(!v.Observe(now, amaranthtide.RouterReport{VM: "c", Zone: "z", Incarnation: 1, Sequence: 9, Interval: interval}))
	is.True(v.Observe(now, amaranthtide.RouterReport{VM: "d", Zone: "z", Incarnation: 1, Sequence: 1, Interval: interval}))
	is.Equal(v.Live(now), []amaranthtide.VMName{"a", "c", "d"})
	is.Equal(len(v.Peers(now)), 3)
	_, ok := v.LiveIn(now, "y")
	is.True(!ok)
	is.Equal(v.Contacts(now, "y"), []membership.Peer{{Name: "y1", Zone: "y"}})
	v.ObserveDigest(now, amaranthtide.ZoneDigest{Zone: "y", Live: []amaranthtide.VMName{"y2", "y1"}})
	live, ok := v.LiveIn(now, "y")
	is.True(ok)
	is.Equal(live, []amaranthtide.VMName{"y1", "y2"})
	is.Equal(len(v.Contacts(now, "y")), 2)
	_, ok = v.LiveIn(now.Add(membership.DigestMaxAge+1), "y")
	is.True(!ok)
	is.Equal(membership.Interval(11, 600, 1500), 4400*time.Millisecond)
	is.Equal(membership.Interval(1, 100, 1500), 100*time.Millisecond)
}

// Guards against a zone that never learns that it is back in service, because without
// representatives none of its routers reads the table.
func TestZoneOutOfServiceHasRepresentatives(t *testing.T) {
	now := time.Unix(1000, 0)
	v := membership.New(now, membership.Config{Self: "vm-1", Zone: "z"}, interval)
	for i, vm := range []amaranthtide.VMName{"vm-2", "vm-3"} {
		v.Observe(now, amaranthtide.RouterReport{VM: vm, Zone: "z", Sequence: 1, Interval: interval, Leaving: i == 1})
	}
	v.SetOutOfService(now, 1, nil, true)
	if got, want := v.Representatives(now), []amaranthtide.VMName{"vm-1", "vm-2"}; !slices.Equal(got, want) || len(v.Live(now)) != 0 {
		t.Errorf("got: %v, live %v, want: %v, none live", got, v.Live(now), want)
	}
	v.SetOutOfService(now, 2, amaranthtide.NewSet[amaranthtide.VMName]("vm-1"), false)
	if got, want := v.Representatives(now), []amaranthtide.VMName{"vm-2"}; !slices.Equal(got, want) {
		t.Errorf("got: %v, want: %v", got, want)
	}
	digest := amaranthtide.ZoneDigest{Zone: "y", From: "vm-9"}
	v.SetListedVMs(now, []amaranthtide.ListedVM{{Name: "vm-9", Zone: "y"}})
	v.ObserveDigest(now, digest)
	if got := v.Contacts(now, "y"); len(got) != 1 || got[0].Name != "vm-9" {
		t.Errorf("contacts of a zone out of service got: %v, want: vm-9", got)
	}
}
