package coordination_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/lease"
	"amaranthtide/coordination/order"
)

const longestOrder = 100 * time.Second

// holder is a router that may hold the lease. Its clock has an arbitrary offset and runs
// up to 1% too fast or too slow.
type holder struct {
	name        string
	rate        float64
	offset      time.Duration
	lease       *lease.Lease
	planner     *order.Planner
	leaseStep   lease.Step
	leaseResult *amaranthtide.TableResult
	version     int
	// pendingStep is an order that Next has returned and that is not sent yet.
	// sendAllowed means that MaySend allowed it before a pause.
	pendingStep    *order.Step
	pendingTerm    int
	pendingVersion int // the version that pendingStep orders
	sendAllowed    bool
}

func (h *holder) clock(now time.Time) time.Time {
	return epoch.Add(h.offset + time.Duration(float64(now.Sub(epoch))*h.rate))
}

type sentOrder struct {
	from  *holder
	order amaranthtide.Order
	// term and version give the intended sequence of all orders.
	term         int
	version      int
	reportedLost bool // the outcome was reported to the holder as unknown
	effectAt     time.Time
}

type fakeEngine struct {
	name           amaranthtide.BackendServerName
	checksFencing  bool
	rate           float64
	state          order.State
	highestFencing amaranthtide.FencingNumber
	lastEffect     sentOrder // the one that took effect last
	inFlight       []sentOrder
}

type orderModel struct {
	table   *fakeTable
	now     time.Time
	version int
	holders []*holder
	engines []*fakeEngine
	// pauseAfterCheck lets holders pause between MaySend and the send. Engines that ignore
	// fencing are not protected from this; only the next comparison corrects them.
	pauseAfterCheck bool
	// termCount counts the changes of the lease's holder. currentTerm is the latest term
	// of each holder.
	termCount   int
	currentTerm map[string]int
	lastHeld    string
}

// recordHolder records the holder of the lease according to the table service.
func (m *orderModel) recordHolder(tx amaranthtide.Transaction) {
	var row struct{ Holder string }
	if json.Unmarshal(tx.Writes[0].Value, &row) == nil && row.Holder != m.lastHeld {
		m.termCount++
		m.lastHeld, m.currentTerm[row.Holder] = row.Holder, m.termCount
	}
}

func (m *orderModel) declare(h *holder) {
	h.version = m.version
	for _, e := range m.engines {
		h.planner.Declare(e.name, amaranthtide.BackendServer{Zone: "z", Model: "m", Version: fmt.Sprint(m.version),
			Address: netip.MustParseAddrPort("127.0.0.1:80"), ChecksFencing: e.checksFencing}, longestOrder)
	}
}

func (m *orderModel) holder(t *rapid.T) *holder {
	return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
}

// advanceLease runs the next call of a holder or delivers its outcome. The holder may be
// paused for any time between issuing the call, running it and delivering its outcome.
func (m *orderModel) advanceLease(t *rapid.T, h *holder) {
	now := h.clock(m.now)
	if h.leaseResult != nil {
		r := *h.leaseResult
		h.leaseResult = nil
		h.leaseStep = h.lease.Next(now, r)
		return
	}
	call := h.lease.BeginCall(now, h.leaseStep)
	if !m.table.faultless && rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
		m.tick(t)
	}
	r := m.table.call(t, call)
	h.leaseResult = &r
}

func (m *orderModel) advancePlanner(t *rapid.T, h *holder) {
	now := h.clock(m.now)
	if h.pendingStep == nil {
		step := h.planner.Next(now, h.lease)
		switch step.Do {
		case order.Reserve:
			h.planner.Reserved(now, step.Order.Server, time.Duration(rapid.IntRange(0, 3).Draw(t, "wait"))*time.Second, nil)
		case order.Send:
			h.pendingStep, h.pendingTerm, h.pendingVersion = &step, m.currentTerm[h.name], h.version
		}
		return
	}
	step := *h.pendingStep
	if !h.sendAllowed {
		if !h.planner.MaySend(now, h.lease, step.Order) {
			h.pendingStep = nil
			h.planner.Ordered(now, step.Order.Server, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "late"))
			return
		}
		if h.sendAllowed = m.pauseAfterCheck; h.sendAllowed {
			return
		}
	}
	h.pendingStep, h.sendAllowed = nil, false
	m.send(t, h, step.Order)
}

func (m *orderModel) send(t *rapid.T, h *holder, o amaranthtide.Order) {
	i := slices.IndexFunc(m.engines, func(e *fakeEngine) bool { return e.name == o.Server })
	e := m.engines[i]
	if e.checksFencing && o.Fencing < e.highestFencing {
		h.planner.Ordered(h.clock(m.now), o.Server, amaranthtide.Errorf(amaranthtide.KindFenced, "fenced"))
		return
	}
	if e.checksFencing {
		e.highestFencing = o.Fencing
	}
	// The order takes up to the maximum duration, measured by the engine's own clock.
	duration := time.Duration(float64(longestOrder) / e.rate * float64(rapid.IntRange(0, 100).Draw(t, "duration")) / 100)
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	e.inFlight = append(e.inFlight, sentOrder{h, o, h.pendingTerm, h.pendingVersion, lost, m.now.Add(duration)})
	if lost {
		h.planner.Ordered(h.clock(m.now), o.Server, amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "lost"))
	}
}

func (m *orderModel) tick(t *rapid.T) {
	millis := rapid.SampledFrom([]int{10, 1000, 10_000, 30_000, 60_000, 95_000, 150_000, 320_000}).Draw(t, "millis")
	m.advance(t, time.Duration(millis)*time.Millisecond)
}

func (m *orderModel) advance(t *rapid.T, d time.Duration) {
	m.now = m.now.Add(d)
	for _, e := range m.engines {
		slices.SortStableFunc(e.inFlight, func(a, b sentOrder) int { return a.effectAt.Compare(b.effectAt) })
		for len(e.inFlight) > 0 && !e.inFlight[0].effectAt.After(m.now) {
			f := e.inFlight[0]
			e.inFlight = e.inFlight[1:]
			m.apply(t, e, f)
		}
	}
}

func (m *orderModel) apply(t *rapid.T, e *fakeEngine, f sentOrder) {
	reportOutcome := func(err error) {
		if !f.reportedLost {
			f.from.planner.Ordered(f.from.clock(m.now), e.name, err)
		}
	}
	if e.checksFencing && f.order.Fencing < e.highestFencing {
		reportOutcome(amaranthtide.Errorf(amaranthtide.KindFenced, "fenced"))
		return
	}
	stale := f.term < e.lastEffect.term || f.term == e.lastEffect.term && f.version < e.lastEffect.version
	if stale && (e.checksFencing || !m.pauseAfterCheck) {
		t.Fatalf("%s got: effect of term %d version %d after term %d version %d", e.name, f.term, f.version, e.lastEffect.term, e.lastEffect.version)
	}
	e.lastEffect = f
	e.state = order.State{Model: f.order.Model, Version: f.order.Version, Adapters: f.order.Adapters, Role: f.order.Role}
	reportOutcome(nil)
}

func (m *orderModel) observe(h *holder) {
	for _, e := range m.engines {
		h.planner.Observe(h.clock(m.now), e.name, e.state)
	}
}

// runOneHolder runs one holder every second without platform faults, so that it takes
// over the lease and sends orders as early as it may. The other holders are paused or,
// if othersCutOff is drawn, go on sending orders without the platform for as long as
// they may.
func (m *orderModel) runOneHolder(t *rapid.T) {
	h, faultless := m.holder(t), m.table.faultless
	othersCutOff, period := rapid.Bool().Draw(t, "othersCutOff"), rapid.IntRange(20, 110).Draw(t, "period")
	m.table.faultless = true
	for n := rapid.IntRange(0, 400).Draw(t, "seconds"); n > 0; n-- {
		m.advanceLease(t, h)
		m.advanceLease(t, h)
		m.checkHolders(t)
		if n%period == 0 {
			m.version++
		}
		for _, other := range m.holders {
			if other != h && !othersCutOff {
				continue
			}
			if other.version != m.version {
				m.declare(other)
			}
			m.observe(other)
			m.advancePlanner(t, other)
			m.advancePlanner(t, other)
		}
		m.advance(t, time.Second)
	}
	m.table.faultless = faultless
}

func (m *orderModel) checkHolders(t *rapid.T) {
	holders := 0
	for _, h := range m.holders {
		if h.lease.Holds(h.clock(m.now)) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("holders got: %d, want: at most 1", holders)
	}
}

// Guards against an engine that is left in the state of a stale order, and against a
// stale order that takes effect after a newer one (P11). Holders are paused at any
// step, their clocks differ, and calls to the platform fail at random.
func TestNoStaleOrderStays(t *testing.T) {
	checkTimes(t, 1, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.99, 1, 1.01})
		m := &orderModel{table: newFakeTable(), now: epoch, currentTerm: map[string]int{}, pauseAfterCheck: rapid.IntRange(0, 3).Draw(t, "pauseAfterCheck") == 0}
		m.table.onCommit = m.recordHolder
		for i := range 2 {
			m.engines = append(m.engines, &fakeEngine{name: amaranthtide.BackendServerName(fmt.Sprint("engine-", i)), checksFencing: i == 0, rate: rate.Draw(t, "engine rate")})
		}
		for i := range 3 {
			h := &holder{name: fmt.Sprint("router-", i), rate: rate.Draw(t, "rate"), offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Second}
			tokens := 0
			h.lease = lease.New(lease.Config{Zone: "z", Holder: h.name, LongestOrder: longestOrder, NewToken: func() amaranthtide.WriteToken {
				tokens++
				return amaranthtide.WriteToken(fmt.Sprint(h.name, "-", tokens))
			}})
			h.planner = order.New(order.Config{})
			h.leaseStep = h.lease.Start(h.clock(m.now))
			m.holders = append(m.holders, h)
			m.declare(h)
		}
		runLease := func(t *rapid.T) {
			h := m.holder(t)
			for range rapid.IntRange(1, 6).Draw(t, "calls") {
				m.advanceLease(t, h)
			}
		}
		plan := func(t *rapid.T) {
			h := m.holder(t)
			for range rapid.IntRange(1, 6).Draw(t, "plans") {
				m.advancePlanner(t, h)
			}
		}
		// A round is what routers do in a normal second. Each router may be paused for
		// the whole round.
		round := func(t *rapid.T) {
			running := rapid.IntRange(0, 7).Draw(t, "running")
			for i, h := range m.holders {
				if running&(1<<i) == 0 {
					continue
				}
				for range 4 {
					m.advanceLease(t, h)
				}
				m.observe(h)
				for range 6 {
					m.advancePlanner(t, h)
				}
			}
			m.tick(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"round1": round, "round2": round, "round3": round, "round4": round, "round5": round,
			"lease": runLease, "plan": plan, "tick": m.tick, "lateCommit": m.table.commitLate,
			"edit": func(t *rapid.T) {
				m.version++
				m.declare(m.holder(t))
			},
			"observe":        func(t *rapid.T) { m.observe(m.holder(t)) },
			"tickOneHolder1": m.runOneHolder, "tickOneHolder2": m.runOneHolder, "": m.checkHolders,
		})
		m.checkRecovery(t)
	})
}

// isStable reports whether all engines have the wanted state and no order is in flight
// that could change it.
func (m *orderModel) isStable() bool {
	for _, h := range m.holders {
		if h.pendingStep != nil {
			return false
		}
	}
	for _, e := range m.engines {
		if e.state.Version != fmt.Sprint(m.version) || len(e.inFlight) > 0 {
			return false
		}
	}
	return true
}

// checkRecovery runs the routers without platform faults until all engines have the
// wanted state, but for at most 400 rounds, and checks the states of the engines.
func (m *orderModel) checkRecovery(t *rapid.T) {
	m.table.removeFaults(t)
	for _, h := range m.holders {
		m.declare(h)
	}
	for n := 0; n < 400 && !m.isStable(); n++ {
		for _, h := range m.holders {
			now := h.clock(m.now)
			if h.leaseResult != nil {
				r := *h.leaseResult
				h.leaseResult = nil
				h.leaseStep = h.lease.Next(now, r)
			}
			r := m.table.call(t, h.lease.BeginCall(now, h.leaseStep))
			h.leaseStep = h.lease.Next(now, r)
			m.observe(h)
			for range 6 {
				m.advancePlanner(t, h)
			}
		}
		m.advance(t, 5*time.Second)
	}
	for _, e := range m.engines {
		if want := fmt.Sprint(m.version); e.state.Version != want || len(e.inFlight) > 0 {
			var pending []order.Pending
			for _, h := range m.holders {
				pending = append(pending, h.planner.Pending()...)
			}
			t.Fatalf("%s got: version %q, want: %q; %v", e.name, e.state.Version, want, pending)
		}
	}
}
