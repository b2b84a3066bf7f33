package admission

import "time"

const (
	// historySlot is the resolution of the history. A slot that was given up and
	// taken again within it leaves no dip.
	historySlot  = 50 * time.Millisecond
	historySlots = 64
)

// history holds how many requests were in flight in the last 3.2 s, as the
// greatest number per slot of time.
type history struct {
	slots [historySlots]int
	// last is the slot that was recorded last, since the history began.
	last    int64
	current int
}

// record notes the number in flight at the time since the history began.
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

// extremes returns the least and the greatest number in flight. The least is 0
// if the history does not reach back to from.
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
