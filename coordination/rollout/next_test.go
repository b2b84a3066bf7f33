package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/rollout"
)

var order = amaranthtide.RolloutOrder{Service: "pool", To: "v2", Duration: 20 * time.Second}

func started(t *testing.T) amaranthtide.RolloutState {
	t.Helper()
	s, err := rollout.Start(start, order, ver(5), limits)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// counts are the outcomes on one route in one zone in a window: answers, failures, and answers that
// take 200 ms instead of 20 ms.
type counts struct{ answers, failures, slow int }

func (c counts) outcomes(version amaranthtide.VersionName, route amaranthtide.RouteName, zone amaranthtide.ZoneName) amaranthtide.VersionOutcomes {
	o := amaranthtide.VersionOutcomes{Service: "pool", Version: version, Route: route, Zone: zone, Answers: uint64(c.answers), Failures: uint64(c.failures)}
	for i := range c.answers - c.failures {
		if i < c.slow {
			o.Durations.Add(200 * time.Millisecond)
		} else {
			o.Durations.Add(20 * time.Millisecond)
		}
	}
	return o
}

func window(outcomes ...amaranthtide.VersionOutcomes) rollout.Window {
	return rollout.Window{Length: 500 * time.Millisecond, Warm: true, Outcomes: outcomes}
}

func repeat(n int, w rollout.Window) []rollout.Window {
	var out []rollout.Window
	for range n {
		out = append(out, w)
	}
	return out
}

func evidence(windows ...rollout.Window) rollout.Evidence {
	return rollout.Evidence{Windows: windows, NewServers: 4, OldServers: 4, InFlightOld: 3, OrderStands: true, Age: time.Second, StateAge: 10 * time.Second}
}

// Guards against a bad version that isn't recognized, and against a verdict for what affects both
// versions or only a moment.
func TestVerdict(t *testing.T) {
	sound := window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{200, 1, 4}.outcomes("v1", "a", "x"))
	with := func(fresh, old counts) rollout.Window {
		return window(fresh.outcomes("v2", "a", "x"), old.outcomes("v1", "a", "x"))
	}
	small := window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{200, 1, 4}.outcomes("v1", "a", "x"),
		counts{2, 1, 0}.outcomes("v2", "b", "x"), counts{20, 0, 0}.outcomes("v1", "b", "x"))
	slowZone := window(counts{20, 0, 16}.outcomes("v2", "a", "x"), counts{40, 0, 32}.outcomes("v1", "a", "x"), counts{360, 1, 4}.outcomes("v1", "a", "y"))
	slowOnRoute := window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{200, 1, 4}.outcomes("v1", "a", "x"),
		counts{2, 0, 1}.outcomes("v2", "b", "x"), counts{5, 0, 0}.outcomes("v1", "b", "x"))
	slowZoneOnRoute := append(repeat(12, window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{60, 0, 0}.outcomes("v1", "a", "x"), counts{300, 0, 0}.outcomes("v1", "a", "y"),
		counts{4, 0, 0}.outcomes("v2", "b", "x"), counts{6, 0, 0}.outcomes("v1", "b", "x"), counts{30, 0, 0}.outcomes("v1", "b", "y"))),
		repeat(5, window(counts{20, 0, 0}.outcomes("v2", "a", "z"), counts{20, 0, 18}.outcomes("v1", "a", "x"), counts{340, 0, 0}.outcomes("v1", "a", "y"),
			counts{4, 0, 4}.outcomes("v2", "b", "x"), counts{2, 0, 0}.outcomes("v1", "b", "x"), counts{34, 0, 0}.outcomes("v1", "b", "y")))...)
	fewOld := []rollout.Window{with(counts{2, 0, 2}, counts{1, 0, 0}), with(counts{2, 0, 2}, counts{1, 0, 0}), with(counts{2, 0, 2}, counts{1, 0, 0}), with(counts{2, 0, 2}, counts{1, 0, 0}), with(counts{2, 0, 2}, counts{1, 0, 0})}
	cold := with(counts{20, 0, 20}, counts{200, 1, 4})
	cold.Warm = false
	for _, k := range []struct {
		name    string
		bad     bool
		windows []rollout.Window
	}{
		{"failures", true, repeat(6, with(counts{20, 5, 0}, counts{200, 1, 0}))},
		{"failures later", true, append(repeat(40, sound), repeat(6, with(counts{20, 6, 0}, counts{200, 1, 0}))...)},
		{"all slow", true, repeat(6, with(counts{20, 0, 20}, counts{200, 1, 4}))},
		{"slow in part", true, repeat(8, with(counts{20, 0, 7}, counts{200, 1, 4}))},
		{"failures on a small route", true, repeat(12, small)},
		{"after the last old answers", true, append(repeat(30, sound), repeat(6, window(counts{200, 40, 0}.outcomes("v2", "a", "x")))...)},
		{"sound", false, repeat(12, sound)},
		{"failures of both", false, repeat(12, with(counts{20, 6, 0}, counts{200, 60, 0}))},
		{"both slow", false, repeat(12, with(counts{20, 0, 20}, counts{200, 0, 200}))},
		{"slow on a small route", true, repeat(6, slowOnRoute)},
		{"slow zone, seen on another route", false, slowZoneOnRoute},
		{"few answers of the old version", false, fewOld},
		{"slow zone", false, repeat(12, slowZone)},
		{"one moment", false, append(append(repeat(6, sound), with(counts{20, 15, 0}, counts{200, 1, 4})), repeat(3, sound)...)},
		{"cold start", false, append(repeat(2, cold), repeat(6, sound)...)},
		{"only the new version", false, repeat(6, window(counts{20, 10, 0}.outcomes("v2", "a", "x")))},
	} {
		s, due := rollout.Next(start.Add(6*time.Second), started(t), evidence(k.windows...), limits)
		if got := due && s.Stage == amaranthtide.RolloutRolledBack; got != k.bad {
			t.Errorf("%s: got: rolled back %v (%q), want: %v", k.name, got, s.Reason, k.bad)
		}
	}
}

// Guards against stages that come too early, without evidence or not at all, and against a final one
// that is left again.
func TestStages(t *testing.T) {
	sound := repeat(16, window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{200, 1, 4}.outcomes("v1", "a", "x")))
	unseen := window(counts{3, 0, 0}.outcomes("v2", "b", "x"), counts{100, 0, 0}.outcomes("v1", "b", "x"))
	idle := repeat(16, window(counts{1, 0, 0}.outcomes("v1", "a", "x")))
	canary := started(t)
	shift, moved, done := canary, canary, canary
	shift.Stage, shift.Share = amaranthtide.RolloutShift, 0.5
	moved.Stage, moved.Share = amaranthtide.RolloutShift, 1
	done.Stage = amaranthtide.RolloutRolledBack
	const none = amaranthtide.RolloutStage(0)
	for _, k := range []struct {
		name  string
		state amaranthtide.RolloutState
		at    float64 // of the duration
		e     func(e *rollout.Evidence)
		want  amaranthtide.RolloutStage
	}{
		{"early", canary, 0.3, nil, none},
		{"half-time", canary, 0.51, nil, amaranthtide.RolloutShift},
		{"old counts", canary, 0.6, func(e *rollout.Evidence) { e.Age = 5 * time.Second }, none},
		{"old counts to the end", canary, 0.93, func(e *rollout.Evidence) { e.Age = 5 * time.Second }, amaranthtide.RolloutRolledBack},
		{"little traffic", canary, 0.51, func(e *rollout.Evidence) { e.Windows = sound[:4] }, none},
		{"little traffic later", canary, 0.66, func(e *rollout.Evidence) { e.Windows = sound[:4] }, amaranthtide.RolloutShift},
		{"no answers", canary, 0.7, func(e *rollout.Evidence) { e.Windows = nil }, none},
		{"no answers later", canary, 0.81, func(e *rollout.Evidence) { e.Windows = idle }, amaranthtide.RolloutRolledBack},
		{"no servers", canary, 0.81, func(e *rollout.Evidence) { e.Windows, e.NewServers = nil, 0 }, amaranthtide.RolloutRolledBack},
		{"order withdrawn", canary, 0.1, func(e *rollout.Evidence) { e.OrderStands = false }, amaranthtide.RolloutRolledBack},
		{"next step", shift, 0.6, nil, amaranthtide.RolloutShift},
		{"step just taken", shift, 0.6, func(e *rollout.Evidence) { e.StateAge = 10 * time.Millisecond }, none},
		{"route without answers", shift, 0.6, func(e *rollout.Evidence) { e.Windows = append(e.Windows, unseen) }, none},
		{"route without answers later", shift, 0.76, func(e *rollout.Evidence) { e.Windows = append(e.Windows, unseen) }, amaranthtide.RolloutShift},
		{"servers gone", shift, 0.6, func(e *rollout.Evidence) { e.NewServers = 0 }, amaranthtide.RolloutRolledBack},
		{"still in flight", moved, 0.75, nil, none},
		{"nothing in flight", moved, 0.75, func(e *rollout.Evidence) { e.InFlightOld = 0 }, amaranthtide.RolloutSucceeded},
		{"in flight to the end", moved, 0.925, nil, amaranthtide.RolloutSucceeded},
		{"rolled back", done, 0.6, nil, none},
	} {
		e := evidence(sound...)
		if k.e != nil {
			k.e(&e)
		}
		s, due := rollout.Next(start.Add(time.Duration(k.at*float64(order.Duration))), k.state, e, limits)
		if !due {
			s.Stage = none
		}
		if s.Stage != k.want {
			t.Errorf("%s: got: stage %d (%q), want: %d", k.name, s.Stage, s.Reason, k.want)
		}
		if due && k.want == amaranthtide.RolloutShift && s.Share <= k.state.Share {
			t.Errorf("%s: got: share %v, want: more than %v", k.name, s.Share, k.state.Share)
		}
	}
}

// Guards against a doubtful version that is promoted because time is up.
func TestDoubtAtTheEnd(t *testing.T) {
	sound := window(counts{20, 0, 0}.outcomes("v2", "a", "x"), counts{20, 0, 0}.outcomes("v1", "a", "x"))
	failing := window(counts{20, 1, 0}.outcomes("v2", "a", "x"), counts{20, 0, 0}.outcomes("v1", "a", "x"))
	doubtful := repeat(4, sound)
	for range 12 {
		doubtful = append(doubtful, failing, sound)
	}
	canary := started(t)
	shift := canary
	shift.Stage, shift.Share = amaranthtide.RolloutShift, 0.5
	for _, k := range []struct {
		state amaranthtide.RolloutState
		at    float64 // of the duration
	}{{canary, 0.81}, {shift, 0.86}} {
		at := func(part float64) time.Time { return start.Add(time.Duration(part * float64(order.Duration))) }
		if s, due := rollout.Next(at(0.6), k.state, evidence(doubtful...), limits); due {
			t.Errorf("%v: got: stage %v (%q) while there is time, want: none", k.state.Stage, s.Stage, s.Reason)
		}
		s, due := rollout.Next(at(k.at), k.state, evidence(doubtful...), limits)
		if !due || s.Stage != amaranthtide.RolloutRolledBack {
			t.Errorf("%v: got: due %v, stage %v (%q), want: rolled back", k.state.Stage, due, s.Stage, s.Reason)
		}
	}
}

// Guards against a version that turns bad while its promotion waits for the store, and that is
// promoted at the end because its bad answers may still be one burst.
func TestBurstAtTheEnd(t *testing.T) {
	sound := window(counts{10, 0, 0}.outcomes("v2", "a", "x"), counts{90, 0, 0}.outcomes("v1", "a", "x"))
	failing := window(counts{10, 9, 0}.outcomes("v2", "a", "x"), counts{90, 0, 0}.outcomes("v1", "a", "x"))
	windows := append(repeat(29, sound), repeat(3, failing)...)
	s, due := rollout.Next(start.Add(16200*time.Millisecond), started(t), evidence(windows...), limits)
	if !due || s.Stage != amaranthtide.RolloutRolledBack {
		t.Errorf("got: due %v, stage %v (%q), want: rolled back", due, s.Stage, s.Reason)
	}
}

// Guards against a step of the shift with which a version that turns bad gets more requests than the
// exposure limit allows, and against steps that come before the previous one was judged.
func TestStepFitsExposureLimit(t *testing.T) {
	is := is.New(t)
	busy := repeat(22, window(counts{25, 0, 0}.outcomes("v2", "a", "x"), counts{175, 0, 0}.outcomes("v1", "a", "x")))
	shift := started(t)
	shift.Stage, shift.Share = amaranthtide.RolloutShift, 0.125
	e := evidence(busy...)
	now := start.Add(11 * time.Second)
	s, due := rollout.Next(now, shift, e, limits)
	is.True(due)
	const rate, uncounted = 400, 1.2 * 0.125 * 400
	room := limits.ExposureShare*rate*order.Duration.Seconds() + float64(limits.ExposureSlack) - 22*25 - uncounted
	is.True(s.Share > shift.Share)
	is.True(s.Share*rate*2 <= max(room, 1.5*shift.Share*rate*2)+1)
	e.StateAge = 800 * time.Millisecond
	_, due = rollout.Next(now, shift, e, limits)
	is.True(!due)
}

// Guards against a version that is judged by a handful of answers although the slack allows more, and
// against a wide share that stays when the traffic has risen.
func TestCanaryShareFollowsTraffic(t *testing.T) {
	is := is.New(t)
	quiet := repeat(10, window(counts{1, 0, 0}.outcomes("v2", "a", "x"), counts{4, 0, 0}.outcomes("v1", "a", "x")))
	busy := repeat(10, window(counts{300, 0, 0}.outcomes("v2", "a", "x"), counts{300, 0, 0}.outcomes("v1", "a", "x")))
	canary := started(t)
	now := start.Add(6 * time.Second)
	_, due := rollout.Next(now, canary, evidence(busy...), limits)
	is.True(!due)
	wide, due := rollout.Next(now, canary, evidence(quiet...), limits)
	is.True(due && wide.Share > 3*canary.Share)
	narrow, due := rollout.Next(now, wide, evidence(busy...), limits)
	is.True(due && narrow.Share < canary.Share)
	_, due = rollout.Next(now, narrow, evidence(quiet...), limits)
	is.True(!due)
}

// Guards against an order that starts a rollout although it makes no sense, and against a version
// that gets requests again because another order has followed.
func TestOrders(t *testing.T) {
	is := is.New(t)
	for _, o := range []amaranthtide.RolloutOrder{{To: "v2", Duration: time.Minute}, {Service: "pool", Duration: time.Minute}, {Service: "pool", To: "v2"}, {Service: "pool", To: "v2", Duration: -time.Second}} {
		_, err := rollout.Start(start, o, ver(5), limits)
		is.True(err != nil)
	}
	_, err := rollout.Start(start, order, ver(5), rollout.Limits{})
	is.True(err != nil)

	first := started(t)
	second, err := rollout.Replace(start, first, amaranthtide.RolloutOrder{Service: "pool", To: "v3", Duration: time.Minute}, ver(9), limits)
	is.NoErr(err)
	is.Equal(second.Barred, []amaranthtide.VersionName{"v2"})
	third, err := rollout.Replace(start, second, order, ver(12), limits)
	is.NoErr(err)
	is.Equal(third.Barred, []amaranthtide.VersionName{"v3"})
	first.Stage = amaranthtide.RolloutSucceeded
	after, err := rollout.Replace(start, first, amaranthtide.RolloutOrder{Service: "pool", To: "v3", Duration: time.Minute}, ver(9), limits)
	is.NoErr(err)
	is.Equal(len(after.Barred), 0)
}

// Guards against a late row that revokes a rollback, and against a rollback that leaves a service
// without servers after its success was recorded.
func TestRollbackIsFinal(t *testing.T) {
	is := is.New(t)
	state := func(order amaranthtide.StoreVersion, stage amaranthtide.RolloutStage) amaranthtide.Option[amaranthtide.RolloutState] {
		return amaranthtide.Some(amaranthtide.RolloutState{Order: order, Stage: stage})
	}
	announced := state(ver(5), amaranthtide.RolloutRolledBack)
	none := amaranthtide.None[amaranthtide.RolloutState]()
	is.Equal(rollout.Effective(none, announced), announced)
	is.Equal(rollout.Effective(state(ver(5), amaranthtide.RolloutShift), announced), announced)
	is.Equal(rollout.Effective(state(ver(3), amaranthtide.RolloutSucceeded), announced), announced)
	for _, recorded := range []amaranthtide.Option[amaranthtide.RolloutState]{state(ver(5), amaranthtide.RolloutSucceeded), state(ver(9), amaranthtide.RolloutCanary)} {
		is.Equal(rollout.Effective(recorded, announced), recorded)
	}
	is.Equal(rollout.Effective(none, state(ver(5), amaranthtide.RolloutShift)), none)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
