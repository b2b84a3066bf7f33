package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	drillFreezeAt  = 8 * time.Second
	drillFreeze    = 4 * time.Second
	drillAwayAt    = drillFreezeAt + 100*time.Millisecond
	drillAway      = 400 * time.Millisecond
	drillCopyAge   = 3 * time.Second
	drillRemovedAt = drillAwayAt + drillAway + 3250*time.Millisecond // the store has been stable for contact_ms
	drillContact   = 3 * time.Second                                 // contact_ms
	drillDrain     = 2 * time.Second                                 // drain_ms
	drillServesOn  = 8 * time.Second                                 // beyond drain_ms
	drillLasts     = 25 * time.Second
	drillLoad      = 60 // requests a second for four servers
	drillWork      = 60 * time.Millisecond
)

var _ = register("drill", runDrill)

// runDrill freezes a router while the store comes back from a copy. A server leaves before the router wakes.
func runDrill(rec *record, trouble bool) (bool, error) {
	freeze, drill := trouble && os.Getenv("ONLY") != "drill", trouble && os.Getenv("ONLY") != "freeze"
	d, err := newDeployment(rec, "a", "a", "b")
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", deskConfiguration())
	frozen := d.routers[2]
	var mu sync.Mutex
	sentAt := make(map[string]time.Time) // requests to the router that was frozen
	var removed, inTouch time.Time
	late := 0
	var lastLate time.Duration
	var servers []*server
	for i, zone := range []string{"a", "b", "b", "a"} {
		s := newServer(d, fmt.Sprintf("i-%d", i+1), "desk", zone, 16)
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			now, id := time.Now(), r.Header.Get(hdrRequestID)
			mu.Lock()
			sent, fromFrozen := sentAt[id]
			if i == 2 && fromFrozen && !removed.IsZero() && !inTouch.IsZero() && sent.After(inTouch) && sent.Sub(removed) > drillDrain {
				late++
				lastLate = now.Sub(removed)
			}
			mu.Unlock()
			rec.add("server %s runs %s", s.id, id)
			time.Sleep(drillWork)
			_, _ = fmt.Fprintln(w, "registered")
		}
		if err := s.start(); err != nil {
			return false, err
		}
		go s.run()
		servers = append(servers, s)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	begin := time.Now()
	rec.say("traffic begins at%s", rec.at(begin))
	after := func(at time.Duration, f func()) { time.AfterFunc(time.Until(begin.Add(at)), f) }
	if freeze {
		after(drillFreezeAt, func() { _ = frozen.cmd.Process.Signal(syscall.SIGSTOP); rec.say("%s is frozen", frozen.name) })
		after(drillFreezeAt+drillFreeze, func() { _ = frozen.cmd.Process.Signal(syscall.SIGCONT); rec.say("%s is awake", frozen.name) })
	}
	after(drillFreezeAt+drillFreeze+drillContact, func() {
		mu.Lock()
		inTouch = time.Now()
		mu.Unlock()
		rec.say("%s is in touch", frozen.name)
	})
	if drill {
		after(drillAwayAt, func() { d.store.setDown(true); rec.say("the store is away") })
		after(drillAwayAt+drillAway, func() {
			d.store.restore(drillCopyAge)
			d.store.setDown(false)
			rec.say("the store is back from a copy %v old", drillCopyAge)
		})
	}
	s := servers[2]
	after(drillRemovedAt, func() {
		s.mu.Lock()
		s.hasLeft = true
		s.mu.Unlock()
		d.store.put("servers", s.id, nil)
		mu.Lock()
		removed = time.Now()
		mu.Unlock()
		rec.say("the store has removed the entry of server %s, which serves on, at%s", s.id, rec.at(time.Now()))
	})
	after(drillRemovedAt+drillDrain+drillServesOn, func() { s.crash(); rec.say("server %s has left", s.id) })
	c := newClients()
	var wg sync.WaitGroup
	counts := make(map[int]int)
	ticker := time.NewTicker(time.Second / drillLoad)
	defer ticker.Stop()
	for i := 0; time.Since(begin) < drillLasts; i++ {
		<-ticker.C
		to, sent := d.routers[i%len(d.routers)], time.Now()
		wg.Go(func() {
			a := send(c, rec, to, request{method: http.MethodPost, path: "/register/new", body: []byte("entry"), deadline: deskTimeoutMS * time.Millisecond, onID: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				if to == frozen {
					sentAt[id] = sent
				}
			}})
			mu.Lock()
			counts[a.status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("answers by status: %v", counts)
	rec.say("%d requests that %s took while it was in touch, more than %v after the removal, reached server %s, the last one %.1f s after it", late, frozen.name, drillDrain, s.id, lastLate.Seconds())
	return late > 0, nil
}
