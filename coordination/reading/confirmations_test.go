package reading_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/coordination/reading"
)

const (
	list     = amaranthtide.FeedTable("list")
	operator = amaranthtide.FeedTable("operator")
)

func version(era amaranthtide.StoreEra, n uint64) amaranthtide.StoreVersion {
	return amaranthtide.NewStoreVersion(era, n)
}

// Guards against an answer for one table that stands for another one whose calls fail, hang, were never
// answered or are of an earlier era.
func TestAnswerConfirmsOtherTable(t *testing.T) {
	start := time.Date(2026, 12, 8, 8, 0, 0, 0, time.UTC)
	s := reading.NewSchedule(bound)
	tests := []struct {
		name   string
		change func(c *reading.Confirmations)
		copied amaranthtide.StoreVersion
		want   bool
	}{
		{"same version", func(*reading.Confirmations) {}, version(1, 9), true},
		{"same version, never read", func(c *reading.Confirmations) { c.Reset() }, version(1, 9), true},
		{"same version, calls fail", func(c *reading.Confirmations) { c.Failed(operator) }, version(1, 9), true},
		{"behind, its call waits", func(*reading.Confirmations) {}, version(1, 8), true},
		{"behind, calls fail", func(c *reading.Confirmations) { c.Failed(operator) }, version(1, 8), false},
		{"behind, not read yet", func(c *reading.Confirmations) { c.Reset() }, version(1, 8), false},
		{"of an earlier era", func(*reading.Confirmations) {}, version(0, 90), false},
		{"behind for long", func(c *reading.Confirmations) { c.Named(operator, start, version(1, 8), version(1, 9)) }, version(1, 8), false},
		{"behind, but read since", func(c *reading.Confirmations) {
			c.Named(operator, start, version(1, 7), version(1, 9))
			c.Answered(operator, start.Add(bound-100*time.Millisecond))
		}, version(1, 8), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := reading.NewConfirmations(s)
			c.Answered(operator, start)
			tt.change(c)
			at := start.Add(bound)
			c.Answered(list, at)
			is.Equal(c.Named(operator, at, tt.copied, version(1, 9)), tt.want)
			is.Equal(c.At(list, operator).Equal(at), tt.want)
		})
	}
}

// Guards against a view of several tables that is as young as that of one of them.
func TestViewIsAsOldAsItsOldestTable(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 8, 8, 0, 0, 0, time.UTC)
	c := reading.NewConfirmations(reading.NewSchedule(bound))
	c.Answered(list, start)
	is.True(c.At(list, operator).IsZero())
	c.Answered(operator, start.Add(-time.Second))
	is.Equal(c.At(list, operator), start.Add(-time.Second))
	c.Answered(operator, start.Add(-2*time.Second)) // late
	is.Equal(c.At(operator), start.Add(-time.Second))
}
