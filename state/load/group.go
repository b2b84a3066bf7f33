package load

import (
	"slices"
	"time"

	"amaranthtide"
)

const (
	// GroupLife is how long the load of another group counts after it was received.
	// Owners report it about twice a second even without a change. After this time it
	// leaves the mean, and so do its servers unless SetGroups still lists the group:
	// they then count as idle.
	GroupLife = 2 * time.Second
	// groupSilence is the time without a report after which an owner may have failed
	// and its load counts as old. Owners report each load every 500 ms.
	groupSilence = 600 * time.Millisecond
	// groupTransit is the longest time that a group's load takes to arrive.
	groupTransit = 5 * time.Millisecond
)

// groupEntry is the last load that the owner of another group reported.
type groupEntry struct {
	load     amaranthtide.GroupLoad
	received time.Time
}

// ApplyGroup stores the load of a group that another router owns. It drops a load
// that is not newer than the stored one of the same router.
func (l *Ledger) ApplyGroup(now time.Time, g amaranthtide.GroupLoad) {
	if g.From == l.self {
		return
	}
	l.with(g.Model, func(t *tally) {
		last, ok := t.groups[g.Group]
		newer := g.Incarnation > last.load.Incarnation ||
			g.Incarnation == last.load.Incarnation && g.Sequence > last.load.Sequence
		if !ok || last.load.From != g.From || newer {
			t.groups[g.Group] = groupEntry{g, now}
		}
	})
}

// SetGroups sets the groups of a model in the reachable zones and the number of
// engines in service of each. The engines of a group without a load count as idle,
// because they are in service but get no requests while their owner is replaced.
func (l *Ledger) SetGroups(model amaranthtide.ModelName, engines map[amaranthtide.GroupName]int) {
	l.with(model, func(t *tally) { t.declared = engines })
}

// SetOwnGroups sets the groups of a model that this router owns. Loads that other
// routers reported for them no longer count.
func (l *Ledger) SetOwnGroups(model amaranthtide.ModelName, groups amaranthtide.Set[amaranthtide.GroupName]) {
	l.with(model, func(t *tally) {
		t.ownGroups = groups
		for g := range groups {
			delete(t.groups, g)
		}
	})
}

// addGroups adds the loads of other groups to a view. An unreported change is at most
// Gap plus the transit time old, so a load ages no further than that until
// groupSilence has passed.
func (t *tally) addGroups(now time.Time, v *View) {
	for name, engines := range t.declared {
		if _, told := t.groups[name]; !told && !t.ownGroups.Has(name) {
			v.Servers += engines
		}
	}
	if len(t.groups) == 0 {
		return
	}
	v.Peers = slices.Clone(v.Peers)
	for name, e := range t.groups {
		silent := now.Sub(e.received)
		if silent > GroupLife {
			delete(t.groups, name)
			v.Servers += t.declared[name]
			continue
		}
		taken := e.received
		if silent > e.load.Gap && silent <= groupSilence {
			taken = now.Add(-e.load.Gap)
		}
		v.Servers += e.load.Servers
		v.Peers = append(v.Peers, Peer{
			Taken:   taken.Add(-groupTransit),
			Servers: e.load.Servers,
			Sum: amaranthtide.ServerLoad{
				InFlight:             e.load.InFlight,
				Waiting:              e.load.Waiting,
				CompletionsPerSecond: e.load.CompletionsPerSecond,
			},
		})
	}
}
