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
	// at is the slot that was recorded last, since the history began.
	at int64
	n  int
}

// record notes the number in flight at the time since the history began.
func (h *history) record(since time.Duration, n int) {
	at := int64(since / historySlot)
	for i := max(h.at+1, at-historySlots+1); i <= at; i++ {
		h.slots[i%historySlots] = h.n
	}
	h.at = max(h.at, at)
	h.n = n
	slot := &h.slots[h.at%historySlots]
	*slot = max(*slot, n)
}

// between returns the least and the greatest number in flight. The least is 0
// if the history does not reach back to from.
func (h *history) between(from, to time.Duration) (least, greatest int) {
	h.record(to, h.n)
	first := int64(from / historySlot)
	if least = h.n; from < 0 || first <= h.at-historySlots {
		least = 0
	}
	for i := max(0, first, h.at-historySlots+1); i <= h.at; i++ {
		n := h.slots[i%historySlots]
		least, greatest = min(least, n), max(greatest, n)
	}
	return least, greatest
}
