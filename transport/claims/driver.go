// Package claims executes the at-most-once protocol of coordination/claim: it makes
// the calls to the platform's table service and object store that a claim asks for.
//
// # Usage
//
//	d := claims.New(claims.Options{VM: "vm-1", Table: platform, Objects: platform})
//	defer d.Close() // waits for background writes
//	err := d.Serve(ctx, req, w, send)
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"amaranthtide"
	"amaranthtide/coordination/claim"
)

// Options holds the dependencies of a Driver. All fields except Logger are required.
type Options struct {
	VM      amaranthtide.VMName
	Table   TableCaller
	Objects amaranthtide.ObjectStore
	Logger  hclog.Logger
}

// TableCaller makes calls to the table service.
type TableCaller interface {
	Do(ctx context.Context, call amaranthtide.TableCall) amaranthtide.TableResult
}

// Driver serves requests that may not be repeated. It is safe for concurrent use.
type Driver struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Driver.
func New(opts Options) *Driver {
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{opts: opts, ctx: ctx, cancel: cancel}
}

// closeTimeout bounds the time that Close waits for background writes while the
// platform is down. If a result isn't stored by then, later requests with the same key
// fail with KindOutcomeUnknown.
const closeTimeout = 10 * time.Second

// Close waits for background writes, for at most closeTimeout.
func (d *Driver) Close() {
	timer := time.AfterFunc(closeTimeout, d.cancel)
	defer timer.Stop()
	d.wg.Wait()
	d.cancel()
}

// Serve claims the idempotency key of the request, calls send at most once and writes
// the answer to w. If an earlier request with the key has finished, Serve replies with
// its stored answer and marks it with the header Amaranthtide-Stored.
func (d *Driver) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter, send func(ctx context.Context, w amaranthtide.AnswerWriter) error) error {
	r := &claimRunner{
		driver: d,
		claim:  claim.New(claim.Config{Request: req, VM: d.opts.VM, Token: amaranthtide.NewWriteToken()}),
		req:    req,
		send:   send,
		reply:  make(chan claim.Reply, 1),
	}
	// The claim outlives the caller's request, since its result must be stored.
	d.wg.Go(func() { r.run(context.WithoutCancel(ctx)) })
	reply := <-r.reply
	if reply.Err != nil {
		return reply.Err
	}
	head := amaranthtide.AnswerHead{Attempt: req.Attempt, Status: reply.Answer.Status, Header: reply.Answer.Header}
	if reply.Stored {
		head.Header = append(head.Header, amaranthtide.HeaderField{Name: "Amaranthtide-Stored", Value: "true"})
	}
	if err := w.Head(head); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "write the answer: %w", err)
	}
	if err := w.Chunk(reply.Answer.Body); err != nil {
		return amaranthtide.Errorf(amaranthtide.KindCanceled, "write the answer: %w", err)
	}
	return nil
}

// claimRunner carries out the steps of one claim.
type claimRunner struct {
	driver *Driver
	claim  *claim.Claim
	req    *amaranthtide.Request
	send   func(ctx context.Context, w amaranthtide.AnswerWriter) error
	reply  chan claim.Reply
}

func (r *claimRunner) run(ctx context.Context) {
	replied := false
	for step := r.claim.Start(time.Now()); ; step = r.claim.Next(time.Now(), r.runStep(ctx, step)) {
		if reply, ok := step.Reply.Get(); ok {
			r.reply <- reply
			replied = true
		}
		if step.Do == claim.End {
			return
		}
		if r.driver.ctx.Err() != nil {
			break
		}
	}
	if !replied {
		r.reply <- claim.Reply{Err: amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "the router stopped before the claim was settled")}
	}
}

func (r *claimRunner) runStep(ctx context.Context, step claim.Step) claim.Outcome {
	if !r.driver.sleep(step.Wait) {
		return claim.Outcome{
			Err:    amaranthtide.Errorf(amaranthtide.KindPlatformDown, "the router has stopped"),
			Result: amaranthtide.TableResult{Err: amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "the router has stopped")},
		}
	}
	switch step.Do {
	case claim.Call:
		return claim.Outcome{Result: r.driver.opts.Table.Do(r.driver.ctx, step.Call)}
	case claim.Send:
		return r.sendOnce(ctx)
	case claim.PutObject:
		return claim.Outcome{Err: r.driver.opts.Objects.PutObject(r.driver.ctx, step.Object, step.Data)}
	default:
		object, err := r.driver.opts.Objects.GetObject(r.driver.ctx, step.Object)
		return claim.Outcome{Object: object, Err: err}
	}
}

func (r *claimRunner) sendOnce(ctx context.Context) claim.Outcome {
	if !r.claim.MaySend(time.Now()) {
		return claim.Outcome{Refused: true}
	}
	ctx, cancel := context.WithDeadline(ctx, r.req.Deadline)
	defer cancel()
	var answer answerBuffer
	err := r.send(ctx, &answer)
	return claim.Outcome{Answer: answer.Answer, Err: err}
}

// sleep waits and returns true, or returns false if the driver has stopped.
func (d *Driver) sleep(wait time.Duration) bool {
	if wait <= 0 {
		return d.ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// maxAnswerBytes bounds the answer body that is buffered for storing.
const maxAnswerBytes = 4 << 20

// answerBuffer buffers an answer until it is complete.
type answerBuffer struct{ claim.Answer }

// Head implements amaranthtide.AnswerWriter.
func (a *answerBuffer) Head(h amaranthtide.AnswerHead) error {
	a.Status, a.Header = h.Status, h.Header
	return nil
}

// Chunk implements amaranthtide.AnswerWriter.
func (a *answerBuffer) Chunk(b []byte) error {
	if len(a.Body)+len(b) > maxAnswerBytes {
		return amaranthtide.Errorf(amaranthtide.KindTruncated, "the answer exceeds %d bytes", maxAnswerBytes)
	}
	a.Body = append(a.Body, b...)
	return nil
}
