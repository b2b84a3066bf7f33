package owner

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/placement"
)

// grant is the outcome of waiting for a slot: the server on which the request may start, or
// the reason why it won't run.
type grant struct {
	server amaranthtide.BackendServerName
	err    error
}

// member is a server of a group.
type member struct {
	name amaranthtide.BackendServerName
	row  amaranthtide.BackendServer
}

// admit acquires a slot for the request and returns the slot's server: the given one or
// another server of its group.
func (o *Owner) admit(ctx context.Context, server amaranthtide.BackendServerName, row amaranthtide.BackendServer, req *amaranthtide.Request) (amaranthtide.BackendServerName, error) {
	members, returning := o.orderedMembers(req, member{server, row})
	if returning && req.Class != amaranthtide.ClassQuick {
		server, err := o.waitForPreviousEngine(ctx, members[0], req)
		if server != "" || err != nil {
			return server, err
		}
	}
	var r refusals
	for _, m := range members {
		err := o.submit(m, req, nil)
		if err == nil {
			return m.name, nil
		}
		if amaranthtide.IsKind(err, amaranthtide.KindDeadlineUnmet) {
			return "", err
		}
		r.add(m, err)
	}
	if !req.MayQueue {
		return "", r.summary()
	}
	err := r.summary()
	for _, m := range r.queueable() {
		granted := make(chan grant, 1)
		if err = o.submit(m, req, granted); err == nil {
			o.wakeLoop()
			return o.awaitGrant(ctx, members, req, granted)
		}
	}
	return "", err
}

const (
	// maxPreviousEngineWait limits how long a returning chat waits for its previous engine
	// before it takes another one. It is well below the 1.3 s allowed until the first
	// token.
	maxPreviousEngineWait = 600 * time.Millisecond
	// waitPerPromptByte limits the wait by the work that the previous engine's cache saves:
	// 100 ms for 1 KiB of prompt, which is about 256 tokens.
	waitPerPromptByte = 100 * time.Microsecond
)

// waitForPreviousEngine acquires a slot at m, which has served the chat before, if one
// becomes free within a short time. Otherwise it returns neither a server nor an error.
func (o *Owner) waitForPreviousEngine(ctx context.Context, m member, req *amaranthtide.Request) (amaranthtide.BackendServerName, error) {
	granted := make(chan grant, 1)
	if err := o.submitTicket(m, ticketOf(req), granted, true); err != nil {
		return "", nil // the other servers may accept the request
	}
	timer := time.NewTimer(min(maxPreviousEngineWait, time.Duration(len(req.Body))*waitPerPromptByte))
	defer timer.Stop()
	select {
	case g := <-granted:
		return g.server, o.finalError(g.err)
	case <-timer.C:
	case <-ctx.Done():
	}
	if o.withdraw([]member{m}, req.Attempt) {
		return "", nil
	}
	g := <-granted
	return g.server, o.finalError(g.err)
}

// errPinnedToPause makes a returning chat take another engine while its own one pauses.
var errPinnedToPause = amaranthtide.Errorf(amaranthtide.KindFull, "the previous engine pauses")

// finalError returns err unless another server of the group may serve the request.
func (o *Owner) finalError(err error) error {
	switch amaranthtide.KindOf(err) {
	case amaranthtide.KindFull, amaranthtide.KindLeaving, amaranthtide.KindNoBackend:
		return nil
	}
	return err
}

// orderedMembers returns the servers of first's group: the one that last served the chat,
// then first, then the others in the order of the chat. It also reports whether the chat
// was served in this group before.
func (o *Owner) orderedMembers(req *amaranthtide.Request, first member) (ordered []member, returning bool) {
	group := o.groupMembers(first)
	candidates := make([]amaranthtide.Candidate, 0, len(group))
	rows := make(map[amaranthtide.BackendServerName]amaranthtide.BackendServer, len(group))
	for _, m := range group {
		if m.name != first.name {
			candidates = append(candidates, amaranthtide.Candidate{Server: m.name})
			rows[m.name] = m.row
		}
	}
	ordered = []member{first}
	last, known := o.chatEngines.Get(placement.ChatKey(req.Workspace, req.Chat))
	if row, ok := rows[last]; known && ok {
		ordered = []member{{last, row}, first}
	}
	returning = known && ordered[0].name == last && len(group) > 1
	for _, c := range placement.New(placement.ChatKey(req.Workspace, req.Chat)).Servers(candidates) {
		if c.Server != ordered[0].name {
			ordered = append(ordered, member{c.Server, rows[c.Server]})
		}
	}
	return ordered, returning
}

// groupMembers returns the servers of m's group. A server of a plain service has no group,
// so it is returned alone.
func (o *Owner) groupMembers(m member) []member {
	if m.row.Model == "" || o.opts.Unbounded {
		return []member{m}
	}
	all := o.opts.Table.ServersOfModel(m.row.Model, m.row.Zone)
	name := placement.Group(m.name, m.row, len(all))
	var group []member
	for _, r := range all {
		row, ok := r.Value.(amaranthtide.BackendServer)
		server := amaranthtide.BackendServerName(r.Key.Name)
		if ok && placement.Group(server, row, len(all)) == name {
			group = append(group, member{server, row})
		}
	}
	return group
}

// submit requests a slot at a server. If granted is not nil, the request may wait, and
// granted receives the outcome unless submit returns an error. It receives it before submit
// returns if the request may start immediately.
func (o *Owner) submit(m member, req *amaranthtide.Request, granted chan grant) error {
	return o.submitTicket(m, ticketOf(req), granted, false)
}

func ticketOf(req *amaranthtide.Request) fairness.Ticket {
	return fairness.Ticket{
		Attempt:   req.Attempt,
		Workspace: req.Workspace,
		Class:     req.Class,
		Weight:    req.Weight,
		Cost:      req.Cost,
		Deadline:  req.Deadline,
	}
}

// submitTicket is like submit, but takes a ticket. A pinned request is not moved to other
// servers.
func (o *Owner) submitTicket(m member, t fairness.Ticket, granted chan grant, pinned bool) error {
	return o.decide(time.Now(), m.name, m.row, func(now time.Time, s *serverState, l admission.Limits) error {
		if pinned && s.gate.Pauses(now) {
			return errPinnedToPause
		}
		decision, err := s.gate.Submit(now, admission.Ticket{Ticket: t, MayQueue: granted != nil}, l)
		switch {
		case decision == admission.Queued:
			s.waiting[t.Attempt] = waiter{granted, pinned}
		case decision == admission.Admitted && granted != nil:
			granted <- grant{server: m.name}
		}
		return err
	})
}

// awaitGrant blocks until a queued request may start, is refused or ctx ends.
func (o *Owner) awaitGrant(ctx context.Context, members []member, req *amaranthtide.Request, granted chan grant) (amaranthtide.BackendServerName, error) {
	select {
	case g := <-granted:
		return g.server, g.err
	case <-ctx.Done():
	}
	if !o.withdraw(members, req.Attempt) {
		// The request has just been granted a slot or is being moved between servers.
		if g := <-granted; g.err == nil {
			o.release(g.server, req.Attempt)
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return "", amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "deadline passed in the queue of %s", members[0].name)
	}
	return "", amaranthtide.Errorf(amaranthtide.KindCanceled, "canceled in the queue of %s", members[0].name)
}

// withdraw removes a waiting request from the queue that holds it. It returns false if none
// does.
func (o *Owner) withdraw(members []member, attempt amaranthtide.AttemptID) bool {
	found := false
	for _, m := range members {
		o.updateServer(time.Now(), m.name, func(now time.Time, s *serverState) {
			if _, ok := s.waiting[attempt]; ok {
				found = true
				delete(s.waiting, attempt)
				s.gate.Cancel(now, attempt)
			}
		})
	}
	return found
}

func (o *Owner) release(server amaranthtide.BackendServerName, attempt amaranthtide.AttemptID) {
	o.updateServer(time.Now(), server, func(now time.Time, s *serverState) { s.gate.Cancel(now, attempt) })
	o.wakeLoop()
}

// rebalance moves waiting requests to servers of the same group that have free slots, so
// that no engine is idle while requests wait for another one.
func (o *Owner) rebalance(now time.Time, m member) {
	group := o.groupMembers(m)
	if len(group) < 2 {
		return
	}
	for range maxMoves {
		from, ok := o.longestQueue(group)
		if !ok {
			return
		}
		to, ok := o.memberWithFreeSlot(now, group)
		if !ok {
			return
		}
		o.moveRequest(from, to)
	}
}

// maxMoves limits the work of one rebalance; the next sweep continues it.
const maxMoves = 64

func (o *Owner) longestQueue(group []member) (member, bool) {
	var longest member
	most := 0
	for _, m := range group {
		o.servers.With(m.name, func(s *serverState, ok bool) {
			if ok && s.movableCount() > most {
				longest, most = m, s.movableCount()
			}
		})
	}
	return longest, most > 0
}

func (o *Owner) memberWithFreeSlot(now time.Time, group []member) (member, bool) {
	for _, m := range group {
		free := false
		_ = o.decide(now, m.name, m.row, func(now time.Time, s *serverState, l admission.Limits) error {
			free = s.gate.CanStart(now, l)
			return nil
		})
		if free {
			return m, true
		}
	}
	return member{}, false
}

func (o *Owner) moveRequest(from, to member) {
	var ticket fairness.Ticket
	var granted chan grant
	o.updateServer(time.Now(), from.name, func(_ time.Time, s *serverState) {
		ticket, granted = s.takeMovable()
	})
	if granted == nil {
		return
	}
	if err := o.submitTicket(to, ticket, granted, false); err != nil {
		granted <- grant{err: err}
	}
}

// movableCount returns the number of waiting requests that may move to other servers.
func (s *serverState) movableCount() int {
	n := 0
	for _, w := range s.waiting {
		if !w.pinned {
			n++
		}
	}
	return n
}

// takeMovable removes a movable request from the queue: the next one in fair order, or an
// arbitrary one while pinned requests are queued. Those wait for at most
// maxPreviousEngineWait.
func (s *serverState) takeMovable() (fairness.Ticket, chan grant) {
	if s.movableCount() == len(s.waiting) {
		t, ok := s.gate.Dequeue()
		if !ok {
			return fairness.Ticket{}, nil
		}
		return s.removeWaiter(t)
	}
	for attempt, w := range s.waiting {
		if w.pinned {
			continue
		}
		if t, ok := s.gate.Withdraw(attempt); ok {
			return s.removeWaiter(t)
		}
	}
	return fairness.Ticket{}, nil
}

func (s *serverState) removeWaiter(t fairness.Ticket) (fairness.Ticket, chan grant) {
	w := s.waiting[t.Attempt]
	delete(s.waiting, t.Attempt)
	return t, w.granted
}
