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
	// deferFailure tells that a failure of the server may give way to another attempt.
	deferFailure bool
	// deferred is the server's failure that is shown if no later attempt answers; nil once
	// an answer is shown.
	deferred *deferredAnswer
	// deferring tells that the chunks of the present attempt go into held.
	deferring bool
	// serverFailed tells that the present attempt was answered with a failure of the server.
	serverFailed bool
	headSent     bool
	// phase is that of the present attempt, which its courier and the bound on silence change.
	phase   atomic.Int32
	scanner completion.Scanner
	// partialEvent holds the bytes of an event in progress of a resumable stream.
	partialEvent []byte
}

// The phases of an attempt. An attempt is silent if its answer has not begun in time;
// it is abandoned if another server is asked then.
const (
	phaseWaiting int32 = iota
	phaseStarted
	phaseTimedOut
	phaseAbandoned
)

type deferredAnswer struct {
	head amaranthtide.AnswerHead
	body []byte
}

func (a *answer) lastEventID() string {
	if !a.resumable || !a.headSent {
		return ""
	}
	return a.scanner.LastID()
}

// Head implements amaranthtide.AnswerWriter.
func (a *answer) Head(h amaranthtide.AnswerHead) error {
	if !a.start() {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "the stream began too late: %w", errStartTimeout)
	}
	a.deferring, a.serverFailed = false, h.Status >= http.StatusInternalServerError
	if a.headSent {
		if h.Status != http.StatusOK {
			return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "status %d for a stream that goes on", h.Status)
		}
		a.partialEvent = a.partialEvent[:0]
		a.scanner.Resume()
		return nil
	}
	if a.deferFailure && a.serverFailed {
		a.deferred, a.deferring = &deferredAnswer{head: h}, true
		return nil
	}
	a.headSent, a.deferred = true, nil
	return a.w.Head(h)
}

// start reports whether the answer of the attempt may be shown. An answer that comes
// whole may be shown also after it was given up; a stream would be cut.
func (a *answer) start() bool {
	if a.phase.CompareAndSwap(phaseWaiting, phaseStarted) || !a.stream {
		return true
	}
	return a.phase.Load() != phaseAbandoned
}

// Chunk implements amaranthtide.AnswerWriter.
func (a *answer) Chunk(b []byte) error {
	if a.deferring {
		a.deferred.body = append(a.deferred.body, b...)
		return nil
	}
	if !a.resumable {
		return a.w.Chunk(b)
	}
	return a.writeEvents(b)
}

// writeEvents passes on whole writeEvents only, so that another server can go on after the
// last of them.
func (a *answer) writeEvents(b []byte) error {
	end, err := a.scanner.Scan(b)
	if err != nil {
		return err
	}
	if end == 0 {
		a.partialEvent = append(a.partialEvent, b...)
		return nil
	}
	complete := b[:end]
	if len(a.partialEvent) > 0 {
		complete = slices.Concat(a.partialEvent, complete)
	}
	a.partialEvent = append(a.partialEvent[:0], b[end:]...)
	return a.w.Chunk(complete)
}

// flush passes on what followed the last event of a stream that ended cleanly.
func (a *answer) flush() error {
	if len(a.partialEvent) == 0 {
		return nil
	}
	return a.w.Chunk(a.partialEvent)
}

// writeDeferred shows the held answer.
func (a *answer) writeDeferred() error {
	if err := a.w.Head(a.deferred.head); err != nil {
		return err
	}
	return a.w.Chunk(a.deferred.body)
}
