// Command pipelined plays planned restarts of the routers while callers send an idempotent
// request behind a stream on the same connection, without waiting for the stream's end, and
// checks rule LOST around planned work.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	routers = 3
	clients = 24
	// lateRequest and lastSixth are the bounds of the excuse in the rule.
	lateRequest = 3 * time.Second
	lastSixth   = rig.Grace * 5 / 6
	// planned is how long after the SIGTERM planned work lasts.
	planned    = rig.Grace + time.Second
	deadline   = 12 * time.Second
	events     = 27
	eventPause = 150 * time.Millisecond
	lookup     = 60 * time.Millisecond
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
	routes := []rig.Route{
		{Name: "r-appraisal", Prefix: "/lohu930/", Kind: "stream", Service: "model", TimeoutMS: 12000, TargetMS: 1000, MaxAttempts: 1},
		{Name: "r-list", Prefix: "/cufi504/", Kind: "idempotent", Service: "app", TimeoutMS: 1500, TargetMS: 300, MaxAttempts: 2},
	}
	site, err := rig.NewSite(record, routers, rig.Config(7, routes, "model", "app"), 206)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer site.Fleet.Close()
	ends := &serverEnds{at: make(map[string]time.Time)}
	for i := range 6 {
		service := "model"
		if i >= 3 {
			service = "app"
		}
		if _, err := site.AddServer(fmt.Sprintf("i-%08d", i), service, rig.Zones[i%3], 64, ends.serve); err != nil {
			fmt.Println(err)
			return rig.NotRun
		}
	}
	if err := site.AwaitReady(); err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	c := &check{record: record, rotation: rig.NewRotation(site), ends: ends}
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { c.client(n) })
	}
	time.Sleep(warmUp)
	c.rotation.RestartAll(betweenEnd)
	c.rotation.Stop()
	wg.Wait()
	return c.verdict()
}

// serverEnds records when the servers ended their work on requests.
type serverEnds struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *serverEnds) serve(w http.ResponseWriter, r *http.Request) {
	defer s.ended(r.Header.Get("Request-Id"))
	if strings.HasPrefix(r.URL.Path, "/cufi504/") {
		time.Sleep(lookup)
		fmt.Fprintln(w, "the list")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events && r.Context().Err() == nil; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

func (s *serverEnds) ended(id string) {
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

// check counts what the callers saw of the idempotent requests.
type check struct {
	record   *rig.Record
	rotation *rig.Rotation
	ends     *serverEnds

	whole, lost, excused, notPassedOn, other atomic.Int64
}

func (c *check) client(n int) {
	router := 0
	for k := 0; !c.rotation.Stopped(); k++ {
		router = c.rotation.Next(router + n)
		conn, err := rig.Dial(c.rotation.Router(router).Callers)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.exchange(conn, router, n, k)
		conn.Close()
	}
}

// exchange sends a stream request and a lookup behind it, and reads both answers.
func (c *check) exchange(conn *rig.Conn, router, n, k int) {
	stream := rig.Request{
		Path: "/lohu930/2f", ID: fmt.Sprintf("a%07x%08x", n, k), Deadline: deadline, Tokens: "1300,216",
		Prompt: fmt.Sprintf("5c1e%04x:1000,%08x%08x:300", n, n, k), Body: `{"text":"appraisal"}`,
	}
	list := rig.Request{Method: http.MethodGet, Path: "/cufi504/2f", ID: fmt.Sprintf("b%07x%08x", n, k), Deadline: deadline}
	sent := time.Now()
	c.record.Printf("client %d sends %s and %s to %s", n, stream.ID, list.ID, c.rotation.Router(router).Name)
	a := conn.Do(append(stream.Encode(), list.Encode()...), deadline)
	c.record.Printf("client %d gets for %s: %v", n, stream.ID, a)
	if !a.Kept {
		return // the router answered Connection: close, so that the client has to send the lookup again
	}
	a = conn.Read(http.MethodGet)
	c.record.Printf("client %d gets for %s: %v", n, list.ID, a)
	c.judge(router, list.ID, sent, time.Now(), a)
}

// judge applies the rule to one lookup.
func (c *check) judge(router int, id string, sent, ended time.Time, a rig.Answer) {
	if a.Err == nil {
		c.whole.Add(1)
		return
	}
	time.Sleep(2 * lookup) // the server ends its work
	workEnded, passedOn := c.ends.end(id)
	term := c.rotation.TermAt(router)
	switch {
	case !passedOn:
		c.notPassedOn.Add(1)
	case ended.Sub(sent) >= deadline, ended.Before(term), ended.Sub(term) > planned:
		c.other.Add(1)
	case sent.Sub(term) <= lateRequest && workEnded.Sub(term) >= lastSixth:
		c.excused.Add(1)
	default:
		c.lost.Add(1)
		c.record.Printf("LOST: %s was passed on, and its connection closed %.2f s after the SIGTERM of %s", id, ended.Sub(term).Seconds(), c.rotation.Router(router).Name)
	}
}

func (c *check) verdict() int {
	text := fmt.Sprintf("%d lookups answered, %d lost, %d closed with an excuse, %d closed and not passed on, %d other", c.whole.Load(), c.lost.Load(), c.excused.Load(), c.notPassedOn.Load(), c.other.Load())
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
