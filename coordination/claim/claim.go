// Package claim makes sure that a request with an idempotency key is sent at most
// once, and decides what repeats of the key receive.
//
// A claim is a row in the table service, keyed by workspace and idempotency key:
//
//	(absent)   -> dispatched  before the request is sent
//	dispatched -> done        with the complete answer or the kind of the failure
//	dispatched -> released    by its writer, if it did not send the request
//	released   -> dispatched  by any later attempt with the key
//
// Only the writer of `dispatched` sends the request, once, after the write was
// confirmed or read back by its token. No other attempt takes over a `dispatched`
// row. Every write is conditional on the version of the row that it replaces.
//
// A write with an unknown outcome may still take effect later. The claim resolves it
// by reading the row back. While the row is unchanged, it retries the same
// transaction, whose condition lets it take effect at most once. After
// Config.ClaimTimeout, the caller receives an error that says that the request was not
// run, and the claim writes `released` on the same condition. If the late write takes
// effect first, its row is replaced by `released`; otherwise it fails.
//
// Since a router may be paused at any point, its driver checks the deadline right
// before sending (MaySend). After the deadline, the request is not sent, and its
// writer, and no one else, releases the row. This bounds the age of a `dispatched`
// row whose request has not been sent yet, so that old rows can be deleted (Sweep).
//
// A reply that the request was not run refers to this attempt only: while the platform
// is down, it is unknown whether an earlier attempt with the same key has run.
//
// # Usage
//
// A Claim is a state machine. Its driver executes each step and passes the outcome to
// Next. Exactly one step carries the reply, which the driver delivers to the caller
// at once; the remaining steps run in the background until End. Abandoning them is
// safe: repeats then learn that the outcome is unknown.
//
//	c := claim.New(claim.Config{Request: req, VM: vm, Token: amaranthtide.NewWriteToken()})
//	step := c.Start(now)
//	for step.Do != claim.End {
//		var outcome claim.Outcome
//		if r, ok := step.Reply.Get(); ok {
//			deliver(r)
//		}
//		switch step.Do {
//		case claim.Call: // after step.Wait: outcome.Result = run(step.Call)
//		case claim.Send: // if c.MaySend(now): outcome.Answer, outcome.Err = send(req)
//			// otherwise: outcome.Refused = true
//		case claim.PutObject, claim.GetObject: // by step.Object, after step.Wait
//		}
//		step = c.Next(now, outcome)
//	}
//
// The End step may carry the reply, too. A Claim does no I/O, holds no lock and serves
// one request.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"amaranthtide"
)

const (
	// DefaultClaimTimeout is short, so that an entry VM whose request is refused still
	// has time to try a router of another zone that reaches the platform.
	DefaultClaimTimeout = 2 * time.Second
	// DefaultFollowUpTimeout is longer than an ordinary outage of the platform.
	DefaultFollowUpTimeout = 10 * time.Minute
	// MaxInlineBody is the maximum size in bytes of a body that is stored in the row.
	// Larger bodies are stored as objects.
	MaxInlineBody = 256 << 10

	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// Config describes the request of a claim.
type Config struct {
	// Request must have an idempotency key and a deadline.
	Request *amaranthtide.Request
	VM      amaranthtide.VMName
	// Token identifies the claim and must be unique.
	Token amaranthtide.WriteToken
	// ClaimTimeout is how long writing `dispatched` is tried; 0 means
	// DefaultClaimTimeout.
	ClaimTimeout time.Duration
	// FollowUpTimeout is how long writing `done` or `released` is tried; 0 means
	// DefaultFollowUpTimeout.
	FollowUpTimeout time.Duration
}

// Answer is a complete answer to a request.
type Answer struct {
	Status int
	Header []amaranthtide.HeaderField
	Body   []byte
}

// Reply is the result for the caller: an answer, or an error whose kind states whether
// the request was run.
type Reply struct {
	Answer Answer
	Err    error
	// Stored reports whether the result is that of an earlier attempt.
	Stored bool
}

// Action is the kind of a Step.
type Action uint8

// The actions.
const (
	// Call waits for Step.Wait, executes Step.Call and sets Outcome.Result.
	Call Action = iota
	// Send sends the request if MaySend allows it at that moment, and sets
	// Outcome.Answer, Err or Refused.
	Send
	// PutObject waits for Step.Wait, stores Step.Data as Step.Object and sets
	// Outcome.Err.
	PutObject
	// GetObject waits for Step.Wait, reads Step.Object and sets Outcome.Object or Err.
	GetObject
	// End is the last step; it needs no action.
	End
)

// Step is the next operation for the driver of a Claim.
type Step struct {
	Do     Action
	Wait   time.Duration
	Call   amaranthtide.TableCall
	Object string
	Data   []byte
	// Reply is set on exactly one step of a claim.
	Reply amaranthtide.Option[Reply]
}

// Outcome is the result of a step.
type Outcome struct {
	Result amaranthtide.TableResult
	// Answer is complete if Err is nil. An Err of a kind that means "not run" guarantees
	// that no byte was sent.
	Answer Answer
	Err    error
	// Refused reports that MaySend returned false and nothing was sent.
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

// Claim is the state machine of one request with an idempotency key. Create one with
// New.
type Claim struct {
	cfg      Config
	key      amaranthtide.StoredKey
	bodySHA  string
	phase    phase
	started  time.Time
	backoff  time.Duration
	nextWait time.Duration
	// baseVersion is the row version that the write of `dispatched` replaces.
	baseVersion amaranthtide.RowVersion
	// rowVersion is the version of this claim's own row, once known.
	rowVersion amaranthtide.RowVersion
	// writePending reports whether a write of `dispatched` may still take effect.
	writePending bool
	// conflicting reports whether the row belongs to another claim, whose request may
	// have run.
	conflicting bool
	tx          amaranthtide.Transaction
	// finalRecord is the `done` or `released` record. Its write has been tried since
	// followUpStart.
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

// Start returns the first step. It writes without reading first, because most keys
// are new and a conflict leads to a read.
func (c *Claim) Start(now time.Time) Step {
	c.started = now
	if !now.Before(c.cfg.Request.Deadline) {
		return c.end(refusal(amaranthtide.KindDeadlineUnmet, "the deadline has passed"))
	}
	return c.writeDispatched(now, 0)
}

// MaySend reports whether the request may still be sent. The driver must call it right
// before sending, after any wait for a connection.
func (c *Claim) MaySend(now time.Time) bool {
	return c.phase == sending && now.Before(c.cfg.Request.Deadline)
}

// Next processes the outcome of the last step and returns the next one.
func (c *Claim) Next(now time.Time, o Outcome) Step {
	switch c.phase {
	case writingDispatched:
		return c.handleDispatchedWrite(now, o.Result)
	case checkingDispatched:
		return c.handleDispatchedCheck(now, o.Result)
	case polling:
		return c.handlePoll(now, o.Result)
	case fetchingObject:
		return c.handleObject(now, o)
	case sending:
		return c.handleSend(now, o)
	case storingObject:
		return c.handleObjectStored(now, o.Err)
	case writingDone, writingReleased:
		return c.handleFinalWrite(now, o.Result)
	case checkingDone, checkingReleased:
		return c.handleFinalCheck(now, o.Result)
	default:
		return Step{Do: End}
	}
}

func (c *Claim) record(now time.Time, s state) record {
	// The monotonic clock reading has no meaning on other routers.
	return record{State: s, Token: c.cfg.Token, Attempt: c.cfg.Request.Attempt, VM: c.cfg.VM, BodySHA256: c.bodySHA, Time: now.Round(0).UTC()}
}

func (c *Claim) transaction(token amaranthtide.WriteToken, version amaranthtide.RowVersion, r record) (amaranthtide.Transaction, error) {
	value, err := json.Marshal(r)
	return amaranthtide.Transaction{
		Token:      token,
		Conditions: []amaranthtide.Condition{{Key: c.key, Version: version}},
		Writes:     []amaranthtide.Write{{Key: c.key, Value: value}},
	}, err
}

func (c *Claim) deadlinePassed(now time.Time) bool { return !now.Before(c.cfg.Request.Deadline) }

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
