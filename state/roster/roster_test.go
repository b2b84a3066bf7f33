package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/state/roster"
)

var start = time.Unix(1000, 0)

// Guards against delayed or repeated reports that replace newer ones.
func TestNewestReportWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New()
		type version struct{ incarnation, sequence uint64 }
		want := map[amaranthtide.VMName]version{}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				now = now.Add(time.Second)
				vm := rapid.SampledFrom([]amaranthtide.VMName{"a", "b"}).Draw(t, "vm")
				v := version{rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 9).Draw(t, "sequence")}
				last := want[vm]
				newer := v.incarnation > last.incarnation || v.incarnation == last.incarnation && v.sequence > last.sequence
				report := amaranthtide.RouterReport{VM: vm, Incarnation: amaranthtide.Incarnation(v.incarnation), Sequence: v.sequence}
				if got := r.Observe(now, report); got != newer {
					t.Fatalf("Observe(%v) after %v got: %v, want: %v", v, last, got, newer)
				}
				if newer {
					want[vm] = v
				}
			},
			"": func(t *rapid.T) {
				if got := len(r.Peers()); got != len(want) {
					t.Fatalf("got: %d peers, want: %d", got, len(want))
				}
				for vm, v := range want {
					p, _ := r.Peer(vm)
					if got := (version{uint64(p.Report.Incarnation), p.Report.Sequence}); got != v {
						t.Fatalf("got: %v, want: %v", got, v)
					}
				}
			},
		})
	})
}

// Guards against digests of one sender that hide those of another one, and against a
// restarted sender whose digests are never accepted again.
func TestDigests(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	digest := func(from string, sequence uint64) amaranthtide.ZoneDigest {
		return amaranthtide.ZoneDigest{Zone: "z", From: amaranthtide.VMName(from), Sequence: sequence}
	}
	is.True(r.ObserveDigest(start, digest("a", 50)))
	is.True(r.ObserveDigest(start.Add(time.Second), digest("b", 3)))
	is.True(!r.ObserveDigest(start.Add(2*time.Second), digest("a", 49)))
	d, ok := r.Digest("z")
	is.True(ok)
	is.Equal(d.Digest.From, amaranthtide.VMName("b"))
	is.True(r.ObserveDigest(start.Add(roster.DigestStaleAfter+time.Second), digest("a", 1)))
	r.Forget(start.Add(2 * time.Second))
	is.Equal(len(r.Digests()), 1)
	r.Forget(start.Add(time.Hour))
	is.Equal(len(r.Digests()), 0)
}
