package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/state/load"
)

// Guards against a view that leaves out the engines of an owner that stopped reporting,
// uses its last load for too long, or returns to an older report.
func TestViewIncludesGroups(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const maxReportDelay = 25 * time.Millisecond
	tracker := load.New("vm-1")
	tracker.SetServers("m", []amaranthtide.BackendServerName{"e1", "e2"})
	tracker.SetOwnGroups("m", amaranthtide.NewSet[amaranthtide.GroupName]("own"))
	tracker.SetGroups("m", map[amaranthtide.GroupName]int{"own": 2, "other": 3})
	view := func(at time.Time) (v load.View) {
		tracker.Update(at, "m", "e1", func(seen load.View) int { v = seen; return 0 })
		return v
	}
	is.Equal(view(now).Servers, 5) // the other group counts as idle without a report
	is.Equal(len(view(now).Peers), 0)

	report := func(at time.Time, sequence uint64, inFlight int) {
		tracker.ApplyGroup(at, amaranthtide.GroupLoad{
			Group: "other", Model: "m", From: "vm-2", Sequence: sequence, Servers: 2, InFlight: inFlight, MaxReportDelay: maxReportDelay,
		})
	}
	report(now, 2, 7)
	report(now, 1, 9)
	v := view(now.Add(300 * time.Millisecond))
	is.Equal(v.Servers, 4) // the owner can reach two of the three engines
	is.Equal(v.Peers[0].Sum.InFlight, 7)
	age := now.Add(300 * time.Millisecond).Sub(v.Peers[0].Taken)
	is.True(age >= maxReportDelay && age < 2*maxReportDelay) // without a new report the load is unchanged

	age = now.Add(900 * time.Millisecond).Sub(view(now.Add(900 * time.Millisecond)).Peers[0].Taken)
	is.True(age >= 900*time.Millisecond) // an owner that stopped reporting may have failed

	v = view(now.Add(load.GroupLoadTTL + time.Millisecond))
	is.Equal(v.Servers, 5)
	is.Equal(len(v.Peers), 0)
}
