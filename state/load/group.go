package load

import (
	"slices"
	"time"

	"amaranthtide"
)

const (
	// GroupLoadTTL is how long the load of another group counts after it was received.
	// Owners report it about twice a second even without a change. Afterwards, the mean
	// excludes its requests. Its servers count as idle if SetGroups still lists the
	// group, and are excluded otherwise.
	GroupLoadTTL = 2 * time.Second
	// groupReportTimeout is the time without a report after which an owner may have failed
	// and its load counts as old. Owners report each load every 500 ms.
	groupReportTimeout = 600 * time.Millisecond
	// maxGroupTransit is the longest time that a group's load takes to arrive.
	maxGroupTransit = 5 * time.Millisecond
)

// receivedGroupLoad is the last load that the owner of another group reported.
type receivedGroupLoad struct {
	load     amaranthtide.GroupLoad
	received time.Time
}

// ApplyGroup stores the load of a group that another router owns. It drops a load
// that is not newer than the stored one of the same router.
func (t *Tracker) ApplyGroup(now time.Time, g amaranthtide.GroupLoad) {
	if g.From == t.self {
		return
	}
	t.withModelLoad(g.Model, func(m *modelLoad) {
		last, ok := m.groups[g.Group]
		newer := g.Incarnation > last.load.Incarnation ||
			g.Incarnation == last.load.Incarnation && g.Sequence > last.load.Sequence
		if !ok || last.load.From != g.From || newer {
			m.groups[g.Group] = receivedGroupLoad{g, now}
		}
	})
}

// SetGroups sets the groups of a model in the reachable zones and the number of
// engines in service of each. The engines of a group without a load count as idle,
// because they are in service but get no requests while their owner is replaced.
func (t *Tracker) SetGroups(model amaranthtide.ModelName, engines map[amaranthtide.GroupName]int) {
	t.withModelLoad(model, func(m *modelLoad) { m.declaredEngines = engines })
}

// SetOwnGroups sets the groups of a model that this router owns. Loads that other
// routers reported for them no longer count.
func (t *Tracker) SetOwnGroups(model amaranthtide.ModelName, groups amaranthtide.Set[amaranthtide.GroupName]) {
	t.withModelLoad(model, func(m *modelLoad) {
		m.ownGroups = groups
		for g := range groups {
			delete(m.groups, g)
		}
	})
}

// addGroups adds the loads of other groups to a view. Until groupReportTimeout has
// passed, a load counts as no older than MaxReportDelay plus the transit time, because
// any change before that would have been reported.
func (m *modelLoad) addGroups(now time.Time, v *View) {
	for name, engines := range m.declaredEngines {
		if _, reported := m.groups[name]; !reported && !m.ownGroups.Has(name) {
			v.Servers += engines
		}
	}
	if len(m.groups) == 0 {
		return
	}
	v.Peers = slices.Clone(v.Peers)
	for name, e := range m.groups {
		sinceReport := now.Sub(e.received)
		if sinceReport > GroupLoadTTL {
			delete(m.groups, name)
			v.Servers += m.declaredEngines[name]
			continue
		}
		taken := e.received
		if sinceReport > e.load.MaxReportDelay && sinceReport <= groupReportTimeout {
			taken = now.Add(-e.load.MaxReportDelay)
		}
		v.Servers += e.load.Servers
		v.Peers = append(v.Peers, PeerLoad{
			Taken:   taken.Add(-maxGroupTransit),
			Servers: e.load.Servers,
			Sum: amaranthtide.ServerLoad{
				InFlight:             e.load.InFlight,
				Waiting:              e.load.Waiting,
				CompletionsPerSecond: e.load.CompletionsPerSecond,
			},
		})
	}
}
