package rig

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// Grace is the time between the SIGTERM and the SIGKILL of a router (grace_s).
const Grace = 8 * time.Second

// Rotation tracks which routers get new connections, as the platform's ingress does, and
// restarts routers as planned work.
type Rotation struct {
	site    *Site
	inUse   []atomic.Bool
	termAt  []atomic.Int64 // Unix nanoseconds of the last SIGTERM
	stopped atomic.Bool
}

// NewRotation returns the Rotation of all routers of the site, which are ready.
func NewRotation(site *Site) *Rotation {
	n := len(site.Fleet.Routers)
	r := &Rotation{site: site, inUse: make([]atomic.Bool, n), termAt: make([]atomic.Int64, n)}
	for i := range n {
		r.inUse[i].Store(true)
	}
	go r.watchReady()
	return r
}

// Stop ends the checks.
func (r *Rotation) Stop() { r.stopped.Store(true) }

// Stopped reports whether Stop was called.
func (r *Rotation) Stopped() bool { return r.stopped.Load() }

// Router returns the router with the index.
func (r *Rotation) Router(i int) *Router { return r.site.Fleet.Routers[i] }

// TermAt returns the time of the router's last SIGTERM.
func (r *Rotation) TermAt(i int) time.Time { return time.Unix(0, r.termAt[i].Load()) }

// Next returns the first router in rotation from index i on.
func (r *Rotation) Next(i int) int {
	n := len(r.inUse)
	for range n {
		if i %= n; r.inUse[i].Load() {
			break
		}
		i++
	}
	return i % n
}

// RestartAll stops and starts the routers in turn, with a pause after each; without the
// disruption, it only waits.
func (r *Rotation) RestartAll(pause time.Duration) {
	for i, router := range r.site.Fleet.Routers {
		if !Trouble() {
			time.Sleep(Grace + pause)
			continue
		}
		r.site.Record.Printf("SIGTERM of %s", router.Name)
		r.termAt[i].Store(time.Now().UnixNano())
		router.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(Grace, func() { router.Signal(syscall.SIGKILL) })
		_ = router.Wait()
		kill.Stop()
		r.site.Record.Printf("%s has ended", router.Name)
		if err := r.site.Fleet.Start(i, RouterSettings{Zone: Zones[i%len(Zones)], Store: r.site.Store.Addr}); err != nil {
			r.site.Record.Printf("%s: %v", router.Name, err)
		}
		time.Sleep(pause)
	}
}

// watchReady asks each router once a second; two misses take it out.
func (r *Rotation) watchReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(r.inUse))
	for !r.Stopped() {
		for i, router := range r.site.Fleet.Routers {
			resp, err := client.Get("http://" + router.Ready + "/-/ready")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			if misses[i]++; ok {
				misses[i] = 0
			}
			r.inUse[i].Store(misses[i] < 2)
		}
		time.Sleep(time.Second)
	}
}
