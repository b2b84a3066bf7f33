package ingress

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthtide/coordination/eviction"
	"amaranthtide/state/memory"
	"amaranthtide/transport/internal/socket"
)

const (
	// sweepInterval is the time between checks for answers that are not read.
	sweepInterval = time.Second
	// writeTimeout is how long one write may wait for a caller. Both front ends have shorter
	// limits for the answers of servers; this one also covers their own.
	writeTimeout = 40 * time.Second
	// reclaimInterval is the shortest time between two reclaims, since a connection that was
	// closed frees its memory a little later.
	reclaimInterval = 10 * time.Millisecond
	// reclaimShare is the part of the memory that a reclaim frees at least, so that not each
	// request has to.
	reclaimShare = 1.0 / 32
)

// Stats counts the connections of a Guard, and those that it has refused and closed since the start.
type Stats struct {
	// Open is the number of open connections.
	Open int64
	// Refused is the number of connections that were refused because there were too many.
	Refused int64
	// Closed is the number of connections that were closed for lack of descriptors or memory, or
	// because their caller read nothing, by what they did.
	Closed map[eviction.State]int64
}

// Guard closes connections of the servers of a process when memory runs short. It is safe for
// concurrent use. Use NewGuard.
type Guard struct {
	memory *memory.Budget
	done   chan struct{}
	wg     sync.WaitGroup

	open    atomic.Int64
	refused atomic.Int64
	evicted [eviction.Serving + 1]atomic.Int64

	mu          sync.Mutex
	servers     []*Server
	reclaimedAt time.Time
	// wanted is the number of bytes to free; wake tells the Guard's goroutine of it.
	wanted int64
	wake   chan struct{}
}

// NewGuard returns a Guard for what is counted in b. Close it after its servers.
func NewGuard(b *memory.Budget) *Guard {
	g := &Guard{memory: b, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	b.OnReclaim(g.requestReclaim)
	g.wg.Go(g.run)
	return g
}

// Close ends the Guard and waits for its goroutine.
func (g *Guard) Close() {
	g.memory.OnReclaim(nil)
	close(g.done)
	g.wg.Wait()
}

// Stats returns the counts since the start.
func (g *Guard) Stats() Stats {
	s := Stats{Open: g.open.Load(), Refused: g.refused.Load(), Closed: make(map[eviction.State]int64)}
	for state := range g.evicted {
		s.Closed[eviction.State(state)] = g.evicted[state].Load()
	}
	return s
}

// requestReclaim asks the Guard's goroutine to free n bytes.
func (g *Guard) requestReclaim(n int64) {
	g.mu.Lock()
	g.wanted = max(g.wanted, n)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default: // it has been woken already
	}
}

func (g *Guard) run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.closeStalled(time.Now())
		case <-g.wake:
			g.reclaim(time.Now())
		}
	}
}

func (g *Guard) add(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = append(g.servers, s)
}

func (g *Guard) remove(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = slices.DeleteFunc(g.servers, func(other *Server) bool { return other == s })
}

// connections returns the connections of all servers.
func (g *Guard) connections() []*connection {
	g.mu.Lock()
	servers := slices.Clone(g.servers)
	g.mu.Unlock()
	var all []*connection
	for _, s := range servers {
		all = append(all, s.openConnections()...)
	}
	return all
}

// reclaim closes connections that hold the wanted number of bytes.
func (g *Guard) reclaim(now time.Time) {
	g.mu.Lock()
	if now.Sub(g.reclaimedAt) < reclaimInterval {
		g.mu.Unlock()
		return // those that wait for memory ask again
	}
	g.reclaimedAt = now
	wanted := max(g.wanted, int64(reclaimShare*float64(g.memory.Limit())))
	g.wanted = 0
	g.mu.Unlock()
	g.evict(now, g.connections(), func(held int64) bool {
		wanted -= held
		return wanted > 0
	})
}

// evict closes connections in the order of package eviction until more, which is called with the
// bytes that the last one held, returns false. It returns the number of connections closed.
func (g *Guard) evict(now time.Time, all []*connection, more func(held int64) bool) int {
	activities, held := make([]eviction.Connection, len(all)), make([]int64, len(all))
	for i, c := range all {
		activities[i], held[i] = c.activity()
	}
	closed := 0
	for _, i := range eviction.Order(now, activities) {
		state := activities[i].State
		if all[i].isClosed() {
			continue // it is listed until its goroutine has ended
		}
		if state == eviction.Idle && socket.Peek(all[i].TCPConn) == socket.Readable {
			continue // a request has arrived
		}
		g.close(all[i], state)
		closed++
		if !more(held[i]) {
			break
		}
	}
	return closed
}

// close closes a connection. One whose answer isn't read is reset, since its socket would hold
// the answer otherwise.
func (g *Guard) close(c *connection, state eviction.State) {
	if state == eviction.Sending {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
	g.evicted[state].Add(1)
}

// closeStalled closes the connections on which a write has waited for too long.
func (g *Guard) closeStalled(now time.Time) {
	for _, c := range g.connections() {
		if a, _ := c.activity(); a.State == eviction.Sending && now.Sub(a.Since) > writeTimeout {
			g.close(c, a.State)
		}
	}
}
