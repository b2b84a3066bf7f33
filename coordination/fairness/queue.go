// Package fairness implements the queue of one backend server: deficit round robin
// over flows (property P10 of the design page).
//
// A flow is a workspace and a class. Quick requests form their own flow, so they never
// wait behind standard requests of their workspace. While a workspace has both kinds
// queued, it has two shares. Within a flow, requests are served in order of arrival.
//
// # Rounds
//
// In deficit round robin, each flow with queued requests earns its weight times a
// quantum per round, and serves its first request once its deficit covers the cost.
// With a large quantum, a small request waits for an entire round of large ones. With
// a small quantum, most visits serve nothing. Queue uses a very small quantum (2^-16
// tokens) and skips the rounds in which no flow can be served: the first request of a
// flow is due in the round
//
//	due = (round in which the flow began to earn) + cost/weight
//
// and the flow with the lowest due round is served next. As usual, a flow loses what
// it has earned when its last request is served. Due rounds are never before the
// current round, which allows a radix queue instead of a heap: every operation is
// O(1) amortised, independent of the number of flows (an element moves at most 64
// times, in practice a few times). Deadlines use the same structure.
//
// # Bounds
//
// Let a ticket arrive in flow i of weight w, and let c be the cost of the tickets of
// this flow up to and including this one. Before it starts, the other flows j that
// have tickets during its wait start requests of at most
//
//	sum over j of (w_j/w * c + L_j)
//
// tokens, where L_j is the largest cost of one request of j, and flow i starts c minus
// the cost of the ticket. In short, the bound is (sum of weights / w) times its own
// queued cost, plus one largest request of each other flow. The term L_j is the price
// of O(1) deficit round robin: a request of j may have earned most of its cost when
// the ticket arrives. The wait in time is this cost divided by the service rate of the
// server. Cancellations and evictions only shorten it. If they remove the first ticket
// of a flow, what this ticket has earned counts for the next one.
//
// # Bounded length
//
// A full queue evicts the newest ticket of the longest flow, by length divided by
// weight, to make room for a flow below its share. Otherwise, one workspace could fill
// the queue, and the requests of all others would be refused.
//
// # Usage
//
//	q := fairness.New(256)
//	evicted, ok := q.Push(fairness.Ticket{
//		Attempt: id, Workspace: w, Weight: 3, Cost: 900, Deadline: d,
//	})
//	for _, t := range q.Expire(now) {
//		// Refuse t as not run.
//	}
//	t, ok := q.Pop()
//
// A Queue is not safe for concurrent use.
package fairness

import (
	"time"

	"amaranthtide"
)

// Ticket is a queued request.
type Ticket struct {
	Attempt   amaranthtide.AttemptID
	Workspace amaranthtide.WorkspaceName
	Class     amaranthtide.Class
	// Weight is the weight of the workspace; values below 1 count as 1. A flow has the
	// weight of its latest ticket.
	Weight int
	// Cost is the estimated work in tokens; values below 1 count as 1.
	Cost int
	// Deadline is when the caller stops waiting; the zero time means never.
	Deadline time.Time
}

// The quantum is 2^-quantumBits tokens. One token at weight 65,536 then still takes a
// whole round to earn, and the rounds for costs of up to 47 bits fit in 64 bits.
const (
	quantumBits = 16
	maxCost     = 1 << 40
)

type flowKey struct {
	workspace amaranthtide.WorkspaceName
	class     amaranthtide.Class
}

type flow struct {
	key    flowKey
	weight int
	// startRound is the round in which the first ticket began to earn.
	startRound uint64
	head, tail *entry
	count      int
	totalCost  int
	due        node[*flow]
	// weightedLength and lengthIndex are the flow's indices in Queue.byLength;
	// weightedLength is 0 if the flow is not in it.
	weightedLength, lengthIndex int
}

type entry struct {
	ticket     Ticket
	flow       *flow
	prev, next *entry
	deadline   node[*entry]
}

// Queue is the bounded fair queue of one server. Create one with New.
type Queue struct {
	limit   int
	flows   map[flowKey]*flow
	entries map[amaranthtide.AttemptID]*entry
	// due holds the flows, ordered by the due round of their first ticket. Its floor is
	// the current round.
	due       radixQueue[*flow]
	deadlines radixQueue[*entry]
	// byLength holds the flows by their weighted length, which changes by at most one
	// per operation unless the weight of the flow changes. longest is the maximum
	// weighted length.
	byLength    [][]*flow
	longest     int
	totalWeight int
	totalCost   int
}

// New returns an empty queue that holds at most limit tickets.
func New(limit int) *Queue {
	return &Queue{
		limit:   limit,
		flows:   make(map[flowKey]*flow),
		entries: make(map[amaranthtide.AttemptID]*entry),
	}
}

// Len returns the number of tickets.
func (q *Queue) Len() int { return len(q.entries) }

// Cost returns the sum of the costs of all tickets.
func (q *Queue) Cost() int { return q.totalCost }

// Has reports whether a ticket of the attempt is queued.
func (q *Queue) Has(attempt amaranthtide.AttemptID) bool {
	_, ok := q.entries[attempt]
	return ok
}

// Push adds a ticket. If the queue is full and another flow has a larger weighted
// length than the flow of t would have, the newest ticket of the longest flow is
// evicted and returned. Otherwise, ok is false and t is not added. Push also returns
// false for an attempt that is already queued.
func (q *Queue) Push(t Ticket) (evicted amaranthtide.Option[Ticket], ok bool) {
	t.Weight, t.Cost = max(1, t.Weight), min(maxCost, max(1, t.Cost))
	if q.Has(t.Attempt) {
		return evicted, false
	}
	key := flowKey{t.Workspace, t.Class}
	f := q.flows[key]
	if len(q.entries) >= q.limit {
		n := 1
		if f != nil {
			n += f.count
		}
		if q.longest <= weightedLengthOf(n, t.Weight) {
			return evicted, false
		}
		victim := q.byLength[q.longest][0].tail
		q.unlink(victim)
		evicted = amaranthtide.Some(victim.ticket)
		f = q.flows[key]
	}
	if f == nil {
		f = &flow{key: key, startRound: q.due.floor}
		f.due.value = f
		q.flows[key] = f
	}
	q.totalWeight += t.Weight - f.weight
	f.weight = t.Weight
	q.link(f, &entry{ticket: t, flow: f})
	return evicted, true
}

// Pop removes and returns the next ticket. Call Expire first, because Pop does not
// check deadlines.
func (q *Queue) Pop() (Ticket, bool) {
	e := q.due.pop()
	if e == nil {
		return Ticket{}, false
	}
	f := e.value
	// startRound is not raised to the floor of q.due, so a flow that was due before the
	// current round keeps what it has earned since.
	f.startRound += roundsToEarn(f.head.ticket.Cost, f.weight)
	t := f.head.ticket
	q.unlink(f.head)
	return t, true
}

// Remove removes and returns the ticket of the attempt, if it is queued.
func (q *Queue) Remove(attempt amaranthtide.AttemptID) (Ticket, bool) {
	e, ok := q.entries[attempt]
	if !ok {
		return Ticket{}, false
	}
	q.unlink(e)
	return e.ticket, true
}

// Expire removes and returns the tickets whose deadline is at or before now, in no
// particular order.
func (q *Queue) Expire(now time.Time) []Ticket {
	var out []Ticket
	for _, e := range q.deadlines.popThrough(deadlineKey(now)) {
		q.unlink(e.value)
		out = append(out, e.value.ticket)
	}
	return out
}

// Drain removes and returns all tickets, in no particular order.
func (q *Queue) Drain() []Ticket {
	out := make([]Ticket, 0, len(q.entries))
	for _, e := range q.entries {
		out = append(out, e.ticket)
	}
	for _, t := range out {
		q.Remove(t.Attempt)
	}
	return out
}

// CostAhead estimates the cost of the queued tickets that would start before t if t were
// pushed now and no further ticket arrived.
func (q *Queue) CostAhead(t Ticket) int {
	weight, cost := max(1, t.Weight), max(1, t.Cost)
	own, others := 0, q.totalWeight
	if f := q.flows[flowKey{t.Workspace, t.Class}]; f != nil {
		own, others = f.totalCost, others-f.weight
	}
	share := float64(own+cost) / float64(weight) * float64(others)
	return own + int(min(float64(q.totalCost-own), share))
}

func (q *Queue) link(f *flow, e *entry) {
	q.entries[e.ticket.Attempt] = e
	e.deadline.value = e
	if !e.ticket.Deadline.IsZero() {
		q.deadlines.insert(&e.deadline, deadlineKey(e.ticket.Deadline))
	}
	if f.tail == nil {
		f.head = e
	} else {
		e.prev, f.tail.next = f.tail, e
	}
	f.tail = e
	f.count++
	f.totalCost += e.ticket.Cost
	q.totalCost += e.ticket.Cost
	q.updateFlow(f)
}

func (q *Queue) unlink(e *entry) {
	f := e.flow
	delete(q.entries, e.ticket.Attempt)
	q.deadlines.remove(&e.deadline)
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	f.count--
	f.totalCost -= e.ticket.Cost
	q.totalCost -= e.ticket.Cost
	q.updateFlow(f)
}

// updateFlow moves f to its position in due and byLength after its tickets have
// changed, or removes it if it is empty.
func (q *Queue) updateFlow(f *flow) {
	q.due.remove(&f.due)
	q.removeLength(f)
	if f.count == 0 {
		delete(q.flows, f.key)
		q.totalWeight -= f.weight
		q.updateLongest()
		return
	}
	q.due.insert(&f.due, f.startRound+roundsToEarn(f.head.ticket.Cost, f.weight))
	f.weightedLength = weightedLengthOf(f.count, f.weight)
	for len(q.byLength) <= f.weightedLength {
		q.byLength = append(q.byLength, nil)
	}
	f.lengthIndex = len(q.byLength[f.weightedLength])
	q.byLength[f.weightedLength] = append(q.byLength[f.weightedLength], f)
	q.longest = max(q.longest, f.weightedLength)
	q.updateLongest()
}

func (q *Queue) removeLength(f *flow) {
	if f.weightedLength == 0 {
		return
	}
	l := q.byLength[f.weightedLength]
	last := len(l) - 1
	l[f.lengthIndex] = l[last]
	l[f.lengthIndex].lengthIndex = f.lengthIndex
	l[last] = nil
	q.byLength[f.weightedLength] = l[:last]
	f.weightedLength = 0
}

func (q *Queue) updateLongest() {
	for q.longest > 0 && len(q.byLength[q.longest]) == 0 {
		q.longest--
	}
}

// weightedLengthOf returns the length of a flow divided by its weight, rounded up.
func weightedLengthOf(n, weight int) int { return (n + weight - 1) / weight }

// roundsToEarn returns the number of rounds in which a flow earns the cost, rounded up.
func roundsToEarn(cost, weight int) uint64 {
	return ((uint64(cost) << quantumBits) + uint64(weight) - 1) / uint64(weight)
}

// deadlineKey returns the radix queue key of a time. Times before 1970 count as 1970.
func deadlineKey(t time.Time) uint64 { return uint64(max(0, t.UnixNano())) }
