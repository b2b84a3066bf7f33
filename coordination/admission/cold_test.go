package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/ramp"
)

// The model that checks property P2 advances in steps. Each router reports every
// coldInterval, and a report takes at most coldInterval, so a new owner receives the
// previous owner's view within coldTakeoverDelay.
const (
	coldStep          = 10 * time.Millisecond
	coldInterval      = 100 * time.Millisecond
	coldTakeoverDelay = 4*coldInterval + 2*coldStep
)

type coldReport struct {
	from        int
	arrives     time.Time
	owns        bool // the sender considers itself the owner
	ownerChange int  // number of the latest change of owner that the sender knows
	load        amaranthtide.ServerLoad
}

type coldEngineReport struct {
	to                 int
	requested, arrives time.Time
	report             amaranthtide.EngineReport
}

// coldFleet is the state of the model: two routers and one server.
type coldFleet struct {
	cfg           ramp.Config
	now           time.Time
	boot          int
	booted        time.Time
	ownerChanges  int // number of changes of owner so far
	knownChange   [2]int
	gates         [2]*admission.Gate
	last          [2]coldReport // latest report of router i that the other one received
	messages      []coldReport
	engineReports []coldEngineReport
	inFlight      map[amaranthtide.AttemptID]int
	id            int
	// disputedUntil is the time until which the previous owner keeps the server,
	// unsettled, even if it knows the new owner.
	disputedUntil time.Time
	// unawareAt is when a router last considered itself the owner without knowing the
	// boot.
	unawareAt time.Time
}

func (f *coldFleet) isOwner(i int) bool { return f.knownChange[i]%2 == i }

// linearWarmUp returns the load that the server can handle at its true age.
func (f *coldFleet) linearWarmUp() int {
	age := f.now.Sub(f.booted)
	if age >= f.cfg.Duration {
		return f.cfg.Capacity
	}
	return f.cfg.ColdLimit + int(int64(f.cfg.Capacity-f.cfg.ColdLimit)*int64(age)/int64(f.cfg.Duration))
}

func (f *coldFleet) bootID() amaranthtide.BootID {
	return amaranthtide.BootID(fmt.Sprint("boot-", f.boot))
}

func (f *coldFleet) limits(i int) admission.Limits {
	other := f.last[1-i]
	return admission.Limits{External: other.load.InFlight, Settled: other.ownerChange == f.knownChange[i] && !other.owns}
}

// fill submits n requests to router i and starts those that are admitted.
func (f *coldFleet) fill(t *rapid.T, i, n int) {
	for range n {
		f.id++
		tk := ticket(fmt.Sprint(f.id), "w", 1, f.now.Add(time.Second))
		if d, _ := f.gates[i].Submit(f.now, tk, f.limits(i)); d == admission.Admitted {
			f.started(t, i, tk.Attempt)
		}
	}
	f.next(t, i)
}

func (f *coldFleet) next(t *rapid.T, i int) {
	started, _ := f.gates[i].Next(f.now, f.limits(i))
	for _, tk := range started {
		f.started(t, i, tk.Attempt)
	}
}

func (f *coldFleet) started(t *rapid.T, i int, a amaranthtide.AttemptID) {
	f.inFlight[a] = i
	limit, known := f.cfg.Capacity, f.knowsBoot(i)
	agreed := f.knownChange[0] == f.knownChange[1] && f.limits(i).Settled
	// While both routers consider themselves the owner, each must have received what
	// the other one started before it knew the boot.
	if known && (agreed || f.now.Sub(f.unawareAt) > 2*coldInterval+coldStep) {
		limit = f.linearWarmUp()
	}
	if len(f.inFlight) > limit {
		t.Fatalf("in flight after an admission by %d got: %d, want: <= %d at age %s (boot known: %v, limits %+v)", i, len(f.inFlight), limit, f.now.Sub(f.booted), known, f.limits(i))
	}
}

func (f *coldFleet) knowsBoot(i int) bool { return f.gates[i].Load(f.now).Boot == f.bootID() }

func (f *coldFleet) finish(a amaranthtide.AttemptID, complete bool) {
	f.gates[f.inFlight[a]].Finish(f.now, a, admission.Outcome{Complete: complete})
	delete(f.inFlight, a)
}

func (f *coldFleet) step(t *rapid.T) {
	f.now = f.now.Add(coldStep)
	if f.now.Sub(start)%coldInterval == 0 {
		for i := range f.gates {
			f.messages = append(f.messages, coldReport{i, f.now.Add(time.Duration(rapid.Int64Range(0, int64(coldInterval)).Draw(t, "transit"))), f.isOwner(i), f.knownChange[i], f.gates[i].Load(f.now)})
		}
	}
	var inTransit []coldReport
	for _, m := range f.messages {
		if m.arrives.After(f.now) {
			inTransit = append(inTransit, m)
			continue
		}
		f.receive(m)
	}
	f.messages = inTransit
	var pending []coldEngineReport
	for _, e := range f.engineReports {
		if e.arrives.After(f.now) {
			pending = append(pending, e)
		} else if f.isOwner(e.to) {
			f.gates[e.to].Observe(f.now, e.requested, e.report)
		}
	}
	f.engineReports = pending
	for i := range f.gates {
		if m := f.last[1-i]; m.ownerChange > f.knownChange[i] && !f.now.Before(f.disputedUntil) {
			f.knownChange[i] = m.ownerChange
			f.gates[i].SetOwned(f.now, f.isOwner(i))
		}
		if f.isOwner(i) && !f.knowsBoot(i) {
			f.unawareAt = f.now
		}
		f.next(t, i)
	}
}

// receive records a report of the other router. Reports with the same ownerChange may
// arrive out of order, as they do when connections break.
func (f *coldFleet) receive(m coldReport) {
	if m.ownerChange < f.last[m.from].ownerChange {
		return
	}
	f.last[m.from] = m
}

// Guards against a load of the server, counted over the fleet, above a linear warm-up
// by the true age of its boot (P2), when the owner learns of a reboot late and when the
// owner changes at that moment. Until the owner knows the boot, only the capacity
// bounds the load.
func TestLoadStaysWithinWarmUp(t *testing.T) {
	checked := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &coldFleet{cfg: ramp.Config{Capacity: rapid.IntRange(2, 12).Draw(t, "capacity"), Duration: 2 * time.Second}, now: start, booted: start, inFlight: map[amaranthtide.AttemptID]int{}}
		f.cfg.ColdLimit = rapid.IntRange(1, f.cfg.Capacity/2).Draw(t, "cold")
		for i := range f.gates {
			f.gates[i] = admission.New(start, admission.Config{Ramp: f.cfg, QueueLimit: 50, TakeoverDelay: coldTakeoverDelay})
		}
		f.gates[1].SetOwned(start, false)
		steps := func(t *rapid.T, n int) {
			for range n {
				f.step(t)
			}
		}
		requestEngineReport := func(t *rapid.T, i int) {
			f.engineReports = append(f.engineReports, coldEngineReport{i, f.now, f.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "lag")) * time.Millisecond), amaranthtide.EngineReport{Boot: f.bootID(), InFlight: len(f.inFlight)}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) { f.fill(t, rapid.IntRange(0, 1).Draw(t, "router"), 14) },
			"finish": func(t *rapid.T) {
				for id := range f.id {
					a := amaranthtide.AttemptID(fmt.Sprint(id + 1))
					if _, ok := f.inFlight[a]; ok && rapid.Bool().Draw(t, "end") {
						f.finish(a, true)
					}
				}
			},
			"wait": func(t *rapid.T) { steps(t, rapid.IntRange(1, 60).Draw(t, "steps")) },
			// Warms the server up, so that later actions run with a high allowance.
			"warmUp": func(t *rapid.T) {
				for range 10 {
					requestEngineReport(t, f.ownerChanges%2)
					f.fill(t, f.ownerChanges%2, 14)
					steps(t, 20)
					for a := range f.inFlight {
						f.finish(a, true)
					}
				}
			},
			"ask": func(t *rapid.T) { requestEngineReport(t, f.ownerChanges%2) },
			"reboot": func(t *rapid.T) {
				f.boot, f.booted = f.boot+1, f.now
				if rapid.Bool().Draw(t, "loses its work") {
					for a := range f.inFlight {
						f.finish(a, false)
					}
				}
			},
			"changeOwner": func(t *rapid.T) {
				if f.knownChange[0] != f.knownChange[1] || !f.limits(f.ownerChanges%2).Settled {
					t.Skip("the last change is not known everywhere")
				}
				f.ownerChanges++
				i := f.ownerChanges % 2
				f.knownChange[i] = f.ownerChanges
				f.disputedUntil = f.now.Add(time.Duration(max(0, rapid.IntRange(-1000, 2000).Draw(t, "dispute"))) * time.Millisecond)
				f.gates[i].SetOwned(f.now, true)
				if l := f.last[1-i].load; rapid.Bool().Draw(t, "fresh") {
					f.gates[i].Resume(f.now, l.Boot, l.Allowance)
				}
			},
		})
		checked += f.id
	})
	t.Logf("requests: %d", checked)
}
