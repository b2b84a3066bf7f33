package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is the JSON form of a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// copyOfStore is the store as it was at some time.
type copyOfStore struct {
	at   time.Time
	rows []storeRow
	ver  uint64
}

// store is a stand-in for the platform's store. While it is down, it takes calls and answers none of them.
type store struct {
	addr    string
	started time.Time

	mu      sync.Mutex
	rows    []storeRow // the latest version of each key, including deleted rows
	ver     uint64
	changed chan struct{}
	isDown  bool
	up      chan struct{} // closed when the store is up again
	era     int
	copies  []copyOfStore
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), started: time.Now(), changed: make(chan struct{}), up: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRowsGet, s.get)
	mux.HandleFunc("GET "+pathRowsFeed, s.feed)
	mux.HandleFunc("POST "+pathRowsTx, s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown && !down {
		close(s.up)
		s.up = make(chan struct{})
	}
	s.isDown = down
	s.wake()
}

// wake wakes the calls that wait for changes. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentEra returns how often the store has come back from a copy.
func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore replaces the rows by those of the newest copy that is at least so old, and begins a new era.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.ver = nil, 0
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			s.rows, s.ver = slices.Clone(c.rows), c.ver
		}
	}
	s.era++
	s.wake()
}

// hang holds a call while the store is down, and then breaks it off. It returns at once if the store is up.
// The caller holds mu.
func (s *store) hang(r *http.Request) {
	if !s.isDown {
		return
	}
	up := s.up
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-up:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// put writes a row as the operator or a server does, and reports whether the store took it; a nil value
// removes it.
func (s *store) put(table, key string, value any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.ver++
	row := storeRow{Table: table, Key: key}
	if value != nil {
		row.Value, _ = json.Marshal(value)
	}
	s.write(row)
	return true
}

// write stores a row with the current version. The caller holds mu.
func (s *store) write(row storeRow) {
	row.Ver, row.Deleted = s.ver, row.Value == nil
	s.rows = slices.DeleteFunc(s.rows, func(r storeRow) bool {
		return r.Table == row.Table && r.Part == row.Part && r.Key == row.Key
	})
	s.rows = append(s.rows, row)
	s.copies = append(s.copies, copyOfStore{time.Now(), slices.Clone(s.rows), s.ver})
	s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
	s.wake()
}

// count returns the number of rows in a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, row := range s.rows {
		if row.Table == table && !row.Deleted {
			n++
		}
	}
	return n
}

const (
	maxPageRows = 500
	maxCopies   = 500
)

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang(r)
	q := r.URL.Query()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxPageRows
	if more {
		rows = rows[:maxPageRows]
	}
	s.reply(w, map[string]any{"rows": rows, "truncated": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for last := wait == 0; ; {
		s.hang(r)
		if s.era != era {
			panic(http.ErrAbortHandler) // the call was made before the store came back
		}
		if after > s.ver {
			s.writeEra(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storeRow
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || last {
			s.reply(w, map[string]any{"rows": rows})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var call struct{ Precondition, Puts, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang(r)
	for _, c := range call.Precondition {
		var ver uint64
		for _, row := range s.rows {
			if row.Table == c.Table && row.Part == c.Part && row.Key == c.Key && !row.Deleted {
				ver = row.Ver
			}
		}
		if ver != c.Ver {
			s.writeEra(w)
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, map[string]any{"rows": []storeRow{}})
			return
		}
	}
	s.ver++
	for _, row := range call.Puts {
		s.write(row)
	}
	for _, row := range call.Remove {
		row.Value = nil
		s.write(row)
	}
	s.reply(w, map[string]any{})
}

// reply answers with the newest version and the time. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, v map[string]any) {
	v["ver"], v["now_ms"] = s.ver, time.Since(s.started).Milliseconds()
	s.writeEra(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeEra sets the header that tells the era. The caller holds mu.
func (s *store) writeEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }
