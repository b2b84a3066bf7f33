package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	bornSkew       = 2000 * time.Millisecond // the clock of the server's machine is ahead
	bornStartsAt   = 4 * time.Second
	bornCrashAfter = 500 * time.Millisecond
	bornDownFor    = time.Second
	bornLeavesAt   = 10 * time.Second
	bornDrain      = 2 * time.Second // drain_ms
	bornServesOn   = 1500 * time.Millisecond
	bornLasts      = 16 * time.Second
	bornLoad       = 60 // requests a second for four servers
	bornWork       = 60 * time.Millisecond
	bornSlack      = 100 * time.Millisecond // between a record of the client and one of the server
)

var _ = register("born", runBorn)

// runBorn starts a server while the clock of its machine is ahead. The server crashes and starts again under
// its id after the clock was set right, and leaves some seconds later.
func runBorn(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, "a", "a", "b")
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", deskConfiguration())
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var acknowledged time.Time
	late, lost := 0, 0
	var lastLate time.Duration
	var servers []*server
	for i, zone := range []string{"a", "b", "b", "a"} {
		s := newServer(d, fmt.Sprintf("i-%d", i+1), "desk", zone, 16)
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			now, id := time.Now(), r.Header.Get(hdrRequestID)
			mu.Lock()
			if i == 2 && !acknowledged.IsZero() {
				if after := now.Sub(acknowledged); after > bornDrain && sentAt[id].Sub(acknowledged) > bornDrain-bornSlack {
					late++
					lastLate = after
				}
			}
			mu.Unlock()
			rec.add("server %s runs %s", s.id, id)
			time.Sleep(bornWork)
			_, _ = fmt.Fprintln(w, "registered")
		}
		go s.run()
		servers = append(servers, s)
		if i == 2 {
			continue // starts later
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	begin := time.Now()
	rec.say("traffic begins at%s", rec.at(begin))
	after := func(at time.Duration, f func()) { time.AfterFunc(time.Until(begin.Add(at)), f) }
	s := servers[2]
	startServer := func() {
		if err := s.start(); err != nil {
			rec.say("server %s doesn't start: %v", s.id, err)
			return
		}
		rec.say("server %s starts, born %d ms after the start of traffic", s.id, s.born-begin.UnixMilli())
	}
	after(bornStartsAt, func() {
		if trouble {
			s.skew = bornSkew
			rec.say("the clock of the machine of %s is %v ahead", s.id, bornSkew)
		}
		startServer()
	})
	after(bornStartsAt+bornCrashAfter, func() { s.crash(); rec.say("server %s crashes", s.id) })
	after(bornStartsAt+bornCrashAfter+bornDownFor, func() { s.skew = 0; startServer() })
	after(bornLeavesAt, func() {
		s.setState("draining")
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
		rec.say("server %s reports draining, the store has accepted it, at%s", s.id, rec.at(time.Now()))
	})
	after(bornLeavesAt+bornDrain+bornServesOn, func() {
		s.crash()
		d.store.put("servers", s.id, nil)
		rec.say("server %s has left, %v after its report", s.id, bornDrain+bornServesOn)
	})
	c := newClients()
	var wg sync.WaitGroup
	counts := make(map[int]int)
	ticker := time.NewTicker(time.Second / bornLoad)
	defer ticker.Stop()
	for i := 0; time.Since(begin) < bornLasts; i++ {
		<-ticker.C
		to, sent := d.routers[i%len(d.routers)], time.Now()
		wg.Go(func() {
			a := send(c, rec, to, request{method: http.MethodPost, path: "/register/new", body: []byte("entry"), deadline: deskTimeoutMS * time.Millisecond, onID: func(id string) {
				mu.Lock()
				sentAt[id] = sent
				mu.Unlock()
			}})
			mu.Lock()
			counts[a.status]++
			if a.status != http.StatusOK && sent.Sub(begin) > bornLeavesAt {
				lost++
			}
			mu.Unlock()
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("answers by status: %v; %d requests without success since the server left", counts, lost)
	rec.say("%d requests reached the server later than %v after the store had accepted that it is draining, the last one %.1f s after", late, bornDrain, lastLate.Seconds())
	return late > 0, nil
}
