package direct

import (
	"math/rand/v2"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/choice"
	"amaranthtide/coordination/coldrate"
	"amaranthtide/state/traffic"
)

// candidate returns what is known of a server that may get a request.
func (d *Dispatcher) candidate(now time.Time, in amaranthtide.Instance) choice.Candidate {
	s := d.opts.Traffic.Server(now, in.Name)
	avoid, unreachable := d.shouldAvoid(now, in)
	return choice.Candidate{
		Instance: in, Load: s.Load, Slots: s.Slots, PromptTokens: s.PromptTokens, Pace: s.Pace.Expected(),
		BodyBytes: s.BodyBytes, OwnBodyBytes: s.OwnBodyBytes, Avoid: avoid, Unreachable: unreachable, Preference: d.preference(now, in),
	}
}

// withRoom returns the candidates whose memory has room for the body of the request, and an error
// if there are candidates but none has.
func (r *requestRun) withRoom(candidates []choice.Candidate) ([]choice.Candidate, error) {
	n := len(candidates)
	body := int64(r.bodyBytes)
	candidates = choice.WithRoom(candidates, body, r.dispatcher.opts.ServerBodyBytes, int(r.dispatcher.routerCount.Load()))
	if n == 0 || len(candidates) > 0 {
		return candidates, nil
	}
	err := amaranthtide.Errorf(amaranthtide.KindFull, "service %s: none of %d servers has room for a body of %d bytes", r.req.Service, n, body)
	return nil, amaranthtide.WithRetryAfter(err, noRoomRetryAfter+rand.N(noRoomRetryAfter))
}

// noRoomRetryAfter is how long a caller should wait if no server has room for the body of its request,
// about the time of a short request. Up to as much is added at random, so that callers don't return
// together.
const noRoomRetryAfter = 500 * time.Millisecond

// shortlist is what the server of an attempt is chosen from.
type shortlist struct {
	candidates []choice.Candidate
	// mean is the mean load of the engines, and limit the cap on the load of one.
	mean  float64
	limit choice.Cap
}

// shortlist returns the servers that may get the next attempt, without those already tried. Servers
// of unreachable zones are avoided.
func (r *requestRun) shortlist(now time.Time, servers []amaranthtide.Instance) (shortlist, error) {
	candidates := r.dispatcher.candidates(now, servers, r.tried)
	for i := range candidates {
		if r.unreachableZones.Has(candidates[i].Instance.Zone) {
			candidates[i].Avoid, candidates[i].Unreachable = true, true
		}
	}
	mean, engines := r.meanLoad(now, servers)
	limit := r.engineCap(r.dispatcher.loadCap.Load().ForPool(engines))
	if unlimited := r.dispatcher.unlimited(now, servers); r.spec.Engine && len(unlimited) < len(servers) {
		choice.KeepOwn(r.req.Chat, servers, candidates)
		if 2*len(unlimited) < len(servers) && len(r.tried) == 0 {
			candidates = choice.WithFreeSlots(candidates)
		}
		meanOfOthers, _ := r.dispatcher.meanLoad(now, unlimited)
		mean = limit.MeanWithLimits(mean, meanOfOthers)
	}
	candidates, err := r.withRoom(candidates)
	return shortlist{candidates, mean, limit}, err
}

// placement is the server that an attempt is sent to.
type placement struct {
	choice.Candidate
	// expected is the time that the server is expected to take; zero if it isn't known.
	expected choice.Expected
	// candidates is the number of servers from which it was chosen.
	candidates int
}

// place chooses the server of an attempt, and false if none may get it. It removes the candidates
// from s that it chose before and that don't admit the request.
func (r *requestRun) place(now time.Time, s *shortlist, random func() uint64) (placement, bool) {
	for len(s.candidates) > 0 {
		i, expected, ok := r.choose(s, random())
		if !ok {
			break
		}
		if c := s.candidates[i]; r.admits(now, c.Instance) {
			return placement{c, expected, len(s.candidates)}, true
		}
		s.candidates = append(s.candidates[:i], s.candidates[i+1:]...)
	}
	return placement{}, false
}

// choose returns the index of the candidate that gets the request, and the time that it is
// expected to take; zero if it isn't known.
func (r *requestRun) choose(s *shortlist, random uint64) (int, choice.Expected, bool) {
	if r.spec.Engine {
		return choice.EngineByPace(r.req.Chat, s.candidates, s.mean, s.limit, choice.WorkOf(r.req), random)
	}
	i, ok := choice.Plain(r.dispatcher.opts.Zone, random, s.candidates)
	return i, choice.Expected{}, ok
}

// admits reports whether the server takes a request now: a cold one, or one that has asked for a
// pause a moment ago, gets few, and one with a limit what that allows. It counts the request there, unless r
// is a preview.
func (r *requestRun) admits(now time.Time, in amaranthtide.Instance) bool {
	d := r.dispatcher
	if r.preview {
		reason, _ := d.exclusion(now, in)
		return reason == "" && d.limitCold(now, in, r.spec, (*coldrate.Limiter).Preview)
	}
	return d.admitReturn(now, in) && d.admitCold(now, in, r.spec) && d.admitWithinRate(now, in)
}

// paceFields returns the fields of a log line for the pace of a server and the time that it is
// expected to take, as far as they are known.
func paceFields(c choice.Candidate, e choice.Expected) []any {
	var fields []any
	if c.Pace > 0 {
		fields = append(fields, "pace", int(c.Pace))
	}
	if e != (choice.Expected{}) {
		fields = append(fields, "expectedMillis", e.FirstEvent.Milliseconds(), "expectedPauseMillis", e.Pause.Milliseconds())
	}
	return fields
}

// serverWork counts the work of one attempt at its server.
type serverWork struct {
	traffic *traffic.Counter
	server  amaranthtide.BackendServerName
	body    int64
	// read ends the count of the prompt.
	read func()
}

// beginWork counts the work of the request at the server: its body until the attempt ends, its
// prompt until the answer begins.
func (r *requestRun) beginWork(in amaranthtide.Instance) *serverWork {
	t := r.dispatcher.opts.Traffic
	w := &serverWork{traffic: t, server: in.Name, body: int64(len(r.req.Body)), read: func() {}}
	t.AddBody(in.Name, w.body)
	if tokens := r.req.PromptTokens - r.req.SharedTokens; r.spec.Engine && tokens > 0 {
		t.AddPrompt(in.Name, tokens)
		w.read = sync.OnceFunc(func() { t.AddPrompt(in.Name, -tokens) })
	}
	r.answer.onBegun = w.read
	return w
}

func (w *serverWork) end() {
	w.read()
	w.traffic.AddBody(w.server, -w.body)
}
