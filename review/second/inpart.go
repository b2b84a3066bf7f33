package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() {
	cases["8"] = playInPart
}

const (
	// rejectedFor is how long the store turns one machine away, as long as in the deployment kite-entries.
	rejectedFor = 9 * time.Second
	// configApply and maxStretch are config_apply_ms and max_stretch_ms of that deployment: the time after
	// which a configuration is in force, and what an unstable store adds to it.
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	// settleTime is longer than the calls may wait that all routers make as they start.
	settleTime    = 36 * time.Second
	maxSettleTime = 70 * time.Second
	// maxRejected is the number of machines that the store may turn away: a share of 0.35 of 12.
	maxRejected = 4
	newKey      = "newkey6789abcdef01"
)

// playInPart lets the store turn away the calls for the operator's table of the machine that reads for the fleet,
// and of the few others that have such a call open, while the operator adds a key.
func playInPart(r *rig) ([]string, error) {
	r.store.put("op", "config", configuration())
	for i := range 3 {
		srv, err := newServer(fmt.Sprintf("i-app%d", i+1), serviceApp, zones[i], r.ip(100+i), r.store, r.rec, func(s *server, c *serverConn, q *http.Request, _ []byte) bool {
			s.rec.printf("server %s runs %s", s.name(), q.Header.Get(wire.RequestID))
			c.answer(q, 200, []string{s.stampLine()}, "entries")
			return true
		})
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, srv)
	}
	for i := range poolServers {
		srv, err := newServer(fmt.Sprintf("i-pool%02d", i+1), servicePool, zones[i%len(zones)], r.ip(110+i), r.store, r.rec, serveStream)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, srv)
	}
	if err := r.startRouters(fleetRouters); err != nil {
		return nil, err
	}
	rejected, err := r.readers()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if r.trouble {
		var addrs []string
		for _, ro := range rejected {
			r.rec.printf("the store turns away calls of %s for the operator's table", ro.name)
			addrs = append(addrs, ro.store)
		}
		r.store.reject(addrs...)
	}
	time.Sleep(500 * time.Millisecond)
	r.store.put("op", "config", configurationOf(8, clientKey, newKey))
	acked := time.Now()
	r.rec.printf("the store has acknowledged configuration 8, with a new key")
	time.Sleep(configApply + maxStretch + 200*time.Millisecond)
	var broken []string
	for i, ro := range r.routers {
		sent := time.Now()
		a := send(ro.front(), request{id: fmt.Sprintf("lookup%02d", i+1), method: "GET", path: "/list/x", deadline: 1500 * time.Millisecond, key: newKey})
		r.rec.printf("client: lookup%02d with the new key at %s, %.2f s after the acknowledgement: %v", i+1, ro.name, sent.Sub(acked).Seconds(), a)
		switch {
		case a.status == 401 && !slices.Contains(rejected, ro):
			broken = append(broken, fmt.Sprintf("%s refuses the new key with 401 %.2f s after its acknowledgement", ro.name, sent.Sub(acked).Seconds()))
		case a.status != 200 && a.status != 401:
			return nil, fmt.Errorf("%s answers %v", ro.name, a)
		}
	}
	time.Sleep(time.Until(began.Add(rejectedFor)))
	r.rec.printf("the store serves all calls")
	r.store.reject()
	time.Sleep(3 * time.Second)
	for i, ro := range r.routers {
		a := send(ro.front(), request{id: fmt.Sprintf("after%02d", i+1), method: "GET", path: "/list/x", deadline: 1500 * time.Millisecond, key: newKey})
		r.rec.printf("client: after%02d with the new key at %s: %v", i+1, ro.name, a)
	}
	return broken, nil
}

// readers waits until few routers have a call for changes of the operator's table open, the one that reads the
// list of servers among them, and returns them.
func (r *rig) readers() ([]*router, error) {
	time.Sleep(settleTime)
	for deadline := time.Now().Add(maxSettleTime - settleTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		reader := r.reader(2 * time.Second)
		found := []*router{reader}
		for _, ro := range r.routers {
			if ro != reader && r.store.waitingAt(ro.store) > 0 {
				found = append(found, ro)
			}
		}
		if len(found) <= maxRejected && r.store.waitingAt(reader.store) > 0 {
			return found, nil
		}
	}
	return nil, fmt.Errorf("more than %d routers read the operator's table", maxRejected)
}

// reader returns the router that has called the store for the list of servers most often in the given time.
func (r *rig) reader(d time.Duration) *router {
	before := make(map[*router]int)
	for _, ro := range r.routers {
		before[ro] = r.store.polled(ro.store)
	}
	time.Sleep(d)
	reader, most := r.routers[0], -1
	for _, ro := range r.routers {
		if n := r.store.polled(ro.store) - before[ro]; n > most {
			reader, most = ro, n
		}
	}
	r.rec.printf("%s reads the list of servers, %d calls in %v", reader.name, most, d)
	return reader
}
