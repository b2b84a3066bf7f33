package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthtide/platform/standin"
)

const (
	// resumablePath is the path of the streams that callers take up again.
	resumablePath = "/draft/1"
	maxTakeUps    = 3
	takeUpPause   = 100 * time.Millisecond
	// replacedShare is the share of the engines that replaceVersion replaces.
	replacedShare = 0.5
)

// checkStreamVersion checks that a stream that goes on after an event does so at the version that wrote its
// first one. It skips streams whose first event several versions have written: the caller has got one of them.
func (b *backend) checkStreamVersion(now time.Time, r *http.Request, from int) {
	id, stream := r.Header.Get(standin.HeaderRequestID), r.Header.Get(standin.HeaderResumes)
	if stream == "" {
		stream = id
	}
	s := b.soak
	s.mu.Lock()
	versions := s.streamVersions[stream]
	if from == 0 && !slices.Contains(versions, b.version) {
		s.streamVersions[stream] = append(versions, b.version)
	}
	s.mu.Unlock()
	if from > 0 && len(versions) == 1 && versions[0] != b.version {
		s.addViolation(now, "version", "request %s of stream %s, which version %s began, went on at %s of version %s through %s",
			id, stream, versions[0], b.name, b.version, r.Header.Get(headerRouter))
	}
}

// takeUp takes a stream up again that was broken off after the given text, at random routers.
func (c *caller) takeUp(ctx context.Context, stream, text string) {
	events := strings.Count(text, "\n\n")
	if events == 0 || events == streamEvents {
		return
	}
	for range maxTakeUps {
		time.Sleep(takeUpPause)
		if c.takeUpOnce(ctx, c.soak.routers[c.random.IntN(len(c.soak.routers))], stream, events) {
			return
		}
	}
}

// takeUpOnce sends one request that takes a stream up after an event, and reports whether it was served.
func (c *caller) takeUpOnce(ctx context.Context, r *router, stream string, events int) bool {
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.soak.opts.Seed, c.number, c.sent)
	req, err := c.newRequest(ctx, r, resumablePath, id, permanentKey, requestTimeout)
	if err != nil {
		c.soak.addViolation(time.Now(), "soak", "create request: %v", err)
		return true
	}
	req.Header.Set(standin.HeaderLastEventID, fmt.Sprint(events))
	req.Header.Set(standin.HeaderResumes, stream)
	resp, err := c.client.Transport.RoundTrip(req)
	if err != nil {
		c.soak.countAnswer("take-up: no answer")
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.soak.countAnswer("take-up: cut answer")
		return false
	}
	c.soak.countAnswer(fmt.Sprintf("take-up: %d", resp.StatusCode))
	if resp.StatusCode != http.StatusOK {
		return false
	}
	var want strings.Builder
	for n := events + 1; n <= streamEvents; n++ {
		want.WriteString(eventText(id, n))
	}
	if string(text) != want.String() && !strings.HasPrefix(want.String(), string(text)) {
		c.soak.addViolation(time.Now(), "stream", "take-up %s after event %d got %q", id, events, text)
	}
	return true
}

// replaceVersion replaces engines, one after the other, by servers of a new version of their software. Servers
// of both serve side by side.
func (s *soak) replaceVersion(ctx context.Context, random *rand.Rand) {
	if s.opts.Rollouts {
		return // versions are the subject of rollouts
	}
	s.mu.Lock()
	s.serverVersions++
	version := fmt.Sprint("software-", s.serverVersions)
	var olds []*backend
	for _, b := range s.backends {
		if b.service == serviceEngine && random.Float64() < replacedShare {
			olds = append(olds, b)
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, old := range olds {
		seed := random.Uint64()
		wg.Go(func() { s.replaceBackend(ctx, rand.New(rand.NewPCG(s.opts.Seed, seed)), old, version) })
		s.pause(ctx, random, 0, 400*time.Millisecond)
	}
	wg.Wait()
}
