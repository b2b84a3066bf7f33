// Package outcomes counts the outcomes of requests by service, version, route and zone of the
// server: those of this router's requests, and as last reported those of the other routers.
//
// The counts of a router only rise during one run of its process, as long as it keeps the version.
// They are kept by router and incarnation, so a list may arrive late, repeatedly and through any other router without counting
// twice, and a router that restarts begins a new list without taking back what its earlier run has
// counted. Hubs relay whole lists (Lists), never sums: sums would count twice after a change of
// hubs.
//
// Memory is bounded: by MaxVersions, MaxRoutes and MaxLists. Further pairs of a route and a zone are
// counted together under empty names. A further version takes the place of the one that was recorded the
// longest time ago. Further lists are ignored until Forget is called.
//
// # Usage
//
//	c := outcomes.New("vm-1", incarnation)
//	c.Record("chat", "v2", "complete", outcomes.Outcome{Duration: d})
//	send(c.Own("chat")) // to the hub
//	c.Merge("chat", list) // at the hub
//	totals := c.Totals("chat")
package outcomes

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

const (
	// MaxVersions is the number of versions of a service that are counted. A rollout has two.
	MaxVersions = 4
	// MaxRoutes is the number of pairs of a route and a zone that are counted separately for a
	// version, in addition to the empty names.
	MaxRoutes = 48
	// MaxLists is the number of lists that are kept of other routers, for all services.
	MaxLists = 1024
)

// Outcome is how one attempt at a server ended.
type Outcome struct {
	// Zone is the server's zone.
	Zone amaranthtide.ZoneName
	// Failed marks a failure.
	Failed bool
	// Duration is the time to the first event (streams) or to the end of the answer. It isn't
	// counted for failures.
	Duration time.Duration
	// Cold marks an answer of a server during its cold start. Its duration isn't counted.
	Cold bool
}

// List holds what one run of a router has counted for one service.
type List struct {
	VM          amaranthtide.VMName
	Incarnation amaranthtide.Incarnation
	Outcomes    []amaranthtide.VersionOutcomes
}

// Counter counts outcomes. It is safe for concurrent use. Create one with New.
type Counter struct {
	vm          amaranthtide.VMName
	incarnation amaranthtide.Incarnation
	// records numbers the calls of Record, to tell which version was recorded the longest time ago.
	records atomic.Uint64
	own     *shard.Map[versionKey, *versionCounts]
	// received holds the lists of other routers. The slices in it are replaced, never changed.
	received *shard.Map[listKey, []amaranthtide.VersionOutcomes]
}

type versionKey struct {
	service amaranthtide.ServiceName
	version amaranthtide.VersionName
}

type versionCounts struct {
	lastRecord uint64
	routes     map[routeKey]*amaranthtide.VersionOutcomes
}

type routeKey struct {
	route amaranthtide.RouteName
	zone  amaranthtide.ZoneName
}

type listKey struct {
	service     amaranthtide.ServiceName
	vm          amaranthtide.VMName
	incarnation amaranthtide.Incarnation
}

// New returns a Counter without outcomes, for the given run of a router.
func New(vm amaranthtide.VMName, incarnation amaranthtide.Incarnation) *Counter {
	return &Counter{
		vm: vm, incarnation: incarnation,
		own: shard.New[versionKey, *versionCounts](), received: shard.New[listKey, []amaranthtide.VersionOutcomes](),
	}
}

// Record counts an outcome of this router's requests.
func (c *Counter) Record(service amaranthtide.ServiceName, version amaranthtide.VersionName, route amaranthtide.RouteName, o Outcome) {
	key := versionKey{service, version}
	if _, ok := c.own.Get(key); !ok {
		c.makeRoom(service)
	}
	c.own.Update(key, func(v *versionCounts, ok bool) (*versionCounts, bool) {
		if !ok {
			v = &versionCounts{routes: make(map[routeKey]*amaranthtide.VersionOutcomes)}
		}
		v.lastRecord = c.records.Add(1)
		at := routeKey{route, o.Zone}
		counts, ok := v.routes[at]
		if !ok && len(v.routes) >= MaxRoutes {
			at = routeKey{}
			counts, ok = v.routes[at]
		}
		if !ok {
			counts = &amaranthtide.VersionOutcomes{Service: service, Version: version, Route: at.route, Zone: at.zone}
			v.routes[at] = counts
		}
		counts.Answers++
		switch {
		case o.Failed:
			counts.Failures++
		case !o.Cold:
			counts.Durations.Add(o.Duration)
		}
		return v, true
	})
}

// makeRoom drops the version of the service that was recorded the longest time ago if there are
// MaxVersions.
func (c *Counter) makeRoom(service amaranthtide.ServiceName) {
	n, oldest, last := 0, versionKey{}, uint64(0)
	c.own.Range(func(key versionKey, v *versionCounts) bool {
		if key.service != service {
			return true
		}
		if n == 0 || v.lastRecord < last {
			oldest, last = key, v.lastRecord
		}
		n++
		return true
	})
	if n >= MaxVersions {
		c.own.Delete(oldest)
	}
}

// Own returns what this run of the router has counted for the service, ordered by version,
// route and zone.
func (c *Counter) Own(service amaranthtide.ServiceName) []amaranthtide.VersionOutcomes {
	var out []amaranthtide.VersionOutcomes
	c.own.Range(func(key versionKey, v *versionCounts) bool {
		if key.service == service {
			for _, counts := range v.routes {
				out = append(out, *counts)
			}
		}
		return true
	})
	slices.SortFunc(out, compare)
	return out
}

// Merge stores what another router has counted for the service. It returns false if that changes
// nothing, because the list isn't newer or is this router's own.
func (c *Counter) Merge(service amaranthtide.ServiceName, l List) bool {
	if l.VM == c.vm && l.Incarnation == c.incarnation {
		return false
	}
	key := listKey{service, l.VM, l.Incarnation}
	if _, ok := c.received.Get(key); !ok && c.received.Len() >= MaxLists {
		return false
	}
	changed := false
	c.received.Update(key, func(old []amaranthtide.VersionOutcomes, _ bool) ([]amaranthtide.VersionOutcomes, bool) {
		var merged []amaranthtide.VersionOutcomes
		merged, changed = newest(old, l.Outcomes)
		return merged, len(merged) > 0
	})
	return changed
}

// newest merges two lists. Of two entries for the same version, route and zone it takes the one with
// more answers, which is the later one. old must be sorted, and so is the result. It reports whether the result
// differs from old.
func newest(old, list []amaranthtide.VersionOutcomes) ([]amaranthtide.VersionOutcomes, bool) {
	if !slices.IsSortedFunc(list, compare) {
		list = slices.SortedFunc(slices.Values(list), compare)
	}
	out := make([]amaranthtide.VersionOutcomes, 0, max(len(old), len(list)))
	changed, i := false, 0
	for _, o := range list {
		for i < len(old) && compare(old[i], o) < 0 {
			out = append(out, old[i])
			i++
		}
		if isKnown := i < len(old) && compare(old[i], o) == 0; isKnown {
			if old[i].Answers >= o.Answers {
				o = old[i]
			} else {
				changed = true
			}
			i++
		} else if len(old) >= MaxVersions*(MaxRoutes+1) {
			continue
		} else {
			changed = true
		}
		out = append(out, o)
	}
	if !changed {
		return old, false
	}
	return append(out, old[i:]...), true
}

// Lists returns the known lists for the service, including this router's own, ordered by router
// and incarnation. A hub relays them.
func (c *Counter) Lists(service amaranthtide.ServiceName) []List {
	var out []List
	if own := c.Own(service); len(own) > 0 {
		out = append(out, List{c.vm, c.incarnation, own})
	}
	c.received.Range(func(key listKey, list []amaranthtide.VersionOutcomes) bool {
		if key.service == service {
			out = append(out, List{key.vm, key.incarnation, list})
		}
		return true
	})
	slices.SortFunc(out, func(a, b List) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Totals returns the sums over all routers for the service, ordered by version, route and
// zone.
func (c *Counter) Totals(service amaranthtide.ServiceName) []amaranthtide.VersionOutcomes {
	type entry struct {
		version amaranthtide.VersionName
		at      routeKey
	}
	sums := make(map[entry]*amaranthtide.VersionOutcomes)
	for _, l := range c.Lists(service) {
		for _, o := range l.Outcomes {
			key := entry{o.Version, routeKey{o.Route, o.Zone}}
			sum, ok := sums[key]
			if !ok {
				sum = &amaranthtide.VersionOutcomes{Service: service, Version: o.Version, Route: o.Route, Zone: o.Zone}
				sums[key] = sum
			}
			sum.Answers += o.Answers
			sum.Failures += o.Failures
			sum.Durations.Merge(o.Durations)
		}
	}
	out := make([]amaranthtide.VersionOutcomes, 0, len(sums))
	for _, sum := range sums {
		out = append(out, *sum)
	}
	slices.SortFunc(out, compare)
	return out
}

// Forget drops the lists of other routers for the service. It is called when a rollout has ended.
func (c *Counter) Forget(service amaranthtide.ServiceName) {
	var keys []listKey
	c.received.Range(func(key listKey, _ []amaranthtide.VersionOutcomes) bool {
		if key.service == service {
			keys = append(keys, key)
		}
		return true
	})
	for _, key := range keys {
		c.received.Delete(key)
	}
}

func compare(a, b amaranthtide.VersionOutcomes) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
}
