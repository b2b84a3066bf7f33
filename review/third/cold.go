package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	coldPerSecond   = 9.1
	coldBound       = coldPerSecond*1.5 + 5 // cold_overage 1.5, cold_slack 5
	coldLoad        = 75                    // requests a second for three servers
	coldFor         = 3 * time.Second
	coldCrashRate   = 22 // requests in a second, well above coldPerSecond
	coldDownFor     = 2 * time.Second
	outageFrom      = 6 * time.Second
	outage          = 8 * time.Second
	coldAt          = 9 * time.Second
	coldCaseLasts   = 20 * time.Second
	coldWork        = 20 * time.Millisecond
	deskTimeoutMS   = 1500
	deskObjectiveMS = 300
)

// configuration of one service behind one route.
func deskConfiguration(perSecond float64) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "register", "hostname": "desk.example", "prefix": "/register/", "service": "desk", "route_type": typeOnce,
			"timeout_ms": deskTimeoutMS, "target_latency_ms": deskObjectiveMS, "max_attempts": 2, "priority": 0,
		}},
		"services": []map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 200, "cold_start_s": 3, "cold_per_s": perSecond}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants":  []map[string]any{{"name": "one", "api_keys": []string{apiKey}}},
	}
}

// overload crashes a cold server, which starts again after a while and is cold then.
func (s *server) overload(n int) {
	if !s.crash() {
		return
	}
	s.rec.say("server %s crashes: %d requests in a second while it is cold", s.id, n)
	time.AfterFunc(coldDownFor, func() {
		s.mu.Lock()
		s.coldUntil = time.Now().Add(coldFor)
		s.mu.Unlock()
		if err := s.start(); err != nil {
			s.rec.say("server %s doesn't start: %v", s.id, err)
			return
		}
		s.rec.say("server %s is back, cold for %v", s.id, coldFor)
	})
}

var _ = register("cold", runCold)

// runCold lets a server become cold while the store is down.
func runCold(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, "a", "a", "b")
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", deskConfiguration(coldPerSecond))
	var mu sync.Mutex
	var cold window
	var servers []*server
	for i, zone := range []string{"a", "b", "a"} {
		s := newServer(d, fmt.Sprintf("i-%d", i+1), "desk", zone, 16)
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			now, isCold := time.Now(), s.isCold()
			rec.add("server %s runs %s, cold %t", s.id, r.Header.Get(hdrRequestID), isCold)
			if isCold {
				mu.Lock()
				n := cold.add(now)
				mu.Unlock()
				if n >= coldCrashRate {
					s.overload(n)
				}
			}
			time.Sleep(coldWork)
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
	if trouble {
		after(outageFrom, func() { d.store.setDown(true); rec.say("the store is down") })
		after(outageFrom+outage, func() { d.store.setDown(false); rec.say("the store is up") })
	}
	after(coldAt, func() { servers[1].turnCold(coldFor) })
	c := newClients()
	var wg sync.WaitGroup
	counts := make(map[int]int)
	ticker := time.NewTicker(time.Second / coldLoad)
	defer ticker.Stop()
	for i := 0; time.Since(begin) < coldCaseLasts; i++ {
		<-ticker.C
		to := d.routers[i%len(d.routers)]
		wg.Go(func() {
			a := send(c, rec, to, request{method: http.MethodPost, path: "/register/new", body: []byte("entry"), deadline: deskTimeoutMS * time.Millisecond})
			mu.Lock()
			counts[a.status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	rec.say("answers by status: %v", counts)
	rec.say("at most %d requests in one second at the cold server, at%s; the bound is %.1f", cold.most, rec.at(cold.at), coldBound)
	return float64(cold.most) > coldBound, nil
}
