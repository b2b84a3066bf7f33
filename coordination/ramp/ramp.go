// Package ramp decides how many requests one backend server may have in flight while
// it warms up (property P2 of the design page).
//
// A server is cold when it is first seen, after a new boot and after a collapse of its
// service rate. Its allowance is then Config.ColdLimit, and doubles in steps of equal
// duration until it reaches Config.Capacity after Config.Duration. With k steps, the
// allowance after step i is max(ColdLimit, Capacity / 2^(k-i)). This curve is convex,
// starts at ColdLimit and ends at Capacity, so it is never above a linear warm-up. The
// ramp starts when the boot is learned, which is never before the boot itself, so from
// then on the allowance also stays below the linear warm-up by the true age of the
// boot. Before that, only Capacity bounds the allowance.
//
// A step up requires that Duration/k has passed since the last step, and at least one
// complete answer to a request that was started after the ramp began: the allowance of a
// server without answers does not rise, and requests of an earlier boot do not count. A
// late step delays all later ones.
//
// # Collapse of the service rate
//
// A sample is the rate of one answer in tokens per second. A sample below one third of
// the running mean is low, and lowSamples low ones in a row reset the ramp. A single
// low sample is not significant, because an answer may have been slowed down by the
// long prompt of another one. Low samples are not added to the mean; otherwise, a slow
// decline would lower the mean with it.
//
// In engines with continuous batching, each answer becomes slower as the batch grows:
// at batch size 64, its rate may be a quarter of that at batch size 1. With a single
// mean, every surge would look like a collapse. Hence there is one mean per power of
// two of the concurrency, and samples are compared with a mean only once it has
// minSamples samples. Answers with fewer than minTokens tokens are dominated by their
// latency and are not sampled.
//
// # Usage
//
//	r := ramp.New(now, ramp.Config{ColdLimit: 2, Capacity: 32, Duration: time.Minute})
//	r.Resume(now, boot, allowance) // if the previous owner reported recently
//	r.ObserveBoot(now, report.Boot)
//	if inFlight < r.Allowance(now) {
//		// Admit.
//	}
//	r.Completed(now, ramp.Completion{
//		Started: started, Tokens: 200, Took: took, Concurrency: inFlight,
//	})
//
// A Ramp is not safe for concurrent use. Its owner calls it under the lock of the
// server.
package ramp

import (
	"math/bits"
	"time"

	"amaranthtide"
)

const (
	// lowSamples is the number of successive low samples that reset the ramp. It is
	// above 3, because long prompts of one workspace often arrive in twos or threes.
	lowSamples = 5
	// minSamples is the number of samples from which a mean is used for comparison.
	minSamples = 8
	// minTokens is the minimum length of an answer whose rate is sampled.
	minTokens = 8
	// sampleWeight is the weight of a new sample in a running mean.
	sampleWeight = 1.0 / 16
	// lowSampleFactor times the mean is the rate below which a sample is low.
	lowSampleFactor = 1.0 / 3
	// concurrencyBuckets is the number of means per server. Bucket i holds the samples
	// at a concurrency of 2^(i-1) to 2^i - 1, the last one also those above it.
	concurrencyBuckets = 24
)

// Config configures the warm-up of a server.
type Config struct {
	// ColdLimit is the number of requests that a cold server can handle at once; at
	// least 1.
	ColdLimit int
	// Capacity is the number of requests that a warm server can handle at once. If it is
	// below ColdLimit, it limits the allowance from the start.
	Capacity int
	// Duration is the time from cold to warm; 0 means that the server is never cold.
	Duration time.Duration
}

// Completion describes one complete answer.
type Completion struct {
	// Started is when the request was sent to the server.
	Started time.Time
	// Tokens is the number of generated tokens; 0 if unknown.
	Tokens int
	// Took is the time from the first to the last token. It excludes the processing of
	// the prompt, whose length does not depend on the server.
	Took time.Duration
	// Concurrency is the number of requests in flight at the server, including this one.
	Concurrency int
}

type runningMean struct {
	mean    float64
	samples int
}

// Ramp computes the allowance of one server from its last cold start. Create one with
// New.
type Ramp struct {
	cfg       Config
	stepCount int
	boot      amaranthtide.BootID
	step      int
	started   time.Time // start of the ramp
	lastStep  time.Time // last step, or start of the ramp
	completed bool      // a request has completed since lastStep
	lowCount  int
	rates     [concurrencyBuckets]runningMean
}

// New returns the Ramp of a server that is seen for the first time and hence cold.
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

// Boot returns the boot that was observed last, or "" if there was none.
func (r *Ramp) Boot() amaranthtide.BootID { return r.boot }

// ObserveBoot records the server's boot. If it differs from the last one or is the
// first one, the ramp restarts and ObserveBoot returns true. An empty boot is ignored.
func (r *Ramp) ObserveBoot(now time.Time, boot amaranthtide.BootID) bool {
	if boot == "" || boot == r.boot {
		return false
	}
	r.boot = boot
	r.reset(now)
	return true
}

// Resume continues the ramp of the previous owner from the allowance that it last
// reported for the boot. The caller must check that the report is recent enough. The
// allowance is rounded down to a step, and the time to the next step starts anew.
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

// Completed records a complete answer. It reports whether the service rate has
// collapsed, which restarts the ramp.
func (r *Ramp) Completed(now time.Time, c Completion) bool {
	if r.cfg.Duration <= 0 || c.Started.Before(r.started) {
		return false
	}
	if c.Tokens >= minTokens && c.Took > 0 && r.collapsed(c) {
		r.reset(now)
		return true
	}
	// If a step is already due because of earlier completions, take it first, so that
	// this completion counts for the step after it.
	r.advance(now)
	r.completed = true
	r.advance(now)
	return false
}

// Allowance returns the number of requests that may be in flight at the server now.
func (r *Ramp) Allowance(now time.Time) int {
	if r.cfg.Duration <= 0 {
		return r.cfg.Capacity
	}
	r.advance(now)
	return min(r.cfg.Capacity, max(r.cfg.ColdLimit, r.allowanceAt(r.step)))
}

// allowanceAt returns the allowance after a step, before it is raised to ColdLimit.
func (r *Ramp) allowanceAt(step int) int { return r.cfg.Capacity >> (r.stepCount - step) }

func (r *Ramp) reset(now time.Time) {
	r.step, r.started, r.lastStep, r.completed, r.lowCount = 0, now, now, false, 0
	r.rates = [concurrencyBuckets]runningMean{}
}

func (r *Ramp) advance(now time.Time) {
	if r.step >= r.stepCount || !r.completed {
		return
	}
	// Round up; otherwise the last step could be up to stepCount nanoseconds early.
	period := (r.cfg.Duration + time.Duration(r.stepCount) - 1) / time.Duration(r.stepCount)
	if now.Sub(r.lastStep) < period {
		return
	}
	r.step, r.lastStep, r.completed = r.step+1, now, false
}

// collapsed adds a sample and reports whether it is the last of lowSamples low ones in a
// row.
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
