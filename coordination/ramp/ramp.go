// Package ramp decides how many requests one backend server bears while it warms
// up (P2 of the design page).
//
// A server is cold at first sight, after a new boot and after its service rate
// collapsed. Its allowance is then Config.ColdLimit and doubles in equal steps of
// time until it reaches Config.Capacity after Config.Duration. With k steps, the
// allowance after step i is max(ColdLimit, Capacity / 2^(k-i)). That curve is
// convex, starts at ColdLimit and ends at Capacity, hence it lies below a linear
// warm-up at every point. The ramp starts when the boot is learned, which is
// never before the boot, so the allowance also stays below the linear warm-up by
// the true age of the boot from the moment at which the boot is known. Before
// that moment nothing can be promised but Capacity.
//
// A step up needs Duration/k since the last step and at least one whole answer
// to a request that was started after the ramp did: a server that answers
// nothing does not warm up, and work of an earlier boot proves nothing. A late
// step delays all later ones.
//
// # Collapse of the service rate
//
// A sample is the rate in tokens per second of one answer. A sample below one
// third of the running mean is low; lowSamples low ones in a row reset the ramp.
// One low sample says little: an answer may have met another one's long prompt.
// Low samples don't enter the mean, or a slow decline would drag the mean along.
//
// Engines with continuous batching slow each answer down as the batch grows, so
// the rate of an answer at batch 64 may well be a quarter of that at batch 1. A
// single mean would take every surge for a collapse. Hence there is one mean per
// power of two of the concurrency. A mean is compared against only after
// minSamples samples. Answers under minTokens are dominated by their latency and
// leave the means alone.
//
// # Usage
//
//	r := ramp.New(now, ramp.Config{ColdLimit: 2, Capacity: 32, Duration: time.Minute})
//	r.Resume(now, boot, allowance) // a new owner that inherits a fresh allowance
//	r.ObserveBoot(now, report.Boot)
//	if inFlight < r.Allowance(now) {
//		// Admit.
//	}
//	r.Completed(now, ramp.Completion{Started: started, Tokens: 200, Took: took, Concurrency: inFlight})
//
// A Ramp is not concurrent-safe. Its owner calls it under the lock of the server.
package ramp

import (
	"math/bits"
	"time"

	"amaranthtide"
)

const (
	// lowSamples in a row reset the ramp. Long prompts of one workspace often come
	// in pairs or threes.
	lowSamples = 5
	// minSamples make a mean that samples are compared with.
	minSamples = 8
	// minTokens is the least length of an answer whose rate is sampled.
	minTokens = 8
	// sampleWeight is the weight of a new sample in a running mean.
	sampleWeight = 1.0 / 16
	// lowSampleFactor is how far below the mean a sample is low.
	lowSampleFactor    = 1.0 / 3
	concurrencyBuckets = 24
)

// Config describes the warm-up of a server.
type Config struct {
	// ColdLimit is the number of requests that a cold server bears; at least 1.
	ColdLimit int
	// Capacity is the number of requests that a warm server bears. A Capacity
	// below ColdLimit bounds the allowance from the start.
	Capacity int
	// Duration is the time from cold to warm; 0 means never cold.
	Duration time.Duration
}

// Completion describes one whole answer.
type Completion struct {
	// Started is when the request was sent to the server.
	Started time.Time
	// Tokens is the number of generated tokens; 0 if it is not known.
	Tokens int
	// Took is the time from the first token to the last, without the work on the
	// prompt, whose length says nothing about the server.
	Took time.Duration
	// Concurrency is the number of requests in flight at the server, this one included.
	Concurrency int
}

type runningMean struct {
	mean    float64
	samples int
}

// Ramp is the cold-start allowance of one server. Use New.
type Ramp struct {
	cfg       Config
	stepCount int
	boot      amaranthtide.BootID
	step      int
	started   time.Time // start of the ramp
	lastStep  time.Time // last step or start
	completed bool      // a completion since stepped
	lowCount  int
	rates     [concurrencyBuckets]runningMean
}

// New returns the Ramp of a server that is seen for the first time.
func New(now time.Time, cfg Config) *Ramp {
	cfg.ColdLimit = max(1, cfg.ColdLimit)
	cfg.Capacity = max(1, cfg.Capacity)
	r := &Ramp{cfg: cfg}
	for r.allowanceAt(0) > cfg.ColdLimit {
		r.stepCount++
	}
	r.reset(now)
	return r
}

// Boot returns the boot that was observed last; empty if none was.
func (r *Ramp) Boot() amaranthtide.BootID { return r.boot }

// ObserveBoot takes note of the server's boot. First sight of a boot or another
// boot restarts the ramp, and ObserveBoot then returns true. An empty boot is ignored.
func (r *Ramp) ObserveBoot(now time.Time, boot amaranthtide.BootID) bool {
	if boot == "" || boot == r.boot {
		return false
	}
	r.boot = boot
	r.reset(now)
	return true
}

// Resume continues the ramp of an earlier owner from the allowance that it
// reported last for the boot. The caller has checked that the report is fresh.
// The allowance is rounded down to a step, and the time to the next step
// starts again.
func (r *Ramp) Resume(now time.Time, boot amaranthtide.BootID, allowance int) {
	if boot == "" {
		return
	}
	r.boot = boot
	r.reset(now)
	for r.step < r.stepCount && r.allowanceAt(r.step+1) <= allowance {
		r.step++
	}
}

// Completed takes note of a whole answer and reports whether it shows a collapse
// of the service rate, which restarts the ramp.
func (r *Ramp) Completed(now time.Time, c Completion) bool {
	if r.cfg.Duration <= 0 || c.Started.Before(r.started) {
		return false
	}
	if c.Tokens >= minTokens && c.Took > 0 && r.collapsed(c) {
		r.reset(now)
		return true
	}
	// A step that is due on time is due to earlier completions, and this one
	// counts for the next.
	r.advance(now)
	r.completed = true
	r.advance(now)
	return false
}

// Allowance returns the number of requests that the server bears now.
func (r *Ramp) Allowance(now time.Time) int {
	if r.cfg.Duration <= 0 {
		return r.cfg.Capacity
	}
	r.advance(now)
	return min(r.cfg.Capacity, max(r.cfg.ColdLimit, r.allowanceAt(r.step)))
}

func (r *Ramp) allowanceAt(step int) int { return r.cfg.Capacity >> (r.stepCount - step) }

func (r *Ramp) reset(now time.Time) {
	r.step, r.started, r.lastStep, r.completed, r.lowCount = 0, now, now, false, 0
	r.rates = [concurrencyBuckets]runningMean{}
}

func (r *Ramp) advance(now time.Time) {
	if r.step >= r.stepCount || !r.completed {
		return
	}
	// Rounded up, or the last step would come up to k nanoseconds early.
	period := (r.cfg.Duration + time.Duration(r.stepCount) - 1) / time.Duration(r.stepCount)
	if now.Sub(r.lastStep) < period {
		return
	}
	r.step, r.lastStep, r.completed = r.step+1, now, false
}

func (r *Ramp) collapsed(c Completion) bool {
	rate := float64(c.Tokens) / c.Took.Seconds()
	running := &r.rates[min(concurrencyBuckets-1, bits.Len(uint(max(0, c.Concurrency))))]
	if running.samples >= minSamples && rate < running.mean*lowSampleFactor {
		r.lowCount++
		return r.lowCount >= lowSamples
	}
	r.lowCount = 0
	if running.samples < minSamples {
		running.samples++
		running.mean += (rate - running.mean) / float64(running.samples)
		return false
	}
	running.mean += (rate - running.mean) * sampleWeight
	return false
}
