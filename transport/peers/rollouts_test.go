package peers_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthtide"
	"amaranthtide/state/outcomes"
	"amaranthtide/transport/peers"
)

// rollouts is the peers.Rollouts of one router, with a rollout that runs.
type rollouts struct {
	*outcomes.Counter

	mu        sync.Mutex
	rollbacks []amaranthtide.RolloutState
}

func (r *rollouts) Outcomes(_ time.Time, isIncluded func(amaranthtide.VMName) bool) []outcomes.List {
	return slices.DeleteFunc(r.Lists("app"), func(l outcomes.List) bool { return !isIncluded(l.VM) })
}

func (r *rollouts) MergeOutcomes(_ time.Time, lists []outcomes.List) {
	for _, l := range lists {
		r.Merge("app", l)
	}
}

func (r *rollouts) Rollbacks(time.Time) []amaranthtide.RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rollbacks)
}

func (r *rollouts) MergeRollbacks(_ time.Time, states []amaranthtide.RolloutState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := len(r.rollbacks) == 0 && len(states) > 0
	if isNew {
		r.rollbacks = states
	}
	return isNew
}

// answers returns the number of outcomes that the router knows.
func (r *rollouts) answers() uint64 {
	sum := uint64(0)
	for _, o := range r.Totals("app") {
		sum += o.Answers
	}
	return sum
}

// rolloutFleet is a fleet of three zones with rollouts.
func rolloutFleet(t *testing.T) (f *fleet, nodes []*node, known map[amaranthtide.VMName]*rollouts) {
	t.Helper()
	f, known = newFleet(), make(map[amaranthtide.VMName]*rollouts)
	f.newRollouts = func(vm amaranthtide.VMName) peers.Rollouts {
		known[vm] = &rollouts{Counter: outcomes.New(vm, 1)}
		return known[vm]
	}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 4 {
			nodes = append(nodes, f.start(t, zone, i))
		}
	}
	time.Sleep(5 * time.Second)
	return f, nodes, known
}

// Guards against hubs that judge by a part of the outcomes, or count some of them twice.
func TestHubsHaveOutcomesOfFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes, known := rolloutFleet(t)
		for i, n := range nodes {
			for range i + 1 {
				known[n.entry.VM].Record("app", "v2", "list", outcomes.Outcome{Duration: time.Millisecond})
			}
		}
		time.Sleep(1500 * time.Millisecond)
		hubs := 0
		for _, n := range nodes {
			if !n.IsHub(time.Now()) {
				continue
			}
			hubs++
			if got, want := known[n.entry.VM].answers(), uint64(len(nodes)*(len(nodes)+1)/2); got != want {
				t.Errorf("got: %d answers at the hub %s, want: %d", got, n.entry.VM, want)
			}
		}
		if hubs != 3 {
			t.Errorf("got: %d hubs, want: one in each of 3 zones", hubs)
		}
		for _, n := range nodes {
			n.close()
		}
	})
}

// Guards against a rollback that reaches only a part of the fleet, late, or not at all a router
// that starts afterwards while the store is down.
func TestRollbackReachesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes, known := rolloutFleet(t)
		rollback := amaranthtide.RolloutState{Service: "app", Order: ver(7), To: "v2", Stage: amaranthtide.RolloutRolledBack, Reason: "failures"}
		first := nodes[len(nodes)-1] // neither a hub of the first zone nor the first reader
		known[first.entry.VM].MergeRollbacks(time.Now(), []amaranthtide.RolloutState{rollback})
		first.SendRollbacks(time.Now())
		time.Sleep(100 * time.Millisecond)
		for vm, r := range known {
			if len(r.Rollbacks(time.Now())) == 0 {
				t.Errorf("got: no rollback at %s after 100 ms, want: one", vm)
			}
		}
		late := f.start(t, "b", 4)
		time.Sleep(4 * time.Second)
		if len(known[late.entry.VM].Rollbacks(time.Now())) == 0 {
			t.Error("got: no rollback at a router that started later, want: one")
		}
		for _, n := range append(nodes, late) {
			n.close()
		}
	})
}

// Guards against a router that takes itself for connected although no hub reaches it.
func TestHubHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes, _ := rolloutFleet(t)
		now := time.Now()
		for _, n := range nodes {
			if age := now.Sub(n.HubContact(now)); age > time.Second {
				t.Errorf("got: %s received a message of a hub %v ago, want: within 1 s", n.entry.VM, age)
			}
		}
		f.mu.Lock()
		for _, n := range nodes {
			f.disconnected.Add(n.entry.VM)
		}
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		now = time.Now()
		for _, n := range nodes {
			if age := now.Sub(n.HubContact(now)); age < 2*time.Second {
				t.Errorf("got: %s received a message of a hub %v ago, want: more than 2 s", n.entry.VM, age)
			}
			n.close()
		}
	})
}
