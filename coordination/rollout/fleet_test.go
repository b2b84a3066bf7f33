package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/rollout"
	"amaranthtide/state/outcomes"
)

const (
	tick        = 10 * time.Millisecond
	judgeEvery  = 250 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	hubCount    = 3
)

// The limits of the fleet's users. rollbackBound counts from the bad answer with the number
// boundAnswer.
var limits = rollout.Limits{ExposureShare: 0.1, ExposureSlack: 50, RollbackBound: 5 * time.Second}

const boundAnswer = 50

var (
	start        = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	routeWeights = []float64{0.6, 0.28, 0.09, 0.03}
	routeMillis  = []float64{40, 90, 150, 60}
)

// trouble describes what goes wrong in a simulated rollout.
type trouble struct {
	name string
	bad  bool
	// The new version's answers fail or are slower by a factor with a probability, from a part of
	// the order's duration on, on one route (-1: all), at servers under the usual load.
	failShare, slowShare, factor, from float64
	route                              int
	underLoad                          bool
	// Both versions are slower, or fail more often; one zone or one chat with a share of the
	// requests is slower; the first answers are slower; a canary server stops.
	slowHour, failHour, slowZone, slowChat, cold, crash bool
}

// simRouter is a simulated router. It is a hub if it is one of the first hubCount.
type simRouter struct {
	vm      amaranthtide.VMName
	weight  float64
	inc     amaranthtide.Incarnation
	counter *outcomes.Counter
	meter   *rollout.Meter
	pools   *rollout.Pools
	history *rollout.History
	// version is the number of the state that it knows, announced a rollback that it has received.
	version     int
	announced   *amaranthtide.RolloutState
	received    time.Duration
	cut         bool
	cutAt       time.Duration
	contactFrom time.Duration // when it receives the next message of a hub after its start or a cut
}

// simFleet is a simulated fleet during one rollout.
type simFleet struct {
	trouble
	rng       *rand.Rand
	now       time.Duration
	events    map[int64][]func()
	duration  time.Duration
	rate      float64
	popular   float64
	routers   []*simRouter
	instances []amaranthtide.Instance
	inFlight  []int
	stopped   int // the server that has stopped, or -1
	stopAt    time.Duration
	stored    []amaranthtide.RolloutState // in the order of their numbers
	storeDown [2]time.Duration
	announced *amaranthtide.RolloutState

	requests, sentNew, badSeen, lost int
	firstNew, boundFrom, lastSent    time.Duration
	finalAt                          time.Duration
	final                            amaranthtide.RolloutState
}

func newSimFleet(seed uint64, t trouble) *simFleet {
	f := &simFleet{trouble: t, rng: rand.New(rand.NewPCG(seed, 20)), events: make(map[int64][]func()), stopped: -1, firstNew: -1}
	f.duration = []time.Duration{12, 6, 24, 12, 6, 12, 6, 24, 12, 60}[seed%10] * time.Second
	f.rate = 100 * math.Pow(15, f.rng.Float64())
	f.popular = 0.03 + 0.2*f.rng.Float64()
	n := 4 + f.rng.IntN(36)
	for i := range 2 * n {
		f.instances = append(f.instances, amaranthtide.Instance{
			Name: amaranthtide.BackendServerName(strconv.Itoa(i)), Zone: amaranthtide.ZoneName("abc"[i%3 : i%3+1]), Version: []amaranthtide.VersionName{"v1", "v2"}[i/n],
		})
	}
	f.inFlight = make([]int, 2*n)
	for range 20 + f.rng.IntN(81) {
		f.join()
	}
	f.precede()
	if f.rng.IntN(4) == 0 {
		at := f.part(0.7 * f.rng.Float64())
		f.storeDown = [2]time.Duration{at, at + min(6*time.Second, f.part(0.3))}
	}
	f.stopAt = f.part(0.1 + 0.3*f.rng.Float64())
	return f
}

func (f *simFleet) part(p float64) time.Duration { return time.Duration(p * float64(f.duration)) }

func (f *simFleet) time() time.Time { return start.Add(f.now) }

// after runs a function between two times from now.
func (f *simFleet) after(a, b time.Duration, do func()) {
	at := int64((f.now+a+time.Duration(f.rng.Int64N(int64(b-a+1))))/tick) + 1
	f.events[at] = append(f.events[at], do)
}

func (f *simFleet) join() {
	f.routers = append(f.routers, &simRouter{vm: amaranthtide.VMName(strconv.Itoa(len(f.routers))), weight: 0.5 + f.rng.Float64()})
	f.restart(f.routers[len(f.routers)-1])
}

// precede lets the routers count the traffic of some time before the order.
func (f *simFleet) precede() {
	const seconds = 30
	for _, r := range f.routers {
		for route, weight := range routeWeights {
			for i := range int(seconds*f.rate/float64(len(f.routers))*r.weight*weight + f.rng.Float64()) {
				r.counter.Record("pool", "v1", amaranthtide.RouteName(strconv.Itoa(route)), outcomes.Outcome{
					Zone: f.instances[i%3].Zone, Failed: f.rng.Float64() < 0.003, Duration: time.Duration(routeMillis[route] * math.Exp(0.5*f.rng.NormFloat64()) * float64(time.Millisecond)),
				})
			}
		}
		r.meter = rollout.NewMeter(f.rng.Float64(), r.counter.Own("pool"))
	}
}

// restart replaces a router by one that knows the order but no state.
func (f *simFleet) restart(r *simRouter) {
	*r = simRouter{vm: r.vm, weight: r.weight, inc: r.inc + 1, counter: outcomes.New(r.vm, r.inc+1), meter: rollout.NewMeter(f.rng.Float64(), nil)}
	f.apply(r)
	f.receive(r)
	f.deliver(r, len(f.stored))
}

// apply makes a router act by what it knows.
func (f *simFleet) apply(r *simRouter) {
	recorded, announced := amaranthtide.None[amaranthtide.RolloutState](), amaranthtide.None[amaranthtide.RolloutState]()
	if r.version > 0 {
		recorded = amaranthtide.Some(f.stored[r.version-1])
	}
	if r.announced != nil {
		announced = amaranthtide.Some(*r.announced)
	}
	o := amaranthtide.RolloutOrder{Service: "pool", To: "v2", Duration: f.duration}
	r.pools = rollout.NewPools(rollout.View{State: rollout.Effective(recorded, announced), Order: amaranthtide.Some(o), Instances: f.instances})
}

// receive brings the next message of a hub to a router, with the announced rollback if there is one.
func (f *simFleet) receive(r *simRouter) {
	r.contactFrom = math.MaxInt64
	f.after(20*time.Millisecond, 400*time.Millisecond, func() {
		if r.cut {
			return // it receives them after the cut
		}
		r.announced, r.contactFrom = f.announced, f.now
		f.apply(r)
	})
}

// deliver brings a recorded state to a router. Some routers learn of it late.
func (f *simFleet) deliver(r *simRouter, version int) {
	a, b := 50*time.Millisecond, 400*time.Millisecond
	if f.rng.IntN(20) == 0 {
		a, b = time.Second, 2*time.Second
	}
	inc := r.inc
	f.after(a, b, func() {
		switch {
		case r.inc != inc || r.version >= version:
		case r.cut:
			f.deliver(r, version)
		default:
			r.version, r.received = version, f.now
			if r.history == nil {
				r.history = rollout.NewHistory(f.time(), f.stored[version-1])
			}
			f.apply(r)
		}
	})
}

// record writes a state if it follows the stored one and the store works.
func (f *simFleet) record(previous int, s amaranthtide.RolloutState) {
	f.after(30*time.Millisecond, 150*time.Millisecond, func() {
		if f.now >= f.storeDown[0] && f.now < f.storeDown[1] || len(f.stored) != previous {
			return
		}
		f.stored = append(f.stored, s)
		if s.Stage.Final() {
			f.final, f.finalAt = s, f.now
			if s.Stage == amaranthtide.RolloutSucceeded {
				f.lost = f.inFlightOld()
			}
		}
		for _, r := range f.routers {
			f.deliver(r, len(f.stored))
		}
	})
}

func (f *simFleet) inFlightOld() int {
	n := 0
	for _, k := range f.inFlight[:len(f.inFlight)/2] {
		n += k
	}
	return n
}

// judge lets a hub decide on what it knows.
func (f *simFleet) judge(hub *simRouter) {
	if hub.version == 0 || hub.cut || f.finalAt > 0 {
		return
	}
	if hub.announced != nil {
		f.record(len(f.stored), *hub.announced) // until the store takes it
		return
	}
	hub.history.Observe(f.time(), hub.counter.Totals("pool"))
	next, due := rollout.Next(f.time(), f.stored[hub.version-1], rollout.Evidence{
		Windows: hub.history.Windows(), InFlightOld: f.inFlightOld(), NewServers: len(f.instances) / 2, OldServers: len(f.instances) / 2,
		OrderStands: true, Age: time.Second, StateAge: f.now - hub.received,
	}, limits)
	if !due {
		return
	}
	if next.Stage == amaranthtide.RolloutRolledBack && f.announced == nil {
		f.announced = &next
		for _, r := range f.routers {
			contactFrom := r.contactFrom
			f.receive(r)
			r.contactFrom = contactFrom
		}
	}
	f.record(hub.version, next)
}

// report sends a router's list to its hub, and those of a hub's routers to the other hubs.
func (f *simFleet) report(i int) {
	r := f.routers[i]
	if r.cut {
		return
	}
	lists, to := []outcomes.List{{VM: r.vm, Incarnation: r.inc, Outcomes: r.counter.Own("pool")}}, f.routers[i%hubCount:][:1]
	if i < hubCount {
		lists, to = nil, f.routers[:hubCount]
		for _, l := range r.counter.Lists("pool") {
			if n, _ := strconv.Atoi(string(l.VM)); n%hubCount == i {
				lists = append(lists, l)
			}
		}
	}
	f.after(10*time.Millisecond, 200*time.Millisecond, func() {
		for _, hub := range to {
			for _, l := range lists {
				hub.counter.Merge("pool", l)
			}
		}
	})
}

// disturb lets routers restart, join and be cut off.
func (f *simFleet) disturb() {
	r := f.routers[hubCount+f.rng.IntN(len(f.routers)-hubCount)]
	switch f.rng.IntN(3) {
	case 0:
		f.restart(r)
	case 1:
		f.join()
	case 2:
		if r.cut {
			return
		}
		r.cut, r.cutAt = true, f.now
		f.after(time.Second, 8*time.Second, func() {
			r.cut = false
			f.receive(r)
		})
	}
}

// run plays the rollout, and some seconds more.
func (f *simFleet) run() error {
	state, err := rollout.Start(f.time(), amaranthtide.RolloutOrder{Service: "pool", To: "v2", Duration: f.duration}, ver(5), limits)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	f.record(0, state)
	for end := f.duration + 3*time.Second; f.now < end; f.now += tick {
		due := f.events[int64(f.now/tick)]
		delete(f.events, int64(f.now/tick))
		for _, do := range due {
			do()
		}
		if half := len(f.inFlight) / 2; f.crash && f.stopped < 0 && f.now >= f.stopAt {
			f.stopped = half + slices.Index(f.inFlight[half:], slices.Max(f.inFlight[half:]))
		}
		f.arrive()
		for i, r := range f.routers {
			if (f.now+time.Duration(i)*7*tick)%reportEvery == 0 {
				f.report(i)
			}
			if i < hubCount && (f.now+time.Duration(i)*8*tick)%judgeEvery == 0 {
				f.judge(r)
			}
		}
		if f.rng.IntN(int(f.duration/tick)) < 4 {
			f.disturb()
		}
	}
	return nil
}
