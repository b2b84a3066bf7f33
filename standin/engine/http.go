package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
	"amaranthtide/protocol/completion"
	"amaranthtide/protocol/wire"
	"amaranthtide/standin/notice"
)

const maxBodyBytes = 4 << 20

var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("GET /v1/streams/{attempt}", s.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", s.handleCancel)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("POST /orders", s.handleOrder)
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Orders()) })
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /standin/faults", s.handlePutFaults)
	mux.HandleFunc("POST /standin/control", s.handleControl)
	mux.HandleFunc("PUT /standin/notice", s.handlePutNotice)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/standin/control" {
			s.awaitThaw(r)
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers a request that is not run, with the notices of the engine.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, kind amaranthtide.Kind) {
	n := s.Notice()
	n.SetHeaders(w.Header())
	if kind == amaranthtide.KindFull && n.RetryAfter != "" {
		w.Header().Set("Retry-After", n.RetryAfter)
	}
	if attempt := r.Header.Get(wire.HeaderAttempt); attempt != "" {
		w.Header().Set(wire.HeaderAttempt, attempt)
	}
	w.Header().Set(wire.HeaderNotRun, "true")
	w.Header().Set(wire.HeaderReason, kind.String())
	w.WriteHeader(kind.Reply().Status)
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	boot := s.Boot()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	req, err := completion.ParseRequest(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.cfg.Model != "" && req.Model != s.cfg.Model {
		s.refuse(w, r, amaranthtide.KindUnknownModel)
		return
	}
	attempt := amaranthtide.AttemptID(r.Header.Get(wire.HeaderAttempt))
	if attempt == "" {
		attempt = amaranthtide.NewAttemptID()
	}
	now := time.Now()
	rn := &run{
		attempt: attempt,
		chain:   prefixChain(string(req.Model), req.Messages),
		stream:  req.Stream,
		events:  newEventStream(attempt, req.Model, now.Unix(), xxhash.Sum64(body), req.MaxOutput),
		cutAt:   -1,
		reader:  make(chan struct{}, 1),
	}
	rn.priority, _ = strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	kind, err := s.admit(now, boot, rn)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case kind == amaranthtide.KindInternal:
		s.stopIfDown()
		panic(http.ErrAbortHandler)
	case kind != 0:
		s.refuse(w, r, kind)
		return
	}
	s.wakeLoop()
	s.respond(w, r, rn, rn.reader, 0, rn.cutAt)
}

func (r *run) message() completion.Message {
	return completion.Message{Role: "assistant", Text: answerText(r.events.seed, r.events.tokens)}
}

var errDuplicateAttempt = errors.New("attempt identifier is already in use")

// admit adds a run to the batch and returns 0, or returns the kind of its refusal.
// KindInternal means that a crash or restart lost the request, so that the connection
// must be closed. The error is errDuplicateAttempt if the attempt identifier is in use.
func (s *Server) admit(now time.Time, boot amaranthtide.BootID, rn *run) (amaranthtide.Kind, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A crash or restart since the request arrived loses the request.
	if s.down || boot != s.boot {
		return amaranthtide.KindInternal, nil
	}
	if _, ok := s.runs[rn.attempt]; ok {
		return 0, errDuplicateAttempt
	}
	if s.leaving {
		s.counters.Refused++
		return amaranthtide.KindLeaving, nil
	}
	if s.notice.RetryAfter != "" {
		s.counters.Refused++
		return amaranthtide.KindFull, nil
	}
	limit, warm := s.loadLimit(now)
	if s.batch.load() >= limit {
		if warm {
			s.counters.Refused++
			return amaranthtide.KindFull, nil
		}
		s.counters.OverloadCrashes++
		s.shutDownLocked(now.Add(s.cfg.RecoverTime))
		return amaranthtide.KindInternal, nil
	}
	if s.faults.CutAfterBytes > 0 {
		rn.cutAt = s.faults.CutAfterBytes
	}
	if s.faults.CutShare > 0 && s.random.Float64() < s.faults.CutShare {
		const meanEventBytes = 160 // approximate length of an event with one word
		rn.cutAt = s.random.IntN(meanEventBytes * rn.events.count())
	}
	s.runs[rn.attempt] = rn
	s.batch.enqueue(rn)
	s.counters.Runs++
	load := s.batch.load()
	s.counters.GreatestLoad = max(s.counters.GreatestLoad, load)
	s.recordLoad(now)
	if s.cfg.OnRun != nil {
		s.cfg.OnRun(s.boot, rn.events.seed)
	}
	if s.cfg.OnAdmit != nil {
		s.cfg.OnAdmit(now, load)
	}
	return 0, nil
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	sent := 0
	if last := r.Header.Get(wire.HeaderLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			http.Error(w, "Last-Event-ID is not an event of this stream", http.StatusBadRequest)
			return
		}
		sent = n
	}
	reader := make(chan struct{}, 1)
	s.mu.Lock()
	rn, ok := s.runs[amaranthtide.AttemptID(r.PathValue("attempt"))]
	ok = ok && rn.stream && !s.cfg.NoResume
	if ok {
		if rn.reader != nil {
			close(rn.reader)
		}
		rn.reader = reader
		s.counters.Resumed++
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.respond(w, r, rn, reader, sent, -1)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rn, ok := s.runs[amaranthtide.AttemptID(r.PathValue("attempt"))]
	if ok {
		s.cancelRun(rn)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.wakeLoop()
	w.WriteHeader(http.StatusNoContent)
}

// respond sends the answer of a run to its reader. A stream continues after the given
// number of sent events. Unless cutAt is negative, the connection is closed after that
// many bytes of the body.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, rn *run, reader chan struct{}, sent, cutAt int) {
	defer s.detach(rn, reader)
	h := w.Header()
	h.Set(wire.HeaderAttempt, string(s.responseAttempt(rn)))
	s.Notice().SetHeaders(h)
	if rn.stream {
		h.Set("Content-Type", "text/event-stream")
		if !s.cfg.NoResume {
			h.Set(wire.HeaderResumable, "true")
		}
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	for {
		s.awaitThaw(r)
		s.mu.Lock()
		state, ready, u := rn.state, rn.sendableEvents(), rn.usage
		s.mu.Unlock()
		if state == cancelled {
			panic(http.ErrAbortHandler)
		}
		if !rn.stream && state == finished {
			body := rn.events.completionObject(u)
			h.Set("Content-Type", "application/json")
			h.Set("Content-Length", strconv.Itoa(len(body)))
			_ = send(w, body, cutAt)
			return
		}
		if rn.stream && ready > sent {
			b := (*buf)[:0]
			for ; sent < ready; sent++ {
				b = rn.events.appendEvent(b, sent+1, u)
			}
			*buf = b
			cutAt = send(w, b, cutAt)
			_ = http.NewResponseController(w).Flush()
		}
		if rn.stream && sent >= rn.events.count() {
			return
		}
		select {
		case _, ok := <-reader:
			if !ok {
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes b and returns the rest of cutAt. It closes the connection when cutAt is
// reached.
func send(w http.ResponseWriter, b []byte, cutAt int) int {
	if cutAt < 0 {
		_, _ = w.Write(b)
		return cutAt
	}
	if cutAt > len(b) {
		_, _ = w.Write(b)
		return cutAt - len(b)
	}
	_, _ = w.Write(b[:cutAt])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// responseAttempt returns the attempt identifier for the response header.
func (s *Server) responseAttempt(rn *run) amaranthtide.AttemptID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongAttemptShare > 0 && s.random.Float64() < s.faults.WrongAttemptShare {
		return amaranthtide.NewAttemptID()
	}
	return rn.attempt
}

// detach removes the reader from a run. A run that can be resumed is kept for
// Config.ResumeGrace even if it is finished, since the last bytes may not have arrived.
func (s *Server) detach(rn *run, reader chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rn.reader != reader {
		return
	}
	rn.reader = nil
	if s.runs[rn.attempt] != rn {
		return
	}
	if !rn.stream || s.cfg.NoResume {
		s.cancelRun(rn)
	} else {
		rn.orphanedAt = time.Now()
		s.orphans = append(s.orphans, rn)
	}
	s.wakeLoop()
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.history.report(time.Now())
	s.mu.Unlock()
	writeJSON(w, wire.FromEngineReport(report))
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handlePutNotice(w http.ResponseWriter, r *http.Request) {
	var n notice.Notice
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetNotice(n)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch q.Get("do") {
	case "leave":
		s.Leave()
	case "reboot":
		s.Reboot()
	case "freeze":
		s.Freeze()
	case "thaw":
		s.Thaw()
	case "kill":
		d, err := time.ParseDuration(q.Get("for"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.shutDown(time.Now().Add(d))
	default:
		http.Error(w, "do must be leave, reboot, freeze, thaw or kill", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
