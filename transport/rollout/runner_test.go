package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
)

func good(amaranthtide.VersionName) (time.Duration, bool) {
	return 20*time.Millisecond + rand.N(20*time.Millisecond), false
}

// bad returns a behavior with which v2 fails a fifth of its requests.
func bad(version amaranthtide.VersionName) (time.Duration, bool) {
	took, _ := good(version)
	return took, version == "v2" && rand.IntN(5) == 0
}

// awaitStage waits until a stage is recorded and fails the test after the given time.
func (f *fleet) awaitStage(t *testing.T, stage amaranthtide.RolloutStage, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); f.store.stage() != stage; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got: stage %d after %v, want: %d", f.store.stage(), within, stage)
		}
	}
}

// checkExposure checks that v2 got at most the allowed part of the requests since the order.
func (f *fleet) checkExposure(t *testing.T, from time.Time) {
	t.Helper()
	to := from.Add(orderDuration)
	fresh := f.sentBetween("v2", from, to)
	if fresh == 0 {
		t.Error("got: no request at the new version, want: some")
	}
	total := fresh + f.sentBetween("v1", from, to)
	if allowed := int(limits.ExposureShare*float64(total)) + limits.ExposureSlack; fresh > allowed {
		t.Errorf("got: %d of %d requests at the bad version, want: at most %d", fresh, total, allowed)
	}
}

// simulate runs a test of a fleet in simulated time.
func simulate(t *testing.T, behave func(version amaranthtide.VersionName) (time.Duration, bool), test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, behave)
		defer f.close()
		test(t, f)
	})
}

// Guards against a good version that isn't taken over in time, and against a success that is
// recorded while requests are in flight at servers that stop then.
func TestGoodVersionSucceeds(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
		if n := f.inFlight("v1"); n > 0 {
			t.Errorf("got: %d requests in flight at old servers, want: none", n)
		}
		succeeded := time.Now()
		time.Sleep(2 * time.Second)
		if n := f.sentBetween("v1", succeeded, time.Now()); n > 0 {
			t.Errorf("got: %d requests at old servers after the success, want: none", n)
		}
	})
}

// Guards against a bad version that gets more requests than allowed, or any later than the bound
// after its 50th bad answer, and against one that comes back.
func TestBadVersionIsRolledBack(t *testing.T) {
	simulate(t, bad, func(t *testing.T, f *fleet) {
		start := time.Now()
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutRolledBack, orderDuration)
		rolledBack := time.Now()
		f.restart(0)
		f.restart(3)
		time.Sleep(orderDuration)
		if n := f.sentBetween("v2", rolledBack.Add(2*feedDelay), time.Now()); n > 0 {
			t.Errorf("got: %d requests at the version that was rolled back, want: none", n)
		}
		f.checkExposure(t, start)
	})
}

// Guards against requests at a new version that no order names yet, since its order may follow,
// and against servers of an ordinary release that are held back for long.
func TestNewVersionIsHeldBack(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		is := is.New(t)
		release := amaranthtide.Instance{Name: "v3-0", Service: service, Version: "v3", Started: time.Now()}
		r := f.all()[0]
		f.list(release)
		uses := func() bool {
			servers, ok := r.Select(time.Now(), &amaranthtide.Request{Service: service}, false)
			for _, in := range servers {
				if in.Version == release.Version {
					return true
				}
			}
			return !ok
		}
		is.True(!uses())
		time.Sleep(2 * time.Second)
		is.True(uses())
	})
}

// Guards against a rollback that waits for the store, and against one that isn't recorded once the
// store is back.
func TestRollbackWithoutStore(t *testing.T) {
	simulate(t, bad, func(t *testing.T, f *fleet) {
		start := time.Now()
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.store.set(func() { f.store.down = true })
		time.Sleep(6 * time.Second)
		if n := f.sentBetween("v2", time.Now().Add(-time.Second), time.Now()); n > 0 {
			t.Errorf("got: %d requests at the bad version while the store is down, want: none", n)
		}
		f.store.set(func() { f.store.down = false })
		f.awaitStage(t, amaranthtide.RolloutRolledBack, 3*time.Second)
		f.checkExposure(t, start)
	})
}

// Guards against a restarted router that uses a version whose rollback could not be recorded, until
// the hubs send the rollback again.
func TestRestartedRouterAwaitsRollbacks(t *testing.T) {
	simulate(t, bad, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.store.set(func() { f.store.down = true })
		time.Sleep(6 * time.Second)
		for index := range f.all() {
			f.restart(index)
			for n := range 500 {
				time.Sleep(2 * time.Millisecond)
				req := &amaranthtide.Request{Service: service, Route: "list", ID: amaranthtide.RequestID(fmt.Sprint("after-", n))}
				servers, _ := f.all()[index].Select(time.Now(), req, false)
				if slices.ContainsFunc(servers, func(in amaranthtide.Instance) bool { return in.Version == "v2" }) {
					t.Fatalf("router %d: got: the bad version after a restart, want: none", index)
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a promotion that takes effect although it isn't recorded.
func TestPromotionWaitsForStore(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		start := time.Now()
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.store.set(func() { f.store.down = true })
		time.Sleep(2 * orderDuration)
		f.checkExposure(t, start)
		f.store.set(func() { f.store.down = false })
		f.awaitStage(t, amaranthtide.RolloutRolledBack, 3*time.Second)
	})
}

// Guards against a hub that was cut off, knows an old stage, and rolls a version back which has
// succeeded in the meantime.
func TestHubWithOldStage(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		old := f.all()[0]
		old.cut.Store(true)
		f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
		time.Sleep(orderDuration)
		old.cut.Store(false)
		time.Sleep(time.Second) // its messages and writes, before it has the rows
		old.readRows()
		time.Sleep(time.Second)
		if stage := f.store.stage(); stage != amaranthtide.RolloutSucceeded {
			t.Errorf("got: stage %d, want: the success", stage)
		}
		from := time.Now()
		time.Sleep(time.Second)
		if n := f.sentBetween("v1", from, time.Now()); n > 0 {
			t.Errorf("got: %d requests at the old version, want: none", n)
		}
	})
}

// Guards against a step that is taken twice, or given up, when the answer of its write is lost.
func TestLostAnswersOfWrites(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.store.set(func() { f.store.loseReplies = true })
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
		f.checkSteps(t)
	})
}

// Guards against a router that waits to repeat a write although the feed has shown that it was
// performed: the next steps are then late, and the success comes after the deadline.
func TestLostAnswersDelayNoStep(t *testing.T) {
	steps := make(map[bool]int)
	for _, isLost := range []bool{false, true} {
		simulate(t, good, func(t *testing.T, f *fleet) {
			f.store.set(func() { f.store.loseReplies = isLost })
			f.order("v2")
			f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
			f.store.set(func() { steps[isLost] = len(f.store.history) })
		})
	}
	if steps[true] < steps[false] {
		t.Errorf("got: %d steps when all answers are lost, want: %d as without losses", steps[true], steps[false])
	}
}

// checkSteps checks that no stage or share was recorded twice, and that the share never fell.
func (f *fleet) checkSteps(t *testing.T) {
	t.Helper()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, s := range f.store.history {
		if i > 0 && s.Order == f.store.history[i-1].Order && (s.Stage < f.store.history[i-1].Stage || s.Share <= f.store.history[i-1].Share && s.Stage == f.store.history[i-1].Stage) {
			t.Errorf("got: stage %d with share %v after stage %d with share %v, want: a later step", s.Stage, s.Share, f.store.history[i-1].Stage, f.store.history[i-1].Share)
		}
	}
}

// Guards against a write that is performed late and brings a version back that has been rolled
// back in the meantime.
func TestLateWrite(t *testing.T) {
	var turnsBad atomic.Int64
	behave := func(version amaranthtide.VersionName) (time.Duration, bool) {
		if at := turnsBad.Load(); at > 0 && time.Now().UnixNano() > at {
			return bad(version)
		}
		return good(version)
	}
	simulate(t, behave, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		// The promotion is written late, and by then the version is bad.
		turnsBad.Store(time.Now().Add(orderDuration / 2).UnixNano())
		f.store.set(func() { f.store.delay = 3 * time.Second })
		time.Sleep(orderDuration)
		f.store.set(func() { f.store.delay = 0 })
		f.awaitStage(t, amaranthtide.RolloutRolledBack, 4*time.Second)
		time.Sleep(4 * time.Second)
		if n := f.sentBetween("v2", time.Now().Add(-4*time.Second), time.Now()); n > 0 {
			t.Errorf("got: %d requests at the version that was rolled back, want: none", n)
		}
	})
}

// Guards against a rollout that stops when the router that records its steps is killed, or whose
// steps all wait for the zone that has gone.
func TestProposerIsKilled(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.all()[0].close()
		time.Sleep(3 * time.Second)
		f.all()[1].close() // the zone has no router any more
		f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration-3*time.Second)
		var steps int
		f.store.set(func() { steps = len(f.store.history) })
		if steps < 4 {
			t.Errorf("got: %d steps, want: the shift in several ones", steps)
		}
	})
}

// Guards against routers that restart and exceed the exposure, since they have lost their counts.
func TestAllRoutersRestart(t *testing.T) {
	for name, behave := range map[string]func(amaranthtide.VersionName) (time.Duration, bool){"good": good, "bad": bad} {
		t.Run(name, func(t *testing.T) {
			simulate(t, behave, func(t *testing.T, f *fleet) {
				start := time.Now()
				f.order("v2")
				f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
				time.Sleep(time.Second)
				for i := range f.all() {
					f.restart(i)
				}
				want := amaranthtide.RolloutSucceeded
				if name == "bad" {
					want = amaranthtide.RolloutRolledBack
				}
				f.awaitStage(t, want, orderDuration-3*time.Second)
				if name == "bad" {
					f.checkExposure(t, start)
				}
			})
		})
	}
}

// Guards against a version that keeps its requests after its order was withdrawn, also if no
// router was there to see it.
func TestOrderIsWithdrawn(t *testing.T) {
	for name, isUnseen := range map[string]bool{"seen": false, "unseen": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, good, func(t *testing.T, f *fleet) {
				f.order("v2")
				f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
				if isUnseen {
					for _, r := range f.all() {
						r.close()
					}
					f.store.setOrder(amaranthtide.None[amaranthtide.RolloutOrder]())
					f.store.set(func() { f.store.orderVersion = ver(0) }) // a table that is read whole lacks the row
					for i := range f.all() {
						f.restart(i)
					}
				} else {
					f.store.setOrder(amaranthtide.None[amaranthtide.RolloutOrder]())
				}
				f.awaitStage(t, amaranthtide.RolloutRolledBack, 3*time.Second)
				time.Sleep(time.Second + 2*feedDelay)
				if n := f.sentBetween("v2", time.Now().Add(-time.Second), time.Now()); n > 0 {
					t.Errorf("got: %d requests at the version of the withdrawn order, want: none", n)
				}
			})
		})
	}
}

// Guards against a replaced order whose version keeps its requests, and against a new one that
// isn't carried out.
func TestOrderIsReplaced(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		time.Sleep(3 * time.Second)
		f.order("v3")
		time.Sleep(2 * time.Second)
		replaced := time.Now()
		f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
		if n := f.sentBetween("v2", replaced, time.Now()); n > 0 {
			t.Errorf("got: %d requests at the version of the replaced order, want: none", n)
		}
	})
}

// Guards against a router that receives no verdict, because it is partitioned, and keeps sending to
// the new version.
func TestPartitionedRouterSendsNothingToCanary(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		time.Sleep(time.Second)
		for _, r := range f.all() {
			r.cut.Store(true)
		}
		time.Sleep(time.Second) // the routers learn of the silence at their next tick
		cut := time.Now()
		time.Sleep(2 * time.Second)
		if n := f.sentBetween("v2", cut, time.Now()); n > 0 {
			t.Errorf("got: %d requests at the new version, want: none", n)
		}
	})
}

// Guards against a rollout of a service that doesn't exist, for which operators would see a status.
func TestOrderOfUnknownService(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		order := amaranthtide.RolloutOrder{Service: "unknown", To: "v2", Duration: orderDuration}
		for _, r := range f.all() {
			r.OrderChanged(time.Now(), order.Service, ver(11), amaranthtide.Some(order))
		}
		time.Sleep(orderDuration)
		if stage := f.store.stage(); stage != 0 {
			t.Errorf("got: stage %d, want: nothing recorded", stage)
		}
	})
}

// Guards against a rollout that waits until its deadline for servers that never come.
func TestVersionWithoutServers(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.store.setOrder(amaranthtide.Some(amaranthtide.RolloutOrder{Service: service, To: "v2", Duration: orderDuration}))
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.awaitStage(t, amaranthtide.RolloutRolledBack, orderDuration*9/10)
		from := time.Now()
		time.Sleep(time.Second)
		if n := f.sentBetween("v1", from, time.Now()); n == 0 {
			t.Error("got: no request at the old servers, want: some")
		}
	})
}
