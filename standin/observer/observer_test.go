package observer_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/standin/engine"
	"amaranthtide/standin/observer"
)

// Guards against a skew that deviates from the documented formula: a load at the cap has
// a skew of at most 1.25, a load above it a greater one.
func TestSkew(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		loads []int
		want  float64
	}{
		{"one request over four engines", []int{1, 0, 0, 0}, 1.25},
		{"at the cap of mean 4", []int{5, 4, 4, 3}, 1.25},
		{"above the cap of mean 4", []int{6, 4, 3, 3}, 1.5},
		{"at the cap of mean 2.5", []int{3, 3, 2, 2}, 1.2},
		{"above the cap of mean 0.5", []int{2, 0, 0, 0}, 2.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := observer.New()
			var first engine.Config
			for i, load := range tt.loads {
				name := amaranthtide.BackendServerName(rune('a' + i))
				cfg := o.Watch(name, engine.Config{Model: "m"})
				o.PutInService(now.Add(-time.Minute), name)
				cfg.OnLoad(load)
				if i == 0 {
					first = cfg
				}
			}
			first.OnAdmit(now, tt.loads[0])
			if got := o.Skew().Max; math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got: %v, want: %v", got, tt.want)
			}
		})
	}
}

// Guards against admissions at an engine out of service that are not reported, and
// against including such an engine in the mean.
func TestOutOfService(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	o := observer.New()
	a, b := o.Watch("a", engine.Config{}), o.Watch("b", engine.Config{})
	o.PutInService(now.Add(-time.Minute), "a", "b")
	o.TakeOutOfService(now, "b")
	a.OnLoad(3)
	a.OnAdmit(now, 3)
	is.Equal(o.Skew().Max, 1.0)
	b.OnAdmit(now.Add(observer.LeaveDelay), 9)
	is.Equal(o.Skew().LateAdmissions, 0)
	b.OnAdmit(now.Add(observer.LeaveDelay+time.Millisecond), 9)
	is.Equal(o.Skew().LateAdmissions, 1)
	is.Equal(o.Skew().Admissions, 1)
}
