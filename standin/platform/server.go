package platform

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amaranthtide"
	"amaranthtide/protocol/wire"
	"amaranthtide/standin/internal/host"
)

const (
	maxBodyBytes   = 64 << 20
	maxRowsPerPage = 1000
)

// Config configures a Server. The zero value selects the defaults.
type Config struct {
	// Addr is an IPv4 loopback address; the zero value selects 127.0.0.1 and a free port.
	Addr   netip.AddrPort
	Faults Faults
	// VMLag is the delay before a change of the VM list becomes visible.
	VMLag time.Duration
	// ReservationsPerSecond is the rate at which the weight store grants reservations; 0
	// selects the default.
	ReservationsPerSecond float64
	// Seed seeds the random generator that selects the lost answers.
	Seed uint64
}

type vmSnapshot struct {
	at  time.Time
	vms []amaranthtide.ListedVM
}

// Server is a running simulated platform. It is safe for concurrent use. A single mutex
// guards the whole state, since a transaction can span rows.
type Server struct {
	cfg  Config
	host *host.Host

	mu           sync.Mutex
	faults       Faults
	counts       Counts
	random       *rand.Rand
	writes       *rate.Limiter
	reads        *rate.Limiter
	reservations *rate.Limiter
	rows         map[amaranthtide.StoredKey]wire.Row
	// keys are the sorted keys of rows.
	keys []amaranthtide.StoredKey
	// version is the last assigned row version. Versions are never reused, so that a row
	// that was deleted and written again gets a different one.
	version     amaranthtide.RowVersion
	objects     map[string][]byte
	vmSnapshots []vmSnapshot
}

// New starts a platform.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		rows:         make(map[amaranthtide.StoredKey]wire.Row),
		objects:      make(map[string][]byte),
		reservations: rate.NewLimiter(rate.Limit(cmp.Or(cfg.ReservationsPerSecond, DefaultReservationsPerSecond)), 1),
	}
	s.SetFaults(cfg.Faults)
	mux := http.NewServeMux()
	mux.Handle("POST /table/commit", s.withFaults(true, s.handleCommit))
	mux.Handle("GET /table/row", s.withFaults(false, s.handleGetRow))
	mux.Handle("GET /table/rows", s.withFaults(false, s.handleListRows))
	mux.Handle("PUT /objects", s.withFaults(true, s.handlePutObject))
	mux.Handle("GET /objects", s.withFaults(false, s.handleGetObject))
	mux.Handle("GET /vms", s.withFaults(false, s.handleListVMs))
	mux.Handle("POST /weights/reservations", s.withFaults(true, s.handleReserve))
	mux.HandleFunc("GET /standin/faults", s.handleGetFaults)
	mux.HandleFunc("PUT /standin/faults", s.handlePutFaults)
	mux.HandleFunc("GET /standin/counts", s.handleGetCounts)
	mux.HandleFunc("PUT /standin/vms", s.handlePutVMs)
	h, err := host.New(host.Config{Addr: cfg.Addr, Handler: mux})
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Addr returns the address that the platform listens on.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the platform and waits for its handlers.
func (s *Server) Close() { s.host.Close() }

// SetVMs replaces the list of VMs. The first list is visible immediately, later ones
// after Config.VMLag.
func (s *Server) SetVMs(vms []amaranthtide.ListedVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmSnapshots = append(s.vmSnapshots, vmSnapshot{time.Now(), slices.Clone(vms)})
}

// answer is the HTTP status and body of the answer to a call.
type answer struct {
	status int
	body   []byte
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

func jsonAnswer(v any) answer {
	body, err := json.Marshal(v)
	if err != nil {
		return answer{http.StatusInternalServerError, []byte(err.Error())}
	}
	return answer{http.StatusOK, body}
}

func badRequest(err error) answer { return answer{http.StatusBadRequest, []byte(err.Error())} }

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
}

func (s *Server) handleCommit(r *http.Request) answer {
	body, err := readBody(r)
	if err != nil {
		return badRequest(err)
	}
	var t wire.Transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return badRequest(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.Key].Version != c.Version {
			s.counts.Conflicts++
			return answer{status: http.StatusConflict}
		}
	}
	s.counts.Commits++
	versions := make([]amaranthtide.RowVersion, len(t.Writes))
	for i, w := range t.Writes {
		versions[i] = s.writeRow(t.Token, w)
	}
	return jsonAnswer(wire.CommitResponse{Versions: versions})
}

func (s *Server) writeRow(token amaranthtide.WriteToken, w wire.Write) amaranthtide.RowVersion {
	i, exists := slices.BinarySearch(s.keys, w.Key)
	if w.Value == nil {
		if exists {
			s.keys = slices.Delete(s.keys, i, i+1)
			delete(s.rows, w.Key)
		}
		return 0
	}
	if !exists {
		s.keys = slices.Insert(s.keys, i, w.Key)
	}
	s.version++
	s.rows[w.Key] = wire.Row{Key: w.Key, Version: s.version, Token: token, Value: w.Value}
	return s.version
}

func (s *Server) handleGetRow(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[amaranthtide.StoredKey(r.URL.Query().Get("key"))]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return jsonAnswer(row)
}

func (s *Server) handleListRows(r *http.Request) answer {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		return badRequest(err)
	}
	prefix, after := q.Get("prefix"), amaranthtide.StoredKey(q.Get("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	out := wire.Rows{Rows: []wire.Row{}}
	i, _ := slices.BinarySearch(s.keys, max(amaranthtide.StoredKey(prefix), after))
	for ; i < len(s.keys) && len(out.Rows) < min(limit, maxRowsPerPage); i++ {
		if !strings.HasPrefix(string(s.keys[i]), prefix) {
			break
		}
		if s.keys[i] > after {
			out.Rows = append(out.Rows, s.rows[s.keys[i]])
		}
	}
	return jsonAnswer(out)
}

func (s *Server) handlePutObject(r *http.Request) answer {
	body, err := readBody(r)
	if err != nil {
		return badRequest(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[r.URL.Query().Get("name")] = body
	return answer{status: http.StatusNoContent}
}

func (s *Server) handleGetObject(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[r.URL.Query().Get("name")]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{http.StatusOK, body}
}

func (s *Server) handleListVMs(*http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleAt := time.Now().Add(-s.cfg.VMLag)
	for len(s.vmSnapshots) > 1 && !s.vmSnapshots[1].at.After(visibleAt) {
		s.vmSnapshots = s.vmSnapshots[1:]
	}
	out := wire.VMs{VMs: []wire.VM{}}
	if len(s.vmSnapshots) > 0 {
		for _, vm := range s.vmSnapshots[0].vms {
			out.VMs = append(out.VMs, wire.VM(vm))
		}
	}
	return jsonAnswer(out)
}

func (s *Server) handleReserve(*http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait := s.reservations.ReserveN(now, 1).DelayFrom(now)
	return jsonAnswer(wire.Reservation{Wait: amaranthtide.Duration(wait)})
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	jsonAnswer(s.Faults()).write(w)
}

func (s *Server) handleGetCounts(w http.ResponseWriter, _ *http.Request) {
	jsonAnswer(s.Counts()).write(w)
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		badRequest(err).write(w)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handlePutVMs(w http.ResponseWriter, r *http.Request) {
	var in wire.VMs
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		badRequest(err).write(w)
		return
	}
	vms := make([]amaranthtide.ListedVM, len(in.VMs))
	for i, vm := range in.VMs {
		vms[i] = amaranthtide.ListedVM(vm)
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}
