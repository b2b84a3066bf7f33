// Package crashes keeps what a router knows about requests that crash backend servers, for
// the dispatcher, which asks before each attempt, and for the exchange with other routers.
//
// # Usage
//
//	t := crashes.New(crashes.Options{VM: "vm-1", Logger: logger})
//	if err := t.Check(now, req); err != nil {
//		return err // KindQuarantined: the request must not be sent to any server
//	}
//	t.Crashed(now, req, "engine-1", true)
//	t.Answered(now, began, req)
package crashes

import (
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
	return &Tracker{opts: opts, ledgers: shard.New[amaranthtide.ServiceName, *quarantine.Ledger]()}
}

// SetRouters replaces the set of known routers, which includes this one.
func (t *Tracker) SetRouters(routers []amaranthtide.VMName) {
	routers = slices.Clone(routers)
	t.routers.Store(&routers)
}

// Check returns an error of KindQuarantined if the request must not be sent to a server.
func (t *Tracker) Check(now time.Time, req *amaranthtide.Request) error {
	if len(req.PromptParts) == 0 {
		return nil
	}
	var d quarantine.Decision
	t.ledgers.With(req.Service, func(l *quarantine.Ledger, ok bool) {
		if ok {
			d = l.Check(now, quarantine.HashPrompt(req.PromptParts), req.PromptParts, t.position)
		}
	})
	if !d.Reject {
		return nil
	}
	cause := "the request"
	if d.Part != "" {
		cause = "part " + string(d.Part) + " of the prompt"
	}
	err := amaranthtide.Errorf(amaranthtide.KindQuarantined, "service %s: servers crashed on %s", req.Service, cause)
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

// Crashed records that the server crashed before it had answered the request, or just after
// it had begun to.
func (t *Tracker) Crashed(now time.Time, req *amaranthtide.Request, server amaranthtide.BackendServerName, begun bool) {
	if len(req.PromptParts) == 0 {
		return
	}
	t.update(req.Service, func(l *quarantine.Ledger) quarantine.Changes {
		return l.Crashed(now, amaranthtide.ServerCrash{
			Service: req.Service, Server: server, At: now, Prompt: quarantine.HashPrompt(req.PromptParts), Parts: req.PromptParts, Begun: begun,
		})
	})
}

// Answered records that a server answered the request. began is when the answer began.
func (t *Tracker) Answered(now, began time.Time, req *amaranthtide.Request) {
	if len(req.PromptParts) == 0 {
		return
	}
	t.update(req.Service, func(l *quarantine.Ledger) quarantine.Changes { return l.Answered(now, began, req.PromptParts) })
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
		t.update(service, func(l *quarantine.Ledger) quarantine.Changes { return l.Merge(now, e) })
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

// Quarantined returns the number of quarantined parts.
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

// update changes the ledger of a service and logs what follows.
func (t *Tracker) update(service amaranthtide.ServiceName, f func(l *quarantine.Ledger) quarantine.Changes) {
	var ch quarantine.Changes
	t.ledgers.Update(service, func(l *quarantine.Ledger, ok bool) (*quarantine.Ledger, bool) {
		if !ok {
			l = quarantine.New(service)
		}
		ch = f(l)
		return l, true
	})
	for _, q := range ch.Quarantined {
		t.opts.Logger.Warn("prompt part quarantined", "service", string(service), "part", string(q.Part), "level", q.Level, "lastCrash", q.LastCrash)
	}
	if len(ch.Released) > 0 {
		t.opts.Logger.Info("prompt parts released", "service", string(service), "parts", partsText(ch.Released))
	}
}

func partsText(parts []amaranthtide.PromptPart) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p)
	}
	return strings.Join(texts, ",")
}
