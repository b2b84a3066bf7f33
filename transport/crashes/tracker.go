// Package crashes keeps what a router knows about requests that crash backend servers, for
// the dispatcher, which asks before each attempt, and for the exchange with other routers.
//
// # Usage
//
//	t := crashes.New(crashes.Options{VM: "vm-1", Logger: logger})
//	s := quarantine.SubjectOf(req)
//	if err := t.Check(now, s); err != nil {
//		return err // KindQuarantined: the request must not be sent to any server
//	}
//	t.Crashed(now, sent, s, "engine-1", true)
//	t.Answered(now, began, s)
package crashes

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/quarantine"
	"amaranthtide/state/shard"
)

// Options are the settings of a Tracker.
type Options struct {
	VM amaranthtide.VMName
	// OnChanged is called when quarantines of a service may have begun or become longer, and with
	// the parts whose quarantines have ended early; may be nil.
	OnChanged func(now time.Time, service amaranthtide.ServiceName, released []amaranthtide.PromptPart)
	// Logger may be nil.
	Logger hclog.Logger
}

// Tracker holds a quarantine.Ledger for each service. It is safe for concurrent use. Use New.
type Tracker struct {
	opts    Options
	ledgers *shard.Map[amaranthtide.ServiceName, *quarantine.Ledger]
	routers atomic.Pointer[[]amaranthtide.VMName]
}

// New returns a Tracker without evidence.
func New(opts Options) *Tracker {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.OnChanged == nil {
		opts.OnChanged = func(time.Time, amaranthtide.ServiceName, []amaranthtide.PromptPart) {}
	}
	return &Tracker{opts: opts, ledgers: shard.New[amaranthtide.ServiceName, *quarantine.Ledger]()}
}

// SetRouters replaces the set of known routers, which includes this one.
func (t *Tracker) SetRouters(routers []amaranthtide.VMName) {
	routers = slices.Clone(routers)
	t.routers.Store(&routers)
}

// Check returns an error of KindQuarantined if the request must not be sent to a server. It has a
// Retry-After unless the request itself crashed servers again and again: a repeat does no better.
func (t *Tracker) Check(now time.Time, s quarantine.Subject) error {
	var d quarantine.Decision
	t.ledgers.With(s.Service, func(l *quarantine.Ledger, ok bool) {
		if ok {
			d = l.Check(now, s.Suspects, t.position)
		}
	})
	return rejection(now, s, d)
}

// Preview returns what Check would, but counts nothing.
func (t *Tracker) Preview(now time.Time, s quarantine.Subject) error {
	var d quarantine.Decision
	t.ledgers.With(s.Service, func(l *quarantine.Ledger, ok bool) {
		if ok {
			d = l.Preview(now, s.Suspects, t.position)
		}
	})
	return rejection(now, s, d)
}

// rejection returns the error of a request with the subject, and nil if it isn't rejected.
func rejection(now time.Time, s quarantine.Subject, d quarantine.Decision) error {
	if !d.Reject {
		return nil
	}
	cause := "part " + string(d.Part) + " of the prompt"
	if quarantine.IsWholeRequest(d.Part) {
		cause = "this request (" + string(d.Part) + ")"
	}
	err := amaranthtide.Errorf(amaranthtide.KindQuarantined, "service %s: servers crashed on %s", s.Service, cause)
	if d.Held {
		return amaranthtide.WithRetryAfter(err, 0)
	}
	return amaranthtide.WithRetryAfter(err, d.Until.Sub(now))
}

// position returns the position of this router among those that try the part again.
func (t *Tracker) position(part amaranthtide.PromptPart) int {
	routers := t.routers.Load()
	if routers == nil {
		return 0
	}
	return max(0, slices.Index(placement.TopRouters(string(part), *routers, len(*routers)), t.opts.VM))
}

// Crashed records that the server crashed before it had answered the request, which was sent at
// the given time, or just after it had begun to.
func (t *Tracker) Crashed(now, sent time.Time, s quarantine.Subject, server amaranthtide.BackendServerName, begun bool) {
	t.update(now, s.Service, true, func(l *quarantine.Ledger) quarantine.Changes {
		return l.Crashed(now, amaranthtide.ServerCrash{Service: s.Service, Server: server, At: now, Waited: now.Sub(sent), Prompt: s.Prompt, Parts: s.Suspects, Begun: begun})
	})
}

// Answered records that a server answered the request. began is when the answer began.
func (t *Tracker) Answered(now, began time.Time, s quarantine.Subject) {
	t.update(now, s.Service, false, func(l *quarantine.Ledger) quarantine.Changes { return l.Answered(now, began, s.Suspects) })
}

// Merge adds what another router knows.
func (t *Tracker) Merge(now time.Time, e amaranthtide.CrashEvidence) {
	services := amaranthtide.NewSet[amaranthtide.ServiceName]()
	for _, c := range e.Crashes {
		services.Add(c.Service)
	}
	for _, a := range e.Answers {
		services.Add(a.Service)
	}
	for _, q := range e.Quarantines {
		services.Add(q.Service)
	}
	for _, service := range amaranthtide.Sorted(services) {
		t.update(now, service, true, func(l *quarantine.Ledger) quarantine.Changes { return l.Merge(now, e) })
	}
}

// Evidence returns what this router knows, for other routers.
func (t *Tracker) Evidence(now time.Time) amaranthtide.CrashEvidence {
	var e amaranthtide.CrashEvidence
	t.each(func(l *quarantine.Ledger) { l.Evidence(now, &e) })
	return e
}

// Hash returns the hash over the evidence; 0 if there is none.
func (t *Tracker) Hash(now time.Time) amaranthtide.EvidenceHash {
	sum := amaranthtide.EvidenceHash(0)
	t.each(func(l *quarantine.Ledger) { sum ^= l.Hash(now) })
	return sum
}

// Current returns the quarantines that have not ended, ordered by service and part.
func (t *Tracker) Current(now time.Time) []amaranthtide.Quarantine {
	var out []amaranthtide.Quarantine
	t.each(func(l *quarantine.Ledger) { out = append(out, l.Quarantined(now)...) })
	slices.SortStableFunc(out, func(a, b amaranthtide.Quarantine) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Quarantined returns the number of quarantined parts and requests.
func (t *Tracker) Quarantined(now time.Time) int64 {
	n := 0
	t.each(func(l *quarantine.Ledger) { n += len(l.Quarantined(now)) })
	return int64(n)
}

// each calls f with the ledger of each service under its lock.
func (t *Tracker) each(f func(l *quarantine.Ledger)) {
	t.ledgers.Range(func(_ amaranthtide.ServiceName, l *quarantine.Ledger) bool {
		f(l)
		return true
	})
}

// update changes the ledger of a service, logs what follows and reports it. mayExtend is set if f may
// extend a quarantine, which Changes doesn't show.
func (t *Tracker) update(now time.Time, service amaranthtide.ServiceName, mayExtend bool, f func(l *quarantine.Ledger) quarantine.Changes) {
	var ch quarantine.Changes
	t.ledgers.Update(service, func(l *quarantine.Ledger, ok bool) (*quarantine.Ledger, bool) {
		if !ok {
			l = quarantine.New(service)
		}
		ch = f(l)
		return l, true
	})
	for _, q := range ch.Quarantined {
		message := "prompt part quarantined"
		if quarantine.IsWholeRequest(q.Part) {
			message = "request quarantined"
		}
		t.opts.Logger.Warn(message, "service", string(service), "part", string(q.Part), "level", q.Level, "lastCrash", q.LastCrash)
	}
	if ch.Dropped > 0 {
		t.opts.Logger.Warn("quarantines dropped, there are too many", "service", string(service), "dropped", ch.Dropped)
	}
	if len(ch.Released) > 0 {
		t.opts.Logger.Info("prompt parts released", "service", string(service), "parts", partsText(ch.Released))
	}
	if mayExtend || len(ch.Released) > 0 {
		t.opts.OnChanged(now, service, ch.Released)
	}
}

func partsText(parts []amaranthtide.PromptPart) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p)
	}
	return strings.Join(texts, ",")
}
