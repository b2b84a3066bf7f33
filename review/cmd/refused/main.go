// Command refused plays servers of a plain service that run a part of their requests and then
// fail them with status 503, without the header Not-Run, and checks rule REFUSED. Callers repeat
// a request after such an answer, as the protocol allows them.
package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	routers    = 3
	clients    = 15
	perClient  = 40
	pause      = 100 * time.Millisecond
	work       = 15 * time.Millisecond
	failedPart = 45 // of 100 requests at a server while the disruption lasts
	// The disruption lasts from troubleFrom to troubleTo after the start of traffic.
	troubleFrom = 500 * time.Millisecond
	troubleTo   = 4500 * time.Millisecond
	deadline    = 1500 * time.Millisecond
)

func main() { os.Exit(run()) }

// ledger records which payments were made, by the text in the request's body.
type ledger struct {
	mu       sync.Mutex
	payments map[string]int
	ran      map[string]bool // by Request-Id
}

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	routes := []rig.Route{{Name: "r-register", Prefix: "/puxa403/", Kind: rig.Names.NonIdempotent, Service: "app", TimeoutMS: 1500, TargetMS: 300, MaxAttempts: 1}}
	site, err := rig.NewSite(record, routers, rig.Config(7, routes, "app"), 206)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer site.Fleet.Close()
	l := &ledger{payments: make(map[string]int), ran: make(map[string]bool)}
	var started atomic.Int64 // Unix nanoseconds of the start of traffic
	for i := range 3 {
		id := fmt.Sprintf("i-%08d", i)
		if _, err := site.AddServer(id, "app", rig.Zones[i%3], 6, l.serve(id, &started)); err != nil {
			fmt.Println(err)
			return rig.NotRun
		}
	}
	if err := site.AwaitReady(); err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	started.Store(time.Now().UnixNano())
	var whole, brokenPromises, otherFailures atomic.Int64
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for n := range perClient {
				payment := fmt.Sprintf("payment %d of client %d", n, c)
				for attempt := range 2 {
					id := fmt.Sprintf("%06x%08x%02x", c, n, attempt)
					a := send(record, site.Fleet.Routers[(c+attempt)%routers], c, id, payment)
					if a.Err == nil && a.Status == http.StatusOK {
						whole.Add(1)
						break
					}
					if !a.Promise() {
						otherFailures.Add(1)
						break
					}
					if l.hasRun(id) {
						brokenPromises.Add(1)
						record.Printf("REFUSED: %s was answered %d and has run", id, a.Status)
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	twice := 0
	for payment, n := range l.payments {
		if n > 1 {
			twice++
			record.Printf("%s was made %d times", payment, n)
		}
	}
	text := fmt.Sprintf("%d payments answered 200, %d answers that promise not to have run though the request has, %d payments made more than once, %d other failures", whole.Load(), brokenPromises.Load(), twice, otherFailures.Load())
	fmt.Println(text)
	record.Printf("%s", text)
	switch {
	case whole.Load() == 0:
		return rig.NotRun
	case brokenPromises.Load() > 0:
		return rig.Broken
	}
	return rig.Held
}

func send(record *rig.Record, router *rig.Router, client int, id, payment string) rig.Answer {
	conn, err := rig.Dial(router.Callers)
	if err != nil {
		return rig.Answer{Err: err}
	}
	defer conn.Close()
	record.Printf("client %d sends %s to %s: %s", client, id, router.Name, payment)
	a := conn.Do(rig.Request{Path: "/puxa403/2f", ID: id, Deadline: deadline, Body: payment}.Encode(), deadline)
	record.Printf("client %d gets for %s: %v", client, id, a)
	return a
}

func (l *ledger) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// serve makes the payment in the body. While the disruption lasts, it fails a part of the
// requests afterwards, which follows from their ids.
func (l *ledger) serve(server string, started *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		payment, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		l.mu.Lock()
		l.payments[string(payment)]++
		l.ran[id] = true
		l.mu.Unlock()
		time.Sleep(work)
		since := time.Since(time.Unix(0, started.Load()))
		h := fnv.New32a()
		fmt.Fprint(h, server, id)
		if rig.Trouble() && since > troubleFrom && since < troubleTo && h.Sum32()%100 < failedPart {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintln(w, "the receipt could not be written")
			return
		}
		fmt.Fprintln(w, "paid")
	}
}
