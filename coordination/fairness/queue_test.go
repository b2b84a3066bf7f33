package fairness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/fairness"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type flowKey struct {
	workspace amaranthtide.WorkspaceName
	class     amaranthtide.Class
}

// queuedTicket is a ticket in the test's model of the queue, with the queued cost of its
// flow up to and including it, and the cost that each flow has started since its arrival.
type queuedTicket struct {
	ticket  fairness.Ticket
	cost    int
	started map[flowKey]int
}

// Guards against starvation, that is a wait beyond the bound of the package comment
// (P10), lost or duplicated tickets, later tickets that overtake earlier ones of their
// flow, and tickets that stay queued after their deadline.
func TestQueueKeepsWaitBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		q := fairness.New(limit)
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 6, 6).Draw(t, "weights")
		now, id := start, 0
		var queue []*queuedTicket // in the order of arrival
		largest := map[flowKey]int{}
		keyOf := func(t fairness.Ticket) flowKey { return flowKey{t.Workspace, t.Class} }
		weightOf := func(k flowKey) int { return weights[k.workspace[0]-'a'] }
		drop := func(t *rapid.T, a amaranthtide.AttemptID) *queuedTicket {
			for i, w := range queue {
				if w.ticket.Attempt == a {
					queue = append(queue[:i], queue[i+1:]...)
					return w
				}
			}
			t.Fatalf("ticket %s got: returned twice or never pushed", a)
			return nil
		}
		push := func(t *rapid.T, w int, class amaranthtide.Class, cost int) {
			id++
			tk := fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint(id)), Workspace: amaranthtide.WorkspaceName(rune('a' + w)), Class: class, Weight: weights[w], Cost: cost, Deadline: now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)}
			k := keyOf(tk)
			own, n := 0, 1
			for _, x := range queue {
				if keyOf(x.ticket) == k {
					own += x.ticket.Cost
					n++
				}
			}
			full := len(queue) == limit
			evicted, ok := q.Push(tk)
			if e, was := evicted.Get(); was {
				x := drop(t, e.Attempt)
				if !full || keyOf(x.ticket) == k {
					t.Fatalf("evicted got: %+v by %+v, want: a ticket of another flow, from a full queue", e, tk)
				}
			}
			if !ok {
				if !full {
					t.Fatalf("Push got: refused with %d of %d tickets, want: queued", len(queue), limit)
				}
				return
			}
			largest[k] = max(largest[k], cost)
			queue = append(queue, &queuedTicket{tk, own + cost, map[flowKey]int{}})
		}
		classes := rapid.SampledFrom([]amaranthtide.Class{amaranthtide.ClassQuick, amaranthtide.ClassStandard})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				push(t, rapid.IntRange(0, 5).Draw(t, "w"), classes.Draw(t, "class"), rapid.IntRange(1, 1000).Draw(t, "cost"))
			},
			"surge": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					push(t, 0, amaranthtide.ClassStandard, rapid.IntRange(1, 1000).Draw(t, "cost"))
				}
			},
			"pop": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					tk, ok := q.Pop()
					if ok != (len(queue) > 0) {
						t.Fatalf("Pop got: %v with %d waiting", ok, len(queue))
					}
					if !ok {
						return
					}
					k := keyOf(tk)
					for _, x := range queue {
						if keyOf(x.ticket) == k {
							if x.ticket.Attempt != tk.Attempt {
								t.Fatalf("Pop got: %s, want: %s, the first of its flow", tk.Attempt, x.ticket.Attempt)
							}
							break
						}
					}
					x := drop(t, tk.Attempt)
					for j, started := range x.started {
						bound := float64(weightOf(j))/float64(weightOf(k))*float64(x.cost) + float64(largest[j]) + 1
						if j != k && float64(started) > bound {
							t.Fatalf("cost that %v started before %+v got: %d, want: <= %v", j, tk, started, bound)
						}
					}
					if own := x.started[k]; own > x.cost-tk.Cost {
						t.Fatalf("cost that its own flow started before %+v got: %d, want: <= %d", tk, own, x.cost-tk.Cost)
					}
					for _, x := range queue {
						x.started[k] += tk.Cost
					}
				}
			},
			"remove": func(t *rapid.T) {
				if len(queue) == 0 {
					t.Skip("empty")
				}
				x := rapid.SampledFrom(queue).Draw(t, "ticket")
				_, ok := q.Remove(x.ticket.Attempt)
				_, again := q.Remove(x.ticket.Attempt)
				if drop(t, x.ticket.Attempt); !ok || again {
					t.Fatalf("Remove got: %v, then %v, want: true, then false", ok, again)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				for _, e := range q.Expire(now) {
					if drop(t, e.Attempt); e.Deadline.After(now) {
						t.Fatalf("Expire(%v) got: %+v, want: only tickets at or after their deadline", now, e)
					}
				}
				for _, x := range queue {
					if !x.ticket.Deadline.After(now) {
						t.Fatalf("after Expire(%v) got: %+v still queued, want: expired", now, x.ticket)
					}
				}
			},
			"": func(t *rapid.T) {
				cost := 0
				for _, x := range queue {
					cost += x.ticket.Cost
				}
				if q.Len() != len(queue) || q.Cost() != cost {
					t.Fatalf("got: %d tickets of cost %d, want: %d of %d", q.Len(), q.Cost(), len(queue), cost)
				}
			},
		})
		if got := len(q.Drain()); got != len(queue) || q.Len() != 0 || q.Cost() != 0 {
			t.Fatalf("Drain got: %d, want: %d", got, len(queue))
		}
	})
}

// Guards against quick requests that wait behind long ones of their own workspace, and
// against shares that are not proportional to the weights.
func TestShares(t *testing.T) {
	is := is.New(t)
	q := fairness.New(1000)
	for i := range 100 {
		q.Push(fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint("big", i)), Workspace: "big", Weight: 3, Cost: 4000})
		q.Push(fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint("small", i)), Workspace: "small", Weight: 1, Cost: 4000})
	}
	q.Push(fairness.Ticket{Attempt: "quick", Workspace: "big", Class: amaranthtide.ClassQuick, Weight: 3, Cost: 50})
	first, _ := q.Pop()
	is.Equal(first.Attempt, amaranthtide.AttemptID("quick"))
	served := map[amaranthtide.WorkspaceName]int{}
	for range 80 {
		tk, _ := q.Pop()
		served[tk.Workspace]++
	}
	if served["big"] < 59 || served["big"] > 61 {
		t.Errorf("got: %v, want: 60 of big and 20 of small", served)
	}
}

// Guards against a surge of one workspace that fills the queue, so that the requests of
// others are refused.
func TestFullQueueKeepsRoomForSmallFlows(t *testing.T) {
	is := is.New(t)
	q := fairness.New(10)
	for i := range 20 {
		q.Push(fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint(i)), Workspace: "big", Weight: 1, Cost: 1})
	}
	evicted, ok := q.Push(fairness.Ticket{Attempt: "s", Workspace: "small", Weight: 1, Cost: 1})
	is.True(ok)
	is.Equal(evicted.Or(fairness.Ticket{}).Attempt, amaranthtide.AttemptID("9"))
	is.Equal(q.Len(), 10)
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{1, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := fairness.New(n + 1)
			tickets := make([]fairness.Ticket, n)
			for i := range tickets {
				tickets[i] = fairness.Ticket{Attempt: amaranthtide.AttemptID(fmt.Sprint(i)), Workspace: amaranthtide.WorkspaceName(fmt.Sprint(i)), Weight: 1 + i%7, Cost: 1 + i*7919%3000, Deadline: start.Add(time.Duration(i) * time.Millisecond)}
				q.Push(tickets[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				t, _ := q.Pop()
				q.Push(t)
			}
		})
	}
}
