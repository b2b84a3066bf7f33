package coordination_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/claim"
)

// attempt is one request that is handled by one router.
type attempt struct {
	id          string
	body        string
	claim       *claim.Claim
	key         amaranthtide.StoredKey
	clockOffset time.Duration // the router's clock minus the true time
	step        claim.Step
	result      *claim.Outcome // set between the call and its delivery
	reply       *claim.Reply
	ran         amaranthtide.Ran
	sends       int
	killed      bool
}

type claimModel struct {
	table    *fakeTable
	now      time.Time
	objects  map[string][]byte
	attempts []*attempt
	// sendsSinceSweep counts the sends of each key since its row was last swept. answers
	// holds all answers of each key, which is at most one unless its row was swept.
	sendsSinceSweep map[amaranthtide.StoredKey]int
	answers         map[amaranthtide.StoredKey][][]byte
	totalSends      map[amaranthtide.StoredKey]int
	faultless       bool
	skippedTime     bool
}

var largeSuffix = bytes.Repeat([]byte("x"), claim.MaxInlineBody)

func (m *claimModel) request(t *rapid.T) {
	if len(m.attempts) >= 8 {
		return
	}
	a := &attempt{id: fmt.Sprint("attempt-", len(m.attempts)), body: rapid.SampledFrom([]string{"pay", "pay", "pay", "other"}).Draw(t, "body"),
		clockOffset: time.Duration(rapid.IntRange(-300, 300).Draw(t, "clock")) * time.Second}
	req := &amaranthtide.Request{
		Workspace: "w", Key: amaranthtide.IdempotencyKey(rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "key")),
		Attempt:  amaranthtide.AttemptID(a.id),
		Body:     []byte(a.body),
		Deadline: m.now.Add(a.clockOffset + time.Duration(rapid.IntRange(0, 60).Draw(t, "timeout"))*time.Second),
	}
	a.key = claim.StoredKey(req.Workspace, req.Key)
	a.claim = claim.New(claim.Config{Request: req, VM: "vm", Token: amaranthtide.WriteToken(a.id)})
	m.attempts = append(m.attempts, a)
	m.applyStep(t, a, a.claim.Start(m.now.Add(a.clockOffset)))
}

func (m *claimModel) drawAttempt(t *rapid.T) *attempt {
	if len(m.attempts) == 0 {
		return nil
	}
	return m.attempts[rapid.IntRange(0, len(m.attempts)-1).Draw(t, "router")]
}

// advance runs the current step of a router or, if it has run, delivers its outcome.
// Other actions may happen between the two.
func (m *claimModel) advance(t *rapid.T, a *attempt) {
	if a == nil || a.killed || a.step.Do == claim.End {
		return
	}
	if a.result != nil {
		r := *a.result
		a.result = nil
		m.applyStep(t, a, a.claim.Next(m.now.Add(a.clockOffset), r))
		return
	}
	var o claim.Outcome
	switch a.step.Do {
	case claim.Call:
		o.Result = m.table.call(t, a.step.Call)
	case claim.Send:
		o = m.send(t, a)
	case claim.PutObject, claim.GetObject:
		o = m.accessObject(t, a)
	}
	a.result = &o
}

func (m *claimModel) send(t *rapid.T, a *attempt) claim.Outcome {
	if !a.claim.MaySend(m.now.Add(a.clockOffset)) {
		return claim.Outcome{Refused: true}
	}
	kind := rapid.SampledFrom([]amaranthtide.Kind{0, 0, 0, amaranthtide.KindNoBackend, amaranthtide.KindBackendFailed, amaranthtide.KindCanceled}).Draw(t, "outcome")
	if kind != 0 && kind.Reply().Ran == amaranthtide.RanNo {
		return claim.Outcome{Err: amaranthtide.Errorf(kind, "not sent")}
	}
	m.sendsSinceSweep[a.key]++
	m.totalSends[a.key]++
	a.sends++
	if n := m.sendsSinceSweep[a.key]; n > 1 {
		t.Fatalf("key %s was sent %d times, the last by %s", a.key, n, a.id)
	}
	if kind != 0 {
		return claim.Outcome{Err: amaranthtide.Errorf(kind, "sent")}
	}
	body := []byte(a.id)
	if rapid.IntRange(0, 4).Draw(t, "large") == 0 {
		body = append(body, largeSuffix...)
	}
	m.answers[a.key] = append(m.answers[a.key], body)
	return claim.Outcome{Answer: claim.Answer{Status: 200, Body: body, Header: []amaranthtide.HeaderField{{Name: "A", Value: a.id}}}}
}

func (m *claimModel) accessObject(t *rapid.T, a *attempt) claim.Outcome {
	if !m.faultless && rapid.IntRange(0, 2).Draw(t, "object") == 0 {
		return claim.Outcome{Err: amaranthtide.Errorf(amaranthtide.KindPlatformDown, "down")}
	}
	if a.step.Do == claim.PutObject {
		m.objects[a.step.Object] = a.step.Data
		return claim.Outcome{}
	}
	if data, ok := m.objects[a.step.Object]; ok {
		return claim.Outcome{Object: amaranthtide.Some(data)}
	}
	return claim.Outcome{}
}

func (m *claimModel) applyStep(t *rapid.T, a *attempt, s claim.Step) {
	a.step = s
	r, ok := s.Reply.Get()
	if !ok {
		if s.Do == claim.End && a.reply == nil {
			t.Fatalf("%s ended without a reply", a.id)
		}
		return
	}
	if a.reply != nil {
		t.Fatalf("%s replied twice", a.id)
	}
	a.reply, a.ran = &r, amaranthtide.RanYes
	if r.Err != nil {
		a.ran = amaranthtide.KindOf(r.Err).Reply().Ran
	} else if !slices.ContainsFunc(m.answers[a.key], func(b []byte) bool { return bytes.Equal(b, r.Answer.Body) }) {
		t.Fatalf("%s got a body of %d bytes that is not an answer of its key", a.id, len(r.Answer.Body))
	} else if !slices.ContainsFunc(m.attempts, func(b *attempt) bool { return b.body == a.body && bytes.HasPrefix(r.Answer.Body, []byte(b.id)) }) {
		t.Fatalf("%s got the answer to a request with another body", a.id)
	} else if !r.Stored && !bytes.HasPrefix(r.Answer.Body, []byte(a.id)) {
		t.Fatalf("%s got the answer of another attempt as its own", a.id)
	}
	if a.ran == amaranthtide.RanYes && (!r.Stored && a.sends != 1 || m.totalSends[a.key] == 0) {
		t.Fatalf("%s got a reply that its request ran; sends got: %d, of the key: %d, want: 1", a.id, a.sends, m.totalSends[a.key])
	}
}

// skipTime advances the time by d, which is longer than any commit stays in flight, and
// drops the delayed commits.
func (m *claimModel) skipTime(d time.Duration) {
	m.now = m.now.Add(d)
	m.table.pendingCommits = nil
	m.skippedTime = true
}

// Guards against a request with an idempotency key that runs twice, an answer that is
// not that of the single run, and an error that says "not run" after the request was
// sent (P5, P6). The steps of routers are interleaved, routers are killed and paused,
// and calls to the platform fail at random.
func TestClaimsRunAtMostOnce(t *testing.T) {
	checkTimes(t, 4, func(t *rapid.T) {
		m := &claimModel{table: newFakeTable(), now: epoch, objects: map[string][]byte{},
			sendsSinceSweep: map[amaranthtide.StoredKey]int{}, totalSends: map[amaranthtide.StoredKey]int{}, answers: map[amaranthtide.StoredKey][][]byte{}}
		m.table.onCommit = func(tx amaranthtide.Transaction) {
			for _, w := range tx.Writes {
				if w.Value == nil {
					delete(m.sendsSinceSweep, w.Key)
				}
			}
		}
		advance := func(t *rapid.T) { m.advance(t, m.drawAttempt(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "advance1": advance, "advance2": advance, "advance3": advance, "advance4": advance,
			"kill": func(t *rapid.T) {
				if a := m.drawAttempt(t); a != nil && rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
					a.killed = true
				}
			},
			"lateCommit": m.table.commitLate,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			},
			"sweep": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "skipTime") == 0 {
					m.skipTime(rapid.SampledFrom([]time.Duration{25 * time.Hour, 31 * 24 * time.Hour}).Draw(t, "duration"))
				}
				if tx, ok := claim.Sweep(m.now, m.table.list(claim.Prefix, "", 10), claim.Retention{}, "sweep").Get(); ok {
					m.table.call(t, amaranthtide.TableCall{Transaction: amaranthtide.Some(tx)})
				}
			},
			"": func(t *rapid.T) {
				for _, a := range m.attempts {
					if a.reply != nil && a.ran == amaranthtide.RanNo && a.sends > 0 {
						t.Fatalf("%s got %v, which says not run, but was sent", a.id, a.reply.Err)
					}
				}
			},
		})
		// Without faults, every router that was not killed has to finish.
		m.table.removeFaults(t)
		m.faultless = true
		for _, a := range m.attempts {
			for n := 0; !a.killed && a.step.Do != claim.End; n++ {
				if n > 400 {
					t.Fatalf("%s did not finish: %+v", a.id, a.step)
				}
				m.advance(t, a)
				m.now = m.now.Add(a.step.Wait)
			}
			row := m.table.rows[a.key]
			if a.ran == amaranthtide.RanNo && a.reply != nil && !a.killed && !m.skippedTime && string(row.Token) == a.id {
				t.Fatalf("%s was refused as not run, but its row remains: %s", a.id, row.Value)
			}
		}
	})
}
