package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadlyServers    = 9
	deadlyShared     = 40 // parts of a prompt before the one that differs
	lateShared       = 3
	lateCrash        = 400 * time.Millisecond
	deadlyPart       = "dead0001"
	deadlyFrom       = 4 * time.Second
	deadlyEvery      = 1500 * time.Millisecond
	deadlyRequests   = 20
	deadlyLoad       = 12 // sound requests a second
	deadlyDownFor    = 3 * time.Second
	deadlyCaseLasts  = 45 * time.Second
	deadlyDeadline   = 10 * time.Second
	deadlyContact    = 3 * time.Second // contact_ms
	deadlyAllowed    = 3
	deadlyFifthCrash = 5
)

var (
	_ = register("deadly", func(rec *record, trouble bool) (bool, error) { return runDeadly(rec, trouble, deadlyShared, 0) })
	_ = register("late", func(rec *record, trouble bool) (bool, error) { return runDeadly(rec, trouble, lateShared, lateCrash) })
)

// number returns the value of an environment variable, or a default.
func number(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return defaultValue
}

// runDeadly sends requests with a part that crashes servers behind a number of sound parts. Servers crash before
// the first byte of the answer or, if crashAfter isn't 0, so long after its first event.
func runDeadly(rec *record, trouble bool, sharedParts int, crashAfter time.Duration) (bool, error) {
	shared, load := number("SHARED", sharedParts), number("LOAD", deadlyLoad)
	crashAfter = time.Duration(number("LATE", int(crashAfter.Milliseconds()))) * time.Millisecond
	d, err := newDeployment(rec, "a", "a", "b")
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.store.put("op", "config", poolConfiguration())
	var mu sync.Mutex
	var crashes, reached []time.Time
	brokenOff := 0
	for i := range deadlyServers {
		s := newServer(d, fmt.Sprintf("i-%d", i+1), "pool", []string{"a", "b"}[i%2], 64)
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(hdrRequestID)
			isDeadly := strings.Contains(r.Header.Get(hdrPrefix), deadlyPart)
			rec.add("server %s runs %s, deadly %t", s.id, id, isDeadly)
			if isDeadly {
				mu.Lock()
				reached = append(reached, time.Now())
				mu.Unlock()
			}
			w.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(50 * time.Millisecond)
			if isDeadly && crashAfter > 0 {
				_, _ = fmt.Fprint(w, "id: 1\ndata: token 1\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(crashAfter)
			}
			if isDeadly && s.crash() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				rec.say("crash %d: server %s on %s, at%s", n, s.id, id, rec.at(time.Now()))
				time.AfterFunc(deadlyDownFor, func() {
					if err := s.start(); err != nil {
						rec.say("server %s doesn't start: %v", s.id, err)
					}
				})
			}
			for n := 1; n <= 10; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
					return
				}
				if http.NewResponseController(w).Flush() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
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
	// prompt returns the parts of a prompt: the shared ones, one that differs, and the request's own.
	prompt := func(part string, own int) string {
		parts := make([]string, 0, shared+2)
		for i := range shared {
			parts = append(parts, fmt.Sprintf("%x:64", 0xc000+i))
		}
		return strings.Join(append(parts, part+":64", fmt.Sprintf("%x:16", 0x100000+own)), ",")
	}
	c := newClients()
	var wg sync.WaitGroup
	sendOne := func(i int, part string, isDeadly bool) {
		to := d.routers[i%len(d.routers)]
		wg.Go(func() {
			a := send(c, rec, to, request{method: http.MethodPost, path: "/query/1", body: []byte("prompt"), deadline: deadlyDeadline, header: map[string]string{
				hdrModel: "m", hdrTokens: fmt.Sprintf("%d,64", 64*(shared+1)+16), hdrPrefix: prompt(part, i),
			}})
			if !isDeadly && strings.Count(string(a.body), "\n\n") != 10 {
				mu.Lock()
				brokenOff++
				mu.Unlock()
			}
		})
	}
	if trouble {
		for i := range deadlyRequests {
			time.AfterFunc(time.Until(begin.Add(deadlyFrom+time.Duration(i)*deadlyEvery)), func() { sendOne(100000+i, deadlyPart, true) })
		}
	}
	ticker := time.NewTicker(time.Second / time.Duration(load))
	defer ticker.Stop()
	for i := 0; time.Since(begin) < deadlyCaseLasts; i++ {
		<-ticker.C
		sendOne(i, fmt.Sprintf("%x", 0x5000+i%7), false)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= deadlyFifthCrash {
		for _, at := range reached {
			if at.Sub(crashes[deadlyFifthCrash-1]) > deadlyContact {
				late++
			}
		}
	}
	rec.say("%d crashes; %d requests with the part reached servers, %d of them later than %v after the fifth crash, at most %d may", len(crashes), len(reached), late, deadlyContact, deadlyAllowed)
	rec.say("%d sound requests got no complete answer", brokenOff)
	return late > deadlyAllowed, nil
}
