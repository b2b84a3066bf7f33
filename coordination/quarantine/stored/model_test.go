package stored_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/quarantine"
	"amaranthtide/coordination/quarantine/stored"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const step = 250 * time.Millisecond

// model is a fleet of routers, one of which may be cut off, and a store that is down, loses answers
// or applies writes late.
type model struct {
	now     time.Time
	routers []*router
	rows    map[int]amaranthtide.QuarantineRow
	version amaranthtide.StoreVersion
	down    bool
	lose    bool
	late    time.Duration
	pending []lateWrite
	// calls counts the calls of the store, crashes the crashed servers.
	calls, writes, crashes int
	// upSince is since when all calls have been answered, changedAt when a quarantine last began,
	// was extended or released, or a router restarted.
	upSince, changedAt time.Time
}

// router is a router that has yet to read the platform's tables while it starts.
type router struct {
	ledger *quarantine.Ledger
	table  *stored.Table
	starts bool
}

type lateWrite struct {
	at time.Time
	w  amaranthtide.QuarantineWrite
}

func newModel(n int) *model {
	m := &model{now: start, rows: make(map[int]amaranthtide.QuarantineRow), upSince: start, changedAt: start}
	for range n {
		m.routers = append(m.routers, nil)
	}
	m.restartAll()
	return m
}

func (m *model) restartAll() {
	for i := range m.routers {
		m.routers[i] = &router{quarantine.New("pool"), stored.New(), true}
		m.routers[i].table.BeginLoad(m.now)
		m.round(i)
	}
	m.changedAt = m.now
}

// read returns the rows, in slots order so that runs are repeatable.
func (m *model) read() ([]amaranthtide.QuarantineRow, bool) {
	m.calls++
	var rows []amaranthtide.QuarantineRow
	for n := range amaranthtide.QuarantineSlots {
		if row, ok := m.rows[n]; ok {
			rows = append(rows, row)
		}
	}
	return rows, !m.down
}

func (m *model) apply(w amaranthtide.QuarantineWrite) bool {
	for _, row := range append(append([]amaranthtide.QuarantineRow{}, w.Puts...), w.Removals...) {
		if m.rows[row.Slot].Version != row.Version {
			return false
		}
	}
	m.version = ver(m.version.Number() + 1)
	for _, row := range w.Puts {
		row.Version = m.version
		m.rows[row.Slot] = row
	}
	for _, row := range w.Removals {
		delete(m.rows, row.Slot)
	}
	return true
}

// round does what is due at a router, as transport/quarantine does.
func (m *model) round(i int) {
	r := m.routers[i]
	if r.starts && m.now.Sub(start)%(2*time.Second) < step {
		r.table.BeginLoad(m.now)
	}
	r.table.Update(m.now, r.ledger.Quarantined(m.now))
	if at, ok := r.table.Next(i).Get(); !ok || m.now.Before(at) {
		return
	}
	rows, ok := m.read()
	if !ok {
		r.table.Failed(m.now, amaranthtide.QuarantineWrite{})
		return
	}
	r.starts = false
	loading := r.table.Loading()
	if qs := r.table.Read(m.now, rows); loading {
		r.ledger.Merge(m.now, amaranthtide.CrashEvidence{Quarantines: qs})
	}
	w := r.table.Plan(m.now, i, r.ledger.Quarantined(m.now))
	if len(w.Puts) == 0 {
		r.table.Done(m.now, w)
		return
	}
	m.calls++
	m.writes++
	switch {
	case m.late > 0:
		m.pending = append(m.pending, lateWrite{m.now.Add(m.late), w})
		r.table.Failed(m.now, w)
	case !m.apply(w):
		r.table.Failed(m.now, amaranthtide.QuarantineWrite{})
	case m.lose:
		r.table.Failed(m.now, w)
	default:
		r.table.Done(m.now, w)
	}
}

func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(step)
		if len(m.pending) > 0 && !m.now.Before(m.pending[0].at) {
			m.apply(m.pending[0].w)
			m.pending = m.pending[1:]
		}
		for i := range m.routers {
			m.round(i)
		}
	}
}

func (m *model) exchange() {
	for range 2 {
		for i, r := range m.routers {
			var e amaranthtide.CrashEvidence
			r.ledger.Evidence(m.now, &e)
			next := m.routers[(i+1)%len(m.routers)]
			m.note(next, next.ledger.Merge(m.now, e))
		}
	}
}

func (m *model) note(r *router, ch quarantine.Changes) {
	for _, p := range ch.Released {
		r.table.Release(m.now, "pool", p)
	}
	if len(ch.Quarantined)+len(ch.Released) > 0 {
		m.changedAt = m.now
	}
}

func suspectsOf(parts ...amaranthtide.PromptPart) []amaranthtide.PromptPart {
	return quarantine.SubjectOf(&amaranthtide.Request{PromptParts: parts}).Suspects
}

func (m *model) rejects(i int, parts ...amaranthtide.PromptPart) bool {
	return m.routers[i].ledger.Check(m.now, suspectsOf(parts...), func(amaranthtide.PromptPart) int { return 0 }).Reject
}

// crash sends a request that crashes its server, unless it is rejected.
func (m *model) crash(i int, parts ...amaranthtide.PromptPart) {
	if m.rejects(i, parts...) {
		return
	}
	m.crashes++
	c := amaranthtide.ServerCrash{
		Service: "pool", Server: amaranthtide.BackendServerName(fmt.Sprint("e", m.crashes)), At: m.now, Prompt: quarantine.HashPrompt(parts), Parts: suspectsOf(parts...), Begun: true,
	}
	m.note(m.routers[i], m.routers[i].ledger.Crashed(m.now, c))
	m.changedAt = m.now
}

func (m *model) answer(i int, parts ...amaranthtide.PromptPart) {
	m.note(m.routers[i], m.routers[i].ledger.Answered(m.now, m.now, suspectsOf(parts...)))
}

// check fails if a quarantine has not been stored, or a row holds one that has ended early, long
// after the store works and everything else has come to rest.
func (m *model) check(t *rapid.T) {
	if m.now.Sub(m.upSince) < 2*time.Minute || m.now.Sub(m.changedAt) < 2*time.Minute {
		return
	}
	inForce := make(map[amaranthtide.PromptPart]time.Time)
	for _, q := range m.routers[0].ledger.Quarantined(m.now) {
		inForce[q.Part] = q.LastCrash.Add(quarantine.Duration(q.Part, q.Level))
		if quarantine.IsWholeRequest(q.Part) && q.Level == 1 {
			continue
		}
		found := false
		for _, row := range m.rows {
			s, _ := row.Quarantine.Get()
			found = found || s.Part == q.Part && !s.ExpiresAt.Before(inForce[q.Part].Add(-quarantine.Duration(q.Part, q.Level)/2))
		}
		if !found {
			t.Fatalf("got: no row of %s, level %d, in force for %v, want: one", q.Part, q.Level, m.now.Sub(m.changedAt))
		}
	}
	for _, row := range m.rows {
		s, _ := row.Quarantine.Get()
		if _, ok := inForce[s.Part]; !ok && s.ExpiresAt.Sub(m.now) > step {
			t.Fatalf("got: a row of %s, no change for %v, want: none", s.Part, m.now.Sub(m.changedAt))
		}
	}
}

// Guards against a quarantine that a restart of all routers forgets although its row was written,
// against one that is never written, against a row that outlasts its quarantine and holds sound requests
// back after a restart, and against calls of the store without a crash.
func TestFleetStoresQuarantines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 5).Draw(t, "routers"))
		if m.advance(time.Minute); m.calls != len(m.routers) {
			t.Fatalf("got: %d calls of %d routers without a crash, want: one at the start of each", m.calls, len(m.routers))
		}
		for n := range rapid.IntRange(10, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")
			own := amaranthtide.PromptPart(fmt.Sprint("own", n))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.crash(i, "base", "deadly", "end")
			case 3:
				m.crash(i, "base", "bad", own)
			case 4: // requests that were on their way: the crashes had another cause
				m.answer(i, "base", "deadly", "end")
			case 5:
				m.answer(i, "base", "bad", own)
			case 6:
				m.restartAll()
				m.checkRestarted(t)
			case 7:
				m.down, m.lose, m.late = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "lose"), time.Duration(rapid.IntRange(0, 9).Draw(t, "late"))*time.Second
				m.upSince = m.now.Add(10 * time.Second)
				if m.down || m.lose || m.late > 0 {
					m.upSince = m.now.Add(24 * time.Hour)
				}
			default:
				m.advance(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 20, 150, 700}).Draw(t, "seconds")) * time.Second)
			}
			m.exchange()
			m.check(t)
			if m.rejects(i, "base", own) {
				t.Fatal("got: a sound request rejected, want: sent")
			}
			m.answer(i, "base", own)
		}
	})
}

// checkRestarted fails if a router that has read the rows sends requests that they hold back.
func (m *model) checkRestarted(t *rapid.T) {
	for i, r := range m.routers {
		for _, row := range m.rows {
			s, _ := row.Quarantine.Get()
			if !r.starts && s.ExpiresAt.After(m.now) && !r.ledger.Check(m.now, append(s.Companions, s.Part), func(amaranthtide.PromptPart) int { return 0 }).Reject {
				t.Fatalf("got: router %d sends %s after a restart, want: rejected until %v", i, s.Part, s.ExpiresAt)
			}
		}
	}
}
