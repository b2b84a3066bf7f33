package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryPoll   = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// MemoryLimit plays the platform's memory limit: a router that exceeds it is killed and started
// again.
type MemoryLimit struct {
	site    *Site
	limitMB int
	stopped atomic.Bool
	wg      sync.WaitGroup
	// ends and peak hold, for each router, how often it exceeded the limit and its highest use.
	ends, peak []int
}

// NewMemoryLimit watches all routers of the site until Stop.
func NewMemoryLimit(site *Site, limitMB int) *MemoryLimit {
	n := len(site.Fleet.Routers)
	m := &MemoryLimit{site: site, limitMB: limitMB, ends: make([]int, n), peak: make([]int, n)}
	for i := range n {
		m.wg.Go(func() { m.run(i) })
	}
	return m
}

// Stop ends the watch.
func (m *MemoryLimit) Stop() {
	m.stopped.Store(true)
	m.wg.Wait()
}

// Machines returns the number of routers that ended more than allowed times. Call it after Stop.
func (m *MemoryLimit) Machines(allowed int) int {
	machines := 0
	for _, n := range m.ends {
		if n > allowed {
			machines++
		}
	}
	return machines
}

// String returns the peaks and ends. Call it after Stop.
func (m *MemoryLimit) String() string {
	return fmt.Sprintf("peak memory %v MB, %v ends by the memory limit of %d MB", m.peak, m.ends, m.limitMB)
}

func (m *MemoryLimit) run(i int) {
	r := m.site.Fleet.Routers[i]
	for ; !m.stopped.Load(); time.Sleep(memoryPoll) {
		use := residentMB(r.Pid())
		m.peak[i] = max(m.peak[i], use)
		if use <= m.limitMB {
			continue
		}
		m.ends[i]++
		m.site.Record.Printf("%s uses %d MB and is killed", r.Name, use)
		r.Signal(syscall.SIGKILL)
		_ = r.Wait()
		time.Sleep(restartDelay)
		if err := m.site.Fleet.Start(i, RouterSettings{Zone: Zones[i%len(Zones)], Store: m.site.Store.Addr, MemoryMB: m.limitMB}); err != nil {
			m.site.Record.Printf("%s: %v", r.Name, err)
			return
		}
	}
}

// residentMB returns the memory that the process uses.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
