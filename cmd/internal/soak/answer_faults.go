package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"amaranthtide/platform/standin"
)

// answerFault is what happens to some of the requests and answers that pass a link.
type answerFault int

const (
	// answerRepeated sends an answer that has a length once more, on the same connection.
	answerRepeated answerFault = iota
	// answerLate delays an answer until about the time at which a router or caller gives up.
	answerLate
	// answerSplit sends a part of an answer in two parts, and sometimes nothing after the first one.
	answerSplit
	// exchangeReset resets the router's connection around the write of a request or within an answer,
	// and leaves that to the server open.
	exchangeReset
	answerFaultCount
)

// answerDoses are the shares of answers, or of exchanges, that a fault applies to. The server of a
// fault must still give most routers sound answers, or nothing but the fault is played.
var answerDoses = [answerFaultCount]float64{answerRepeated: 0.8, answerLate: 0.1, answerSplit: 0.15, exchangeReset: 0.1}

const (
	// fullShare is the share of requests that a server refuses as full while its answers have a fault.
	fullShare = 0.15
	// unpromisedShare is the share that it runs and answers with a status that promises the contrary,
	// while it has that fault.
	unpromisedShare = 0.3
	// maxRepeatDelay is the longest time between an answer and its copy.
	maxRepeatDelay = time.Second
	maxSplitPause  = 400 * time.Millisecond
	maxResetDelay  = 30 * time.Millisecond
	// lateAnswerSpread is the time around a timeout in which a late answer arrives.
	lateAnswerSpread = 60 * time.Millisecond
	// endlessShare is the share of the split answers whose second part is never sent.
	endlessShare = 0.2
	// anonymousShare is the share of the copies without the request's identifier.
	anonymousShare = 0.3
)

// lateAnswerTimes are the timeouts of the routes of standin.Config: a router tries another server
// after twice their target latency, and both it and the caller give up after requestTimeout.
var lateAnswerTimes = []time.Duration{600 * time.Millisecond, requestTimeout, requestTimeout + 400*time.Millisecond}

var (
	errSplitEnds     = errors.New("the rest of the answer is never sent")
	errExchangeReset = errors.New("the exchange is reset")
)

// setAnswerFault begins a fault whose choices follow from the source, or ends it if that is nil.
func (l *link) setAnswerFault(f answerFault, random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if random == nil {
		delete(l.answerFaults, f)
		return
	}
	l.answerFaults[f] = random
}

// hasAnswerFault reports whether any fault of answers is active.
func (l *link) hasAnswerFault() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answerFaults) > 0
}

// draws are random numbers below 1: which variant of a fault applies, where or when, and whether
// to change it further.
type draws struct{ variant, at, extra float64 }

// draw reports whether a fault applies to an answer or exchange, and returns the numbers that choose
// how.
func (l *link) draw(f answerFault) (d draws, applies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	random, ok := l.answerFaults[f]
	if !ok || random.Float64() >= answerDoses[f] {
		return draws{}, false
	}
	return draws{random.Float64(), random.Float64(), random.Float64()}, true
}

// answers is the state of the answers of one connection.
type answers struct {
	mu sync.Mutex
	// unfinished is set while a part of an answer has been passed on and the rest hasn't.
	unfinished bool
	// held is the copy that is sent when the next request arrives.
	held []byte
	// abandoned is set if the connection was reset and the server's is left open.
	abandoned bool
}

// runsOn reports whether the server doesn't see the end of the router's connection.
func (a *answers) runsOn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}

// abandon resets the router's connection.
func (p *passage) abandon() {
	p.answers.mu.Lock()
	p.answers.abandoned = true
	p.answers.mu.Unlock()
	reset(p.in)
}

// forwardRequest passes a part of a request to the server.
func (p *passage) forwardRequest(data []byte) error {
	p.answers.mu.Lock()
	if p.answers.held != nil {
		_, _ = p.in.Write(p.answers.held) // fails if the router has disconnected
		p.answers.held = nil
	}
	p.answers.mu.Unlock()
	d, applies := p.link.draw(exchangeReset)
	switch {
	case applies && d.variant < 0.3: // the router may still be writing a long body
		p.abandon()
	case applies && d.variant < 0.6:
		defer p.abandon()
	case applies:
		time.AfterFunc(time.Duration(d.at*float64(maxResetDelay)), p.abandon)
	}
	_, err := p.out.Write(data)
	return err
}

// forwardAnswer passes a part of an answer to the router.
func (p *passage) forwardAnswer(data []byte) error {
	begins := bytes.HasPrefix(data, []byte("HTTP/1.1 "))
	if d, applies := p.link.draw(answerLate); applies && begins {
		timeout := lateAnswerTimes[int(d.variant*float64(len(lateAnswerTimes)))]
		time.Sleep(timeout + time.Duration((d.at-0.5)*float64(lateAnswerSpread)))
	}
	a := &p.answers
	a.mu.Lock()
	defer a.mu.Unlock()
	whole := begins && isWhole(data)
	a.unfinished = !whole && !bytes.HasSuffix(data, []byte("0\r\n\r\n"))
	if d, applies := p.link.draw(answerSplit); applies {
		return p.split(data, d)
	}
	if d, applies := p.link.draw(exchangeReset); applies && begins {
		_, _ = p.in.Write(data[:int(d.at*float64(len(data)))]) // fails if the router has disconnected
		return errExchangeReset
	}
	if d, applies := p.link.draw(answerRepeated); applies && whole {
		return p.repeat(data, d)
	}
	_, err := p.in.Write(data)
	return err
}

// split passes a part of an answer on in two parts, or only the first one of them.
func (p *passage) split(data []byte, d draws) error {
	n := int(d.at * float64(len(data)))
	if _, err := p.in.Write(data[:n]); err != nil {
		return err
	}
	if d.variant < endlessShare {
		// The router has to end its connection. A copy of an earlier answer would become a part of
		// this one.
		p.answers.abandoned, p.answers.unfinished = true, true
		return errSplitEnds
	}
	time.Sleep(time.Duration(d.extra * float64(maxSplitPause)))
	_, err := p.in.Write(data[n:])
	return err
}

// repeat passes on an answer and a copy of it, which follows at once, after a while or when the next
// request has arrived.
func (p *passage) repeat(data []byte, d draws) error {
	twice := bytes.Clone(data)
	if d.extra < anonymousShare {
		twice = withoutID(twice)
	}
	switch {
	case d.variant < 0.2:
		data = append(bytes.Clone(data), twice...)
	case d.variant < 0.6:
		time.AfterFunc(time.Duration(d.at*float64(maxRepeatDelay)), func() { p.sendCopy(twice) })
	default:
		p.answers.held = twice
	}
	_, err := p.in.Write(data)
	return err
}

// sendCopy sends a copy of an earlier answer, unless another one is being sent.
func (p *passage) sendCopy(data []byte) {
	p.answers.mu.Lock()
	defer p.answers.mu.Unlock()
	if !p.answers.unfinished {
		_, _ = p.in.Write(data) // fails if the router has disconnected
	}
}

// isWhole reports whether data is an answer with a length, from its beginning to its end.
func isWhole(data []byte) bool {
	r := bufio.NewReader(bytes.NewReader(data))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.ContentLength < 0 {
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return err == nil && n == resp.ContentLength && r.Buffered() == 0
}

// withoutID returns an answer without the identifier of its request.
func withoutID(answer []byte) []byte {
	head, rest, found := strings.Cut(string(answer), standin.HeaderRequestID+": ")
	if !found {
		return answer
	}
	_, rest, _ = strings.Cut(rest, "\r\n")
	return []byte(head + rest)
}

// injectAnswerFault puts a fault of answers on about half of the servers for a while.
func (s *soak) injectAnswerFault(ctx context.Context, random *rand.Rand, f answerFault) {
	s.withFaultyBackends(ctx, random, func(b *backend, begins bool) {
		if begins {
			b.link.setAnswerFault(f, rand.New(rand.NewPCG(random.Uint64(), 0)))
		} else {
			b.link.setAnswerFault(f, nil)
		}
	})
}

// withFaultyBackends calls set for about half of the servers, and again after a while to end the fault.
func (s *soak) withFaultyBackends(ctx context.Context, random *rand.Rand, set func(b *backend, begins bool)) {
	for _, b := range s.halfOfBackends(random) {
		b.setLinkFaulty(true)
		set(b, true)
		defer func(end func(time.Time)) {
			set(b, false)
			b.setLinkFaulty(false)
			end(time.Now())
		}(b.link.faults.begin(time.Now()))
	}
	s.pause(ctx, random, 2*time.Second, 6*time.Second)
}

// halfOfBackends returns about half of the servers, at least one.
func (s *soak) halfOfBackends(random *rand.Rand) []*backend {
	chosen := []*backend{s.randomBackend(random)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b != chosen[0] && random.IntN(2) == 0 {
			chosen = append(chosen, b)
		}
	}
	return chosen
}
