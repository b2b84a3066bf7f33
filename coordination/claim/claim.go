// Package claim decides whether a request that may not be repeated is sent, and
// what a repeat of its idempotency key is told.
//
// A claim is a row in the table service, keyed by workspace and idempotency key:
//
//	(absent)   -> dispatched  before the request is sent
//	dispatched -> done        with the whole answer, or the kind of the failure
//	dispatched -> released    by its writer, which knows that it did not send
//	released   -> dispatched  by whoever takes the key over
//
// Only the writer of `dispatched` sends, once, and only after the write was
// confirmed or read back by its token. Nobody takes a `dispatched` row over.
// Every write is conditional on the version of the row that it replaces.
//
// A write with an unknown outcome may still land later. It is settled by reading
// the row back; while the row is unchanged, the same transaction is tried again,
// and its condition lets it take effect at most once. If that goes on for longer
// than Patience, the request is refused as not run and the claim goes on to
// write `released` on the same condition, which either replaces the late write
// or keeps it from landing.
//
// A router that was paused checks the deadline right before sending (MaySend). A
// send after the deadline is refused and the row released, by its writer alone.
// This bounds how old a `dispatched` row can be whose request is yet to be sent,
// so that rows can be swept in the end.
//
// A refusal as not run is about this attempt: while the platform is down, nobody
// can tell whether an earlier attempt with the same key has run.
//
// # Usage
//
// A Claim is a state machine. Its driver runs the step that it returns and passes
// the outcome to Next. One of the steps carries the reply for the caller, which
// is handed over at once; the steps after it go on in the background until End.
// To drop them earlier is safe: repeats are then told that the outcome is unknown.
//
//	c := claim.New(claim.Config{Request: req, VM: vm, Token: amaranthtide.NewToken()})
//	step := c.Start(now)
//	for step.Do != claim.End {
//		if r, ok := step.Reply.Get(); ok {
//			deliver(r)
//		}
//		switch step.Do {
//		case claim.Call: // after step.Wait: result.Result = run(step.Call)
//		case claim.Send: // if c.MaySend(now): result.Answer, result.Err = send(req), else result.Refused = true
//		case claim.PutObject, claim.GetObject: // by step.Object, after step.Wait
//		}
//		step = c.Next(now, result)
//	}
//
// The last step may carry the reply, too. A Claim does no I/O, holds no lock and
// serves one request.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"amaranthtide"
)

const (
	// DefaultClaimTimeout is short, so that an entry that is refused here has time to
	// try a router of another zone that still reaches the platform.
	DefaultClaimTimeout = 2 * time.Second
	// DefaultFollowUpTimeout spans an ordinary outage of the platform.
	DefaultFollowUpTimeout = 10 * time.Minute
	// MaxInline is the greatest body that is kept in the row.
	MaxInline = 256 << 10

	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// Config describes the request of a claim.
type Config struct {
	// Request must have an idempotency key and a deadline.
	Request *amaranthtide.Request
	VM      amaranthtide.VMName
	// Token identifies the claim. It must be unique.
	Token amaranthtide.Token
	// ClaimTimeout bounds the tries to write `dispatched`; 0 is DefaultPatience.
	ClaimTimeout time.Duration
	// FollowUpTimeout bounds the tries to write `done` or `released`; 0 is DefaultFollowUp.
	FollowUpTimeout time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header []amaranthtide.HeaderField
	Body   []byte
}

// Reply is what the caller is told: an answer, or an error whose kind tells
// whether the request was run.
type Reply struct {
	Answer Answer
	Err    error
	// Stored marks the answer of an earlier attempt.
	Stored bool
}

// Action is what the driver of a Claim does next.
type Action uint8

// The actions.
const (
	// Call waits for Wait, runs Step.Call and answers with Result.
	Call Action = iota
	// Send sends the request if MaySend allows it at that moment, and answers with
	// Answer, Err or Refused.
	Send
	// PutObject waits, stores Step.Object with Step.Data and answers with Err.
	PutObject
	// GetObject waits, reads Step.Object and answers with Object or Err.
	GetObject
	// End means that nothing is left to do.
	End
)

// Step is what the driver does next.
type Step struct {
	Do     Action
	Wait   time.Duration
	Call   amaranthtide.TableCall
	Object string
	Data   []byte
	// Reply is set on exactly one step of a claim.
	Reply amaranthtide.Option[Reply]
}

// Outcome is what a step came to.
type Outcome struct {
	Result amaranthtide.TableResult
	// Answer is whole if Err is nil. An Err of a kind that was not run means that
	// no byte was sent.
	Answer Answer
	Err    error
	// Refused tells that MaySend did not allow the send.
	Refused bool
	Object  amaranthtide.Option[[]byte]
}

type phase uint8

const (
	writingDispatched phase = iota
	checkingDispatched
	polling
	fetchingObject
	sending
	storingObject
	writingDone
	checkingDone
	writingReleased
	checkingReleased
	ended
)

// Claim is the state machine of one request that may not be repeated. Use New.
type Claim struct {
	cfg      Config
	key      amaranthtide.StoredKey
	bodySHA  string
	phase    phase
	started  time.Time
	backoff  time.Duration
	nextWait time.Duration
	// baseVersion is the version that the write of `dispatched` replaces.
	baseVersion amaranthtide.RowVersion
	// rowVersion is the version of this claim's own row once it is known.
	rowVersion amaranthtide.RowVersion
	// writePending tells that a write of `dispatched` may be under way.
	writePending bool
	// conflicting tells that another claim stands in the way, which may have run.
	conflicting bool
	tx          amaranthtide.Transaction
	// finalRecord is what the follow-up writes, since followUp.
	finalRecord   record
	body          []byte
	followUpStart time.Time
	storedAnswer  *answerRecord
}

// New returns the claim of a request.
func New(cfg Config) *Claim {
	if cfg.ClaimTimeout <= 0 {
		cfg.ClaimTimeout = DefaultClaimTimeout
	}
	if cfg.FollowUpTimeout <= 0 {
		cfg.FollowUpTimeout = DefaultFollowUpTimeout
	}
	sum := sha256.Sum256(cfg.Request.Body)
	return &Claim{
		cfg:     cfg,
		key:     StoredKey(cfg.Request.Workspace, cfg.Request.Key),
		bodySHA: hex.EncodeToString(sum[:]),
		backoff: backoffMin,
	}
}

// Start returns the first step. It writes without reading first: most keys are
// new, and a conflict leads to a read.
func (c *Claim) Start(now time.Time) Step {
	c.started = now
	if !now.Before(c.cfg.Request.Deadline) {
		return c.end(refusal(amaranthtide.KindDeadlineUnmet, "the deadline has passed"))
	}
	return c.writeDispatched(now, 0)
}

// MaySend reports whether the request may still be sent. The driver asks right
// before it sends, after any wait for a connection.
func (c *Claim) MaySend(now time.Time) bool {
	return c.phase == sending && now.Before(c.cfg.Request.Deadline)
}

// Next takes the outcome of the last step and returns the next one.
func (c *Claim) Next(now time.Time, o Outcome) Step {
	switch c.phase {
	case writingDispatched:
		return c.dispatchedWritten(now, o.Result)
	case checkingDispatched:
		return c.dispatchedChecked(now, o.Result)
	case polling:
		return c.polled(now, o.Result)
	case fetchingObject:
		return c.fetched(now, o)
	case sending:
		return c.sent(now, o)
	case storingObject:
		return c.objectStored(now, o.Err)
	case writingDone, writingReleased:
		return c.finalWritten(now, o.Result)
	case checkingDone, checkingReleased:
		return c.finalChecked(now, o.Result)
	default:
		return Step{Do: End}
	}
}

// writeDispatched writes `dispatched` in place of the given version.
func (c *Claim) writeDispatched(now time.Time, base amaranthtide.RowVersion) Step {
	c.baseVersion, c.phase, c.writePending, c.conflicting = base, writingDispatched, false, false
	tx, err := c.transaction(c.cfg.Token, base, c.record(now, dispatched))
	if err != nil {
		return c.end(Reply{Err: err})
	}
	c.tx = tx
	return c.commit()
}

func (c *Claim) record(now time.Time, s state) record {
	// The monotonic part of the time has no meaning on other routers.
	return record{State: s, Token: c.cfg.Token, Attempt: c.cfg.Request.Attempt, VM: c.cfg.VM, BodySHA256: c.bodySHA, Time: now.Round(0).UTC()}
}

func (c *Claim) transaction(token amaranthtide.Token, version amaranthtide.RowVersion, r record) (amaranthtide.Transaction, error) {
	value, err := json.Marshal(r)
	return amaranthtide.Transaction{
		Token:      token,
		Conditions: []amaranthtide.Condition{{Key: c.key, Version: version}},
		Writes:     []amaranthtide.Write{{Key: c.key, Value: value}},
	}, err
}

func (c *Claim) dispatchedWritten(now time.Time, r amaranthtide.TableResult) Step {
	switch {
	case r.Err == nil && len(r.Versions) == 1:
		return c.dispatchConfirmed(now, r.Versions[0])
	case amaranthtide.IsKind(r.Err, amaranthtide.KindPlatformDown):
		if !c.writePending {
			return c.retryClaim(now)
		}
	case amaranthtide.IsKind(r.Err, amaranthtide.KindConflict):
		c.conflicting = !c.writePending
	default:
		c.writePending = true
	}
	c.phase = checkingDispatched
	return c.readRow()
}

// dispatchedChecked settles the write of `dispatched`, or finds whose key this is.
func (c *Claim) dispatchedChecked(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return c.retryClaim(now)
	}
	row, ok := r.Row.Get()
	if row.Version == c.baseVersion {
		// Not written yet; an earlier try may still be under way. Or the row that
		// stood in the way has been swept since.
		c.phase, c.conflicting = writingDispatched, false
		return c.retryClaim(now)
	}
	if !ok {
		// The row that was to be taken over is gone.
		return c.writeDispatched(now, 0)
	}
	return c.handleRow(now, row)
}

func (c *Claim) handleRow(now time.Time, row amaranthtide.StoredRow) Step {
	rec, err := decodeRecord(row)
	if err != nil {
		return c.end(Reply{Err: err})
	}
	switch {
	case rec.Token == c.cfg.Token && rec.State == dispatched:
		return c.dispatchConfirmed(now, row.Version)
	case rec.BodySHA256 != c.bodySHA:
		return c.end(refusal(amaranthtide.KindKeyReused, "the idempotency key was used with another body"))
	case rec.State == released:
		if c.deadlinePassed(now) {
			return c.end(refusal(amaranthtide.KindDeadlineUnmet, "the deadline has passed"))
		}
		return c.writeDispatched(now, row.Version)
	case rec.State == done:
		return c.replyFrom(rec)
	default:
		return c.poll(now)
	}
}

// dispatchConfirmed is reached when this claim's `dispatched` row is in place.
func (c *Claim) dispatchConfirmed(now time.Time, version amaranthtide.RowVersion) Step {
	c.rowVersion, c.writePending = version, false
	if c.deadlinePassed(now) {
		return c.release(now, refusal(amaranthtide.KindDeadlineUnmet, "the deadline passed before the request was sent"))
	}
	c.phase = sending
	return Step{Do: Send}
}

func (c *Claim) deadlinePassed(now time.Time) bool { return !now.Before(c.cfg.Request.Deadline) }

// retryClaim tries the same transaction again, or gives up.
func (c *Claim) retryClaim(now time.Time) Step {
	if c.deadlinePassed(now) || now.Sub(c.started) > c.cfg.ClaimTimeout {
		if c.conflicting {
			return c.end(unknownOutcome())
		}
		reply := refusal(amaranthtide.KindPlatformDown, "the platform's table service did not answer; this attempt was not run")
		if c.writePending {
			return c.release(now, reply)
		}
		return c.end(reply)
	}
	c.nextWait = c.nextBackoff()
	if c.conflicting {
		return c.readRow()
	}
	c.phase = writingDispatched
	return c.commit()
}

func (c *Claim) poll(now time.Time) Step {
	if c.deadlinePassed(now) {
		return c.end(unknownOutcome())
	}
	c.phase = polling
	c.nextWait = min(c.nextBackoff(), c.cfg.Request.Deadline.Sub(now))
	return c.readRow()
}

func (c *Claim) polled(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return c.poll(now)
	}
	row, ok := r.Row.Get()
	if !ok {
		// The claim was swept. Whether it had run can't be told any more.
		return c.end(unknownOutcome())
	}
	return c.handleRow(now, row)
}

func (c *Claim) replyFrom(rec record) Step {
	switch {
	case rec.Answer == nil:
		kind, ok := amaranthtide.ParseKind(rec.Failure)
		if !ok {
			kind = amaranthtide.KindOutcomeUnknown
		}
		return c.end(Reply{Err: amaranthtide.Errorf(kind, "the attempt with this idempotency key has no whole answer"), Stored: true})
	case rec.Answer.Object == "":
		return c.end(Reply{Answer: rec.Answer.withBody(rec.Answer.Body), Stored: true})
	default:
		c.phase, c.storedAnswer = fetchingObject, rec.Answer
		return Step{Do: GetObject, Object: rec.Answer.Object}
	}
}

func (c *Claim) fetched(now time.Time, o Outcome) Step {
	body, ok := o.Object.Get()
	if o.Err == nil && ok {
		return c.end(Reply{Answer: c.storedAnswer.withBody(body), Stored: true})
	}
	if o.Err != nil && !c.deadlinePassed(now) {
		return Step{Do: GetObject, Object: c.storedAnswer.Object, Wait: c.nextBackoff()}
	}
	return c.end(Reply{Err: amaranthtide.Errorf(amaranthtide.KindTruncated, "the request was run; its stored answer can't be read"), Stored: true})
}

func refusal(kind amaranthtide.Kind, message string) Reply {
	return Reply{Err: amaranthtide.Errorf(kind, "%s", message)}
}

func unknownOutcome() Reply {
	return refusal(amaranthtide.KindOutcomeUnknown, "an attempt with this idempotency key may have run")
}

func (c *Claim) readRow() Step {
	return Step{Do: Call, Wait: c.takeNextWait(), Call: amaranthtide.TableCall{Key: c.key}}
}

func (c *Claim) commit() Step {
	return Step{Do: Call, Wait: c.takeNextWait(), Call: amaranthtide.TableCall{Key: c.key, Transaction: amaranthtide.Some(c.tx)}}
}

func (c *Claim) takeNextWait() time.Duration {
	d := c.nextWait
	c.nextWait = 0
	return d
}

func (c *Claim) nextBackoff() time.Duration {
	d := c.backoff
	c.backoff = min(2*c.backoff, backoffMax)
	return d
}

func (c *Claim) end(r Reply) Step {
	c.phase = ended
	return Step{Do: End, Reply: amaranthtide.Some(r)}
}
