// Command uploads plays a tenant that sends many times its usual, requests with large bodies,
// within the limit of the configuration. It plays the platform's
// memory limit too: a router that exceeds it is killed and started again. It checks that no
// router ends by itself.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	routers  = 3
	servers  = 3
	slots    = 6
	queue    = 24
	work     = 430 * time.Millisecond
	memoryMB = 206
	// bodyBytes is within max_body_bytes, which is 4 MiB.
	bodyBytes = 3_800_000
	// Each router gets perSecond requests a second, hotShare of them from the large tenant, which
	// for hotFor sends hotFactor times its usual. That is 21.7 requests or 660 Mbit a second, less
	// than the link of a machine carries.
	perSecond = 11
	hotShare  = 0.15
	hotFactor = 7.5
	hotFor    = 6500 * time.Millisecond
	episodes  = 5
	calm      = 6 * time.Second
	deadline  = 1500 * time.Millisecond
	// The rule is broken if processes of a tenth of the machines, two at least, end by themselves
	// three times.
	allowedEnds     = 2
	allowedMachines = 1
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	routes := []rig.Route{{Name: "r-register", Prefix: "/puxa403/", Kind: rig.Names.NonIdempotent, Service: "app", TimeoutMS: 1500, TargetMS: 300, MaxAttempts: 1}}
	site, err := rig.NewSite(record, routers, rig.Config(7, routes, "app"), memoryMB)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer site.Fleet.Close()
	ran := &runs{ids: make(map[string]bool)}
	for i := range servers {
		s := &server{slots: make(chan struct{}, slots), runs: ran}
		if _, err := site.AddServer(fmt.Sprintf("i-%08d", i), "app", rig.Zones[i%3], slots, s.serve); err != nil {
			fmt.Println(err)
			return rig.NotRun
		}
	}
	if err := site.AwaitReady(); err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	var stopped, hot atomic.Bool
	p := rig.NewMemoryLimit(site, memoryMB)
	var wg sync.WaitGroup
	var answered, refused, failed, unanswered atomic.Int64
	body := strings.Repeat("x", bodyBytes)
	// load sends requests of one tenant to one router, hotFactor times as many while it is hot.
	load := func(router int, key string, rate float64, hot func() bool) {
		var requests sync.WaitGroup
		for n := 0; !stopped.Load(); n++ {
			requests.Go(func() {
				id := fmt.Sprintf("%02x%s%08x", router, key[:6], n)
				a := send(record, site.Fleet.Routers[router], id, key, body)
				switch {
				case a.Err == nil && a.Status == http.StatusOK:
					answered.Add(1)
				case a.Err == nil && a.Promise():
					refused.Add(1)
				case a.Err == nil:
					failed.Add(1)
				case ran.has(id):
					unanswered.Add(1)
					record.Printf("%s has run and got no answer: %v", id, a)
				}
			})
			now := rate
			if hot() {
				now *= hotFactor
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / now * float64(time.Second)))
		}
		requests.Wait()
	}
	for i := range routers {
		wg.Go(func() { load(i, rig.Key, perSecond*(1-hotShare), func() bool { return false }) })
		wg.Go(func() { load(i, rig.LargeKey, perSecond*hotShare, hot.Load) })
	}
	time.Sleep(5 * time.Second)
	for range episodes {
		hot.Store(rig.Trouble())
		record.Printf("hot tenant: %v", rig.Trouble())
		time.Sleep(hotFor)
		hot.Store(false)
		record.Printf("hot tenant ends")
		time.Sleep(calm)
	}
	stopped.Store(true)
	wg.Wait()
	p.Stop()
	text := fmt.Sprintf("%d answered 200, %d refused, %d failures, %d have run and got no answer; %s",
		answered.Load(), refused.Load(), failed.Load(), unanswered.Load(), p)
	fmt.Println(text)
	record.Printf("%s", text)
	switch {
	case answered.Load() == 0:
		return rig.NotRun
	case p.Machines(allowedEnds) > allowedMachines:
		return rig.Broken
	}
	return rig.Held
}

func send(record *rig.Record, router *rig.Router, id, key, body string) rig.Answer {
	conn, err := rig.Dial(router.Callers)
	if err != nil {
		return rig.Answer{Err: err}
	}
	defer conn.Close()
	record.Printf("%s sent to %s with key %s", id, router.Name, key)
	a := conn.Do(rig.Request{Path: "/puxa403/2f", ID: id, Deadline: deadline, Key: key, Body: body}.Encode(), deadline)
	record.Printf("%s answered: %v", id, a)
	return a
}

// runs holds the requests that have run.
type runs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// server has slots and a queue, and rejects what exceeds them.
type server struct {
	slots   chan struct{}
	waiting atomic.Int64
	runs    *runs
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if s.waiting.Add(1) > queue {
		s.waiting.Add(-1)
		notRun(w)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-time.After(time.Duration(ms) * time.Millisecond):
		s.waiting.Add(-1)
		notRun(w)
		return
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.runs.add(r.Header.Get("Request-Id"))
	time.Sleep(work)
	<-s.slots
	fmt.Fprintln(w, "registered")
}

func notRun(w http.ResponseWriter) {
	w.Header().Del(rig.Names.Stamp)
	w.Header().Set(rig.Names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
