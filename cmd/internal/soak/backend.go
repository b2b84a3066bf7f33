package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthtide/platform/standin"
)

const (
	serviceApp    = "app"
	serviceEngine = "llm"
	// headerRouter names the router that a caller used. Routers pass it on.
	headerRouter = "Soak-Router"
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	workTime     = 5 * time.Millisecond
	// Parts of the requests that a server fails, breaks off midway, and answers at about
	// the time at which a router asks another server (twice the objective of the routes).
	failShare  = 0.04
	breakShare = 0.04
	lateShare  = 0.04
	lateTime   = 590 * time.Millisecond
	lateSpread = 20 * time.Millisecond
)

// backend is a server behind a link.
type backend struct {
	*standin.Server
	name, service, zone string
	link                *link
	soak                *soak

	mu sync.Mutex
	// leaving and out are when the server was last told to leave, and when its zone
	// was taken out of service; zero if they are not.
	leaving, out time.Time
	// random draws how requests end.
	random *rand.Rand
}

// ending is how a server ends a request.
type ending int

const (
	endsWell ending = iota
	endsFailed
	endsBroken
	endsLate
)

func (b *backend) draw() (how ending, late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	late = lateTime + time.Duration(b.random.Int64N(int64(lateSpread)))
	switch draw := b.random.Float64(); {
	case draw < failShare:
		return endsFailed, late
	case draw < failShare+breakShare:
		return endsBroken, late
	case draw < failShare+breakShare+lateShare:
		return endsLate, late
	}
	return endsWell, late
}

func (s *soak) newBackend(service, zone string) (*backend, error) {
	s.mu.Lock()
	s.servers++
	random := rand.New(rand.NewPCG(s.opts.Seed, 2000+uint64(s.servers)))
	name := fmt.Sprintf("i-%s-%d", service, s.servers)
	out := s.out[zone]
	s.mu.Unlock()
	b := &backend{Server: standin.NewServer(name), name: name, service: service, zone: zone, soak: s, out: out, random: random}
	var err error
	if b.link, err = newLink(b.Addr()); err != nil {
		b.Close()
		return nil, err
	}
	b.SetHandle(b.serve)
	s.list(b, standin.StateReady)
	return b, nil
}

// list writes the server's entry to the store.
func (s *soak) list(b *backend, state string) {
	entry := b.Entry(b.service, b.zone, state)
	entry[standin.FieldAddress] = b.link.addr().String()
	entry[standin.FieldStarted] = s.began.UnixMilli()
	s.store.Put(standin.TableServers, b.name, entry)
}

func (b *backend) close() {
	b.link.close()
	b.Close()
}

// serve answers a request that runs here, and checks that it may.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.arrived(time.Now(), r)
	how, late := b.draw()
	switch how {
	case endsFailed:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprint(w, "failed")
		return
	case endsLate:
		time.Sleep(late)
	}
	if b.service == serviceEngine {
		b.stream(w, r, how == endsBroken)
		return
	}
	time.Sleep(workTime)
	if how == endsBroken {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, answerText(r.Header.Get(standin.HeaderRequestID), b.name))
}

func answerText(id, server string) string { return id + " by " + server }

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// stream sends the events; one that breaks off ends in the middle.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, breaksOff bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if text := r.Header.Get(standin.HeaderResume); text != "" {
		var err error
		if from, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for n := from + 1; n <= streamEvents; n++ {
		if breaksOff && n > streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, eventText(r.Header.Get(standin.HeaderRequestID), n))
		_ = http.NewResponseController(w).Flush() // the caller may have left
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func (b *backend) arrived(now time.Time, r *http.Request) {
	id, via := r.Header.Get(standin.HeaderRequestID), r.Header.Get(headerRouter)
	b.soak.ran(now, id, r.URL.Path)
	if r.Header.Get(standin.HeaderKey) != "" || r.Header.Get(standin.HeaderWorkspace) != workspace {
		b.soak.violate(now, "unasked", "request %s reached %s with the workspace %q", id, b.name, r.Header.Get(standin.HeaderWorkspace))
	}
	b.mu.Lock()
	leaving, out := b.leaving, b.out
	b.mu.Unlock()
	if !leaving.IsZero() && now.Sub(leaving) > drainBound && b.soak.accountable(now, via, leaving) {
		b.soak.violate(now, "drain", "request %s reached %s through %s %s after it had left", id, b.name, via, now.Sub(leaving))
	}
	if !out.IsZero() && now.Sub(out) > outBound && b.soak.accountable(now, via, out) {
		b.soak.violate(now, "zoneOut", "request %s reached %s through %s %s after its zone was out", id, b.name, via, now.Sub(out))
	}
}
