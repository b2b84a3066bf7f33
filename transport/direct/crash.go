package direct

import (
	"context"
	"errors"
	"strings"
	"time"

	"amaranthtide"
)

// youngAnswer is the age up to which an answer may have caused the crash of its server: a
// request that crashes servers does so when they begin its answer.
const youngAnswer = 250 * time.Millisecond

// observeCrash detects that the server of a failed attempt crashed before it had answered,
// or soon after it had begun to.
func (r *requestRun) observeCrash(ctx context.Context, in amaranthtide.Instance, err error) {
	if !r.mayBeCrash(ctx, time.Now(), err) || !r.dispatcher.opts.Prober.Refuses(ctx, in.Address) {
		return
	}
	r.dispatcher.crashes.Add(1)
	begun := amaranthtide.IsKind(err, amaranthtide.KindTruncated)
	r.dispatcher.opts.Crashes.Crashed(time.Now(), r.attemptSentAt, r.subject, in.Name, begun)
	r.dispatcher.opts.Logger.Warn("server crashed", "request", string(r.req.ID), "server", string(in.Name), "service", string(in.Service),
		"prompt", promptText(r.subject.Suspects), "begun", begun)
}

// mayBeCrash reports whether err is the broken connection of an attempt that its server had
// not answered, or had begun to answer a moment before.
func (r *requestRun) mayBeCrash(ctx context.Context, now time.Time, err error) bool {
	if r.dispatcher.opts.Prober == nil || ctx.Err() != nil || errors.Is(err, errStartTimeout) || errors.Is(err, errStalled) {
		return false
	}
	if !r.answer.begunAt.IsZero() && now.Sub(r.answer.begunAt) > youngAnswer {
		return false
	}
	kind := amaranthtide.KindOf(err)
	return kind == amaranthtide.KindTruncated || kind == amaranthtide.KindOutcomeUnknown
}

// Crashes returns the number of attempts that ended with a crash of their server.
func (d *Dispatcher) Crashes() int64 { return d.crashes.Load() }

// promptText returns the parts of a prompt as text for logs.
func promptText(parts []amaranthtide.PromptPart) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p)
	}
	return strings.Join(texts, ",")
}
