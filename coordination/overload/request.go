package overload

import (
	"math"
	"time"

	"amaranthtide"
)

const (
	// promptTokensPerOutput is the number of prompt tokens that cost an engine as much as one of
	// output: a prompt is read many tokens at a time.
	promptTokensPerOutput = 16
	// sharedPromptShare is the part of the shared prompt that counts as work, since an engine has
	// most likely cached it.
	sharedPromptShare = 0.2
	// epoch is the time after which a request that returns gets another sample.
	epoch = 200 * time.Millisecond
)

// Request is what the decision needs to know of a request.
type Request struct {
	ID        amaranthtide.RequestID
	Workspace amaranthtide.WorkspaceName
	Chat      amaranthtide.ChatID
	Prompt    []amaranthtide.PromptPart
	Priority  int
	// Work is the estimated work in tokens of output.
	Work    float64
	Arrived time.Time
	// Latest is when the first event must have come.
	Latest time.Time
}

// RequestOf returns what the decision needs to know of r.
func RequestOf(r *amaranthtide.Request) Request {
	latest := r.FirstEventBy
	if latest.IsZero() {
		latest = r.Deadline
	}
	shared := min(r.SharedTokens, r.PromptTokens)
	prompt := float64(r.PromptTokens-shared) + sharedPromptShare*float64(shared)
	return Request{
		ID: r.ID, Workspace: r.Workspace, Chat: r.Chat, Prompt: r.PromptParts, Priority: max(0, r.Priority),
		Work: max(1, float64(r.OutputTokens)+prompt/promptTokensPerOutput), Arrived: r.Arrived, Latest: latest,
	}
}

// sample returns a number from 0 to 1, by which the request is admitted, if it arrives at the given
// time. It is the same at all routers. It moves by the golden section in each epoch, so that a request that
// was rejected gets a low one soon, at whatever router.
func (r Request) sample(at time.Time) float64 {
	const golden = 0.6180339887498949
	const bits = 32
	start := float64(key(r.Workspace, "sample", string(r.ID))>>(64-bits)) / (1 << bits)
	_, fraction := math.Modf(start + golden*float64(at.UnixNano()/int64(epoch)%(1<<bits)))
	return fraction
}
