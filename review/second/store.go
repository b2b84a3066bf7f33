package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const maxPageRows = 500

// storeRow is a row as the store's replies show it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store that keeps its whole history.
type store struct {
	server  *http.Server
	addr    string
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]storeRow
	changed chan struct{}
	// polls counts the calls for changes of the list of servers, by the address that was called.
	polls map[string]int
	// waiting counts the calls that wait for changes of the operator's table, by the same.
	waiting map[string]int
	// rejected are the addresses at which calls for the operator's table get 503.
	rejected map[string]bool
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), started: time.Now(), rows: make(map[rowKey]storeRow), changed: make(chan struct{}), polls: make(map[string]int), waiting: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.ReadRows, s.read)
	mux.HandleFunc("GET "+wire.FeedRows, s.feed)
	mux.HandleFunc("POST "+wire.WriteRows, s.write)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // ends with close
	return s, nil
}

// listen returns a further address of the store, so that it can tell one machine from the others.
func (s *store) listen(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

// reject makes the store turn away calls for the operator's table at the addresses, also those that wait.
func (s *store) reject(addrs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = make(map[string]bool)
	for _, addr := range addrs {
		s.rejected[addr] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endWait(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[addr]--
}

// waitingAt returns the number of calls for changes of the operator's table that wait at an address.
func (s *store) waitingAt(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[addr]
}

// polled returns the number of calls for changes of the list of servers at an address.
func (s *store) polled(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls[addr]
}

// calledAt returns the address that a call was sent to.
func calledAt(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator or a server does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value) // the values are maps of plain types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(storeRow{Table: table, Key: key, Value: data, Ver: s.ver, Deleted: value == nil})
}

// set stores a row and wakes the waiting calls. The caller holds mu.
func (s *store) set(row storeRow) {
	s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, truncated bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": s.ver, "truncated": truncated, "now_ms": time.Since(s.started).Milliseconds()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Get("table") == "op" && s.rejected[calledAt(r)] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var rows []storeRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !row.Deleted && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > maxPageRows
	s.reply(w, http.StatusOK, rows[:min(len(rows), maxPageRows)], truncated)
}

// feed replies with the changes of a table after a version as soon as there are any, or at the end of
// the wait.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	switch q.Get("table") {
	case "servers":
		s.polls[calledAt(r)]++
	case "op":
		s.waiting[calledAt(r)]++
		defer s.endWait(calledAt(r))
	}
	s.mu.Unlock()
	for ended := false; ; {
		s.mu.Lock()
		if q.Get("table") == "op" && s.rejected[calledAt(r)] {
			w.WriteHeader(http.StatusServiceUnavailable)
			s.mu.Unlock()
			return
		}
		var rows []storeRow
		for k, row := range s.rows {
			if k.table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || ended {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a write.
type transaction struct {
	Precondition []storeRow `json:"precondition"`
	Puts         []storeRow `json:"puts"`
	Remove       []storeRow `json:"remove"`
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	holds := true
	for _, p := range tx.Precondition {
		row := s.rows[rowKey{p.Table, p.Part, p.Key}]
		if row.Deleted {
			row.Ver = 0
		}
		holds = holds && row.Ver == p.Ver
		if row.Ver > 0 {
			current = append(current, row)
		}
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver, p.Deleted = s.ver, false
		s.set(p)
	}
	for _, p := range tx.Remove {
		s.set(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Deleted: true})
	}
	s.reply(w, http.StatusOK, nil, false)
}
