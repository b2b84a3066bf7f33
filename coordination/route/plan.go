// Package route decides, for one request at its entry, which backend server is
// tried next, when the request spills to another zone, whether it is tried again
// and what its final error is.
//
// A plan goes through the zones in the order of the chat. Inside a zone it takes the
// servers in the order of the policy, and it leaves the zone when none of the
// servers left has known room. A server that is not meant to queue the request
// refuses it when full, and the plan goes on. If no zone has a server left with
// known room, or at the last of MaxHops hops, the request may queue: at the server
// with the shortest known load relative to its limit among the first four of the
// chat's own order, in the first zone that has servers.
//
// A refusal before dispatch is a hop but no attempt: the request was not sent to a
// backend server. A failure after dispatch ends the request, unless the request is
// repeatable, nothing of the answer was shown to the caller and the retry budget
// has a retry left; or unless the failure says that the request was not run, in
// which case a request that may not be repeated goes on as well. A server that
// failed is not tried again by this plan.
//
// The final error never claims less than what is known: once an attempt ran or may
// have run, the final error says so, whatever later hops were refused for.
//
// # Usage
//
//	p := route.New(route.Config{Request: req, Zones: zones, Policy: rendezvous.Policy{},
//		InService: inService, Retry: retry})
//	for {
//		target, err := p.Next(now())
//		if err != nil {
//			return err
//		}
//		switch err := forward(target); {
//		case err == nil:
//			return nil
//		case refusedBeforeDispatch:
//			p.Refused(now(), err, betterOwner)
//		default:
//			p.Failed(now(), err, shown)
//		}
//	}
package route

import (
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/placement"
)

const (
	// MaxHops is the number of targets that a plan returns at most.
	MaxHops = 4

	// maxQueueCandidates is how many servers of the chat's order compete for a request
	// that must wait. More would spread the chats of a busy zone over all caches.
	maxQueueCandidates = 4
)

// Zone is a zone, or one group of a zone, and its servers that serve the model or
// route of the request.
type Zone struct {
	Name amaranthtide.ZoneName
	// Shared tells that one owner overflows among the candidates by itself, so that
	// its refusal as full speaks for all of them.
	Shared bool
	// Candidates are reordered by the plan.
	Candidates []amaranthtide.Candidate
}

// Config is what a plan works with.
type Config struct {
	Request *amaranthtide.Request
	// Zones are in the order of the chat, its home zone first.
	Zones  []Zone
	Policy amaranthtide.Policy
	// InService tells whether the zone and the server are in service and not leaving
	// at the moment of the call. It is asked for each target again.
	InService func(amaranthtide.ZoneName, amaranthtide.BackendServerName) bool
	// Retry takes one retry from the budget of the workspace, if it has one.
	Retry func() bool
}

// Target is where the request goes next.
type Target struct {
	Zone   amaranthtide.ZoneName
	Server amaranthtide.BackendServerName
	// MayQueue tells whether the owner may queue the request. If not, it refuses it
	// when the server has no room.
	MayQueue bool
	// Owner is the owner that another router named; absent means the one that the
	// entry's own view names.
	Owner amaranthtide.Option[amaranthtide.VMName]
}

// Plan is the state of one request. Use New. It is not concurrent-safe: Next and
// the report on its target take turns.
type Plan struct {
	cfg  Config
	chat amaranthtide.ChatID
	hops int

	// pending is the target without an outcome yet.
	pending  amaranthtide.Option[Target]
	redirect amaranthtide.Option[Target]
	// orderedZones tells how many of the zones are in the order of the policy.
	orderedZones  int
	excludedZones amaranthtide.Set[amaranthtide.ZoneName]
	// fullServers refused without queueing, excludedServers are not tried again at all.
	fullServers, excludedServers amaranthtide.Set[amaranthtide.BackendServerName]

	// lastRefusal is the last lastRefusal, ran the failure that says the most about what ran.
	lastRefusal error
	runError    error
	finalError  error
}

// New returns the plan of a request.
func New(cfg Config) *Plan {
	return &Plan{
		cfg:             cfg,
		chat:            placement.Key(cfg.Request.Workspace, cfg.Request.Chat),
		excludedZones:   amaranthtide.NewSet[amaranthtide.ZoneName](),
		fullServers:     amaranthtide.NewSet[amaranthtide.BackendServerName](),
		excludedServers: amaranthtide.NewSet[amaranthtide.BackendServerName](),
	}
}

// Next returns the next target, or the final error. Once it returned an error, it
// returns the same one on every call. A call while the last target has no outcome
// ends the plan with KindInternal, which says that nobody knows what ran.
func (p *Plan) Next(now time.Time) (Target, error) {
	if _, ok := p.pending.Get(); ok {
		p.finish(amaranthtide.Errorf(amaranthtide.KindInternal, "the last target has no outcome"))
	}
	if p.finalError == nil && !now.Before(p.cfg.Request.Deadline) {
		p.finish(amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "deadline passed before a backend server took the request"))
	}
	if p.finalError == nil && p.hops == MaxHops {
		p.giveUp("no backend server took the request in %d hops", MaxHops)
	}
	if p.finalError != nil {
		return Target{}, p.finalError
	}
	target, ok := p.nextTarget(now)
	if !ok {
		p.giveUp("no backend server in service is left after %d hops", p.hops)
		return Target{}, p.finalError
	}
	p.hops++
	p.pending = amaranthtide.Some(target)
	return target, nil
}

func (p *Plan) nextTarget(now time.Time) (Target, bool) {
	t, ok := p.redirect.Get()
	p.redirect = amaranthtide.None[Target]()
	if ok && p.isUsable(t.Zone, t.Server) {
		t.MayQueue = t.MayQueue || p.hops == MaxHops-1
		return t, true
	}
	if p.hops < MaxHops-1 {
		if t, ok := p.serverWithRoom(now); ok {
			return t, true
		}
	}
	return p.serverToQueue(now)
}

func (p *Plan) isUsable(zone amaranthtide.ZoneName, server amaranthtide.BackendServerName) bool {
	return !p.excludedZones.Has(zone) && !p.excludedServers.Has(server) && p.cfg.InService(zone, server)
}

// serverWithRoom returns the next server of the first zone that has one with known room.
func (p *Plan) serverWithRoom(now time.Time) (Target, bool) {
	for i := range p.cfg.Zones {
		z := &p.cfg.Zones[i]
		if p.excludedZones.Has(z.Name) {
			continue
		}
		if i >= p.orderedZones {
			z.Candidates = p.cfg.Policy.Order(now, p.chat, z.Candidates)
			p.orderedZones = i + 1
		}
		first, room := -1, false
		for j, c := range z.Candidates {
			if p.fullServers.Has(c.Server) || !p.isUsable(z.Name, c.Server) {
				continue
			}
			if first < 0 {
				first = j
			}
			if placement.HasRoom(now, c) {
				room = true
				break
			}
		}
		if room {
			return Target{Zone: z.Name, Server: z.Candidates[first].Server}, true
		}
	}
	return Target{}, false
}

// serverToQueue returns the server at which the request waits.
func (p *Plan) serverToQueue(now time.Time) (Target, bool) {
	for _, z := range p.cfg.Zones {
		usable := slices.DeleteFunc(slices.Clone(z.Candidates), func(c amaranthtide.Candidate) bool {
			return !p.isUsable(z.Name, c.Server)
		})
		if len(usable) == 0 {
			continue
		}
		usable = placement.New(p.chat).Servers(usable)
		best := usable[0]
		for _, c := range usable[1:min(len(usable), maxQueueCandidates)] {
			if p.loadRatio(now, c) < p.loadRatio(now, best) {
				best = c
			}
		}
		return Target{Zone: z.Name, Server: best.Server, MayQueue: true}, true
	}
	return Target{}, false
}

// loadRatio returns the known load of a server relative to its limit. A server with
// an unknown load, or one that just refused, counts as exactly full at least.
func (p *Plan) loadRatio(now time.Time, c amaranthtide.Candidate) float64 {
	if !placement.LoadKnown(now, c) {
		return 1
	}
	ratio := float64(c.InFlight) / float64(max(c.Limit, 1))
	if p.fullServers.Has(c.Server) {
		return max(ratio, 1)
	}
	return ratio
}

// Refused notes that the target refused the request before it was sent to the
// backend server. Better is the owner that a KindNotOwner refusal names. An error
// whose kind doesn't say "not run" is handled as a failure.
func (p *Plan) Refused(now time.Time, err error, namedOwner amaranthtide.Option[amaranthtide.VMName]) {
	if amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
		p.Failed(now, err, false)
		return
	}
	t, ok := p.takePending()
	if !ok || err == nil {
		return
	}
	p.lastRefusal = err
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindFull, amaranthtide.KindDeadlineUnmet:
		p.markFull(t)
	case amaranthtide.KindNotOwner:
		owner, named := namedOwner.Get()
		if _, redirected := t.Owner.Get(); redirected || !named {
			// Routers disagree: a second redirect would only go in circles.
			p.excludedServers.Add(t.Server)
			return
		}
		t.Owner = amaranthtide.Some(owner)
		p.redirect = amaranthtide.Some(t)
	case amaranthtide.KindZoneOut, amaranthtide.KindPlatformDown:
		// Another zone may still reach the platform.
		p.excludedZones.Add(t.Zone)
	case amaranthtide.KindLeaving, amaranthtide.KindShuttingDown, amaranthtide.KindNoBackend:
		p.excludedServers.Add(t.Server)
	default:
		p.finish(err) // is the same at every server
	}
}

// markFull notes that the target is full, and with it all servers whose owner
// would have overflowed to them.
func (p *Plan) markFull(t Target) {
	servers := []amaranthtide.BackendServerName{t.Server}
	for _, z := range p.cfg.Zones {
		if z.Shared && z.contains(t.Server) {
			for _, c := range z.Candidates {
				servers = append(servers, c.Server)
			}
		}
	}
	for _, server := range servers {
		p.fullServers.Add(server)
		if t.MayQueue {
			p.excludedServers.Add(server)
		}
	}
}

func (z Zone) contains(server amaranthtide.BackendServerName) bool {
	return slices.ContainsFunc(z.Candidates, func(c amaranthtide.Candidate) bool { return c.Server == server })
}

// Failed notes that the request failed after it was sent to the backend server.
// Shown tells whether the caller has seen any part of the answer.
func (p *Plan) Failed(now time.Time, err error, shown bool) {
	t, ok := p.takePending()
	if !ok || err == nil {
		return
	}
	p.excludedServers.Add(t.Server)
	kind := amaranthtide.KindOf(err)
	ran := kind.Reply().Ran
	if shown && ran == amaranthtide.RanNo {
		err = amaranthtide.Errorf(amaranthtide.KindTruncated, "answer broke off: %w", err)
		kind, ran = amaranthtide.KindTruncated, amaranthtide.RanYes
	}
	if ran != amaranthtide.RanNo && !p.cfg.Request.Repeatable() {
		err = amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "request may have run: %w", err)
		p.finish(err)
		return
	}
	p.recordFailure(err)
	if shown || !isRetriable(kind) || !now.Before(p.cfg.Request.Deadline) || !p.cfg.Retry() {
		p.finish(err)
	}
}

// isRetriable reports whether another server may do better after a failure.
func isRetriable(kind amaranthtide.Kind) bool {
	switch kind {
	case amaranthtide.KindBackendFailed, amaranthtide.KindTruncated, amaranthtide.KindOutcomeUnknown,
		amaranthtide.KindInternal, amaranthtide.KindFull, amaranthtide.KindZoneOut, amaranthtide.KindNotOwner,
		amaranthtide.KindLeaving, amaranthtide.KindShuttingDown, amaranthtide.KindNoBackend,
		amaranthtide.KindPlatformDown:
		return true
	}
	return false
}

// recordFailure keeps the error that says the most about what ran.
func (p *Plan) recordFailure(err error) {
	switch ran := amaranthtide.KindOf(err).Reply().Ran; {
	case ran == amaranthtide.RanNo:
		p.lastRefusal = err
	case p.runError == nil || ran == amaranthtide.RanYes:
		p.runError = err
	}
}

func (p *Plan) takePending() (Target, bool) {
	t, ok := p.pending.Get()
	p.pending = amaranthtide.None[Target]()
	return t, ok && p.finalError == nil
}

// finish sets the final error, unless an earlier attempt says more about what ran.
func (p *Plan) finish(err error) {
	if p.finalError != nil {
		return
	}
	if p.runError != nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanYes {
		err = p.runError
	}
	p.finalError = err
}

// giveUp ends the plan with the last refusal, or with KindNoBackend if there was none.
func (p *Plan) giveUp(format string, args ...any) {
	if p.lastRefusal != nil {
		p.finish(p.lastRefusal)
		return
	}
	p.finish(amaranthtide.Errorf(amaranthtide.KindNoBackend, format, args...))
}
