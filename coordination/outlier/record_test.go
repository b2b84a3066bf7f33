package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide/coordination/outlier"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against repeated requests to an unreachable server, and against a server that
// is avoided for long after it is reachable again.
func TestUnreachableServerIsAvoided(t *testing.T) {
	is := is.New(t)
	var r outlier.Record
	is.True(!r.Avoid(start))
	r.Unreachable(start)
	is.True(r.Avoid(start.Add(300 * time.Millisecond)))
	is.True(!r.Avoid(start.Add(500 * time.Millisecond)))
	now := start
	for range 10 {
		r.Unreachable(now)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(!r.Avoid(now.Add(2 * time.Second)))
	r.Succeeded(now)
	r.Unreachable(now)
	is.True(!r.Avoid(now.Add(500 * time.Millisecond)))
}

// Guards against a server that fails many requests and is not avoided, and against a
// healthy one that is avoided because of a few failures.
func TestFailingServerIsAvoided(t *testing.T) {
	is := is.New(t)
	var bad outlier.Record
	n := 0
	for ; n < 10 && !bad.Avoid(start); n++ {
		bad.Failed(start)
	}
	is.True(n <= 3)
	is.True(!bad.Avoid(start.Add(3 * time.Second)))
	bad.Failed(start.Add(3 * time.Second))
	is.True(bad.Avoid(start.Add(4 * time.Second)))

	var good outlier.Record
	for i := range 70 {
		if i%7 == 0 {
			good.Failed(start)
			continue
		}
		good.Succeeded(start)
	}
	is.True(!good.Avoid(start))
}
