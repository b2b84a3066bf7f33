// Command planned plays planned restarts of the routers while callers use kept connections for one
// stream after the other, and checks rule LOST around planned work.
package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	routers = 3
	clients = 36
	// lateRequest and lastSixth are the bounds of the excuse in the rule: a request that was sent
	// no later than lateRequest after the SIGTERM and whose server was still at work lastSixth
	// after it.
	lateRequest = 3 * time.Second
	lastSixth   = rig.Grace * 5 / 6
	// planned is how long after the SIGTERM planned work lasts.
	planned  = rig.Grace + time.Second
	deadline = 12 * time.Second
	// Streams last from minStream to maxStream, with an event each eventPause.
	minStream  = 2500 * time.Millisecond
	maxStream  = 6500 * time.Millisecond
	eventPause = 150 * time.Millisecond
	warmUp     = 6 * time.Second
	betweenEnd = 4 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	routes := []rig.Route{{Name: "r-appraisal", Prefix: "/lohu930/", Kind: "stream", Service: "model", TimeoutMS: 12000, TargetMS: 1000, MaxAttempts: 1}}
	site, err := rig.NewSite(record, routers, rig.Config(7, routes, "model"), 206)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer site.Fleet.Close()
	ends := &serverEnds{at: make(map[string]time.Time)}
	for i := range 6 {
		if _, err := site.AddServer(fmt.Sprintf("i-%08d", i), "model", rig.Zones[i%3], 64, ends.serveStream); err != nil {
			fmt.Println(err)
			return rig.NotRun
		}
	}
	if err := site.AwaitReady(); err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	rotation := rig.NewRotation(site)
	c := &check{record: record, rotation: rotation, ends: ends}
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { c.client(n) })
	}
	time.Sleep(warmUp)
	rotation.RestartAll(betweenEnd)
	rotation.Stop()
	wg.Wait()
	return c.verdict()
}

// serverEnds records when the servers ended their work on requests, and whether to the end.
type serverEnds struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *serverEnds) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := fnv.New32a()
	fmt.Fprint(h, id)
	lasts := minStream + time.Duration(h.Sum32()%1000)*(maxStream-minStream)/1000
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= int(lasts/eventPause); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			break
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
		}
		if r.Context().Err() != nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

func (s *serverEnds) end(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	return at, ok
}

// check counts what the callers saw.
type check struct {
	record   *rig.Record
	rotation *rig.Rotation
	ends     *serverEnds

	whole, lost, excused, refused, other atomic.Int64
}

func (c *check) client(n int) {
	var conn *rig.Conn
	router := 0
	for k := 0; !c.rotation.Stopped(); k++ {
		if conn == nil {
			router = c.rotation.Next(router + n)
			var err error
			if conn, err = rig.Dial(c.rotation.Router(router).Callers); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%08x%08x", n, k)
		sent := time.Now()
		c.record.Printf("client %d sends %s to %s", n, id, c.rotation.Router(router).Name)
		a := conn.Do(request(id, n), deadline)
		c.record.Printf("client %d gets for %s: %v", n, id, a)
		c.judge(router, id, sent, time.Now(), a)
		if !a.Kept {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// judge applies the rule to one request.
func (c *check) judge(router int, id string, sent, ended time.Time, a rig.Answer) {
	if a.Err == nil {
		switch a.Status {
		case http.StatusOK:
			c.whole.Add(1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			c.refused.Add(1)
		default:
			c.other.Add(1)
		}
		return
	}
	time.Sleep(50 * time.Millisecond) // the server notices the close
	workEnded, passedOn := c.ends.end(id)
	term := c.rotation.TermAt(router)
	switch {
	case !passedOn, ended.Sub(sent) >= deadline, ended.Before(term), ended.Sub(term) > planned:
		c.other.Add(1)
	case sent.Sub(term) <= lateRequest && workEnded.Sub(term) >= lastSixth:
		c.excused.Add(1)
	default:
		c.lost.Add(1)
		c.record.Printf("LOST: %s was sent %.2f s and cut %.2f s after the SIGTERM of %s", id, sent.Sub(term).Seconds(), ended.Sub(term).Seconds(), c.rotation.Router(router).Name)
	}
}

func (c *check) verdict() int {
	text := fmt.Sprintf("%d whole streams, %d lost, %d cut with an excuse, %d refused, %d other", c.whole.Load(), c.lost.Load(), c.excused.Load(), c.refused.Load(), c.other.Load())
	fmt.Println(text)
	c.record.Printf("%s", text)
	switch {
	case c.whole.Load() == 0:
		return rig.NotRun
	case c.lost.Load() > 0:
		return rig.Broken
	}
	return rig.Held
}

func request(id string, client int) []byte {
	return rig.Request{
		Path: "/lohu930/2f", ID: id, Deadline: deadline, Tokens: "1300,480",
		Prompt: fmt.Sprintf("5c1e%04x:1000,%s:300", client, id), Body: `{"text":"appraisal"}`,
	}.Encode()
}
