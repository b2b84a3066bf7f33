package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/ramp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(attempt string, workspace amaranthtide.WorkspaceName, cost int, deadline time.Time) admission.Ticket {
	return admission.Ticket{MayQueue: true, Ticket: fairness.Ticket{Attempt: amaranthtide.AttemptID(attempt), Workspace: workspace, Weight: 1, Cost: cost, Deadline: deadline}}
}

func warmConfig(capacity int) admission.Config {
	return admission.Config{Server: "engine-1", Ramp: ramp.Config{ColdLimit: 1, Capacity: capacity}, QueueLimit: 20}
}

// Guards against lost and duplicated tickets, starts above the limit, slots that stay
// free while tickets wait, and counts that do not return to zero.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		g := admission.New(start, warmConfig(capacity))
		now, id := start, 0
		l := admission.Limits{Settled: true}
		leaving, down := false, false
		waiting, running, started := map[amaranthtide.AttemptID]bool{}, map[amaranthtide.AttemptID]bool{}, map[amaranthtide.AttemptID]bool{}
		limit := func() int {
			if leaving || down {
				return 0
			}
			if !l.Settled {
				return capacity / 2
			}
			return capacity
		}
		checkStart := func(t *rapid.T, a amaranthtide.AttemptID) {
			if started[a] || len(running)+l.External >= limit() {
				t.Fatalf("start of %s got: started before %v, load %d+%d, want: false, load below %d", a, started[a], len(running), l.External, limit())
			}
			running[a], started[a] = true, true
		}
		next := func(t *rapid.T) {
			started, refused := g.Next(now, l)
			for _, tk := range started {
				if !waiting[tk.Attempt] || !tk.Deadline.After(now) {
					t.Fatalf("Next started: %+v, queued %v, want: a queued ticket before its deadline", tk, waiting[tk.Attempt])
				}
				delete(waiting, tk.Attempt)
				checkStart(t, tk.Attempt)
			}
			for _, r := range refused {
				if !waiting[r.Ticket.Attempt] || amaranthtide.KindOf(r.Err).Reply().Ran != amaranthtide.RanNo {
					t.Fatalf("Next refused: %+v, queued %v, want: a queued ticket that was not run", r, waiting[r.Ticket.Attempt])
				}
				delete(waiting, r.Ticket.Attempt)
			}
			if len(waiting) > 0 && (leaving || down || len(running)+l.External < limit()) {
				t.Fatalf("after Next got: %d waiting at load %d, want: none below the limit %d", len(waiting), len(running)+l.External, limit())
			}
		}
		pick := func(t *rapid.T, m map[amaranthtide.AttemptID]bool) amaranthtide.AttemptID {
			for i := 1; i <= id; i++ {
				if a := amaranthtide.AttemptID(fmt.Sprint(i)); m[a] && (len(m) == 1 || rapid.IntRange(0, 2).Draw(t, "pick") == 0) {
					return a
				}
			}
			t.Skip("none")
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 9).Draw(t, "n") {
					id++
					tk := ticket(fmt.Sprint(id), amaranthtide.WorkspaceName(rapid.SampledFrom([]string{"big", "big", "small"}).Draw(t, "w")), rapid.IntRange(1, 900).Draw(t, "cost"), now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond))
					tk.MayQueue = rapid.IntRange(0, 3).Draw(t, "mayQueue") > 0
					free := len(waiting) == 0 && len(running)+l.External < limit() && tk.Deadline.After(now)
					d, err := g.Submit(now, tk, l)
					if (d == admission.Admitted) != free || (d == 0) != (err != nil) || (d == admission.Queued && !tk.MayQueue) {
						t.Fatalf("Submit got: %v, %v, want: admitted %v", d, err, free)
					}
					switch d {
					case admission.Admitted:
						checkStart(t, tk.Attempt)
					case admission.Queued:
						waiting[tk.Attempt] = true
					default:
						if amaranthtide.KindOf(err).Reply().Ran != amaranthtide.RanNo {
							t.Fatalf("Submit got: %v, want: a refusal", err)
						}
					}
					if _, err := g.Submit(now, tk, l); d != 0 && err == nil {
						t.Fatalf("second Submit of %s got: no error", tk.Attempt)
					}
				}
				next(t)
			},
			"finish": func(t *rapid.T) {
				a := pick(t, running)
				if !g.Finish(now, a, admission.Outcome{Complete: true}) || g.Finish(now, a, admission.Outcome{}) {
					t.Fatalf("Finish(%s) got: a wrong result, want: true, then false", a)
				}
				delete(running, a)
				next(t)
			},
			"cancel": func(t *rapid.T) {
				m, want := waiting, admission.CanceledQueued
				if rapid.Bool().Draw(t, "running") {
					m, want = running, admission.CanceledRunning
				}
				a := pick(t, m)
				if got := g.Cancel(now, a); got != want {
					t.Fatalf("Cancel got: %v, want: %v", got, want)
				}
				delete(m, a)
				next(t)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				next(t)
			},
			"limits": func(t *rapid.T) {
				l.External, l.Settled = rapid.IntRange(0, 2).Draw(t, "external"), rapid.IntRange(0, 3).Draw(t, "settled") > 0
				leaving, down = rapid.IntRange(0, 6).Draw(t, "leaving") == 0, rapid.IntRange(0, 6).Draw(t, "down") == 0
				g.SetLeaving(leaving)
				g.SetDown(down)
				next(t)
			},
			"": func(t *rapid.T) {
				if g.InFlight() != len(running) || g.Waiting() != len(waiting) {
					t.Fatalf("got: %d running, %d waiting, want: %d, %d", g.InFlight(), g.Waiting(), len(running), len(waiting))
				}
			},
		})
		l, leaving, down = admission.Limits{Settled: true}, false, false
		g.SetLeaving(false)
		g.SetDown(false)
		for next(t); len(running) > 0; next(t) {
			a := pick(t, running)
			g.Finish(now, a, admission.Outcome{Complete: true})
			delete(running, a)
		}
		if g.InFlight() != 0 || g.Waiting() != 0 || len(waiting) != 0 {
			t.Fatalf("at the end got: %d running, %d waiting", g.InFlight(), g.Waiting())
		}
	})
}

// Guards against refusals with the wrong error kind or retry hint.
func TestSubmitErrors(t *testing.T) {
	settled := admission.Limits{Settled: true}
	tests := []struct {
		name   string
		change func(g *admission.Gate)
		ticket admission.Ticket
		limits admission.Limits
		want   amaranthtide.Kind
	}{
		{"leaving", func(g *admission.Gate) { g.SetLeaving(true) }, ticket("x", "w", 1, time.Time{}), settled, amaranthtide.KindLeaving},
		{"engine leaving", func(g *admission.Gate) { g.Observe(start, start, amaranthtide.EngineReport{Leaving: true}) }, ticket("x", "w", 1, time.Time{}), settled, amaranthtide.KindLeaving},
		{"down", func(g *admission.Gate) { g.SetDown(true) }, ticket("x", "w", 1, time.Time{}), settled, amaranthtide.KindNoBackend},
		{"not owner", func(g *admission.Gate) { g.SetOwned(start, false) }, ticket("x", "w", 1, time.Time{}), settled, amaranthtide.KindNotOwner},
		{"late", func(*admission.Gate) {}, ticket("x", "w", 1, start), settled, amaranthtide.KindDeadlineUnmet},
		{"may not queue", func(*admission.Gate) {}, admission.Ticket{Ticket: fairness.Ticket{Attempt: "x"}}, admission.Limits{}, amaranthtide.KindFull},
		{"running", func(g *admission.Gate) { _, _ = g.Submit(start, ticket("x", "w", 1, time.Time{}), settled) }, ticket("x", "w", 1, time.Time{}), settled, amaranthtide.KindConflict},
		{"wait too long", func(g *admission.Gate) {
			_, _ = g.Submit(start.Add(-time.Minute), ticket("a", "w", 100, time.Time{}), settled)
			g.Finish(start, "a", admission.Outcome{Complete: true})
			_, _ = g.Submit(start, ticket("b", "w", 100, time.Time{}), settled)
			_, _ = g.Submit(start, ticket("c", "w", 100, time.Time{}), settled)
		}, ticket("x", "w", 100, start.Add(50*time.Second)), settled, amaranthtide.KindDeadlineUnmet},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := admission.New(start.Add(-time.Hour), warmConfig(1))
			tt.change(g)
			_, err := g.Submit(start, tt.ticket, tt.limits)
			if got := amaranthtide.KindOf(err); got != tt.want {
				t.Errorf("got: %v, want: %v", err, tt.want)
			}
			if tt.name == "wait too long" {
				is.New(t).Equal(amaranthtide.RetryAfterOf(err), 10*time.Second)
			}
		})
	}
}

// Guards against engine reports with a lag that make finished requests count as
// foreign work, hide real foreign work, or block a server for long.
func TestForeignWork(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	freeSlots := func(g *admission.Gate, now time.Time, settled bool) int {
		n := 0
		for {
			if _, err := g.Submit(now, admission.Ticket{Ticket: fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint("probe", n))}}, admission.Limits{Settled: settled}); err != nil {
				break
			}
			n++
		}
		for i := range n {
			g.Cancel(now, amaranthtide.AttemptID(fmt.Sprint("probe", i)))
		}
		return n
	}
	tests := []struct {
		name    string
		own     map[int]int // number in flight, by the time in ms from which it applies
		reports map[int]int // reported number in flight, by the time in ms of request and arrival
		now     int
		settled bool
		want    int
	}{
		{"finished since the report", map[int]int{0: 6, 3000: 2}, map[int]int{2990: 6}, 3000, true, 8},
		{"foreign work in all reports", map[int]int{0: 2}, map[int]int{2000: 5, 3000: 5}, 3000, true, 5},
		{"foreign work, unsettled, on top of half", map[int]int{0: 0}, map[int]int{2000: 3}, 2000, false, 2},
		{"burst of own work, once", map[int]int{0: 0, 2500: 6, 2700: 0}, map[int]int{2000: 0, 3000: 6}, 3000, true, 10},
		{"burst of own work, unsettled", map[int]int{0: 0, 2500: 6, 2700: 0}, map[int]int{3000: 6}, 3000, false, 0},
		{"more than the own work explains", map[int]int{0: 1}, map[int]int{2000: 1, 3000: 9}, 3000, true, 1},
		{"old report", map[int]int{0: 0}, map[int]int{2000: 9}, 5001, true, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := admission.New(start, warmConfig(10))
			id := 0
			for ms := 0; ms <= tt.now; ms++ {
				if n, ok := tt.own[ms]; ok {
					for ; g.InFlight() > n; id-- {
						g.Cancel(at(ms), amaranthtide.AttemptID(fmt.Sprint(id)))
					}
					for g.InFlight() < n {
						id++
						if d, err := g.Submit(at(ms), ticket(fmt.Sprint(id), "w", 1, time.Time{}), admission.Limits{Settled: true}); d != admission.Admitted {
							t.Fatal(d, err)
						}
					}
				}
				if n, ok := tt.reports[ms]; ok {
					g.Observe(at(ms), at(ms), amaranthtide.EngineReport{Boot: "b", InFlight: n})
				}
			}
			if got := freeSlots(g, at(tt.now), tt.settled); got != tt.want {
				t.Errorf("free slots got: %d, want: %d", got, tt.want)
			}
		})
	}
}

// Guards against a small workspace that waits for the backlog of a large one, and
// against quick requests that wait for the long ones of their own workspace (P10).
func TestSmallWorkspaceUnderSurge(t *testing.T) {
	const slots, long, short = 4, 4000, 200
	cfg := warmConfig(slots)
	cfg.QueueLimit = 64
	g := admission.New(start, cfg)
	l := admission.Limits{Settled: true}
	now, id := start, 0
	endTimes := map[amaranthtide.AttemptID]time.Time{}
	queued := map[amaranthtide.AttemptID]time.Time{}
	run := func(tk fairness.Ticket) {
		// One slot serves 1,000 tokens of cost per second.
		endTimes[tk.Attempt] = now.Add(time.Duration(tk.Cost) * time.Millisecond)
		if queuedAt, ok := queued[tk.Attempt]; ok {
			// The bound in cost is the ticket's own cost times 3 flows of equal weight, plus
			// the largest request of each of the two other flows. All slots together serve
			// 4,000 tokens of cost per second. In addition, a running request must end
			// before the ticket gets a slot.
			bound := (3*short+long+short)*time.Millisecond/slots + long*time.Millisecond
			if wait := now.Sub(queuedAt); wait > bound {
				t.Errorf("%s got: wait %v, want: <= %v", tk.Attempt, wait, bound)
			}
			delete(queued, tk.Attempt)
		}
	}
	submit := func(name string, tk admission.Ticket) bool {
		id++
		tk.Attempt = amaranthtide.AttemptID(fmt.Sprint(name, id))
		d, err := g.Submit(now, tk, l)
		if d == admission.Admitted {
			run(tk.Ticket)
		}
		if d == admission.Queued && name != "big" {
			queued[tk.Attempt] = now
		}
		if err != nil && name != "big" {
			t.Errorf("%s got: %v, want: no refusal", name, err)
		}
		return d == admission.Queued
	}
	for now.Before(start.Add(2 * time.Minute)) {
		for submit("big", ticket("", "big", long, time.Time{})) && g.Waiting() < cfg.QueueLimit {
		}
		if now.Sub(start)%(5*time.Second) == 0 {
			submit("small", ticket("", "small", short, now.Add(time.Minute)))
			quick := ticket("", "big", short, now.Add(time.Minute))
			quick.Class = amaranthtide.ClassQuick
			submit("quick", quick)
		}
		now = now.Add(100 * time.Millisecond)
		for a, end := range endTimes {
			if !end.After(now) {
				delete(endTimes, a)
				g.Finish(now, a, admission.Outcome{Complete: true})
			}
		}
		started, _ := g.Next(now, l)
		for _, tk := range started {
			run(tk)
		}
	}
	if len(queued) > 1 {
		t.Errorf("still queued got: %v, want: those of the last round at most", queued)
	}
}

func BenchmarkSubmitFinish(b *testing.B) {
	for _, n := range []int{1, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := warmConfig(8)
			cfg.QueueLimit = n + 8
			g := admission.New(start, cfg)
			l := admission.Limits{Total: 8, Servers: 1, Settled: true}
			tickets := make([]admission.Ticket, n+8)
			var running []amaranthtide.AttemptID
			byAttempt := map[amaranthtide.AttemptID]admission.Ticket{}
			for i := range tickets {
				tickets[i] = ticket(fmt.Sprint(i), amaranthtide.WorkspaceName(fmt.Sprint(i%n)), 1+i*7919%3000, start.Add(time.Hour))
				byAttempt[tickets[i].Attempt] = tickets[i]
				if d, _ := g.Submit(start, tickets[i], l); d == admission.Admitted {
					running = append(running, tickets[i].Attempt)
				}
			}
			b.ReportAllocs()
			i := 0
			// Each iteration finishes a request, starts a queued one and queues the finished
			// one again.
			for b.Loop() {
				a := running[i%len(running)]
				g.Finish(start, a, admission.Outcome{})
				started, _ := g.Next(start, l)
				running[i%len(running)] = started[0].Attempt
				if _, err := g.Submit(start, byAttempt[a], l); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// Guards against Next stopping early because it does not add its own starts to the
// total from which the cap is derived.
func TestNextCountsItsOwnStarts(t *testing.T) {
	g := admission.New(start, warmConfig(10))
	for i := range 4 {
		_, _ = g.Submit(start, ticket(fmt.Sprint(i), "w", 1, time.Time{}), admission.Limits{External: 10})
	}
	started, _ := g.Next(start, admission.Limits{Servers: 1, Settled: true})
	if len(started) != 4 {
		t.Errorf("started got: %d, want: 4", len(started))
	}
}
