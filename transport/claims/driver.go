// Package claims runs the at-most-once decisions of coordination/claim against the
// platform's table service and object store.
//
// # Usage
//
//	d := claims.New(claims.Options{VM: "vm-1", Table: platform, Objects: platform})
//	defer d.Close() // waits for writes in the background
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

// Options are the parts that a Driver works with. All but Logger are required.
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

// Driver serves requests that may not be repeated. It is concurrent-safe.
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

// closeTimeout bounds the wait for results that can't be stored because the platform
// is down. A repeat of such a key is told that the outcome is unknown.
const closeTimeout = 10 * time.Second

// Close waits for writes in the background, at most 10 s.
func (d *Driver) Close() {
	timer := time.AfterFunc(closeTimeout, d.cancel)
	defer timer.Stop()
	d.wg.Wait()
	d.cancel()
}

// Serve sends the request by send at most once, and only with a claim.
func (d *Driver) Serve(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter, send func(ctx context.Context, w amaranthtide.AnswerWriter) error) error {
	r := &claimRunner{
		driver: d,
		claim:  claim.New(claim.Config{Request: req, VM: d.opts.VM, Token: amaranthtide.NewToken()}),
		req:    req,
		send:   send,
		reply:  make(chan claim.Reply, 1),
	}
	// The claim goes on without the caller: its result must be stored.
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

// sleep waits, or returns false when the driver has stopped.
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

// maxAnswerBytes bounds an answer that is held in memory to be stored.
const maxAnswerBytes = 4 << 20

// answerBuffer collects an answer until it is whole.
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
