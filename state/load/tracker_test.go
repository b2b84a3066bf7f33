package load_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/state/load"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func view(tracker *load.Tracker, now time.Time, model amaranthtide.ModelName, server amaranthtide.BackendServerName) (seen load.View) {
	tracker.Update(now, model, server, func(v load.View) int {
		seen = v
		seen.Peers = append([]load.PeerLoad(nil), v.Peers...)
		return v.InFlight
	})
	return seen
}

// Guards against concurrent decisions about two servers of one model that both use the
// same stale sum and exceed the limit together.
func TestUpdateIsAtomicPerModel(t *testing.T) {
	const workers, limit = 8, 1000
	tracker := load.New("self")
	servers := make([]amaranthtide.BackendServerName, workers)
	for i := range servers {
		servers[i] = amaranthtide.BackendServerName(fmt.Sprint(i))
	}
	tracker.SetServers("m", servers)
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			for range limit {
				tracker.Update(start, "m", s, func(v load.View) int {
					if v.Own < limit {
						return v.InFlight + 1
					}
					return v.InFlight
				})
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(view(tracker, start, "m", servers[0]).Own, limit)
}

// Guards against sums that include replaced reports or servers out of service, or that
// drop external requests too early.
func TestViewMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := load.New("self")
		now := start
		all := []amaranthtide.BackendServerName{"a", "b", "c", "d"}
		models := map[amaranthtide.BackendServerName]amaranthtide.ModelName{"a": "m", "b": "m", "c": "n", "d": "n"}
		tracker.SetServers("m", all[:2])
		tracker.SetServers("n", all[2:])
		vms := []amaranthtide.VMName{"self", "v", "w"}
		own := map[amaranthtide.BackendServerName]int{}
		outOfService := amaranthtide.NewSet[amaranthtide.BackendServerName]()
		type applied struct {
			r     amaranthtide.RouterReport
			taken time.Time
		}
		last := map[amaranthtide.VMName]applied{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"own": func(t *rapid.T) {
				s, n := rapid.SampledFrom(all).Draw(t, "server"), rapid.IntRange(0, 5).Draw(t, "n")
				tracker.Update(now, models[s], s, func(load.View) int { return n })
				own[s] = n
			},
			"service": func(t *rapid.T) {
				s := rapid.SampledFrom(all[:2]).Draw(t, "server")
				if outOfService.Has(s) {
					outOfService.Remove(s)
				} else {
					outOfService.Add(s)
				}
				var inService []amaranthtide.BackendServerName
				for _, s := range all[:2] {
					if !outOfService.Has(s) {
						inService = append(inService, s)
					}
				}
				tracker.SetServers("m", inService)
			},
			"report": func(t *rapid.T) {
				r := amaranthtide.RouterReport{VM: rapid.SampledFrom(vms).Draw(t, "vm"), Incarnation: amaranthtide.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")), Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")}
				for _, s := range all {
					if rapid.Bool().Draw(t, "owned") {
						r.Loads = append(r.Loads, amaranthtide.ServerLoad{Server: s, InFlight: rapid.IntRange(0, 5).Draw(t, "n"), CompletionsPerSecond: 1})
					}
				}
				tracker.Apply(now, r)
				if p := last[r.VM].r; r.Incarnation > p.Incarnation || (r.Incarnation == p.Incarnation && r.Sequence > p.Sequence) {
					last[r.VM] = applied{r, now}
				}
			},
			"": func(t *rapid.T) {
				for _, s := range all {
					m := models[s]
					var wantOwn, wantPeers, wantExternal, wantServers int
					for _, x := range all {
						if models[x] != m || outOfService.Has(x) {
							continue
						}
						wantServers++
						wantOwn += own[x]
						for _, vm := range vms[1:] {
							if a := last[vm]; now.Sub(a.taken) <= load.ExternalLoadTTL {
								for _, sl := range a.r.Loads {
									if sl.Server == x {
										wantPeers += sl.InFlight
									}
								}
							}
						}
					}
					for _, vm := range vms[1:] {
						if a := last[vm]; now.Sub(a.taken) <= load.ExternalLoadTTL {
							for _, sl := range a.r.Loads {
								if sl.Server == s {
									wantExternal += sl.InFlight
								}
							}
						}
					}
					v, peers := view(tracker, now, m, s), 0
					for _, p := range v.Peers {
						peers += p.Sum.InFlight
					}
					if v.Own != wantOwn || v.InFlight != own[s] || v.External != wantExternal || v.Servers != wantServers || peers != wantPeers {
						t.Fatalf("%s got: %+v, peers %d, want: own %d, in flight %d, external %d, servers %d, peers %d", s, v, peers, wantOwn, own[s], wantExternal, wantServers, wantPeers)
					}
				}
			},
		})
	})
}

// Guards against a digest that is added to the zone's earlier ones instead of replacing
// them.
func TestDigestReplacesEarlierOnes(t *testing.T) {
	is := is.New(t)
	tracker := load.New("self")
	tracker.SetServers("m", []amaranthtide.BackendServerName{"a", "z"})
	digest := func(from amaranthtide.VMName, sequence uint64, n int) {
		tracker.ApplyDigest(start, amaranthtide.ZoneDigest{Zone: "far", From: from, Sequence: sequence, Loads: []amaranthtide.ServerLoad{{Server: "z", InFlight: n}}})
	}
	digest("v", 5, 4)
	digest("w", 2, 6)
	digest("w", 1, 9)
	v := view(tracker, start, "m", "a")
	is.Equal(len(v.Peers), 1)
	is.Equal(v.Peers[0].Sum.InFlight, 6)
}
