package rig

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

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// maxPageRows is the largest number of rows in an answer to a read of a table.
const maxPageRows = 500

// Store is a stand-in for the platform's metadata store: rows with versions from one counter,
// transactions with preconditions, and a feed that waits for changes.
type Store struct {
	Addr string

	mu      sync.Mutex
	rows    []row // the newest version of each row, including deleted ones
	ver     uint64
	changed chan struct{}
	started time.Time
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Names.RowsGet, s.get)
	mux.HandleFunc("GET "+Names.RowsFeed, s.feed)
	mux.HandleFunc("POST "+Names.RowsTx, s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Put writes a row as JSON, as the operator and the servers do; nil deletes the row.
func (s *Store) Put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key}, value)
}

func (s *Store) put(r row, value any) {
	switch v := value.(type) {
	case nil:
		r.Deleted = true
	case []byte:
		r.Value = v
	default:
		r.Value, _ = json.Marshal(v)
	}
	r.Ver = s.ver
	s.rows = slices.DeleteFunc(s.rows, func(o row) bool { return o.Table == r.Table && o.Part == r.Part && o.Key == r.Key })
	s.rows = append(s.rows, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	rows := []row{}
	for _, o := range s.rows {
		if o.Table == q.Get("table") && o.Part == q.Get("part") && !o.Deleted && o.Key >= q.Get("from") {
			rows = append(rows, o)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxPageRows
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), maxPageRows)], "truncated": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := wait == 0; ; {
		s.mu.Lock()
		rows := []row{}
		for _, o := range s.rows {
			if o.Table == q.Get("table") && o.Ver > after {
				rows = append(rows, o)
			}
		}
		if len(rows) > 0 || done {
			slices.SortFunc(rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Precondition, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range call.Precondition {
		if s.version(p) != p.Ver {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}})
			return
		}
	}
	s.ver++
	for _, p := range call.Puts {
		value := p.Value
		if value == nil {
			value = []byte{}
		}
		s.put(row{Table: p.Table, Part: p.Part, Key: p.Key}, value)
	}
	for _, p := range call.Remove {
		s.put(row{Table: p.Table, Part: p.Part, Key: p.Key}, nil)
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) version(p row) uint64 {
	for _, o := range s.rows {
		if o.Table == p.Table && o.Part == p.Part && o.Key == p.Key && !o.Deleted {
			return o.Ver
		}
	}
	return 0
}

func (s *Store) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["ver"], v["now_ms"] = s.ver, time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
