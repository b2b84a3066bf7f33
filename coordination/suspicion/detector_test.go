package suspicion_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide/coordination/suspicion"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const timeout = time.Second

// Guards against a failed router that is never replaced because each message to it
// restarts the timeout.
func TestTimeoutStartsAtFirstRequest(t *testing.T) {
	is := is.New(t)
	d := suspicion.New()
	for i := range 5 {
		d.RequestSent(start.Add(time.Duration(i)*300*time.Millisecond), "vm-1")
	}
	is.True(!d.Suspected(start.Add(timeout), "vm-1", timeout))
	is.True(d.Suspected(start.Add(timeout+time.Millisecond), "vm-1", timeout))
	d.MessageReceived("vm-1")
	is.True(!d.Suspected(start.Add(time.Hour), "vm-1", timeout))
}

// Guards against suspicion of a router that was never sent a message, which would
// replace a working router.
func TestRouterWithoutRequestsIsNotSuspected(t *testing.T) {
	is := is.New(t)
	d := suspicion.New()
	is.True(!d.Suspected(start.Add(time.Hour), "vm-1", timeout))
	d.MessageReceived("vm-1")
	is.True(!d.Suspected(start.Add(time.Hour), "vm-1", timeout))
	is.True(!d.TryProbe(start.Add(time.Hour), "vm-1"))
}

// Guards against a suspected router that is never probed, and against one that is probed
// at every opportunity.
func TestSuspectedRouterIsProbedPeriodically(t *testing.T) {
	is := is.New(t)
	d := suspicion.New()
	d.RequestSent(start, "vm-1")
	probes := 0
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(250 * time.Millisecond) {
		if d.TryProbe(at, "vm-1") {
			probes++
		}
	}
	is.Equal(probes, 4)
}
