package main

import (
	"fmt"
	"net/http"
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
	// maxSettleTime bounds the time until the calls have ended that all routers make as they start, which wait
	// for a change for 30 s.
	maxSettleTime = 75 * time.Second
	onlyFor       = 5 * time.Second
	newKey        = "newkey6789abcdef01"
)

// playInPart lets the store turn away calls of one machine, the one that reads the list of servers for the
// fleet, for the operator's table, while the operator adds a key.
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
	if err := r.startRouters(fleetRouters); err != nil {
		return nil, err
	}
	reader := r.reader(3 * time.Second)
	if err := r.awaitOnlyReader(reader); err != nil {
		return nil, err
	}
	began := time.Now()
	if r.trouble {
		r.rec.printf("the store turns away calls of %s for the operator's table", reader.name)
		r.store.reject(reader.store)
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
		case a.status == 401 && ro != reader:
			broken = append(broken, fmt.Sprintf("%s refuses the new key with 401 %.2f s after its acknowledgement", ro.name, sent.Sub(acked).Seconds()))
		case a.status != 200 && a.status != 401:
			return nil, fmt.Errorf("%s answers %v", ro.name, a)
		}
	}
	time.Sleep(time.Until(began.Add(rejectedFor)))
	r.rec.printf("the store serves all calls")
	r.store.reject("")
	time.Sleep(3 * time.Second)
	for i, ro := range r.routers {
		a := send(ro.front(), request{id: fmt.Sprintf("after%02d", i+1), method: "GET", path: "/list/x", deadline: 1500 * time.Millisecond, key: newKey})
		r.rec.printf("client: after%02d with the new key at %s: %v", i+1, ro.name, a)
	}
	return broken, nil
}

// awaitOnlyReader waits until calls for changes of the operator's table have waited at no other router than the
// reader for a while.
func (r *rig) awaitOnlyReader(reader *router) error {
	since := time.Now()
	for deadline := since.Add(maxSettleTime); time.Since(since) < onlyFor; time.Sleep(20 * time.Millisecond) {
		if !r.store.waitsOnlyAt(reader.store) {
			since = time.Now()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("other routers than %s read the operator's table too", reader.name)
		}
	}
	return nil
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
