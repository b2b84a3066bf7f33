package restore_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/restore"
)

var start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

type row = amaranthtide.Option[amaranthtide.DecodedRow]

var none = amaranthtide.None[amaranthtide.DecodedRow]()

func server(started time.Duration, leaving bool) row {
	return amaranthtide.Some(amaranthtide.DecodedRow{Instance: amaranthtide.Some(amaranthtide.Instance{Name: "e1", Started: start.Add(started), Leaving: leaving})})
}

func cold(until time.Duration) row {
	return amaranthtide.Some(amaranthtide.DecodedRow{Instance: amaranthtide.Some(amaranthtide.Instance{Name: "e1", Started: start, ColdUntil: start.Add(until)})})
}

func configuration(revision amaranthtide.Revision) row {
	return amaranthtide.Some(amaranthtide.DecodedRow{Configuration: amaranthtide.Some(amaranthtide.Configuration{Revision: revision})})
}

func rolloutState(order uint64, stage amaranthtide.RolloutStage) row {
	return amaranthtide.Some(amaranthtide.DecodedRow{RolloutState: amaranthtide.Some(amaranthtide.RolloutState{Order: amaranthtide.NewStoreVersion(0, order), Stage: stage})})
}

// Guards against each way in which an older copy could undo what the fleet knew, and against knowledge that
// holds for ever although nobody writes it again.
func TestDecide(t *testing.T) {
	zone := amaranthtide.Some(amaranthtide.DecodedRow{ZoneOutOfService: amaranthtide.Some(amaranthtide.ZoneName("a"))})
	order := amaranthtide.Some(amaranthtide.DecodedRow{RolloutOrder: amaranthtide.Some(amaranthtide.RolloutOrder{Service: "s", To: "v2"})})
	router := amaranthtide.Some(amaranthtide.DecodedRow{Router: amaranthtide.Some(amaranthtide.RouterEntry{VM: "vm-1"})})
	const forever = 1000 * time.Hour
	for _, c := range []struct {
		name          string
		known, copied row
		// keeps is how long the known row holds.
		keeps time.Duration
	}{
		{"server that the copy lacks", server(0, false), none, restore.ServerGrace},
		{"leaving server that the copy lacks", server(0, true), none, 0},
		{"leaving server that is ready in the copy", server(0, true), server(0, false), restore.ServerGrace},
		{"server that leaves in the copy", server(0, false), server(0, true), 0},
		{"server that had left", none, server(0, false), restore.ServerGrace},
		{"earlier start in the copy", server(time.Hour, false), server(0, false), restore.ServerGrace},
		{"later start in the store", server(0, true), server(time.Hour, false), 0},
		{"cold server that is warm in the copy", cold(time.Minute), cold(0), restore.ServerGrace},
		{"server that is cold in the copy", cold(0), cold(time.Minute), 0},
		{"older configuration", configuration(7), configuration(6), forever},
		{"no configuration", configuration(7), none, forever},
		{"newer configuration", configuration(7), configuration(8), 0},
		{"evacuation that the copy lacks", zone, none, restore.OperatorGrace},
		{"evacuation that had ended", none, zone, 0},
		{"order that the copy lacks", order, none, restore.OperatorGrace},
		{"order that was withdrawn", none, order, restore.OperatorGrace},
		{"registration that the copy lacks", router, none, restore.RouterGrace},
		{"state that the copy lacks", rolloutState(5, amaranthtide.RolloutRolledBack), none, forever},
		{"earlier state", rolloutState(5, amaranthtide.RolloutShift), rolloutState(5, amaranthtide.RolloutCanary), forever},
		{"rollback of the order", rolloutState(5, amaranthtide.RolloutShift), rolloutState(5, amaranthtide.RolloutRolledBack), 0},
		{"state of a later order", rolloutState(5, amaranthtide.RolloutShift), rolloutState(6, amaranthtide.RolloutCanary), 0},
	} {
		v := restore.Decide(start, c.known, c.copied)
		for _, at := range []time.Duration{0, c.keeps - 1, min(c.keeps, forever-1), forever - 1} {
			if got, want := v.Keeps(start.Add(max(at, 0))), max(at, 0) < c.keeps; got != want {
				t.Errorf("%s after %v: got: kept %v, want: %v", c.name, at, got, want)
			}
		}
	}
}

// Guards against a server in use that had left, and a configuration that goes back, over all orders in which
// the rows return: the store's rows are those of the copy, until each is written again at some time.
func TestRowsReturnInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := amaranthtide.Revision(rapid.IntRange(1, 9).Draw(t, "revision"))
		stored := amaranthtide.Revision(rapid.IntRange(0, 9).Draw(t, "copied"))
		inForce := revision
		leavingAgain := time.Duration(rapid.Int64Range(0, int64(2*restore.ServerGrace)).Draw(t, "entry written again"))
		v := restore.Decide(start, server(0, true), server(0, false))
		for at := time.Duration(0); at < 2*restore.ServerGrace; at += 100 * time.Millisecond {
			if rapid.IntRange(0, 9).Draw(t, "configuration written") == 0 {
				stored = amaranthtide.Revision(rapid.IntRange(int(stored), 12).Draw(t, "next"))
			}
			copied := none
			if stored > 0 {
				copied = configuration(stored)
			}
			if !restore.Decide(start, configuration(inForce), copied).Keeps(start.Add(at)) {
				if stored < inForce {
					t.Fatalf("got: configuration %d after %d", stored, inForce)
				}
				inForce = stored
			}
			isReady := at < leavingAgain && !v.Keeps(start.Add(at))
			if isReady && at < restore.ServerGrace {
				t.Fatalf("got: a server that leaves is ready after %v, want: not before %v", at, restore.ServerGrace)
			}
		}
	})
}

// Guards against a spread that is 0 or that grows without bound with the fleet.
func TestSpread(t *testing.T) {
	for routers, want := range map[int]time.Duration{0: time.Millisecond, 12: 180 * time.Millisecond, 100: 1500 * time.Millisecond, 10000: 4 * time.Second} {
		if got := restore.Spread(routers); got != want {
			t.Error(fmt.Sprint("got: ", got, " for ", routers, " routers, want: ", want))
		}
	}
}
