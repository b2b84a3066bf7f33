package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["10"] = playLater
	cases["slow"] = playSlow
}

const (
	// contact is contact_ms of the deployment kite-entries.
	contact = 3 * time.Second
	// deadlyPart is the part of prompts that crashes servers.
	deadlyPart = "dead0001"
	// serverDown is how long a crashed server is away.
	serverDown = 3 * time.Second
	// deadlyAllowed is how many requests with the part may reach servers later than contact after the
	// fifth crash.
	deadlyAllowed = 3
	fifthCrash    = 5
	// pauseOfRequests is how long no request has the part.
	pauseOfRequests = 77 * time.Second
	soundInterval   = 100 * time.Millisecond
	soundEvents     = 3
	soundEventTime  = 50 * time.Millisecond
	// slowCrash is the time from the first event of an answer to the crash, within the pause of 600 ms that the
	// route allows between two events.
	slowCrash = 400 * time.Millisecond
)

// deadlyRun is the state of a case with a part of prompts that crashes servers.
type deadlyRun struct {
	*rig
	mu      sync.Mutex
	crashes []time.Time
	// reached are the requests with the part that have reached servers.
	reached []arrival
	starts  int
	// delay is the time from the first event of an answer to the crash.
	delay time.Duration
	// soundCut and soundWhole count the sound requests that servers had begun to answer.
	soundCut, soundWhole int
}

type arrival struct {
	id, server string
	at         time.Time
}

// handle answers a request. It crashes the server as it begins to write an answer on the deadly part.
func (d *deadlyRun) handle(s *server, c *serverConn, r *http.Request, _ []byte) bool {
	id := r.Header.Get(wire.RequestID)
	deadly := strings.Contains(r.Header.Get(wire.Prompt), deadlyPart)
	if deadly {
		d.mu.Lock()
		d.reached = append(d.reached, arrival{id, s.name(), time.Now()})
		d.mu.Unlock()
		d.rec.printf("server %s gets %s, with the part", s.name(), id)
	}
	if c.head(r, 200, s.stampLine(), "Content-Type: text/event-stream", "Transfer-Encoding: chunked") != nil {
		return false
	}
	for n := range soundEvents {
		piece := event(n + 1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return false
		}
		if deadly && d.trouble {
			time.Sleep(d.delay)
			d.crash(s)
			return false
		}
		time.Sleep(soundEventTime)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (d *deadlyRun) crash(s *server) {
	d.mu.Lock()
	d.starts++
	newID := fmt.Sprintf("i-again%d", d.starts)
	d.mu.Unlock()
	if s.crash(serverDown, newID) {
		d.mu.Lock()
		d.crashes = append(d.crashes, time.Now())
		d.mu.Unlock()
	}
}

// openDeadly starts the servers and routers.
func openDeadly(r *rig) (*deadlyRun, error) {
	d := &deadlyRun{rig: r}
	r.store.put("op", "config", configuration())
	for i := range poolServers {
		srv, err := newServer(fmt.Sprintf("i-pool%02d", i+1), servicePool, zones[i%len(zones)], r.ip(100+i), r.store, r.rec, d.handle)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, srv)
	}
	if err := r.startRouters(fleetRouters); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return d, nil
}

// sound sends sound requests, which share their other parts with those that have the deadly one, until
// the function that it returns is called.
func (d *deadlyRun) sound() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(soundInterval):
			}
			wg.Go(func() {
				a := d.send(fmt.Sprintf("sound%05d", n), n%fleetRouters, fmt.Sprintf("a%07d:2041,%08x:360", n%fleetRouters, n))
				d.mu.Lock()
				defer d.mu.Unlock()
				switch {
				case a.status == 200 && a.complete:
					d.soundWhole++
				case a.status == 200:
					d.soundCut++
				}
			})
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (d *deadlyRun) send(id string, router int, prompt string) answer {
	return send(d.routers[router].front(), request{
		id: id, method: "POST", path: "/appraisal/x", body: "entry", deadline: 3 * time.Second,
		headers: map[string]string{wire.Tokens: "2401,24", wire.Prompt: prompt},
	})
}

// wave sends requests with the deadly part to all routers at once, no two alike, and waits for their
// answers.
func (d *deadlyRun) wave(name string) {
	d.rec.printf("wave %s: a request with the part to each of %d routers", name, fleetRouters)
	var wg sync.WaitGroup
	for i := range fleetRouters {
		wg.Go(func() {
			id := fmt.Sprintf("%s%02d", name, i)
			a := d.send(id, i, fmt.Sprintf("a%07d:2041,%s:700,%s%04d:360", i, deadlyPart, name, i))
			d.rec.printf("client: %s at %s: %v", id, d.routers[i].name, a)
		})
	}
	wg.Wait()
}

// checkReached returns what broke the rule: too many requests with the part that reached servers later
// than contact after the fifth crash.
func (d *deadlyRun) checkReached() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.printf("%d crashes of servers, %d sound requests whole, %d cut", len(d.crashes), d.soundWhole, d.soundCut)
	if !d.trouble {
		if len(d.reached) < 2*fleetRouters {
			return nil, fmt.Errorf("only %d requests reached servers without the disruption", len(d.reached))
		}
		return nil, nil
	}
	if len(d.crashes) < fifthCrash {
		return nil, fmt.Errorf("only %d servers crashed", len(d.crashes))
	}
	from := d.crashes[fifthCrash-1].Add(contact)
	var late []string
	for _, a := range d.reached {
		if a.at.After(from) {
			late = append(late, fmt.Sprintf("%s at %s, %.1f s after the fifth crash", a.id, a.server, a.at.Sub(from).Seconds()+contact.Seconds()))
		}
	}
	d.rec.printf("%d requests with the part reached servers later than %v after the fifth crash: %v", len(late), contact, late)
	if len(late) <= deadlyAllowed {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d requests with the part reached servers later than %v after the fifth crash, %d are allowed", len(late), contact, deadlyAllowed)}, nil
}

// playLater lets the requests with the part pause for a while after the first crashes.
func playLater(r *rig) ([]string, error) {
	d, err := openDeadly(r)
	if err != nil {
		return nil, err
	}
	stop := d.sound()
	time.Sleep(2 * time.Second)
	d.wave("first")
	time.Sleep(8 * time.Second)
	d.wave("second")
	time.Sleep(pauseOfRequests)
	d.wave("third")
	time.Sleep(time.Second)
	stop()
	return d.checkReached()
}

// playSlow lets servers crash a little after the first event of their answers.
func playSlow(r *rig) ([]string, error) {
	d, err := openDeadly(r)
	if err != nil {
		return nil, err
	}
	d.delay = slowCrash
	stop := d.sound()
	time.Sleep(2 * time.Second)
	d.wave("first")
	time.Sleep(8 * time.Second)
	d.wave("second")
	time.Sleep(time.Second)
	stop()
	return d.checkReached()
}
