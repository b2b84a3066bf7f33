// Package route decides, for one request at its entry, which backend server is
// tried next, when the request spills over to another zone, whether it is retried,
// and what its final error is.
//
// A plan visits the zones in the order of the chat and, inside a zone, the servers in
// the order of the policy. It leaves a zone when all remaining servers are known to be
// full. A server that may not queue the request refuses it when full, and the plan
// goes on. When no zone has a server left that may have room, or at the last of
// MaxHops hops, the request may queue. It then goes to the first zone that has servers
// and there, among the first four servers in the order of the chat, to the one with the
// lowest known load relative to its limit.
//
// A refusal before dispatch counts as a hop but not as an attempt, since the request
// was not sent to a backend server. If a dispatched request fails, it is retried only
// if the retry budget allows it, no part of the answer was delivered to the caller, and
// the request is either repeatable or known not to have run. The plan does not try a
// failed server again.
//
// A refusal because a server leaves or pauses (amaranthtide.NoticeOf) doesn't count as a hop, so
// that a request finds the one server that takes it. If a pause ends before the deadline, the
// request may queue for the server later. If nothing else is left, the plan ends with the time
// until the first pause has ended.
//
// The final error never understates what is known: if an attempt ran or may have run,
// the final error says so, even if later hops were refused.
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
//			p.Refused(now(), err, namedOwner)
//		default:
//			p.Failed(now(), err, delivered)
//		}
//	}
package route

import (
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/placement"
)

const (
	// MaxHops is the maximum number of targets that a plan returns.
	MaxHops = 4

	// maxQueueCandidates is how many servers of the chat's order are considered for a
	// request that has to queue. With more, the chats of a busy zone would spread over
	// the prompt caches of all its servers.
	maxQueueCandidates = 4

	// maxNoticeHops is how many refusals because of a server's notice don't count as hops. Each
	// costs a call to another router, and no server refuses a request twice for this reason.
	maxNoticeHops = 16
)

// Zone is a zone, or one group of a zone, and its servers that serve the model or
// route of the request.
type Zone struct {
	Name amaranthtide.ZoneName
	// OwnerOverflows means that one router owns all candidates and moves a request from a
	// full server to another candidate by itself, so that KindFull applies to all of them.
	OwnerOverflows bool
	// Candidates are reordered by the plan.
	Candidates []amaranthtide.Candidate
}

// Config describes a request and its candidates.
type Config struct {
	Request *amaranthtide.Request
	// Zones are in the order of the chat, its home zone first.
	Zones  []Zone
	Policy amaranthtide.PlacementPolicy
	// InService reports whether the zone and the server are in service and not leaving
	// at the time of the call. It is called again for each target.
	InService func(amaranthtide.ZoneName, amaranthtide.BackendServerName) bool
	// Retry takes one retry from the retry budget of the workspace, and returns false
	// if none is left.
	Retry func() bool
	// Spread, from 0 to 1, differs between requests, so that callers don't return to a server in
	// one step after its pause.
	Spread float64
}

// Target is the server to which the request is sent next.
type Target struct {
	Zone   amaranthtide.ZoneName
	Server amaranthtide.BackendServerName
	// MayQueue tells whether the owner may queue the request. Otherwise it refuses the
	// request when the server is full.
	MayQueue bool
	// Owner is the owner that another router named in a redirect. If it is absent, the
	// owner follows from the entry's own view.
	Owner amaranthtide.Option[amaranthtide.VMName]
}

// Plan is the routing state of one request. Create one with New. It is not safe for
// concurrent use: each call of Next must be followed by the outcome of its target.
type Plan struct {
	cfg  Config
	chat amaranthtide.ChatID
	hops int

	// pending is the target whose outcome is not known yet.
	pending  amaranthtide.Option[Target]
	redirect amaranthtide.Option[Target]
	// orderedZones is the number of zones whose candidates the policy has ordered.
	orderedZones  int
	excludedZones amaranthtide.Set[amaranthtide.ZoneName]
	// fullServers had no free slot for the request and are only tried again to queue it.
	// excludedServers are not tried again.
	fullServers, excludedServers amaranthtide.Set[amaranthtide.BackendServerName]

	// reopens holds the ends of the pauses of servers; nil if there are none.
	reopens    map[amaranthtide.BackendServerName]time.Time
	noticeHops int
	pauseError error // the refusal because of the pause that ends first, at pauseEnd
	pauseEnd   time.Time

	lastRefusal error
	// runError is the failure that says the most about whether the request ran.
	runError   error
	finalError error
}

// New returns the plan of a request.
func New(cfg Config) *Plan {
	return &Plan{
		cfg:             cfg,
		chat:            placement.ChatKey(cfg.Request.Workspace, cfg.Request.Chat),
		excludedZones:   amaranthtide.NewSet[amaranthtide.ZoneName](),
		fullServers:     amaranthtide.NewSet[amaranthtide.BackendServerName](),
		excludedServers: amaranthtide.NewSet[amaranthtide.BackendServerName](),
	}
}

// Next returns the next target, or the final error. After an error, all further calls
// return the same error. A call before the outcome of the last target was reported
// ends the plan with KindInternal, since it is unknown whether the request ran.
func (p *Plan) Next(now time.Time) (Target, error) {
	if _, ok := p.pending.Get(); ok {
		p.finish(amaranthtide.Errorf(amaranthtide.KindInternal, "routing plan: next target requested before the outcome of the last one"))
	}
	if p.finalError == nil && !now.Before(p.cfg.Request.Deadline) {
		p.finish(amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "deadline passed before a backend server accepted the request"))
	}
	if p.finalError == nil && p.hops == MaxHops {
		p.giveUp(now, "no backend server accepted the request within %d hops", MaxHops)
	}
	if p.finalError != nil {
		return Target{}, p.finalError
	}
	target, ok := p.nextTarget(now)
	if !ok {
		p.giveUp(now, "no backend server in service left to try after %d hops", p.hops)
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

// serverWithRoom returns the next server of the first zone in which a remaining server
// may have room.
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

// serverToQueue returns the server at which the request should queue.
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

// loadRatio returns the known load of a server relative to its limit. It returns 1 if
// the load is unknown, and at least 1 if the server refused the request as full.
func (p *Plan) loadRatio(now time.Time, c amaranthtide.Candidate) float64 {
	if left := p.reopens[c.Server].Sub(now); left > 0 {
		return 1 + left.Seconds()
	}
	if !placement.LoadKnown(now, c) {
		return 1
	}
	ratio := float64(c.InFlight) / float64(max(c.Limit, 1))
	if p.fullServers.Has(c.Server) {
		return max(ratio, 1)
	}
	return ratio
}

// Refused records that the target refused the request before it was sent to the
// backend server. namedOwner is the owner that a KindNotOwner refusal names. An error
// whose kind doesn't imply that the request was not run is handled as a failure.
func (p *Plan) Refused(now time.Time, err error, namedOwner amaranthtide.Option[amaranthtide.VMName]) {
	if amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
		p.Failed(now, err, false)
		return
	}
	t, ok := p.takePending()
	if !ok || err == nil {
		return
	}
	if n := amaranthtide.NoticeOf(err); n.Leaving || n.Pause > 0 {
		p.uncountHop()
		if n.Pause > 0 {
			p.refusedInPause(now, t, n.Pause, err)
			return
		}
	}
	p.lastRefusal = err
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindFull, amaranthtide.KindDeadlineUnmet:
		p.markFull(t)
	case amaranthtide.KindNotOwner:
		owner, named := namedOwner.Get()
		if _, redirected := t.Owner.Get(); redirected || !named {
			// The routers disagree about the owner, and following a second redirect
			// could loop.
			p.excludedServers.Add(t.Server)
			return
		}
		t.Owner = amaranthtide.Some(owner)
		p.redirect = amaranthtide.Some(t)
	case amaranthtide.KindZoneOut, amaranthtide.KindPlatformDown:
		// Routers of another zone may still be able to reach the platform.
		p.excludedZones.Add(t.Zone)
	case amaranthtide.KindLeaving, amaranthtide.KindShuttingDown, amaranthtide.KindNoBackend:
		p.excludedServers.Add(t.Server)
	default:
		p.finish(err) // every server would refuse the request with this error
	}
}

// uncountHop makes the last hop not count, up to maxNoticeHops times.
func (p *Plan) uncountHop() {
	if p.noticeHops < maxNoticeHops {
		p.noticeHops++
		p.hops--
	}
}

// refusedInPause records that the target, and all servers to which its owner could have moved
// the request, pause for the given time or longer.
func (p *Plan) refusedInPause(now time.Time, t Target, pause time.Duration, err error) {
	end := now.Add(pause)
	if p.pauseError == nil || end.Before(p.pauseEnd) {
		p.pauseError, p.pauseEnd = err, end
	}
	if p.reopens == nil {
		p.reopens = make(map[amaranthtide.BackendServerName]time.Time)
	}
	for _, server := range p.overflowServers(t.Server) {
		p.reopens[server] = end
	}
	t.MayQueue = t.MayQueue || !end.Before(p.cfg.Request.Deadline)
	p.markFull(t)
}

// markFull marks the target as full, together with all servers to which its owner
// could have moved the request.
func (p *Plan) markFull(t Target) {
	for _, server := range p.overflowServers(t.Server) {
		p.fullServers.Add(server)
		if t.MayQueue {
			p.excludedServers.Add(server)
		}
	}
}

// overflowServers returns the server and those to which its owner moves a request.
func (p *Plan) overflowServers(server amaranthtide.BackendServerName) []amaranthtide.BackendServerName {
	servers := []amaranthtide.BackendServerName{server}
	for _, z := range p.cfg.Zones {
		if z.OwnerOverflows && z.contains(server) {
			for _, c := range z.Candidates {
				servers = append(servers, c.Server)
			}
		}
	}
	return servers
}

func (z Zone) contains(server amaranthtide.BackendServerName) bool {
	return slices.ContainsFunc(z.Candidates, func(c amaranthtide.Candidate) bool { return c.Server == server })
}

// Failed records that the request failed after it was sent to the backend server.
// delivered tells whether any part of the answer was delivered to the caller.
func (p *Plan) Failed(now time.Time, err error, delivered bool) {
	t, ok := p.takePending()
	if !ok || err == nil {
		return
	}
	p.excludedServers.Add(t.Server)
	kind := amaranthtide.KindOf(err)
	ran := kind.Reply().Ran
	if delivered && ran == amaranthtide.RanNo {
		err = amaranthtide.Errorf(amaranthtide.KindTruncated, "answer was truncated: %w", err)
		kind, ran = amaranthtide.KindTruncated, amaranthtide.RanYes
	}
	if ran != amaranthtide.RanNo && !p.cfg.Request.Repeatable() {
		err = amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "request may have run: %w", err)
		p.finish(err)
		return
	}
	p.recordFailure(err)
	if delivered || !isRetriable(kind) || !now.Before(p.cfg.Request.Deadline) || !p.cfg.Retry() {
		p.finish(err)
	}
}

// isRetriable reports whether another server may succeed after a failure of the kind.
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

// recordFailure keeps the error if it says more about whether the request ran than
// the earlier ones.
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

// finish sets the final error. If an earlier failure says more about whether the
// request ran, that failure becomes the final error.
func (p *Plan) finish(err error) {
	if p.finalError != nil {
		return
	}
	if p.runError != nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanYes {
		err = p.runError
	}
	p.finalError = err
}

// giveUp ends the plan with the last refusal, or with KindNoBackend if there was none. A pause
// goes before refusals of servers that won't take the request later either.
func (p *Plan) giveUp(now time.Time, format string, args ...any) {
	full := amaranthtide.IsKind(p.lastRefusal, amaranthtide.KindFull) || amaranthtide.IsKind(p.lastRefusal, amaranthtide.KindDeadlineUnmet)
	switch {
	case p.pauseError != nil && !full:
		p.finish(amaranthtide.WithRetryAfter(p.pauseError, outlier.RetryAfter(now, p.pauseEnd, p.cfg.Spread)))
	case p.lastRefusal != nil:
		p.finish(p.lastRefusal)
	default:
		p.finish(amaranthtide.Errorf(amaranthtide.KindNoBackend, format, args...))
	}
}
