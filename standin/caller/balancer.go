package caller

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// skipTime is how long a router is skipped after it refused a connection.
const skipTime = time.Second

// balancer selects a router for each request, round robin or at random. It is safe for
// concurrent use.
type balancer struct {
	random bool

	mu      sync.Mutex
	addrs   []netip.AddrPort
	next    int
	skipped map[netip.AddrPort]time.Time
}

func (b *balancer) setRouters(addrs []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs = append([]netip.AddrPort(nil), addrs...)
	b.skipped = make(map[netip.AddrPort]time.Time)
}

// pick returns the next router that is not skipped, or any router if all are.
func (b *balancer) pick(now time.Time) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addrs) == 0 {
		return netip.AddrPort{}
	}
	if b.random {
		b.next = rand.IntN(len(b.addrs))
	}
	for range b.addrs {
		a := b.addrs[b.next%len(b.addrs)]
		b.next++
		if !now.Before(b.skipped[a]) {
			return a
		}
	}
	b.next++
	return b.addrs[b.next%len(b.addrs)]
}

func (b *balancer) markRefused(now time.Time, a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.skipped[a] = now.Add(skipTime)
}

func (b *balancer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.addrs)
}
