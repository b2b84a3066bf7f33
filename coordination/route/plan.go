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

	// queueChoices is how many servers of the chat's order compete for a request
	// that must wait. More would spread the chats of a busy zone over all caches.
	queueChoices = 4
)

// Zone is a zone and its servers that serve the model or route of the request.
type Zone struct {
	Name amaranthtide.ZoneName
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
	// ordered tells how many of the zones are in the order of the policy.
	ordered int
	out     amaranthtide.Set[amaranthtide.ZoneName]
	// full refused without queueing, gone are not tried again at all.
	full, gone amaranthtide.Set[amaranthtide.BackendServerName]

	// refusal is the last refusal, ran the failure that says the most about what ran.
	refusal error
	ran     error
	final   error
}

// New returns the plan of a request.
func New(cfg Config) *Plan {
	return &Plan{
		cfg:  cfg,
		chat: placement.Key(cfg.Request.Workspace, cfg.Request.Chat),
		out:  amaranthtide.NewSet[amaranthtide.ZoneName](),
		full: amaranthtide.NewSet[amaranthtide.BackendServerName](),
		gone: amaranthtide.NewSet[amaranthtide.BackendServerName](),
	}
}

// Next returns the next target, or the final error. Once it returned an error, it
// returns the same one on every call. A call while the last target has no outcome
// ends the plan with KindInternal, which says that nobody knows what ran.
func (p *Plan) Next(now time.Time) (Target, error) {
	if _, ok := p.pending.Get(); ok {
		p.end(amaranthtide.Errorf(amaranthtide.KindInternal, "the last target has no outcome"))
	}
	if p.final == nil && !now.Before(p.cfg.Request.Deadline) {
		p.end(amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "deadline passed before a backend server took the request"))
	}
	if p.final == nil && p.hops == MaxHops {
		p.giveUp("no backend server took the request in %d hops", MaxHops)
	}
	if p.final != nil {
		return Target{}, p.final
	}
	target, ok := p.choose(now)
	if !ok {
		p.giveUp("no backend server in service is left after %d hops", p.hops)
		return Target{}, p.final
	}
	p.hops++
	p.pending = amaranthtide.Some(target)
	return target, nil
}

func (p *Plan) choose(now time.Time) (Target, bool) {
	t, ok := p.redirect.Get()
	p.redirect = amaranthtide.None[Target]()
	if ok && p.usable(t.Zone, t.Server) {
		t.MayQueue = t.MayQueue || p.hops == MaxHops-1
		return t, true
	}
	if p.hops < MaxHops-1 {
		if t, ok := p.withRoom(now); ok {
			return t, true
		}
	}
	return p.toQueue(now)
}

func (p *Plan) usable(zone amaranthtide.ZoneName, server amaranthtide.BackendServerName) bool {
	return !p.out.Has(zone) && !p.gone.Has(server) && p.cfg.InService(zone, server)
}

// withRoom returns the next server of the first zone that has one with known room.
func (p *Plan) withRoom(now time.Time) (Target, bool) {
	for i := range p.cfg.Zones {
		z := &p.cfg.Zones[i]
		if p.out.Has(z.Name) {
			continue
		}
		if i >= p.ordered {
			z.Candidates = p.cfg.Policy.Order(now, p.chat, z.Candidates)
			p.ordered = i + 1
		}
		first, room := -1, false
		for j, c := range z.Candidates {
			if p.full.Has(c.Server) || !p.usable(z.Name, c.Server) {
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

// toQueue returns the server at which the request waits.
func (p *Plan) toQueue(now time.Time) (Target, bool) {
	for _, z := range p.cfg.Zones {
		left := slices.DeleteFunc(slices.Clone(z.Candidates), func(c amaranthtide.Candidate) bool {
			return !p.usable(z.Name, c.Server)
		})
		if len(left) == 0 {
			continue
		}
		left = placement.New(p.chat).Servers(left)
		best := left[0]
		for _, c := range left[1:min(len(left), queueChoices)] {
			if p.pressure(now, c) < p.pressure(now, best) {
				best = c
			}
		}
		return Target{Zone: z.Name, Server: best.Server, MayQueue: true}, true
	}
	return Target{}, false
}

// pressure returns the known load of a server relative to its limit. A server with
// an unknown load, or one that just refused, counts as exactly full at least.
func (p *Plan) pressure(now time.Time, c amaranthtide.Candidate) float64 {
	if !placement.LoadKnown(now, c) {
		return 1
	}
	ratio := float64(c.InFlight) / float64(max(c.Limit, 1))
	if p.full.Has(c.Server) {
		return max(ratio, 1)
	}
	return ratio
}

// Refused notes that the target refused the request before it was sent to the
// backend server. Better is the owner that a KindNotOwner refusal names. An error
// whose kind doesn't say "not run" is handled as a failure.
func (p *Plan) Refused(now time.Time, err error, better amaranthtide.Option[amaranthtide.VMName]) {
	if amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
		p.Failed(now, err, false)
		return
	}
	t, ok := p.settle()
	if !ok || err == nil {
		return
	}
	p.refusal = err
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindFull, amaranthtide.KindDeadlineUnmet:
		if t.MayQueue {
			p.gone.Add(t.Server)
		}
		p.full.Add(t.Server)
	case amaranthtide.KindNotOwner:
		owner, named := better.Get()
		if _, before := t.Owner.Get(); before || !named {
			// Routers disagree: a second redirect would only go in circles.
			p.gone.Add(t.Server)
			return
		}
		t.Owner = amaranthtide.Some(owner)
		p.redirect = amaranthtide.Some(t)
	case amaranthtide.KindZoneOut, amaranthtide.KindPlatformDown:
		// Another zone may still reach the platform.
		p.out.Add(t.Zone)
	case amaranthtide.KindLeaving, amaranthtide.KindShuttingDown, amaranthtide.KindNoBackend:
		p.gone.Add(t.Server)
	default:
		p.end(err) // is the same at every server
	}
}

// Failed notes that the request failed after it was sent to the backend server.
// Shown tells whether the caller has seen any part of the answer.
func (p *Plan) Failed(now time.Time, err error, shown bool) {
	t, ok := p.settle()
	if !ok || err == nil {
		return
	}
	p.gone.Add(t.Server)
	kind := amaranthtide.KindOf(err)
	ran := kind.Reply().Ran
	if shown && ran == amaranthtide.RanNo {
		err = amaranthtide.Errorf(amaranthtide.KindTruncated, "answer broke off: %w", err)
		kind, ran = amaranthtide.KindTruncated, amaranthtide.RanYes
	}
	if ran != amaranthtide.RanNo && !p.cfg.Request.Repeatable() {
		err = amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "request may have run: %w", err)
		p.end(err)
		return
	}
	p.note(err)
	if shown || !retriable(kind) || !now.Before(p.cfg.Request.Deadline) || !p.cfg.Retry() {
		p.end(err)
	}
}

// retriable reports whether another server may do better after a failure.
func retriable(kind amaranthtide.Kind) bool {
	switch kind {
	case amaranthtide.KindBackendFailed, amaranthtide.KindTruncated, amaranthtide.KindOutcomeUnknown,
		amaranthtide.KindInternal, amaranthtide.KindFull, amaranthtide.KindZoneOut, amaranthtide.KindNotOwner,
		amaranthtide.KindLeaving, amaranthtide.KindShuttingDown, amaranthtide.KindNoBackend,
		amaranthtide.KindPlatformDown:
		return true
	}
	return false
}

// note keeps the error that says the most about what ran.
func (p *Plan) note(err error) {
	switch ran := amaranthtide.KindOf(err).Reply().Ran; {
	case ran == amaranthtide.RanNo:
		p.refusal = err
	case p.ran == nil || ran == amaranthtide.RanYes:
		p.ran = err
	}
}

func (p *Plan) settle() (Target, bool) {
	t, ok := p.pending.Get()
	p.pending = amaranthtide.None[Target]()
	return t, ok && p.final == nil
}

// end sets the final error, unless an earlier attempt says more about what ran.
func (p *Plan) end(err error) {
	if p.final != nil {
		return
	}
	if p.ran != nil && amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanYes {
		err = p.ran
	}
	p.final = err
}

// giveUp ends the plan with the last refusal, or with KindNoBackend if there was none.
func (p *Plan) giveUp(format string, args ...any) {
	if p.refusal != nil {
		p.end(p.refusal)
		return
	}
	p.end(amaranthtide.Errorf(amaranthtide.KindNoBackend, format, args...))
}
