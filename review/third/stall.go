package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stallServers     = 7
	stallEvents      = 8
	stallFirstEvent  = 200 * time.Millisecond
	stallPause       = 500 * time.Millisecond // below gap_target_ms
	stallSlowFactor  = 5
	stallSlowFrom    = 4 * time.Second
	stallSlowFor     = 6500 * time.Millisecond
	stallRequests    = 4 // a second
	stallTrafficFor  = 10 * time.Second
	stallDeadline    = 10 * time.Second
	stallOverlap     = 400 * time.Millisecond
	stallObjectiveMS = 500
	stallPauseMS     = 600
)

// work is the work of one server on one request.
type work struct {
	server     string
	begun      time.Time
	last       time.Time // when the server last worked on it
	resumed    string    // the identifier after which it goes on
	isCanceled bool      // the connection was closed before the end
}

var _ = register("stall", runStall)

// runStall lets a server turn slow that finishes its runs also when the connection closes.
func runStall(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, "a", "a", "b")
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", poolConfiguration())
	var mu sync.Mutex
	runs := make(map[string][]*work)
	slowFrom, slowUntil := time.Time{}, time.Time{}
	for i := range stallServers {
		s := newServer(d, fmt.Sprintf("i-%d", i+1), "pool", []string{"a", "b"}[i%2], 64)
		finishes := i == 0 // most servers drop a request when its connection closes, this one doesn't
		pause := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now(); finishes && now.After(slowFrom) && now.Before(slowUntil) {
				return stallSlowFactor * stallPause
			}
			return stallPause
		}
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			id, next := r.Header.Get(hdrRequestID), 1
			k := &work{server: s.id, begun: time.Now(), last: time.Now(), resumed: r.Header.Get(hdrLastEvent)}
			if k.resumed != "" {
				_, _ = fmt.Sscan(k.resumed, &next)
				next++
			}
			mu.Lock()
			runs[id] = append(runs[id], k)
			mu.Unlock()
			rec.add("server %s begins %s after event %q", s.id, id, k.resumed)
			w.Header().Set("Content-Type", "text/event-stream")
			for wait := stallFirstEvent; next <= stallEvents; next++ {
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
					mu.Lock()
					isFirst := !k.isCanceled
					k.isCanceled = true
					mu.Unlock()
					if isFirst {
						rec.add("server %s: connection of %s was closed", s.id, id)
					}
					if !finishes {
						return
					}
					time.Sleep(wait)
				}
				mu.Lock()
				k.last = time.Now()
				mu.Unlock()
				rec.add("server %s makes event %d of %s", s.id, next, id)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", next, next)
				_ = http.NewResponseController(w).Flush()
				wait = pause()
			}
		}
		if err := s.start(); err != nil {
			return false, err
		}
		go s.run()
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	begin := time.Now()
	rec.say("traffic begins at%s", rec.at(begin))
	if trouble {
		mu.Lock()
		slowFrom, slowUntil = begin.Add(stallSlowFrom), begin.Add(stallSlowFrom+stallSlowFor)
		mu.Unlock()
		time.AfterFunc(time.Until(slowFrom), func() { rec.say("server i-1 turns slow") })
	}
	c := newClients()
	var wg sync.WaitGroup
	complete, incomplete := 0, 0
	ticker := time.NewTicker(time.Second / stallRequests)
	defer ticker.Stop()
	for i := 0; time.Since(begin) < stallTrafficFor; i++ {
		<-ticker.C
		to := d.routers[i%len(d.routers)]
		wg.Go(func() {
			a := send(c, rec, to, request{method: http.MethodPost, path: "/query/1", body: []byte("prompt"), deadline: stallDeadline, header: map[string]string{
				hdrModel: "m", hdrTokens: "830,64", hdrPrefix: fmt.Sprintf("%x:699,%x:131", 0x100+i%5, 0x10000+i),
			}})
			mu.Lock()
			defer mu.Unlock()
			if strings.Count(string(a.body), "\n\n") == stallEvents {
				complete++
			} else {
				incomplete++
			}
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second) // runs that still go on
	mu.Lock()
	defer mu.Unlock()
	overlaps := 0
	for id, all := range runs {
		for i, second := range all[min(1, len(all)):] {
			first := all[i]
			if over := first.last.Sub(second.begun); over >= stallOverlap {
				overlaps++
				rec.say("%s goes on at server %s after event %s at%s; server %s works on it until%s, %.1f s longer", id, second.server, second.resumed, rec.at(second.begun), first.server, rec.at(first.last), over.Seconds())
			}
		}
	}
	rec.say("%d streams complete, %d not; %d went on at another server while the first one worked on them 400 ms later", complete, incomplete, overlaps)
	return overlaps > 0, nil
}
