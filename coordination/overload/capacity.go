package overload

import "time"

// Capacity sums up what is known of the engines of a service that may get requests. The zero
// value is a service of unknown capacity, to which everything is admitted.
type Capacity struct {
	// Slots is the number of requests that the engines run at once.
	Slots int
	// Usable is the number of these that their memory allows.
	Usable int
	// Running is the number of requests in these slots, Waiting the number of those that wait
	// at engines without a free one.
	Running, Waiting int
	// Age is the age of the loads that other routers have reported.
	Age time.Duration
}

// Add adds an engine with the given slots, the part of them that its memory allows, and its
// requests. An engine with unknown slots is left out.
func (c *Capacity) Add(slots, usable, load int) {
	if slots <= 0 {
		return
	}
	c.Slots += slots
	c.Usable += usable
	c.Running += min(load, slots)
	c.Waiting += max(0, load-slots)
}

// Load returns the requests at the engines in relation to the slots that can be used.
func (c Capacity) Load() float64 {
	if c.Usable == 0 {
		return 0
	}
	return float64(c.Running+c.Waiting) / float64(c.Usable)
}

// Ample reports whether no request may be rejected: nothing waits, and under half of the slots
// are taken.
func (c Capacity) Ample() bool { return c.Waiting == 0 && 2*c.Running < c.Slots || c.Slots == 0 }

// SlotsWithin returns the part of an engine's slots that its memory allows if each request takes
// the given number of tokens. Prompts that requests share are in memory once, and the estimate is
// coarse, so at least half of the slots count.
func SlotsWithin(slots, memoryTokens int, tokensPerRequest float64) int {
	if memoryTokens <= 0 || tokensPerRequest <= 0 {
		return slots
	}
	return min(slots, max((slots+1)/2, int(float64(memoryTokens)/tokensPerRequest)))
}
