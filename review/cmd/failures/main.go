// Command failures plays model servers that answer a part of the requests of a resumable stream
// route with a failure of their own, and checks that the callers get these answers.
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
	clients    = 30
	perClient  = 40
	pause      = 100 * time.Millisecond
	failedPart = 45 // of 100 requests at a server while the disruption lasts
	// The disruption lasts from troubleFrom to troubleTo after the start of traffic.
	troubleFrom = 500 * time.Millisecond
	troubleTo   = 4500 * time.Millisecond
	routers     = 3
	// allowed is the number of closes without an answer that the rule allows each machine.
	allowed = 3
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	routes := []rig.Route{{Name: "r-caption", Prefix: "/lohu930/", Kind: "stream", Service: "model", TimeoutMS: 10000, TargetMS: 500, MaxAttempts: 2, Resumable: true}}
	site, err := rig.NewSite(record, routers, rig.Config(7, routes, "model"), 206)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer site.Fleet.Close()
	var started atomic.Int64 // Unix nanoseconds of the start of traffic
	for i := range 6 {
		id := fmt.Sprintf("i-%08d", i)
		if _, err := site.AddServer(id, "model", rig.Zones[i%3], 64, serveStream(id, &started)); err != nil {
			fmt.Println(err)
			return rig.NotRun
		}
	}
	if err := site.AwaitReady(); err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	started.Store(time.Now().UnixNano())
	var answered500, whole, other atomic.Int64
	var closed [routers]atomic.Int64 // by router
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			router := site.Fleet.Routers[c%routers]
			var conn *rig.Conn
			kept := false // whether the connection has carried a whole answer
			for n := range perClient {
				if conn == nil {
					var err error
					if conn, err = rig.Dial(router.Callers); err != nil {
						record.Printf("client %d: %v", c, err)
						continue
					}
				}
				id := fmt.Sprintf("%08x%08x", c, n)
				record.Printf("client %d sends %s to %s", c, id, router.Name)
				a := conn.Do(request(id, c), 11*time.Second)
				record.Printf("client %d gets for %s: %v", c, id, a)
				switch {
				case a.ClosedWithoutAnswer() && kept:
					closed[c%routers].Add(1)
				case a.Err == nil && a.Status == http.StatusInternalServerError:
					answered500.Add(1)
				case a.Err == nil && a.Status == http.StatusOK:
					whole.Add(1)
				default:
					other.Add(1)
				}
				if kept = a.Kept; !kept {
					conn.Close()
					conn = nil
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	most := int64(0)
	for i := range closed {
		most = max(most, closed[i].Load())
	}
	text := fmt.Sprintf("%d requests: %d whole streams, %d answered 500, %d %d %d kept connections closed without an answer by the three routers, %d other",
		clients*perClient, whole.Load(), answered500.Load(), closed[0].Load(), closed[1].Load(), closed[2].Load(), other.Load())
	fmt.Println(text)
	record.Printf("%s", text)
	switch {
	case whole.Load() == 0:
		return rig.NotRun
	case most > allowed:
		return rig.Broken
	}
	return rig.Held
}

func request(id string, client int) []byte {
	return rig.Request{
		Path: "/lohu930/2f", ID: id, Deadline: 10 * time.Second, Tokens: "130,80",
		Prompt: fmt.Sprintf("5c1e%04x:100,%s:30", client, id), Body: `{"text":"caption"}`,
	}.Encode()
}

// serveStream answers with five events, or with a failure while the disruption lasts. Which
// requests fail at a server follows from their ids.
func serveStream(server string, started *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		since := time.Since(time.Unix(0, started.Load()))
		h := fnv.New32a()
		fmt.Fprint(h, server, r.Header.Get("Request-Id"))
		if rig.Trouble() && since > troubleFrom && since < troubleTo && h.Sum32()%100 < failedPart {
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprintln(w, "internal error")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 5; n++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}
