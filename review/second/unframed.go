package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["7"] = func(r *rig) ([]string, error) { return playUnframed(r, syscall.SIGTERM) }
	cases["kill"] = func(r *rig) ([]string, error) { return playUnframed(r, syscall.SIGKILL) }
}

const (
	// A stream has streamEvents events, eventInterval apart: 10 s, within the route's timeout of 12 s and
	// with pauses within its 600 ms.
	streamEvents  = 48
	eventInterval = 210 * time.Millisecond
	// beforeSignal is how long the streams run before the signal.
	beforeSignal    = 500 * time.Millisecond
	streamsEach     = 4
	unframedServers = 3
)

// serveStream answers with a stream of streamEvents events. The path tells whether it comes in chunks or
// without framing, in which case it ends with the connection.
func serveStream(s *server, c *serverConn, r *http.Request, _ []byte) bool {
	unframed := strings.HasSuffix(r.URL.Path, "/unframed")
	id := r.Header.Get(wire.RequestID)
	s.rec.printf("server %s runs %s", s.name(), id)
	lines := []string{s.stampLine(), "Content-Type: text/event-stream"}
	if !unframed {
		lines = append(lines, "Transfer-Encoding: chunked")
	}
	if c.head(r, 200, lines...) != nil {
		return false
	}
	for n := range streamEvents {
		if n > 0 {
			time.Sleep(eventInterval)
		}
		piece := event(n + 1)
		if !unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			s.rec.printf("server %s: %s left after event %d of %d: %v", s.name(), id, n, streamEvents, err)
			return false
		}
	}
	s.rec.printf("server %s ends %s after event %d", s.name(), id, streamEvents)
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// playUnframed sends a signal to a router that passes on streams, and checks that a client that didn't
// get its whole stream can tell.
func playUnframed(r *rig, s syscall.Signal) ([]string, error) {
	r.store.put("op", "config", configuration())
	for i := range unframedServers {
		srv, err := newServer(fmt.Sprintf("i-pool%d", i+1), servicePool, zones[i%len(zones)], r.ip(100+i), r.store, r.rec, serveStream)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, srv)
	}
	if err := r.startRouters(fleetRouters); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	target := r.routers[0]
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		broken []string
		whole  int
	)
	for _, framing := range []string{"unframed", "chunked"} {
		for i := range streamsEach {
			q := request{
				id: fmt.Sprintf("%s%02d", framing, i+1), method: "POST", path: "/appraisal/" + framing, body: "entry", deadline: 12 * time.Second,
				headers: map[string]string{wire.Tokens: "1460,384", wire.Prompt: fmt.Sprintf("5c1e07a2:800,%s%d:660", framing[:1], i)},
			}
			wg.Go(func() {
				r.rec.printf("client sends %s to %s", q.id, target.name)
				a := send(target.front(), q)
				events := strings.Count(string(a.body), "\n\n")
				r.rec.printf("client: %s: %v, %d of %d events, unframed: %v", q.id, a, events, streamEvents, a.unframed)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case events == streamEvents && a.complete:
					whole++
				case a.status == 200 && a.complete && strings.HasSuffix(string(a.body), "\n\n"):
					broken = append(broken, fmt.Sprintf("%s: status 200 with signature %q ends as complete after %d of %d events", q.id, a.header.Get(wire.Stamp), events, streamEvents))
				}
			})
		}
	}
	time.Sleep(beforeSignal)
	if r.trouble {
		target.signal(s)
	}
	wg.Wait()
	if !r.trouble && whole < 2*streamsEach {
		return nil, fmt.Errorf("only %d of %d streams were whole without the disruption", whole, 2*streamsEach)
	}
	return broken, nil
}
