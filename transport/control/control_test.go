package control_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthtide/protocol/message"
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got: not %s within 10 s", what)
		}
	}
}

// Guards against a router that receives heartbeats but never learns the loads because the
// full reports that they refer to were lost, and against loads that are then attributed
// to the wrong server.
func TestLoadsRecoverAfterMessageLoss(t *testing.T) {
	f := newFleet(t, 1, 3, 6)
	n := f.nodes[0]
	drop := func(topic string) bool { return topic == message.TopicReport || rand.IntN(3) == 0 }
	n.dropMessage.Store(&drop)
	time.Sleep(500 * time.Millisecond)
	n.dropMessage.Store(nil)
	for _, vm := range []int{1, 2} {
		for i, s := range f.owned[vmName(0, vm)] {
			eventually(t, "load of "+string(s), func() bool {
				l, received := n.control.Load(s)
				return !received.IsZero() && l.Server == s && l.Boot == loads(f.owned[vmName(0, vm)])[i].Boot
			})
		}
	}
}

// Guards against heartbeats being dropped while the full report that they refer to is
// missing: live routers would be considered dead. A dead router must still be detected.
func TestLivenessWithoutBaseReport(t *testing.T) {
	f := newFleet(t, 1, 3, 6)
	n := f.nodes[0]
	eventually(t, "all live", func() bool { return len(n.control.Live(time.Now())) == 3 })
	drop := func(topic string) bool { return topic == message.TopicReport }
	n.dropMessage.Store(&drop)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := len(n.control.Live(time.Now())); got != 3 {
			t.Fatalf("got: %d live routers, want: 3", got)
		}
	}
	f.nodes[2].control.Close()
	eventually(t, "dead router detected", func() bool { return len(n.control.Live(time.Now())) == 2 })
}

// Guards against a zone that becomes unreachable because the contact that relays its
// digests has died and the other contact does not take over.
func TestDigestsSurviveContactFailure(t *testing.T) {
	const zones, routers = 3, 4
	f := newFleet(t, zones, routers, 4)
	reachable := func(n *node) bool {
		for z := 1; z < zones; z++ {
			if _, ok := n.control.LiveIn(time.Now(), zoneName(z)); !ok {
				return false
			}
		}
		return true
	}
	nodes := f.nodes[:routers]
	for _, n := range nodes {
		eventually(t, "other zones reachable", func() bool { return reachable(n) })
	}
	time.Sleep(2500 * time.Millisecond) // lets the contacts divide the zones whose digests they relay
	survivors := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool {
		_, first := n.control.IsContact(time.Now())
		return first
	})
	if len(survivors) != routers-1 {
		t.Fatalf("got: %d first contacts, want: 1", routers-len(survivors))
	}
	for _, n := range nodes {
		if !slices.Contains(survivors, n) {
			n.control.Close()
		}
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range survivors {
			if !reachable(n) {
				t.Fatalf("got: unreachable zones, want: all zones reachable after a contact has died")
			}
		}
	}
}
