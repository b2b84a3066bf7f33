package soak

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthtide/protocol/message"
)

// linkFault is what a link does to the data that passes through it.
type linkFault int

const (
	linkOK linkFault = iota
	// linkDelay delays each chunk of data by linkDelayTime.
	linkDelay
	// linkReset resets open and new connections.
	linkReset
	// linkSilent drops all data without closing connections.
	linkSilent
	// linkOneWay forwards requests and drops responses.
	linkOneWay
	linkFaultCount
)

const (
	linkDelayTime  = 40 * time.Millisecond
	reopenInterval = 50 * time.Millisecond
)

// link is a loopback TCP proxy in front of one address.
type link struct {
	address netip.AddrPort
	// faults has the faults of the target, as they appear through the link.
	faults faultIntervals

	mu     sync.Mutex
	target netip.AddrPort
	// listener is nil while connections are refused.
	listener net.Listener
	closed   bool
	fault    linkFault
	// cut holds the encoded addresses of the routers whose connections carry no data.
	cut [][]byte
	// answerFaults holds the active faults of answers, each with the source of its choices.
	answerFaults map[answerFault]*rand.Rand
	passages     map[*passage]struct{}
	wg           sync.WaitGroup
}

func newLink(target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &link{address: netip.MustParseAddrPort(l.Addr().String()), listener: l, target: target, answerFaults: make(map[answerFault]*rand.Rand), passages: make(map[*passage]struct{})}
	proxy.wg.Go(func() { proxy.run(l) })
	return proxy, nil
}

func (l *link) addr() netip.AddrPort { return l.address }

// crash resets the open connections and refuses new ones for the given time.
func (l *link) crash(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.closed {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	l.resetAll()
	time.AfterFunc(d, l.reopen)
}

// reopen accepts connections again.
func (l *link) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	listener, err := net.Listen("tcp", l.address.String())
	if err != nil {
		time.AfterFunc(reopenInterval, l.reopen) // a connection uses the port
		return
	}
	l.listener = listener
	l.wg.Go(func() { l.run(listener) })
}

// setFault sets the fault of the link. linkReset resets the open connections as well.
func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if f == linkReset {
		l.resetAll()
	}
}

func (l *link) resetAll() {
	for p := range l.passages {
		reset(p.in)
		reset(p.out)
	}
}

// reset ends a connection so that its peer sees an error.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// replaceTarget puts another server behind the link and resets the open connections.
func (l *link) replaceTarget(target netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	l.resetAll()
}

// setCut drops all data of the connections that the given routers have opened or open, without
// closing them. It replaces the routers given before.
func (l *link) setCut(routers ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = nil
	for _, addr := range routers {
		l.cut = append(l.cut, message.NewProof(nil, addr).Address)
	}
}

// faultOf returns the fault of a connection, whose first data names the router that has opened it.
func (l *link) faultOf(first []byte) linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.cut, func(address []byte) bool { return bytes.Contains(first, address) }) {
		return linkSilent
	}
	return l.fault
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	if l.listener != nil {
		_ = l.listener.Close()
	}
	l.resetAll()
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *link) run(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		p := l.open(in)
		if p == nil {
			_ = in.Close()
			continue
		}
		first := &atomic.Pointer[[]byte]{}
		l.wg.Go(func() { p.loop(first, false) })
		l.wg.Go(func() { p.loop(first, true) })
	}
}

// open connects a connection that was accepted to the target. It returns nil if that fails.
func (l *link) open(in net.Conn) *passage {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == linkReset || l.closed || l.target != target {
		_ = out.Close()
		return nil
	}
	p := &passage{link: l, in: in, out: out}
	l.passages[p] = struct{}{}
	return p
}

// passage is a connection through a link: in is its end at the router that has opened it, out the
// one at the target.
type passage struct {
	link    *link
	in, out net.Conn
	// closedDirections counts the directions that have ended. The link's lock guards it.
	closedDirections int
	// wasReset is set once a read or a write has met a reset, which the system reports to one of them
	// only. The link's lock guards it.
	wasReset bool
	answers  answers
}

// loop copies data in one direction. Once it has dropped data, it drops all
// further data of the connection, so that the receiver never sees a gap. first is the first data of
// the side that has opened the connection.
func (p *passage) loop(first *atomic.Pointer[[]byte], responses bool) {
	src, dst, forward := p.in, p.out, p.forwardRequest
	if responses {
		src, dst, forward = p.out, p.in, p.forwardAnswer
	}
	buf := make([]byte, 16<<10)
	silent := false
	for {
		n, err := src.Read(buf)
		if !responses && first.Load() == nil {
			first.Store(new(slices.Clone(buf[:n])))
		}
		var opening []byte
		if data := first.Load(); data != nil {
			opening = *data
		}
		switch f := p.link.faultOf(opening); {
		case f == linkDelay:
			time.Sleep(linkDelayTime)
		case f == linkSilent, f == linkOneWay && responses:
			silent = true
		}
		if n > 0 && !silent {
			if werr := forward(buf[:n]); werr != nil {
				p.endDirection(dst, werr, false)
				return
			}
		}
		if err != nil {
			p.endDirection(dst, err, silent)
			return
		}
	}
}

// endDirection ends the direction to dst. The end of a connection is passed on as it is, an error
// as a reset, unless the direction is silent. The second direction to end closes both ends.
func (p *passage) endDirection(dst net.Conn, err error, silent bool) {
	l, runsOn := p.link, p.answers.runsOn()
	l.mu.Lock()
	defer l.mu.Unlock()
	p.closedDirections++
	p.wasReset = p.wasReset || errors.Is(err, syscall.ECONNRESET)
	switch tcp, ok := dst.(*net.TCPConn); {
	case p.closedDirections == 2:
		delete(l.passages, p)
		if p.wasReset && !runsOn {
			reset(p.in)
			reset(p.out)
			return
		}
		_ = p.in.Close()
		_ = p.out.Close()
	case silent:
	case ok && errors.Is(err, io.EOF):
		_ = tcp.CloseWrite() // fails if the other direction has failed
	case !runsOn:
		reset(dst)
	}
}
