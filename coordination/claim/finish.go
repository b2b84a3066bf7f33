package claim

import (
	"time"

	"amaranthtide"
)

// handleSend processes the outcome of the send and writes the result.
func (c *Claim) handleSend(now time.Time, o Outcome) Step {
	if o.Refused {
		return c.release(now, refusal(amaranthtide.KindDeadlineUnmet, "the deadline passed before the request was sent"))
	}
	if o.Err != nil {
		kind := amaranthtide.KindOf(o.Err)
		if kind.Reply().Ran == amaranthtide.RanNo {
			return c.release(now, Reply{Err: o.Err})
		}
		if kind.Reply().Ran == amaranthtide.RanUnknown {
			// KindCanceled, for example, would be wrong for a repeat, which was not
			// canceled itself.
			kind = amaranthtide.KindOutcomeUnknown
		}
		return c.finish(now, Reply{Err: o.Err}, record{Failure: kind.String()})
	}
	c.body = o.Answer.Body
	stored := encodeAnswer(o.Answer)
	if len(c.body) > MaxInlineBody {
		// The token separates this answer from that of an earlier attempt with the same
		// key whose row was swept.
		stored.Body, stored.Object = nil, string(c.key)+"/"+string(c.cfg.Token)
	}
	return c.finish(now, Reply{Answer: o.Answer}, record{Answer: stored})
}

// finish writes `done`. The reply is returned with the first step, so the caller does
// not wait for the write.
func (c *Claim) finish(now time.Time, reply Reply, result record) Step {
	c.finalRecord = c.record(now, done)
	c.finalRecord.Answer, c.finalRecord.Failure = result.Answer, result.Failure
	c.beginFollowUp(now)
	var step Step
	if a := c.finalRecord.Answer; a != nil && a.Object != "" {
		c.phase = storingObject
		step = Step{Do: PutObject, Object: a.Object, Data: c.body}
	} else {
		step = c.writeFinal(writingDone, c.rowVersion)
	}
	step.Reply = amaranthtide.Some(reply)
	return step
}

// handleObjectStored writes `done` after the object has been stored, because `done` must
// not name an object that may be missing. If storing fails until the follow-up timeout,
// `done` is written without the answer: repeats then learn that the request was run
// and that its answer is lost. Until then they learn that the outcome is unknown.
func (c *Claim) handleObjectStored(now time.Time, err error) Step {
	if err != nil && !c.followUpExpired(now) {
		return Step{Do: PutObject, Object: c.finalRecord.Answer.Object, Data: c.body, Wait: c.nextBackoff()}
	}
	c.body = nil
	if err != nil {
		c.finalRecord.Answer, c.finalRecord.Failure = nil, amaranthtide.KindTruncated.String()
		// The table service may be available although the object store is not, so the
		// write gets its own timeout.
		c.beginFollowUp(now)
	}
	return c.writeFinal(writingDone, c.rowVersion)
}

// release writes `released`: the request was not sent and will not be. If the write of
// `dispatched` may still take effect, `released` is written on the same condition, so
// that only one of the two succeeds.
func (c *Claim) release(now time.Time, reply Reply) Step {
	c.finalRecord = c.record(now, released)
	c.beginFollowUp(now)
	version := c.rowVersion
	if c.writePending {
		version = c.baseVersion
	}
	step := c.writeFinal(writingReleased, version)
	step.Reply = amaranthtide.Some(reply)
	return step
}

func (c *Claim) beginFollowUp(now time.Time) {
	c.followUpStart, c.backoff, c.nextWait = now, backoffMin, 0
}

func (c *Claim) followUpExpired(now time.Time) bool {
	return now.Sub(c.followUpStart) > c.cfg.FollowUpTimeout
}

func (c *Claim) writeFinal(p phase, version amaranthtide.RowVersion) Step {
	tx, err := c.transaction(c.cfg.Token+"-"+amaranthtide.WriteToken(c.finalRecord.State), version, c.finalRecord)
	if err != nil {
		c.phase = ended
		return Step{Do: End}
	}
	c.phase, c.tx = p, tx
	return c.commit()
}

func (c *Claim) handleFinalWrite(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err == nil {
		c.phase = ended
		return Step{Do: End}
	}
	if c.followUpExpired(now) {
		// The row stays `dispatched`, so repeats learn that the outcome is unknown.
		c.phase = ended
		return Step{Do: End}
	}
	c.phase++ // writingDone -> checkingDone, writingReleased -> checkingReleased
	c.nextWait = c.nextBackoff()
	return c.readRow()
}

// handleFinalCheck retries the final write according to the row that was read, unless
// the write has taken effect or the row belongs to another claim.
func (c *Claim) handleFinalCheck(now time.Time, r amaranthtide.TableResult) Step {
	if r.Err != nil {
		if c.followUpExpired(now) {
			c.phase = ended
			return Step{Do: End}
		}
		c.nextWait = c.nextBackoff()
		return c.readRow()
	}
	row, ok := r.Row.Get()
	if c.phase == checkingReleased && row.Version == c.baseVersion {
		// Neither `dispatched` nor `released` has taken effect yet.
		return c.writeFinal(writingReleased, c.baseVersion)
	}
	rec, err := decodeRecord(row)
	if !ok || err != nil || rec.Token != c.cfg.Token || rec.State != dispatched {
		c.phase = ended
		return Step{Do: End}
	}
	return c.writeFinal(c.phase-1, row.Version)
}
