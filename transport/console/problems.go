package console

import (
	"fmt"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/operation"
)

// The kinds of problems. docs/operators.md describes how to handle each.
const (
	problemNotReady          = "notReady"
	problemPlatformDown      = "platformDown"
	problemTableBehind       = "tableBehind"
	problemZoneUnheard       = "zoneUnheard"
	problemRouterMissing     = "routerMissing"
	problemServerUnheard     = "serverUnheard"
	problemServerDown        = "serverDown"
	problemServerOverloaded  = "serverOverloaded"
	problemOrderFailed       = "orderFailed"
	problemOrderWaiting      = "orderWaiting"
	problemNoServerInService = "noServerInService"
)

const (
	// inForceBound is the guaranteed time until a change is in force at all routers.
	inForceBound = 4 * time.Second
	// maxOrderWait is how long an order may wait before it is reported. It exceeds the
	// longest time without orders after a change of the lease holder.
	maxOrderWait = 10 * time.Minute
)

// problems lists the current problems. It omits states that an operator chose, such as
// a zone out of service, and states that end by themselves within seconds, such as
// unsettled ownership. Routers start and stop all day, and operators would disable an
// alarm that fires each time.
func (h *Handler) problems(now time.Time, s operation.Status, p platformState) []operation.Problem {
	var list []operation.Problem
	add := func(kind, subject, format string, args ...any) {
		list = append(list, operation.Problem{Kind: kind, Subject: subject, Message: fmt.Sprintf(format, args...)})
	}
	if !h.opts.Ready() {
		add(problemNotReady, "vm/"+string(s.VM), "the router has not loaded the table, receives no reports from its peers or is shutting down")
	}
	if p.err != nil {
		add(problemPlatformDown, "platform", "the table service does not answer: %v", p.err)
	}
	if missed, ok := p.firstMissing.Get(); ok && now.Sub(missed.Time) > inForceBound {
		add(problemTableBehind, "vm/"+string(s.VM), "the table is at revision %d, the platform at %d", s.Revision, p.head)
	}
	for _, z := range s.Zones {
		h.zoneProblems(now, z, s.Revision, add)
	}
	for _, r := range s.Routers {
		known := r.Zone == s.Zone || r.Source == operation.SourceDigest
		if known && !r.Live && !r.OutOfService {
			add(problemRouterMissing, "vm/"+string(r.VM), "the router is in the table but not among the live routers of zone %s", r.Zone)
		}
	}
	h.serverProblems(s, add)
	for _, o := range s.Orders {
		for _, e := range o.Pending {
			switch {
			case e.Failed:
				add(problemOrderFailed, "backendServer/"+string(e.Server), "%s", e.Reason)
			case now.Sub(e.Since) > maxOrderWait:
				add(problemOrderWaiting, "backendServer/"+string(e.Server), "since %s: %s", e.Since.Format(time.RFC3339), e.Reason)
			}
		}
	}
	return list
}

type addProblemFunc func(kind, subject, format string, args ...any)

func (h *Handler) zoneProblems(now time.Time, z operation.ZoneStatus, revision amaranthtide.Revision, add addProblemFunc) {
	subject := "zone/" + string(z.Zone)
	if z.Source == operation.SourceNone {
		add(problemZoneUnheard, subject, "no digest of the zone for %v", time.Duration(z.Age))
		return
	}
	if z.Revision >= revision {
		return
	}
	// The zone has been behind since the time of the first change that it lacks.
	missing, ok := h.opts.Table.Changes(z.Revision, 1)
	if !ok || len(missing) > 0 && now.Sub(missing[0].Time) > inForceBound {
		add(problemTableBehind, subject, "a router is at revision %d, this one at %d", z.Revision, revision)
	}
}

func (h *Handler) serverProblems(s operation.Status, add addProblemFunc) {
	usable := make(map[amaranthtide.ModelName]bool)
	for _, server := range s.Servers {
		subject := "backendServer/" + string(server.Server)
		zone, _ := h.opts.Table.Zone(server.Zone)
		if zone.OutOfService || server.Leaving {
			continue
		}
		if !server.Down && server.Source != operation.SourceNone {
			usable[server.Model] = true
		}
		switch {
		case server.Down:
			add(problemServerDown, subject, "the server in zone %s does not answer its owner %s", server.Zone, server.Owner)
		case server.Source == operation.SourceNone && h.zoneKnown(s, server.Zone):
			add(problemServerUnheard, subject, "no router reports the load of the server")
		case server.Allowance > 0 && server.Load > server.Capacity:
			add(problemServerOverloaded, subject, "the server has %d requests in flight, its capacity is %d", server.Load, server.Capacity)
		}
	}
	for _, model := range h.opts.Table.Models() {
		if !usable[model] {
			add(problemNoServerInService, "model/"+string(model), "no server of the model is in service with a known load")
		}
	}
}

// zoneKnown reports whether the state of a zone is known. An unreachable zone is
// reported as one problem, not as one for each of its servers.
func (h *Handler) zoneKnown(s operation.Status, zone amaranthtide.ZoneName) bool {
	for _, z := range s.Zones {
		if z.Zone == zone {
			return z.Source != operation.SourceNone
		}
	}
	return false
}
