package admission

import "time"

const (
	// historySlot is the resolution of the history. If a request ends and another one
	// starts within it, the decrease in between is not recorded.
	historySlot  = 50 * time.Millisecond
	historySlots = 64
)

// history holds the maximum number of requests in flight per time slot of the last
// 3.2 s.
type history struct {
	slots [historySlots]int
	// last is the number of the latest recorded slot, counted from the creation of the
	// gate, and current is the number in flight now.
	last    int64
	current int
}

// record sets the number in flight at a time, given as the time since the creation of
// the gate.
func (h *history) record(since time.Duration, n int) {
	at := int64(since / historySlot)
	for i := max(h.last+1, at-historySlots+1); i <= at; i++ {
		h.slots[i%historySlots] = h.current
	}
	h.last = max(h.last, at)
	h.current = n
	slot := &h.slots[h.last%historySlots]
	*slot = max(*slot, n)
}

// extremes returns the minimum and the maximum number in flight between two times. The
// minimum is 0 if the history does not reach back to from.
func (h *history) extremes(from, to time.Duration) (minimum, maximum int) {
	h.record(to, h.current)
	first := int64(from / historySlot)
	if minimum = h.current; from < 0 || first <= h.last-historySlots {
		minimum = 0
	}
	for i := max(0, first, h.last-historySlots+1); i <= h.last; i++ {
		n := h.slots[i%historySlots]
		minimum, maximum = min(minimum, n), max(maximum, n)
	}
	return minimum, maximum
}
