package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide/coordination/outlier"
)

// Guards against requests to a server within the pause that it asked for, against one that never
// ends, and against routers that all return at once with all their requests.
func TestPauseIsKept(t *testing.T) {
	is := is.New(t)
	var r outlier.Record
	is.True(r.Admit(start, start))
	r.Pause(start, start, 2*time.Second, 0)
	is.True(!r.Admit(start.Add(2*time.Second-time.Millisecond), start))
	sent := 0
	for at := 2 * time.Second; at < 3*time.Second; at += time.Millisecond {
		if r.Admit(start.Add(at), start) {
			sent++
		}
	}
	is.Equal(sent, 20)
	is.True(r.Admit(start.Add(3*time.Second), start))
	is.True(r.Admit(start.Add(3*time.Second), start))

	r.Pause(start, start, 2*time.Second, 1)
	is.True(!r.Admit(start.Add(2400*time.Millisecond), start))
	is.True(r.Admit(start.Add(2500*time.Millisecond), start))
	is.True(r.Admit(start.Add(time.Millisecond), start.Add(time.Millisecond))) // it has started again
}

// Guards against a leaving server that gets requests because an older list or a lagging one shows
// it, and against the server that starts in its place without any.
func TestLeavingEndsWithNewStart(t *testing.T) {
	is := is.New(t)
	var r outlier.Record
	is.True(r.Leave(start))
	is.True(!r.Leave(start)) // known
	is.True(!r.Admit(start.Add(time.Hour), start))
	is.True(!r.Admit(start.Add(time.Hour), start.Add(-time.Minute)))
	is.True(!r.Admit(start.Add(time.Hour), time.Time{}))
	is.True(r.Admit(start, start.Add(time.Millisecond)))
}

// Guards against interleavings of pauses, outcomes and restarts after which a request is sent
// within a pause of the running server, or never again.
func TestPausesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r outlier.Record
		now, started, until := start, start, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "retryAfter")) * time.Millisecond
				r.Pause(now, started, d, rapid.Float64Range(0, 1).Draw(t, "spread"))
				if end := now.Add(d); end.After(until) {
					until = end
				}
			case 1:
				r.Failed(now)
			case 2:
				r.Succeeded(now)
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					started, until = started.Add(now.Sub(start)+time.Millisecond), time.Time{}
				}
			}
			admitted := r.Admit(now, started)
			if admitted && now.Before(until) {
				t.Fatalf("got: a request %v before the end of the pause, want: none", until.Sub(now))
			}
			if !admitted && now.Sub(until) > 3*time.Second {
				t.Fatalf("got: no request %v after the end of the pause, want: one", now.Sub(until))
			}
		}
	})
}

// Guards against callers that wait until their deadline passes, or all return in one step.
func TestWaitOrReject(t *testing.T) {
	is := is.New(t)
	deadline := start.Add(1500 * time.Millisecond)
	is.True(outlier.ShouldWait(start, start.Add(100*time.Millisecond), deadline))
	is.True(!outlier.ShouldWait(start, start.Add(400*time.Millisecond), deadline))
	is.True(!outlier.ShouldWait(start, start.Add(time.Second), start.Add(time.Minute)))
	early, late := outlier.RetryAfter(start, deadline, 0), outlier.RetryAfter(start, deadline, 1)
	is.Equal(early, 1500*time.Millisecond)
	is.Equal(late, 2500*time.Millisecond)
}
