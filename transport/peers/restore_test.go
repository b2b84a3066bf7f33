package peers_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/restore"
)

// inEra reports whether the router has all tables in the given era.
func (n *node) inEra(era amaranthtide.StoreEra) bool {
	for _, table := range []amaranthtide.FeedTable{serversTable, operatorTable, registryTable} {
		if n.rows.Version(table).Or(ver(0)).Era() != era {
			return false
		}
	}
	return true
}

// Guards against a fleet that goes by the history of before after its store has come back from an older copy,
// that calls the store all at once, or whose registrations are lost. The hub of a zone ends, a router is cut off
// and one starts at that moment, and the store comes back from a copy once more.
func TestFleetAfterRestore(t *testing.T) {
	// The calls a second that the store of a fleet of that size allows.
	allowed := map[int]struct{ reads, writes int }{4: {2000, 400}, 33: {6000, 1200}, 100: {16000, 3200}}
	for _, perZone := range []int{4, 33, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			zones := startZones(t, f, "abc", perZone)
			defer func() { closeAll(zones) }()
			time.Sleep(10 * time.Second)
			cut := zones["c"][1]
			f.setDisconnected(cut.entry.VM, true)
			f.setFeedDown(true)
			time.Sleep(time.Second)
			hub := expectedHub(zones["a"])
			zones["a"] = slices.DeleteFunc(zones["a"], func(n *node) bool { return n == hub })
			hub.close()
			for era := amaranthtide.StoreEra(1); era <= 2; era++ {
				f.restore()
				restored := time.Now()
				if era == 1 {
					zones["b"] = append(zones["b"], f.start(t, "b", perZone+1, zones["a"][0].entry.Address))
				}
				all := slices.Concat(zones["a"], zones["b"], zones["c"])
				last := time.Duration(0)
				for _, n := range all {
					for n != cut && !n.inEra(era) && time.Since(restored) < 10*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					last = time.Since(restored)
				}
				time.Sleep(time.Until(restored.Add(5 * time.Second)))
				reads, writes := f.calls(serversTable, operatorTable, registryTable), f.count(&f.registryWrites)
				t.Logf("%d routers, era %d: all in the era after %v; in 5 s %d reads and %d writes", len(all), era, last, reads, writes)
				if last > restore.ServerGrace/2 {
					t.Errorf("%d routers: got: in the era %d after %v, want: within %v", len(all), era, last, restore.ServerGrace/2)
				}
				if most := 5 * allowed[perZone].reads / 100; reads > most {
					t.Errorf("%d routers: got: %d reads in 5 s, want: at most %d", len(all), reads, most)
				}
				if n, most := f.mostWrites(100*time.Millisecond), allowed[perZone].writes/20; n > most {
					t.Errorf("%d routers: got: %d registrations in 100 ms, want: at most %d", len(all), n, most)
				}
			}
			f.setDisconnected(cut.entry.VM, false)
			time.Sleep(12 * time.Second) // a write of the era before, the time between two writes, and the spread
			f.mu.Lock()
			registered := len(f.registry)
			f.mu.Unlock()
			if want := 3 * perZone; registered != want || !cut.inEra(2) {
				t.Errorf("got: %d routers registered, the one that was cut off in the last era: %v, want: %d", registered, cut.inEra(2), want)
			}
		})
	}
}

// mostWrites returns the largest number of registrations within a time of the given length.
func (f *fleet) mostWrites(d time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for i, from := range f.registeredAt {
		n := 0
		for _, at := range f.registeredAt[i:] {
			if at.Sub(from) < d {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
