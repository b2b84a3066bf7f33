package direct

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/completion"
)

// answer merges the answers of a request's attempts into the one answer that the caller
// gets.
type answer struct {
	w         amaranthtide.AnswerWriter
	resumable bool
	stream    bool
	// deferFailure is set if a failure answered by the server may be replaced by the answer
	// of another attempt.
	deferFailure bool
	// deferred is the server's failure that the caller gets if no later attempt answers;
	// nil once an answer has been passed on.
	deferred *deferredAnswer
	// deferring is set while the chunks of the current attempt are stored in deferred.
	deferring bool
	// serverFailed is set if the server answered the current attempt with a failure.
	serverFailed bool
	headSent     bool
	// mediaType is the media type of the answer that was passed on.
	mediaType string
	// hasEvents is set if that answer is a stream of events after which it may be resumed.
	hasEvents bool
	// begunAt is when the current attempt delivered the first bytes of its body; zero if it
	// has not.
	begunAt time.Time
	// onBegun is called with the first bytes of the body of the current attempt.
	onBegun func()
	// onEvent is called before an event of the current attempt is passed on.
	onEvent func(now time.Time)
	// sound is set once the current attempt has shown that the request doesn't crash its
	// server, which onSound reports.
	sound   bool
	onSound func(now time.Time)
	// phase is the phase of the current attempt. The attempt sender and the start timer
	// change it concurrently. Each attempt has its own, since the timer may fire after its end.
	phase   *atomic.Int32
	scanner completion.Scanner
	// stalls watches the progress of the current attempt; nil if its stream may not be resumed.
	stalls *stallWatch
	// partialEvent holds the bytes of an incomplete event of a resumable stream.
	partialEvent []byte
}

// The phases of an attempt. If its answer has not started within the start timeout, an
// attempt is abandoned if another server can be tried, and otherwise marked as timed out.
const (
	phaseWaiting int32 = iota
	phaseStarted
	phaseTimedOut
	phaseAbandoned
)

// maxEventBytes limits an event of a resumable stream, which is held until it is complete.
const maxEventBytes = completion.MaxLine

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

type deferredAnswer struct {
	head amaranthtide.AnswerHead
	body []byte
}

func (a *answer) lastEventID() string {
	if !a.hasEvents {
		return ""
	}
	return a.scanner.LastID()
}

// Head implements amaranthtide.AnswerWriter.
func (a *answer) Head(h amaranthtide.AnswerHead) error {
	if !a.start() {
		return amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "stream discarded: %w", errStartTimeout)
	}
	a.deferring, a.serverFailed = false, h.Status >= http.StatusInternalServerError
	if a.headSent {
		if h.Status != http.StatusOK {
			return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "status %d for a resumed stream", h.Status)
		}
		if got := mediaType(h); got != a.mediaType {
			return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "media type %q for a resumed stream of type %q", got, a.mediaType)
		}
		a.partialEvent = a.partialEvent[:0]
		a.scanner.Resume()
		a.stalls.start(time.Now())
		return nil
	}
	if a.deferFailure && a.serverFailed {
		a.deferred, a.deferring = &deferredAnswer{head: h}, true
		return nil
	}
	a.headSent, a.deferred, a.mediaType = true, nil, mediaType(h)
	// A resumable route may also answer with a failure, a redirection or another type of content.
	a.hasEvents = a.resumable && h.Status == http.StatusOK && (a.mediaType == eventStream || a.mediaType == "")
	if err := a.w.Head(h); err != nil {
		return err
	}
	if a.hasEvents {
		a.stalls.start(time.Now())
	}
	return nil
}

// start marks the answer of the attempt as started and reports whether it may be passed to
// the caller. An answer that is not streamed may be passed on even after the attempt was
// abandoned, since it arrives whole; a stream would be cut off.
func (a *answer) start() bool {
	if a.phase.CompareAndSwap(phaseWaiting, phaseStarted) || !a.stream {
		return true
	}
	return a.phase.Load() != phaseAbandoned
}

// Chunk implements amaranthtide.AnswerWriter.
func (a *answer) Chunk(b []byte) error {
	now := time.Now()
	if a.begunAt.IsZero() {
		a.begunAt = now
		a.onBegun()
	}
	if now.Sub(a.begunAt) > youngAnswer {
		a.markSound(now)
	}
	if a.deferring {
		a.deferred.body = append(a.deferred.body, b...)
		return nil
	}
	if !a.hasEvents {
		return a.w.Chunk(b)
	}
	return a.writeEvents(b)
}

// writeEvents passes on complete events only, so that another server can resume the stream
// after the last of them.
func (a *answer) writeEvents(b []byte) error {
	end, scanErr := a.scanner.Scan(b)
	if end == 0 {
		if scanErr == nil && len(a.partialEvent)+len(b) > maxEventBytes {
			scanErr = amaranthtide.Errorf(amaranthtide.KindBackendFailed, "event of a stream is longer than %d bytes", maxEventBytes)
		}
		if scanErr == nil {
			a.partialEvent = append(a.partialEvent, b...)
		}
		return scanErr
	}
	complete := b[:end]
	if len(a.partialEvent) > 0 {
		complete = slices.Concat(a.partialEvent, complete)
	}
	a.partialEvent = append(a.partialEvent[:0], b[end:]...)
	a.onEvent(time.Now())
	a.stalls.block()
	if err := a.w.Chunk(complete); err != nil {
		return err
	}
	a.stalls.progress(time.Now())
	return scanErr
}

// endsWithinEvent reports whether the current attempt has passed an incomplete event of a
// resumable stream.
func (a *answer) endsWithinEvent() bool { return len(a.partialEvent) > 0 }

// writeDeferred passes the deferred failure to the caller.
func (a *answer) writeDeferred() error {
	if err := a.w.Head(a.deferred.head); err != nil {
		return err
	}
	return a.w.Chunk(a.deferred.body)
}

// markSound reports that the request doesn't crash its server, once for each attempt.
func (a *answer) markSound(now time.Time) {
	if a.sound || a.begunAt.IsZero() || a.serverFailed {
		return
	}
	a.sound = true
	a.onSound(now)
}

// mediaType returns the media type of an answer without its parameters, empty if it names
// none.
func mediaType(h amaranthtide.AnswerHead) string {
	for _, f := range h.Header {
		if strings.EqualFold(f.Name, "Content-Type") {
			name, _, _ := strings.Cut(f.Value, ";")
			return strings.ToLower(strings.TrimSpace(name))
		}
	}
	return ""
}
