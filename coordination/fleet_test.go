package coordination_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/mean"
)

const (
	outOfServiceBound = 3 * time.Second // P3 and P7
	tableBound        = 4 * time.Second // P9
	// recoveryTime is how long after a fault the views of all routers agree again. It
	// covers the suspicion time, the grace period, and the time for which the load of
	// earlier owners still counts.
	recoveryTime = 6 * time.Second
	// window and crossZoneWindow are the maximum ages of a load sum that an estimate may
	// include: the maximum age of a report, the transit times and, for another zone, the
	// age of the reports in a digest.
	window          = mean.MaxReportAge + 2*fleetMaxDelay
	crossZoneWindow = window + 2*time.Second
)

// checkStart checks a request that has just been sent to a server (P3, P6, P7).
func (f *fleet) checkStart(n *node, j *job) {
	if key := j.request.req.Key; key != "" && f.sendsByKey[key] > 1 {
		f.t.Fatalf("P6: %s was sent %d times, the last by %s", key, f.sendsByKey[key], n.name)
	}
	for i, c := range f.accepted {
		since := c.at
		if f.lastFault.After(since) {
			since = f.lastFault
		}
		if f.now.Sub(since) <= outOfServiceBound || f.superseded(i) {
			continue
		}
		if z, ok := c.change.After.(amaranthtide.Zone); ok && z.OutOfService && c.change.Key.Name == string(j.server.row.Zone) {
			f.t.Fatalf("P3: %s got new work %v after its zone was taken out of service", j.server.name, f.now.Sub(c.at))
		}
		if s, ok := c.change.After.(amaranthtide.BackendServer); ok && s.Leaving && c.change.Key.Name == string(j.server.name) {
			f.t.Fatalf("P7: %s got new work %v after it was marked as leaving", j.server.name, f.now.Sub(c.at))
		}
	}
}

// superseded reports whether the row of an accepted change has changed again. The later
// change may be one whose operator did not receive a result.
func (f *fleet) superseded(i int) bool {
	c := f.accepted[i].change
	for _, n := range f.nodes {
		if n.alive {
			if row, ok := n.table.Row(c.Key); ok && row.Revision > c.Revision {
				return true
			}
		}
	}
	return false
}

// checkAdmission checks the load of an engine after an admission (P1, P2).
func (f *fleet) checkAdmission(n *node, b *backend) {
	if !n.view.Settled(f.now, amaranthtide.GroupName(b.name)) || f.now.Sub(f.lastFault) < recoveryTime {
		return
	}
	f.checkedSends++
	upperBound := 0
	for _, other := range f.nodes {
		lookback := crossZoneWindow
		if other.zone == n.zone {
			lookback = window
		}
		sums := f.loadHistory[other]
		sums = sums[max(0, len(sums)-int(lookback/fleetStep)):]
		highest := f.stepPeaks[other]
		for _, s := range sums {
			highest = max(highest, s)
		}
		if other == n {
			highest = n.engineLoad()
		}
		upperBound += highest
	}
	servers := 0
	for _, s := range f.servers {
		row, _ := n.table.BackendServer(s.name)
		if z, _ := n.table.Zone(row.Zone); row.Model == "m" && !row.Leaving && !z.OutOfService {
			servers++
		}
	}
	if maxLoad := mean.Cap(upperBound, servers, 0, 0); len(b.inFlight) > maxLoad {
		f.t.Fatalf("P1: load of %s after an admission by %s got: %d, want: <= %d (total %d of %d servers)", b.name, n.name, len(b.inFlight), maxLoad, upperBound, servers)
	}
	// Until the owner knows of the new boot, it applies the allowance of the earlier one.
	known := n.gates[b.name].Load(f.now).Boot == amaranthtide.BootID(fmt.Sprint("boot-", b.bootNumber))
	if maxLoad := b.capacity(f.now); known && len(b.inFlight) > maxLoad {
		f.t.Fatalf("P2: load of %s after an admission by %s got: %d, want: <= %d", b.name, n.name, len(b.inFlight), maxLoad)
	}
}

// check checks the errors that callers got (P5) and the tables of all routers (P9).
func (f *fleet) check() {
	for _, r := range f.requests {
		if r.ended && r.err != nil && amaranthtide.KindOf(r.err).Reply().Ran == amaranthtide.RanNo && r.sends > 0 {
			f.t.Fatalf("P5: %s got error %v, which says not run, but was sent %d times", r.req.ID, r.err, r.sends)
		}
	}
	for _, n := range f.nodes {
		if !n.alive || n.frozen {
			continue
		}
		if got := n.table.Revision(); got < n.highestRevision {
			f.t.Fatalf("P9: revision of %s got: %d after %d", n.name, got, n.highestRevision)
		}
		n.highestRevision = n.table.Revision()
		for _, c := range f.accepted {
			if f.now.Sub(c.at) > tableBound && f.now.Sub(f.lastFault) > tableBound && n.highestRevision < c.change.Revision {
				f.t.Fatalf("P9: revision of %s got: %d, want: %d after %v", n.name, n.highestRevision, c.change.Revision, f.now.Sub(c.at))
			}
		}
	}
}

func (f *fleet) node(t *rapid.T) *node { return rapid.SampledFrom(f.nodes).Draw(t, "router") }

// edit starts an operator's edit of a zone or a server, based on the row that some
// router knows. Edits may conflict.
func (f *fleet) edit(t *rapid.T) {
	if len(f.edits) >= 10 {
		return
	}
	n := f.node(t)
	if !n.alive {
		return
	}
	key := amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")}
	if rapid.Bool().Draw(t, "server") {
		key = amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: string(rapid.SampledFrom(f.servers).Draw(t, "name").name)}
	}
	row, _ := n.table.Row(key)
	e := amaranthtide.Edit{Key: key, Expected: row.Revision}
	switch v := row.Value.(type) {
	case amaranthtide.Zone:
		v.OutOfService = !v.OutOfService
		e.Value = v
	case amaranthtide.BackendServer:
		if v.Model != "" && rapid.Bool().Draw(t, "version") {
			v.Version += "x"
		} else {
			v.Leaving = !v.Leaving
		}
		e.Value = v
	}
	f.edits = append(f.edits, newOperator(len(f.edits)+1, []amaranthtide.Edit{e}, f.now, f.now.Add(10*time.Second)))
}

// Guards against combinations of faults that violate a guarantee: routers that crash,
// freeze and restart, zones that are cut off, platform outages and lost answers, engines
// that turn cold, and conflicting edits, with requests with and without keys. Partitions
// inside a zone are not covered; see docs/PROOFS.md.
func TestFleet(t *testing.T) {
	if checks := flag.Lookup("rapid.checks").Value; checks.String() == defaultChecks {
		// A run takes ten times as long as a run of the other tests.
		if err := checks.Set("40"); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = checks.Set(defaultChecks) }()
	}
	sends, checkedSends := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		run := func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				f.advance()
			}
		}
		calls := func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "requests") {
				if n := f.node(t); n.alive && !n.frozen {
					f.request(n, "")
				}
			}
			f.advance()
		}
		t.Repeat(map[string]func(*rapid.T){
			"run1": run, "run2": run, "run3": run, "calls1": calls, "calls2": calls, "calls3": calls,
			"pay": func(t *rapid.T) {
				key := amaranthtide.IdempotencyKey(fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(t, "key")))
				for range 2 {
					if n := f.node(t); n.alive && !n.frozen {
						f.request(n, key)
					}
				}
			},
			"settle": func(t *rapid.T) { // P1 and P2 are checked only some time after a fault
				f.table.outage, f.zoneCut = false, false
				for _, n := range f.nodes {
					n.frozen = false
					if !n.alive {
						f.restart(n)
					}
				}
				for i := range int(recoveryTime/fleetStep) + 20 {
					if i%3 == 0 {
						f.request(f.nodes[f.random.IntN(len(f.nodes))], "")
					}
					f.advance()
				}
			},
			"kill": func(t *rapid.T) { f.kill(f.node(t)) },
			"restart": func(t *rapid.T) {
				if n := f.node(t); !n.alive {
					f.restart(n)
				}
			},
			"freeze": func(t *rapid.T) {
				if n := f.node(t); n.alive {
					n.frozen = true
					run(t)
					n.frozen = false
				}
			},
			"freezeLong": func(t *rapid.T) { f.node(t).frozen = true },
			"unfreeze":   func(t *rapid.T) { f.node(t).frozen = false },
			"cut":        func(t *rapid.T) { f.zoneCut = !f.zoneCut },
			"outage":     func(t *rapid.T) { f.table.outage = !f.table.outage },
			"lateCommit": f.table.commitLate,
			"edit":       f.edit,
			"cold": func(t *rapid.T) {
				b := rapid.SampledFrom(f.servers).Draw(t, "server")
				b.bootNumber++
				b.bootedAt = f.now
				clear(b.inFlight)
			},
		})
		sends, checkedSends = sends+f.sends, checkedSends+f.checkedSends
	})
	t.Logf("%d requests sent, %d of them checked for P1 and P2", sends, checkedSends)
}
