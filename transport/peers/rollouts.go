package peers

import (
	"net/netip"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/state/outcomes"
)

// rollbackResendInterval is the time after which rollbacks that the store doesn't show yet are
// sent again: a message was lost, or a router has restarted without the store.
const rollbackResendInterval = time.Second

// outcomesInterval is the longest time between two messages with outcomes: a version isn't judged
// good by old ones. Hubs don't send to each other more often either, since these messages have the
// outcomes of each router of a zone.
const outcomesInterval = 500 * time.Millisecond

// Rollouts is what this router knows about rollouts that run.
type Rollouts interface {
	// Outcomes returns the outcomes that the routers for which isIncluded returns true have
	// counted, as far as this router knows. It returns nil if no rollout runs.
	Outcomes(now time.Time, isIncluded func(amaranthtide.VMName) bool) []outcomes.List
	// MergeOutcomes adds outcomes that other routers have counted.
	MergeOutcomes(now time.Time, lists []outcomes.List)
	// Rollbacks returns the rollbacks that the recorded states may not show.
	Rollbacks(now time.Time) []amaranthtide.RolloutState
	// MergeRollbacks applies rollbacks of other routers and reports whether one of them was new.
	MergeRollbacks(now time.Time, rollbacks []amaranthtide.RolloutState) bool
}

// sendOutcomes sends the outcomes of this router and of those that report to it to the hub, and
// those of the zone to the hubs of other zones if this router is the hub.
func (e *Exchange) sendOutcomes(now time.Time) {
	e.mu.Lock()
	zone := e.zoneRouters()
	interval := reportInterval(len(zone))
	if e.currentHub(now) == e.opts.Self.VM {
		interval = max(interval, outcomesInterval)
	}
	if !due(now, e.outcomesSentAt, interval) {
		e.mu.Unlock()
		return
	}
	names := amaranthtide.NewSet(zone...)
	to := e.hubAddresses(now)
	e.mu.Unlock()
	lists := e.opts.Rollouts.Outcomes(now, names.Has)
	answers := answerCount(lists)
	e.mu.Lock()
	unchanged := answers == e.answersSent && !due(now, e.outcomesSentAt, outcomesInterval)
	if !unchanged {
		e.answersSent, e.outcomesSentAt = answers, now
	}
	e.mu.Unlock()
	if unchanged {
		return
	}
	for _, m := range message.NewOutcomes(lists) {
		e.publish(message.TopicOutcomes, m, to)
	}
}

func answerCount(lists []outcomes.List) uint64 {
	n := uint64(0)
	for _, l := range lists {
		for _, o := range l.Outcomes {
			n += o.Answers
		}
	}
	return n
}

// hubAddresses returns the addresses of the hubs that this router reports to: that of its zone,
// or those of the other zones if it is the hub itself. The caller holds mu.
func (e *Exchange) hubAddresses(now time.Time) []netip.AddrPort {
	if hub := e.currentHub(now); hub != e.opts.Self.VM {
		return e.addresses(hub)
	}
	return e.remoteHubAddresses(now)
}

// handleOutcomes adds the outcomes that another router has counted or received.
func (e *Exchange) handleOutcomes(msg *watermill.Message) {
	var m message.Outcomes
	if !e.decode(msg, &m) {
		return
	}
	e.opts.Rollouts.MergeOutcomes(time.Now(), m.ToDomain())
}

// SendRollbacks sends the rollbacks that the recorded states may not show to the neighbors in the
// tree of load reports, which send them on.
func (e *Exchange) SendRollbacks(now time.Time) {
	rollbacks := e.opts.Rollouts.Rollbacks(now)
	if len(rollbacks) == 0 {
		return
	}
	e.mu.Lock()
	e.rollbacksSentAt = now
	to := e.rollbackTargets(now)
	e.mu.Unlock()
	e.publish(message.TopicRollbacks, message.NewRollbacks(rollbacks), to)
}

// resendRollbacks sends rollbacks again as long as the recorded states may not show them.
func (e *Exchange) resendRollbacks(now time.Time) {
	e.mu.Lock()
	isDue := due(now, e.rollbacksSentAt, rollbackResendInterval)
	e.mu.Unlock()
	if isDue {
		e.SendRollbacks(now)
	}
}

// rollbackTargets returns the addresses of the hubs that this router reports to, of the routers
// that report to it and, if it is the hub, of all routers of its zone. The caller holds mu.
func (e *Exchange) rollbackTargets(now time.Time) []netip.AddrPort {
	isHub := e.currentHub(now) == e.opts.Self.VM
	var names []amaranthtide.VMName
	for name, r := range e.routers {
		if now.Sub(r.lastReportAt) <= liveAge || isHub && r.zone == e.opts.Self.Zone {
			names = append(names, name)
		}
	}
	return append(e.addresses(names...), e.hubAddresses(now)...)
}

// handleRollbacks applies rollbacks of another router and sends new ones on.
func (e *Exchange) handleRollbacks(msg *watermill.Message) {
	var m message.Rollbacks
	if !e.decode(msg, &m) {
		return
	}
	now := time.Now()
	if e.opts.Rollouts.MergeRollbacks(now, m.ToDomain()) {
		e.SendRollbacks(now)
	}
}

// IsHub reports whether this router is the hub of its zone.
func (e *Exchange) IsHub(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentHub(now) == e.opts.Self.VM
}

// HubContact returns when this router last had a message of the tree that shows that it isn't cut
// off: from the hub of its zone or, if it is the hub itself, from the hub of another zone or from a
// router that reports to it. It returns now if it knows no other router, and the zero time if there
// never was such a message.
func (e *Exchange) HubContact(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentHub(now) != e.opts.Self.VM {
		return e.hubContactAt
	}
	if len(e.routers) == 0 {
		return now
	}
	contact := time.Time{}
	for _, r := range e.routers {
		contact = latest(contact, latest(r.lastZoneLoadsAt, r.lastReportAt))
	}
	return contact
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
