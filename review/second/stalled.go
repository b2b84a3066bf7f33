package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["6"] = playStalled
}

const (
	// usualPause is the pause between two events of a sound server, the longest for which a stream of these
	// routes is on time (gap_target_ms).
	usualPause = 600 * time.Millisecond
	// slowFactor, slowFor and slowServers are the strength, length and number of servers that turn slow: 5, 6.5 s
	// and a share of 0.16 in the deployment kite-entries.
	slowFactor  = 5
	slowFor     = 6500 * time.Millisecond
	slowServers = 2
	// captionEvents events take 8.4 s, within the route's timeout of 10 s.
	captionEvents   = 14
	captionsEach    = 3
	beforeSlow      = 1500 * time.Millisecond
	lastEventHeader = "Last-Event-Id"
	// stillWorking is how long the server before may still work on a request that goes on at another one.
	stillWorking = 400 * time.Millisecond
)

// run is the work of one server on one request.
type run struct {
	id, server string
	after      int
	began      time.Time
	// ended is zero while the server works on the request.
	ended time.Time
}

// stalledRun is the state of the case.
type stalledRun struct {
	*rig
	mu   sync.Mutex
	runs []*run
	slow map[string]bool
}

// handle answers with a stream that goes on after the event that the request names. The server stops its
// work when it can't write an event any more.
func (s *stalledRun) handle(srv *server, c *serverConn, r *http.Request, _ []byte) bool {
	after, _ := strconv.Atoi(r.Header.Get(lastEventHeader)) // absent: 0
	w := &run{id: r.Header.Get(wire.RequestID), server: srv.name(), after: after, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, w)
	s.mu.Unlock()
	s.rec.printf("server %s runs %s after event %d", w.server, w.id, after)
	err := s.write(srv, c, r, after)
	s.mu.Lock()
	w.ended = time.Now()
	s.mu.Unlock()
	s.rec.printf("server %s ends its work on %s: %v", w.server, w.id, err)
	return err == nil
}

func (s *stalledRun) write(srv *server, c *serverConn, r *http.Request, after int) error {
	if err := c.head(r, 200, srv.stampLine(), "Content-Type: text/event-stream", "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	for n := after; n < captionEvents; n++ {
		if n > after {
			s.pause(srv)
		}
		piece := event(n + 1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// pause waits for the time of one event. A server that turns slow meanwhile is slow for the rest of it.
func (s *stalledRun) pause(srv *server) {
	const step = 10 * time.Millisecond
	for done := time.Duration(0); done < usualPause; {
		time.Sleep(step)
		s.mu.Lock()
		if s.slow[srv.name()] {
			done += step / slowFactor
		} else {
			done += step
		}
		s.mu.Unlock()
	}
}

// busiest returns the servers with the most requests.
func (s *stalledRun) busiest(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	working := make(map[string]int)
	for _, w := range s.runs {
		if w.ended.IsZero() {
			working[w.server]++
		}
	}
	var names []string
	for name := range working {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if working[names[i]] != working[names[j]] {
			return working[names[i]] > working[names[j]]
		}
		return names[i] < names[j]
	})
	return names[:min(n, len(names))]
}

func (s *stalledRun) setSlow(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = make(map[string]bool)
	for _, name := range names {
		s.slow[name] = true
	}
}

// playStalled lets two servers turn slow while they have streams that may be resumed.
func playStalled(r *rig) ([]string, error) {
	s := &stalledRun{rig: r}
	r.store.put("op", "config", configuration())
	for i := range poolServers {
		srv, err := newServer(fmt.Sprintf("i-pool%02d", i+1), servicePool, zones[i%len(zones)], r.ip(100+i), r.store, r.rec, s.handle)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, srv)
	}
	if err := r.startRouters(fleetRouters); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range captionsEach * fleetRouters {
		wg.Go(func() {
			id := fmt.Sprintf("caption%02d", i)
			a := send(r.routers[i%fleetRouters].front(), request{
				id: id, method: "POST", path: "/caption/x", body: "entry", deadline: 10 * time.Second,
				headers: map[string]string{wire.Tokens: "829,288", wire.Prompt: fmt.Sprintf("c%07d:699,%08x:130", i, i)},
			})
			r.rec.printf("client: %s: %v", id, a)
		})
	}
	time.Sleep(beforeSlow)
	if r.trouble {
		slow := s.busiest(slowServers)
		r.rec.printf("servers %v take %d times as long", slow, slowFactor)
		s.setSlow(slow)
		time.Sleep(slowFor)
		r.rec.printf("servers %v are as before", slow)
		s.setSlow(nil)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return s.check(), nil
}

// check returns the requests that went on at another server while the one before still worked on them.
func (s *stalledRun) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, before := range s.runs {
		for _, next := range s.runs {
			if next.id != before.id || next.server == before.server || !next.began.After(before.began) {
				continue
			}
			ended := before.ended
			if ended.IsZero() {
				ended = time.Now()
			}
			overlap := ended.Sub(next.began)
			s.rec.printf("%s goes on at %s after event %d; %s still worked on it for %.3f s", next.id, next.server, next.after, before.server, overlap.Seconds())
			if overlap > stillWorking {
				broken = append(broken, fmt.Sprintf("%s goes on at %s while %s still works on it %.3f s later", next.id, next.server, before.server, overlap.Seconds()))
			}
		}
	}
	return broken
}
