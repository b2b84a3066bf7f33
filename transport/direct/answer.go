package direct

import (
	"net/http"
	"slices"
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/protocol/completion"
)

// answer passes the answers of the attempts on to the caller as one.
type answer struct {
	w         amaranthtide.AnswerWriter
	resumable bool
	stream    bool
	// mayHold tells that a failure of the server may give way to another attempt.
	mayHold bool
	// held is the server's failure that is shown if no later attempt answers; nil once
	// an answer is shown.
	held *heldAnswer
	// holding tells that the chunks of the present attempt go into held.
	holding bool
	// failed tells that the present attempt was answered with a failure of the server.
	failed bool
	shown  bool
	// phase is that of the present attempt, which its courier and the bound on silence change.
	phase   atomic.Int32
	scanner completion.Scanner
	// partial holds the bytes of an event in progress of a resumable stream.
	partial []byte
}

// The phases of an attempt. An attempt is silent if its answer has not begun in time;
// it is abandoned if another server is asked then.
const (
	phaseWaiting int32 = iota
	phaseBegun
	phaseSilent
	phaseAbandoned
)

type heldAnswer struct {
	head amaranthtide.AnswerHead
	body []byte
}

func (a *answer) lastID() string {
	if !a.resumable || !a.shown {
		return ""
	}
	return a.scanner.LastID()
}

// Head implements amaranthtide.AnswerWriter.
func (a *answer) Head(h amaranthtide.AnswerHead) error {
	if !a.begin() {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "the stream began too late: %w", errSilent)
	}
	a.holding, a.failed = false, h.Status >= http.StatusInternalServerError
	if a.shown {
		if h.Status != http.StatusOK {
			return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "status %d for a stream that goes on", h.Status)
		}
		a.partial = a.partial[:0]
		a.scanner.Resume()
		return nil
	}
	if a.mayHold && a.failed {
		a.held, a.holding = &heldAnswer{head: h}, true
		return nil
	}
	a.shown, a.held = true, nil
	return a.w.Head(h)
}

// begin reports whether the answer of the attempt may be shown. An answer that comes
// whole may be shown also after it was given up; a stream would be cut.
func (a *answer) begin() bool {
	if a.phase.CompareAndSwap(phaseWaiting, phaseBegun) || !a.stream {
		return true
	}
	return a.phase.Load() != phaseAbandoned
}

// Chunk implements amaranthtide.AnswerWriter.
func (a *answer) Chunk(b []byte) error {
	if a.holding {
		a.held.body = append(a.held.body, b...)
		return nil
	}
	if !a.resumable {
		return a.w.Chunk(b)
	}
	return a.events(b)
}

// events passes on whole events only, so that another server can go on after the
// last of them.
func (a *answer) events(b []byte) error {
	end, err := a.scanner.Scan(b)
	if err != nil {
		return err
	}
	if end == 0 {
		a.partial = append(a.partial, b...)
		return nil
	}
	whole := b[:end]
	if len(a.partial) > 0 {
		whole = slices.Concat(a.partial, whole)
	}
	a.partial = append(a.partial[:0], b[end:]...)
	return a.w.Chunk(whole)
}

// flush passes on what followed the last event of a stream that ended cleanly.
func (a *answer) flush() error {
	if len(a.partial) == 0 {
		return nil
	}
	return a.w.Chunk(a.partial)
}

// release shows the held answer.
func (a *answer) release() error {
	if err := a.w.Head(a.held.head); err != nil {
		return err
	}
	return a.w.Chunk(a.held.body)
}
