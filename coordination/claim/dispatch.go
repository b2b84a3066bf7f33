package claim

import (
	"time"

	"amaranthtide"
)

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

func (c *Claim) handleDispatchedWrite(now time.Time, r amaranthtide.TableResult) Step {
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

// handleDispatchedCheck resolves the write of `dispatched` from the row that was read,
// or handles the row of another claim.
func (c *Claim) handleDispatchedCheck(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return c.retryClaim(now)
	}
	row, ok := r.Row.Get()
	if row.Version == c.baseVersion {
		// Either the write has not taken effect yet, or the conflicting row has been
		// swept.
		c.phase, c.conflicting = writingDispatched, false
		return c.retryClaim(now)
	}
	if !ok {
		// The `released` row that was to be replaced has been swept.
		return c.writeDispatched(now, 0)
	}
	return c.handleRow(now, row)
}

// handleRow continues according to the state of an existing row.
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

// dispatchConfirmed continues once this claim's `dispatched` row is known to be stored.
func (c *Claim) dispatchConfirmed(now time.Time, version amaranthtide.RowVersion) Step {
	c.rowVersion, c.writePending = version, false
	if c.deadlinePassed(now) {
		return c.release(now, refusal(amaranthtide.KindDeadlineUnmet, "the deadline passed before the request was sent"))
	}
	c.phase = sending
	return Step{Do: Send}
}

// retryClaim retries the write or read of the row after a pause, or gives up at the
// deadline or the claim timeout.
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

// poll reads the `dispatched` row of another claim again, until it has a result or the
// deadline passes.
func (c *Claim) poll(now time.Time) Step {
	if c.deadlinePassed(now) {
		return c.end(unknownOutcome())
	}
	c.phase = polling
	c.nextWait = min(c.nextBackoff(), c.cfg.Request.Deadline.Sub(now))
	return c.readRow()
}

func (c *Claim) handlePoll(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		return c.poll(now)
	}
	row, ok := r.Row.Get()
	if !ok {
		// The claim was swept, so it is unknown whether its request had run.
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
		return c.end(Reply{Err: amaranthtide.Errorf(kind, "the earlier attempt with this idempotency key has no complete answer"), Stored: true})
	case rec.Answer.Object == "":
		return c.end(Reply{Answer: rec.Answer.withBody(rec.Answer.Body), Stored: true})
	default:
		c.phase, c.storedAnswer = fetchingObject, rec.Answer
		return Step{Do: GetObject, Object: rec.Answer.Object}
	}
}

func (c *Claim) handleObject(now time.Time, o Outcome) Step {
	body, ok := o.Object.Get()
	if o.Err == nil && ok {
		return c.end(Reply{Answer: c.storedAnswer.withBody(body), Stored: true})
	}
	if o.Err != nil && !c.deadlinePassed(now) {
		return Step{Do: GetObject, Object: c.storedAnswer.Object, Wait: c.nextBackoff()}
	}
	return c.end(Reply{Err: amaranthtide.Errorf(amaranthtide.KindTruncated, "the request was run, but its stored answer cannot be read"), Stored: true})
}
