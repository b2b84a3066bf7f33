package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/placement/leastload"
	"amaranthtide/coordination/placement/plain"
	"amaranthtide/coordination/placement/random"
	"amaranthtide/coordination/placement/rendezvous"
)

func servers(n int) []amaranthtide.Candidate {
	c := make([]amaranthtide.Candidate, n)
	for i := range c {
		c[i].Server = amaranthtide.BackendServerName(fmt.Sprintf("engine-%d", i))
	}
	return c
}

func chat(i int) amaranthtide.ChatID { return amaranthtide.ChatID(fmt.Sprintf("w/chat-%d", i)) }

// Guards against rankings that depend on the order in which a router lists the names.
func TestOrderIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := servers(rapid.IntRange(1, 40).Draw(t, "n"))
		b := rapid.Permutation(a).Draw(t, "permutation")
		p := placement.New(chat(rapid.Int().Draw(t, "chat")))
		a, b = p.Servers(a), p.Servers(slices.Clone(b))
		for i := range min(len(a), placement.MaxRanked) {
			if a[i] != b[i] {
				t.Fatalf("rank %d got: %v, want: %v", i, b[i].Server, a[i].Server)
			}
		}
		var live []amaranthtide.VMName
		for _, c := range a {
			live = append(live, amaranthtide.VMName(c.Server))
		}
		owner, _ := placement.Owner("s", live)
		contacts := placement.Contacts("z", live)
		slices.Reverse(live)
		if got, ok := placement.Owner("s", live); !ok || got != owner {
			t.Fatalf("owner got: %v, want: %v", got, owner)
		}
		if got := placement.Contacts("z", live); !slices.Equal(got, contacts) {
			t.Fatalf("contacts got: %v, want: %v", got, contacts)
		}
	})
}

// Guards against an order that changes with a release or a process, which would
// invalidate the engines' prompt caches at each rolling update.
func TestOrderIsStable(t *testing.T) {
	is := is.New(t)
	var got []amaranthtide.BackendServerName
	for _, c := range placement.New("w/chat").Servers(servers(8))[:3] {
		got = append(got, c.Server)
	}
	is.Equal(got, []amaranthtide.BackendServerName{"engine-0", "engine-4", "engine-7"})
	_, ok := placement.Owner("s", nil)
	is.True(!ok)
	is.Equal(len(placement.Contacts("z", nil)), 0)
}

// Guards against the removal of a server moving more chats than it has to, and
// against a second choice that depends on which other servers exist.
func TestMembershipChangeMovesFewChats(t *testing.T) {
	const chats = 10_000
	for _, n := range []int{5, 20, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			moved, misplaced := 0, 0
			all := servers(n)
			removed := all[n/2].Server
			remaining := slices.DeleteFunc(servers(n), func(c amaranthtide.Candidate) bool { return c.Server == removed })
			for i := range chats {
				p := placement.New(chat(i))
				p.Servers(all)
				p.Servers(remaining)
				if all[0] == remaining[0] {
					continue
				}
				moved++
				if all[0].Server != removed || remaining[0] != all[1] {
					misplaced++
				}
			}
			fairShare := float64(chats) / float64(n)
			t.Logf("moved %d of %d chats, %.2f times the fair share", moved, chats, float64(moved)/fairShare)
			if float64(moved) > 1.5*fairShare || moved == 0 {
				t.Errorf("got: %d moved, want: 1 to %.0f", moved, 1.5*fairShare)
			}
			if misplaced != 0 {
				t.Errorf("got: %d chats that moved needlessly or not to their second server, want: 0", misplaced)
			}
		})
	}
}

// Guards against zones whose share of the chats isn't proportional to their capacity.
func TestZonesByCapacity(t *testing.T) {
	const chats = 10_000
	chatsByHomeZone := map[amaranthtide.ZoneName]int{}
	for i := range chats {
		zones := []placement.Zone{{Name: "a", Capacity: 100}, {Name: "b", Capacity: 300}, {Name: "c"}}
		zones = placement.New(chat(i)).Zones(zones)
		chatsByHomeZone[zones[0].Name]++
		if zones[2].Name != "c" {
			t.Fatalf("got: %v last, want: the zone without capacity", zones[2].Name)
		}
	}
	if got := chatsByHomeZone["a"]; got < chats*22/100 || got > chats*28/100 {
		t.Errorf("got: %d chats in the zone of a quarter of the capacity, want: 2200 to 2800", got)
	}
}

// Guards against policies that drop or duplicate candidates, and against a full server
// that is ranked before one with room.
func TestPolicies(t *testing.T) {
	now := time.Unix(1000, 0)
	policies := []amaranthtide.PlacementPolicy{rendezvous.Policy{}, random.Policy{}, leastload.Policy{}, plain.Policy{}}
	rapid.Check(t, func(t *rapid.T) {
		in := servers(rapid.IntRange(0, 30).Draw(t, "n"))
		for i := range in {
			in[i].InFlight, in[i].Limit = rapid.IntRange(0, 3).Draw(t, "inFlight"), 2
			in[i].LoadTime = now.Add(-time.Duration(rapid.IntRange(0, 4).Draw(t, "age")) * time.Second)
		}
		for i, policy := range policies {
			out := policy.Order(now, "w/c", slices.Clone(in))
			seen := amaranthtide.NewSet(out...)
			if len(out) != len(in) || len(seen) != len(in) {
				t.Fatalf("policy %d got: %d candidates, want: %d", i, len(seen), len(in))
			}
		}
		ranked := policies[0].Order(now, "w/c", slices.Clone(in))
		want := slices.Clone(policies[3].Order(now, "w/c", slices.Clone(in)))
		if len(want) > placement.MaxRanked {
			return
		}
		slices.SortStableFunc(want, func(a, b amaranthtide.Candidate) int {
			return isFull(now, a) - isFull(now, b)
		})
		if !slices.Equal(ranked, want) {
			t.Fatalf("got: %v, want: %v", ranked, want)
		}
	})
}

// isFull returns 1 for a server that reported a full load within the last 2 s, else 0.
func isFull(now time.Time, c amaranthtide.Candidate) int {
	if c.InFlight >= c.Limit && now.Sub(c.LoadTime) <= 2*time.Second {
		return 1
	}
	return 0
}

func BenchmarkServers(b *testing.B) {
	for _, n := range []int{20, 500, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := servers(n)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				rendezvous.Policy{}.Order(now, "w/chat", c)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	live := make([]amaranthtide.VMName, 70)
	for i := range live {
		live[i] = amaranthtide.VMName(fmt.Sprintf("vm-%d", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		placement.Owner("engine-1", live)
	}
}
