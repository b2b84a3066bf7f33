package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

// Evidence adds what this router knows to e.
func (l *Ledger) Evidence(now time.Time, e *amaranthtide.CrashEvidence) {
	l.expire(now)
	e.Crashes = append(e.Crashes, l.crashes...)
	for p, at := range l.answered {
		e.Answers = append(e.Answers, amaranthtide.PartAnswer{Service: l.service, Part: p, At: at})
	}
	for p, r := range l.released {
		if _, ok := l.answered[p]; !ok {
			e.Answers = append(e.Answers, amaranthtide.PartAnswer{Service: l.service, Part: p, At: r.answeredAt})
		}
	}
	for _, q := range l.quarantines {
		e.Quarantines = append(e.Quarantines, l.shared(q))
	}
}

// Hash returns the hash over the evidence; 0 if there is none.
func (l *Ledger) Hash(now time.Time) amaranthtide.EvidenceHash {
	if l.expire(now) {
		l.hash = l.computeHash()
	}
	return l.hash
}

// finish updates the hash after a change.
func (l *Ledger) finish(now time.Time, ch *Changes) {
	if ch.Evidence {
		l.expire(now)
		l.hash = l.computeHash()
	}
}

// The kinds of evidence, which go into the hash.
const (
	hashedCrash byte = iota + 1
	hashedBegunCrash
	hashedAnswer
	hashedLaterAnswer
	hashedQuarantine
)

// computeHash returns the hash over the evidence. Its order and its times don't matter, except
// that an answer after the last crash differs from an earlier one. Answers that have ended
// quarantines are left out: they are news only to a router that has the quarantine in its hash.
func (l *Ledger) computeHash() amaranthtide.EvidenceHash {
	sum := uint64(0)
	add := func(kind byte, name string, number uint64) {
		d := xxhash.New()
		_, _ = d.WriteString(string(l.service) + "\x00" + name)
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{kind}, number))
		sum ^= d.Sum64()
	}
	for _, c := range l.crashes {
		kind := hashedCrash
		if c.Begun {
			kind = hashedBegunCrash
		}
		add(kind, string(c.Server), uint64(c.Prompt))
	}
	for p, at := range l.answered {
		kind := hashedAnswer
		if last, ok := l.lastCrash(p); ok && at.After(last) {
			kind = hashedLaterAnswer
		}
		add(kind, string(p), 0)
	}
	for p, q := range l.quarantines {
		add(hashedQuarantine, string(p), uint64(q.level)<<32|uint64(len(q.companions)))
	}
	return amaranthtide.EvidenceHash(sum)
}

// expire drops what no longer counts, and reports whether that was anything.
func (l *Ledger) expire(now time.Time) bool {
	n := 0
	for n < len(l.crashes) && now.Sub(l.crashes[n].At) > evidenceAge {
		n++
	}
	l.crashes = l.crashes[n:]
	dropped := n > 0
	for p, q := range l.quarantines {
		if now.After(q.end().Add(probation)) {
			delete(l.quarantines, p)
			dropped = true
		}
	}
	for p, r := range l.released {
		if now.After(r.until) {
			delete(l.released, p)
		}
	}
	for p := range l.answered {
		_, suspected := l.lastCrash(p)
		if _, quarantined := l.quarantines[p]; !suspected && !quarantined {
			delete(l.answered, p)
			dropped = true
		}
	}
	return dropped
}
