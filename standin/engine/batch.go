package engine

import (
	"slices"
	"time"

	"amaranthtide"
)

type runState uint8

const (
	waiting runState = iota
	active
	finished
	cancelled
)

// run is one admitted request. The fields above state are immutable; the engine's
// lock guards the others.
type run struct {
	attempt  amaranthtide.AttemptID
	priority int
	events   *eventStream
	chain    []messagePrefix
	stream   bool
	// cutAt is the number of body bytes after which the first connection is closed;
	// a negative value disables this.
	cutAt int

	state runState
	// prefillDone is the time at which prefill ends.
	prefillDone time.Time
	produced    int
	usage       usage
	// reader is signaled when more events can be sent, and closed when another reader
	// replaces this one. It is nil if the run has no reader.
	reader chan struct{}
	// orphanedAt is the time at which the last reader disconnected.
	orphanedAt time.Time
}

func (r *run) notifyReader() {
	if r.reader == nil {
		return
	}
	select {
	case r.reader <- struct{}{}:
	default:
	}
}

// sendableEvents returns the number of events that can be sent.
func (r *run) sendableEvents() int {
	if r.state == finished {
		return r.events.count()
	}
	return min(r.produced, r.events.tokens-1)
}

// batch schedules the runs of one boot with continuous batching. The engine's lock
// guards it.
type batch struct {
	cfg      Config
	cache    *prefixCache
	counters *Counters
	waiting  []*run
	active   []*run
	lastStep time.Time
	// prefillEnd is the time at which the prefill of all started runs ends.
	prefillEnd time.Time
}

func newBatch(cfg Config, counters *Counters) *batch {
	return &batch{cfg: cfg, counters: counters, cache: newPrefixCache(cfg.CacheTokens)}
}

func (b *batch) load() int { return len(b.waiting) + len(b.active) }

// enqueue inserts a run after the waiting runs of the same or a higher priority.
func (b *batch) enqueue(r *run) {
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority < r.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, r)
}

// remove removes a run and reports whether it was in the batch.
func (b *batch) remove(r *run) bool {
	n := b.load()
	same := func(x *run) bool { return x == r }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	return b.load() < n
}

// advance starts waiting runs and decodes the tokens that are due. It returns the
// time of the next step, or the zero time if no run is active.
func (b *batch) advance(now time.Time) time.Time {
	for {
		b.startWaiting(now)
		if len(b.active) == 0 {
			b.lastStep = time.Time{}
			return time.Time{}
		}
		decoding := 0
		firstReady := b.active[0].prefillDone
		for _, r := range b.active {
			if !r.prefillDone.After(now) {
				decoding++
			} else if r.prefillDone.Before(firstReady) {
				firstReady = r.prefillDone
			}
		}
		if decoding == 0 {
			b.lastStep = time.Time{}
			return firstReady
		}
		if b.lastStep.IsZero() {
			b.lastStep = now
		}
		interval := b.stepInterval(decoding)
		steps := int(now.Sub(b.lastStep) / interval)
		if steps == 0 {
			return b.lastStep.Add(interval)
		}
		b.lastStep = b.lastStep.Add(time.Duration(steps) * interval)
		if !b.decode(now, steps) {
			return b.lastStep.Add(interval)
		}
	}
}

// startWaiting moves waiting runs into free slots and schedules their prefill.
func (b *batch) startWaiting(now time.Time) {
	for len(b.active) < b.cfg.Capacity && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.active = append(b.active, r)
		r.state = active
		cached, ideal := b.cache.lookup(r.chain)
		b.cache.add(r.chain)
		prompt := 0
		for _, p := range r.chain {
			prompt += p.tokens
		}
		r.usage = usage{prompt, r.events.tokens, prompt + r.events.tokens, promptDetails{cached}}
		b.counters.PromptTokens += prompt
		b.counters.CachedTokens += cached
		b.counters.IdealCachedTokens += ideal
		if b.prefillEnd.Before(now) {
			b.prefillEnd = now
		}
		b.prefillEnd = b.prefillEnd.Add(time.Duration(float64(prompt-cached) / b.cfg.PrefillTokensPerSecond * float64(time.Second)))
		r.prefillDone = b.prefillEnd
	}
}

func (b *batch) stepInterval(decoding int) time.Duration {
	fill := float64(decoding-1) / float64(max(b.cfg.Capacity-1, 1))
	return max(1, time.Duration(float64(b.cfg.TokenInterval)*(1+b.cfg.BatchSlowdown*fill)))
}

// decode adds the tokens of the given number of steps to each run that has finished its
// prefill. It reports whether any run finished.
func (b *batch) decode(now time.Time, steps int) bool {
	n := len(b.active)
	b.active = slices.DeleteFunc(b.active, func(r *run) bool {
		if r.prefillDone.After(now) {
			return false
		}
		r.produced = min(r.produced+steps, r.events.tokens)
		done := r.produced == r.events.tokens
		if done {
			b.finish(r)
		}
		if done || r.stream {
			r.notifyReader()
		}
		return done
	})
	return len(b.active) < n
}

func (b *batch) finish(r *run) {
	r.state = finished
	b.counters.Completed++
	b.counters.OutputTokens += r.events.tokens
	// The chat's next request repeats the answer, so it is cached as well.
	b.cache.add(append(r.chain, nextPrefix(r.chain[len(r.chain)-1].hash, r.message())))
}
