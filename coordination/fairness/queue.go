// Package fairness holds the queue of one backend server: deficit round robin
// over flows (P10 of the design page).
//
// A flow is a workspace and a class. Quick work is a flow of its own, so it never
// waits behind standard work of its workspace. A workspace that has both kinds
// waiting holds two shares meanwhile. Within a flow, the earliest arrival goes first.
//
// # Rounds
//
// In deficit round robin, each waiting flow earns its weight times a quantum per
// round and sends its first request once its deficit covers the cost. A large
// quantum makes a small request wait for a whole round of large ones; a small
// quantum makes most visits useless. Queue takes the limit of a very small
// quantum (2^-16 tokens) and skips the rounds in which no flow can send: the
// first request of a flow is due in the round
//
//	due = (round in which the flow began to earn) + cost/weight
//
// and the flow that is due first goes next. A flow that has sent its last request
// loses what it earned, as usual. Due rounds never lie before the present round,
// which allows a radix queue instead of a heap: every operation is O(1)
// amortised, independent of the number of flows (an element moves at most 64
// times, and in practice a few times). Deadlines use the same structure.
//
// # Bounds
//
// Let a ticket arrive in flow i of weight w, whose tickets up to and including
// this one cost c. Before it starts, the other flows j that have tickets in the
// meantime start requests of at most
//
//	sum over j of (w_j/w * c + L_j)
//
// tokens, with L_j the largest cost of one request of j, and flow i starts c less
// the ticket's own cost. In short: (sum of weights / w) times its own queued
// cost, plus one largest request of each other flow. The part L_j is what deficit
// round robin pays for O(1): a request of j may have earned most of its cost when
// the ticket arrives. The wait in time is this cost over the service rate of the
// server. Cancellations and evictions only shorten it. If they take the first
// ticket of a flow away, the time that it has earned counts for the next one.
//
// # Bounded length
//
// A full queue doesn't refuse a flow that waits with less than its share: the
// newest ticket of the longest flow, by length over weight, gives way. Else one
// workspace could fill the queue and starve the others by refusals.
//
// # Usage
//
//	q := fairness.New(256)
//	evicted, ok := q.Push(fairness.Ticket{Attempt: id, Workspace: w, Weight: 3, Cost: 900, Deadline: d})
//	for _, t := range q.Expire(now) {
//		// Refuse t as not run.
//	}
//	t, ok := q.Pop()
//
// A Queue is not concurrent-safe.
package fairness

import (
	"time"

	"amaranthtide"
)

// Ticket is a request that waits for a server.
type Ticket struct {
	Attempt   amaranthtide.AttemptID
	Workspace amaranthtide.WorkspaceName
	Class     amaranthtide.Class
	// Weight is the weight of the workspace; values below 1 count as 1. A flow
	// uses the weight of its latest ticket.
	Weight int
	// Cost is the estimated work in tokens; values below 1 count as 1.
	Cost int
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
}

// quantumBits sets the quantum of 2^-quantumBits tokens. It keeps cost/weight
// distinct for weights up to 65,536, and 47-bit costs inside 64 bits.
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
	// startRound is the round in which the first ticket startRound to earn.
	startRound uint64
	head, tail *entry
	count      int
	totalCost  int
	due        node[*flow]
	// weightedLength and lengthIndex are the place in Queue.byLength.
	weightedLength, lengthIndex int
}

type entry struct {
	ticket     Ticket
	flow       *flow
	prev, next *entry
	deadline   node[*entry]
}

// Queue is the bounded fair queue of one server. Use New.
type Queue struct {
	limit   int
	flows   map[flowKey]*flow
	entries map[amaranthtide.AttemptID]*entry
	// due is ordered by the round of each flow's first ticket; its floor is the
	// present round.
	due       radixQueue[*flow]
	deadlines radixQueue[*entry]
	// byLength holds the flows by their length over weight, rounded up. The
	// length of a flow changes by at most one per operation, but for a change of
	// its weight.
	byLength    [][]*flow
	longest     int
	totalWeight int
	totalCost   int
}

// New returns an empty queue of at most limit tickets.
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

// Has reports whether a ticket of the attempt waits.
func (q *Queue) Has(attempt amaranthtide.AttemptID) bool {
	_, ok := q.entries[attempt]
	return ok
}

// Push adds a ticket. If the queue is full, the newest ticket of the longest flow
// gives way and is returned, or ok is false and t is not added if no flow exceeds
// its share more than that of t. Push also refuses an attempt that waits already.
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

// Pop takes out the ticket that is next. It may have expired; call Expire first.
func (q *Queue) Pop() (Ticket, bool) {
	e := q.due.pop()
	if e == nil {
		return Ticket{}, false
	}
	f := e.value
	// Without the clamp to the floor: a flow that was due before the present
	// round keeps what it has earned since.
	f.startRound += roundsToEarn(f.head.ticket.Cost, f.weight)
	t := f.head.ticket
	q.unlink(f.head)
	return t, true
}

// Remove takes out the ticket of the attempt, if it waits.
func (q *Queue) Remove(attempt amaranthtide.AttemptID) (Ticket, bool) {
	e, ok := q.entries[attempt]
	if !ok {
		return Ticket{}, false
	}
	q.unlink(e)
	return e.ticket, true
}

// Expire takes out the tickets whose deadline is at or before now, in no
// particular order.
func (q *Queue) Expire(now time.Time) []Ticket {
	var out []Ticket
	for _, e := range q.deadlines.popThrough(deadlineKey(now)) {
		q.unlink(e.value)
		out = append(out, e.value.ticket)
	}
	return out
}

// Drain takes out all tickets, in no particular order.
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

// Ahead estimates the cost of the queued tickets that start before t would if it
// were pushed now and no further ticket came.
func (q *Queue) Ahead(t Ticket) int {
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

// updateFlow puts f where its first ticket and its length belong, or forgets it if it
// is empty.
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

func weightedLengthOf(n, weight int) int { return (n + weight - 1) / weight }

// roundsToEarn returns the number of rounds in which a flow earns the cost, rounded up.
func roundsToEarn(cost, weight int) uint64 {
	return ((uint64(cost) << quantumBits) + uint64(weight) - 1) / uint64(weight)
}

// deadlineKey orders times after 1970. Earlier ones count as 1970.
func deadlineKey(t time.Time) uint64 { return uint64(max(0, t.UnixNano())) }
