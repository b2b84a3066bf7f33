package load

import (
	"slices"
	"time"

	"amaranthtide"
)

const (
	// GroupLife is how long the load of another group counts after it was received.
	// Owners tell it about twice a second even without a change. A group that is
	// out of reach then leaves the mean, with its servers.
	GroupLife = 2 * time.Second
	// groupSilence is the time after which an owner that tells nothing may be gone, and
	// its load ages from then on. Owners tell each load every 500 ms.
	groupSilence = 600 * time.Millisecond
	// groupTransit bounds the age of a group's load on arrival.
	groupTransit = 5 * time.Millisecond
)

// groupEntry is what the owner of another group last told.
type groupEntry struct {
	load     amaranthtide.GroupLoad
	received time.Time
}

// ApplyGroup takes in the load of a group that another router owns. A load that is
// not newer than the stored one of the same router is dropped.
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

// SetGroups declares the groups of a model in the reachable zones, with the number
// of their engines in service. The engines of a group without a load count as idle:
// while its owner is being replaced they are in service, but get no work.
func (l *Ledger) SetGroups(model amaranthtide.ModelName, engines map[amaranthtide.GroupName]int) {
	l.with(model, func(t *tally) { t.declared = engines })
}

// SetOwnGroups declares the groups of a model that this router owns. What other
// routers told about them before no longer counts.
func (l *Ledger) SetOwnGroups(model amaranthtide.ModelName, groups amaranthtide.Set[amaranthtide.GroupName]) {
	l.with(model, func(t *tally) {
		t.ownGroups = groups
		for g := range groups {
			delete(t.groups, g)
		}
	})
}

// addGroups adds the other groups to a view. A change that was not told yet is at
// most Gap and the transit old, so that silence doesn't make a load older.
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
