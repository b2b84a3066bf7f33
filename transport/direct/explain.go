package direct

import (
	"cmp"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/outlier"
	"amaranthtide/coordination/overload"
)

var _ amaranthtide.Explainer = (*Dispatcher)(nil)

const (
	// maxExplainedWork bounds the candidates that the choices of one explanation look at, since the
	// router has requests to serve. minDraws of the random numbers are tried in any case.
	maxExplainedWork = 1 << 17
	minDraws         = 32
	// drawStride leads through all random numbers in steps, so that the first ones are spread over
	// them. It has no divisor in common with choice.EngineDraws.
	drawStride = 55
)

// Explain implements amaranthtide.Explainer for the first attempt of a request. The code that serves
// requests decides; what it would count is only previewed, or counted in a copy. Like any reader, it
// renews the sum over the loads of other routers once that is old.
func (d *Dispatcher) Explain(now time.Time, req *amaranthtide.Request, bodyBytes int) amaranthtide.Explanation {
	run := d.newRun(req, nil)
	run.bodyBytes, run.preview = bodyBytes, true
	e := amaranthtide.Explanation{
		At: now, VM: d.opts.VM, Zone: d.opts.Zone, Revision: d.opts.Configuration.Revision(), Request: req.ID, Route: req.Route,
		Service: req.Service, Workspace: req.Workspace, Priority: req.Priority, Engine: run.spec.Engine, LoadAge: amaranthtide.Duration(d.opts.Traffic.Age(now)),
	}
	if d.opts.Versions != nil {
		e.Stage = d.opts.Versions.Stage(req.Service)
	}
	var refusal error
	if run.needsAdmission() {
		e.Admission, refusal = run.explainAdmission(now)
	}
	if err := d.opts.Crashes.Preview(now, run.subject); err != nil && refusal == nil {
		refusal = err
	}
	servers := run.selectServers(now)
	list, chances, err := run.explainChoice(now, servers)
	if len(chances) == 0 && run.selectAgain() {
		servers = run.selectServers(now)
		list, chances, err = run.explainChoice(now, servers)
	}
	if refusal == nil && len(chances) == 0 {
		e.Refusal = run.explainReturn(now, err)
	}
	if refusal != nil {
		e.Refusal = amaranthtide.NewExplainedRefusal(refusal)
	}
	if run.spec.Engine {
		e.Cap = &amaranthtide.ExplainedCap{Multiple: list.limit.Multiple, Extra: list.limit.Extra, Mean: list.mean, MaxLoad: list.limit.MaxLoad(list.mean)}
	}
	e.Candidates = run.explainCandidates(now, list, chances)
	e.Excluded = run.explainExcluded(now, servers, list)
	if len(chances) > 1 {
		e.Draws = append(e.Draws, "server")
	}
	if e.Refusal == nil {
		e.Chosen = slices.MaxFunc(e.Candidates, func(a, b amaranthtide.ExplainedCandidate) int { return cmp.Compare(a.Chance, b.Chance) }).Server
	}
	return e
}

// explainAdmission returns the decision of the admission control, and the error if it is a rejection.
func (r *requestRun) explainAdmission(now time.Time) (*amaranthtide.ExplainedAdmission, error) {
	a := r.dispatcher.admissions.clone(r.req.Service)
	req := overload.RequestOf(r.req)
	decision, _ := r.dispatcher.decide(now, a, r, req)
	_, share := a.controller.Capacity()
	out := &amaranthtide.ExplainedAdmission{
		Verdict: "admit", Reason: string(decision.Reason), Load: r.capacity.Load(), Share: share,
		Slots: r.capacity.Slots, Running: r.capacity.Running, Waiting: r.capacity.Waiting,
	}
	switch decision.Verdict {
	case overload.Wait:
		out.Verdict, out.Waits = "delay", amaranthtide.Duration(decision.Until.Sub(now))
	case overload.Reject:
		out.Verdict = "reject"
		return out, rejectionError(r.req.Service, req, decision)
	}
	return out, nil
}

// explainChoice returns the servers that the request may get, and the probability of each one that
// it can go to. It is none if no server may get it, for the reason in err.
func (r *requestRun) explainChoice(now time.Time, servers []amaranthtide.Instance) (shortlist, map[amaranthtide.BackendServerName]float64, error) {
	list, err := r.shortlist(now, servers)
	if err != nil {
		return list, nil, err
	}
	// All numbers that a real choice may draw, or as many as the work allows.
	numbers, stride := uint64(len(list.candidates)), uint64(1)
	if r.spec.Engine {
		numbers, stride = choice.EngineDraws, drawStride
	}
	chosen := make(map[amaranthtide.BackendServerName]int)
	draws, work := uint64(0), 0
	for ; draws < numbers && (draws < minDraws || work < maxExplainedWork); draws++ {
		left := list
		left.candidates = slices.Clone(list.candidates)
		random := func() uint64 {
			work += len(left.candidates)
			return draws * stride % numbers
		}
		p, ok := r.place(now, &left, random)
		if !ok {
			break // no candidate admits the request, whatever is drawn
		}
		chosen[p.Instance.Name]++
	}
	chances := make(map[amaranthtide.BackendServerName]float64, len(chosen))
	for name, n := range chosen {
		chances[name] = float64(n) / float64(draws)
	}
	return list, chances, r.noServer()
}

// explainReturn returns why no server gets the request, and whether it waits for the end of a pause, or
// for a server with a limit.
func (r *requestRun) explainReturn(now time.Time, err error) *amaranthtide.ExplainedRefusal {
	refusal := amaranthtide.NewExplainedRefusal(r.withReturn(now, err))
	next, ok := r.dispatcher.earliestReturn(now, r.alternatives(now), r.tried)
	if ok && outlier.ShouldWait(now, next.at, r.req.Deadline) {
		refusal.Waits = amaranthtide.Duration(next.at.Sub(now))
	}
	return refusal
}

// explainCandidates returns what is known of the candidates, in the order of preference.
func (r *requestRun) explainCandidates(now time.Time, list shortlist, chances map[amaranthtide.BackendServerName]float64) []amaranthtide.ExplainedCandidate {
	order := choice.PlainOrder(r.dispatcher.opts.Zone, list.candidates)
	if r.spec.Engine {
		order = choice.EngineOrder(r.req.Chat, list.candidates)
	}
	out := make([]amaranthtide.ExplainedCandidate, 0, len(order))
	work := choice.WorkOf(r.req)
	for position, i := range order {
		c := list.candidates[i]
		in := c.Instance
		at, _ := r.dispatcher.reopens(now, in)
		e := amaranthtide.ExplainedCandidate{
			Server: in.Name, Zone: in.Zone, Version: in.Version, Chance: chances[in.Name], Load: c.Load, Slots: r.slots(c), Pace: c.Pace, InTime: true,
			Cold: now.Before(in.ColdUntil), Returning: !at.IsZero(), Admits: r.admits(now, in), Avoided: c.Avoid, Unreachable: c.Unreachable,
		}
		if age, ok := r.dispatcher.opts.Traffic.ReportAge(now, in.Name); ok {
			e.ReportAge = new(amaranthtide.Duration(age))
		}
		if r.spec.Engine {
			isOwn := position == 0
			expected := work.Expect(c, isOwn)
			e.FirstEvent, e.Pause = amaranthtide.Duration(expected.FirstEvent), amaranthtide.Duration(expected.Pause)
			e.InTime, e.OverCap = work.InTime(expected, isOwn), list.limit.Exceeds(c.Load, list.mean)
		}
		out = append(out, e)
	}
	return out
}

// slots returns the number of requests that a server runs at a time, by its reports, the list or the
// configuration; 0 if it isn't known.
func (r *requestRun) slots(c choice.Candidate) int {
	for _, n := range []int{c.Slots, c.Instance.Slots} {
		if n > 0 {
			return n
		}
	}
	return r.spec.Slots
}

// explainExcluded returns the servers of the service that aren't candidates. servers are those that the
// request may use by their versions.
func (r *requestRun) explainExcluded(now time.Time, servers []amaranthtide.Instance, list shortlist) []amaranthtide.ExcludedServer {
	candidates, selected := amaranthtide.NewSet[amaranthtide.BackendServerName](), amaranthtide.NewSet[amaranthtide.BackendServerName]()
	for _, c := range list.candidates {
		candidates.Add(c.Instance.Name)
	}
	for _, in := range servers {
		selected.Add(in.Name)
	}
	out := []amaranthtide.ExcludedServer{}
	for _, in := range r.dispatcher.opts.Servers.ByService(r.req.Service) {
		if candidates.Has(in.Name) {
			continue
		}
		reason, until := r.dispatcher.exclusion(now, in)
		switch {
		case reason != "":
		case !selected.Has(in.Name):
			reason = amaranthtide.ExclusionVersion
		default:
			reason = amaranthtide.ExclusionBody
		}
		out = append(out, amaranthtide.ExcludedServer{Server: in.Name, Zone: in.Zone, Version: in.Version, Reason: reason, Until: until})
	}
	return out
}
