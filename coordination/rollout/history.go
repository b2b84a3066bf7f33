package rollout

import (
	"slices"
	"time"

	"amaranthtide"
)

const (
	// windowLength is the shortest length of a window, windowCount the number of windows that are
	// kept. Together they cover the time in which a version may turn bad unnoticed; earlier
	// windows are merged into one.
	windowLength = 500 * time.Millisecond
	windowCount  = 64
	// settleTime is the time after which the lists of all routers have arrived. They count
	// since the start of each router, so the old versions' counts jump when a list arrives.
	settleTime = time.Second
	// warmTime is the time after the first answer of the new version in which slow answers of a cold
	// start may still be counted.
	warmTime = 1500 * time.Millisecond
)

// History turns the sums of a service's outcomes into windows. Create one with NewHistory for each
// rollout. It is not safe for concurrent use.
type History struct {
	to         amaranthtide.VersionName
	created    time.Time
	last       map[outcomeKey]amaranthtide.VersionOutcomes
	lastAt     time.Time
	answeredAt time.Time
	windows    []Window
}

type outcomeKey struct {
	version amaranthtide.VersionName
	route   amaranthtide.RouteName
	zone    amaranthtide.ZoneName
}

func keyOf(o amaranthtide.VersionOutcomes) outcomeKey { return outcomeKey{o.Version, o.Route, o.Zone} }

// NewHistory returns a History of the outcomes from now on, during the rollout with the given
// state.
func NewHistory(now time.Time, state amaranthtide.RolloutState) *History {
	return &History{to: state.To, created: now}
}

// Observe adds the sums over the fleet, from outcomes.Counter.Totals. It is called several times
// per second.
func (h *History) Observe(now time.Time, totals []amaranthtide.VersionOutcomes) {
	if h.last == nil {
		h.last, h.lastAt = make(map[outcomeKey]amaranthtide.VersionOutcomes), now
		for _, o := range totals {
			h.last[keyOf(o)] = o
		}
		return
	}
	w := Window{Length: now.Sub(h.lastAt)}
	for _, o := range totals {
		key := keyOf(o)
		more, ok := difference(o, h.last[key])
		h.last[key] = o
		if !ok || o.Version != h.to && now.Sub(h.created) < settleTime {
			continue
		}
		w.Outcomes = append(w.Outcomes, more)
		if o.Version == h.to && h.answeredAt.IsZero() {
			h.answeredAt = now
		}
	}
	w.Warm = !h.answeredAt.IsZero() && h.lastAt.Sub(h.answeredAt) >= warmTime
	h.lastAt = now
	h.add(w)
}

func (h *History) add(w Window) {
	if n := len(h.windows); n > 0 && h.windows[n-1].Length < windowLength && h.windows[n-1].Warm == w.Warm {
		h.windows[n-1] = merge(h.windows[n-1], w)
		return
	}
	h.windows = append(h.windows, w)
	if len(h.windows) <= windowCount {
		return
	}
	i := 0
	if h.windows[0].Warm != h.windows[1].Warm {
		i = 1
	}
	h.windows[i] = merge(h.windows[i], h.windows[i+1])
	h.windows = slices.Delete(h.windows, i+1, i+2)
}

// Windows returns the outcomes since the start of the rollout, in consecutive windows.
func (h *History) Windows() []Window { return slices.Clone(h.windows) }

// difference returns what o has in addition to earlier counts, and false if that is nothing.
func difference(o, earlier amaranthtide.VersionOutcomes) (amaranthtide.VersionOutcomes, bool) {
	if o.Answers <= earlier.Answers || o.Failures < earlier.Failures {
		return o, false
	}
	o.Answers -= earlier.Answers
	o.Failures -= earlier.Failures
	for i, n := range earlier.Durations {
		o.Durations[i] -= min(n, o.Durations[i])
	}
	return o, true
}

// merge returns the sum of two consecutive windows.
func merge(a, b Window) Window {
	sum := Window{Length: a.Length + b.Length, Warm: a.Warm && b.Warm, Outcomes: slices.Clone(a.Outcomes)}
next:
	for _, o := range b.Outcomes {
		for i := range sum.Outcomes {
			if k := &sum.Outcomes[i]; keyOf(*k) == keyOf(o) {
				k.Answers += o.Answers
				k.Failures += o.Failures
				k.Durations.Merge(o.Durations)
				continue next
			}
		}
		sum.Outcomes = append(sum.Outcomes, o)
	}
	return sum
}
