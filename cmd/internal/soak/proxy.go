package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
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

const linkDelayTime = 40 * time.Millisecond

// link is a loopback TCP proxy in front of one address.
type link struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

func newLink(target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	k.wg.Go(k.run)
	return k, nil
}

func (k *link) addr() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

// setFault sets the fault of the link. linkReset resets the open connections as well.
func (k *link) setFault(f linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	if f == linkReset {
		k.resetAll()
	}
}

func (k *link) resetAll() {
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (k *link) currentFault() linkFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.resetAll()
	k.mu.Unlock()
	k.wg.Wait()
}

func (k *link) run() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.target.String())
		if err != nil || !k.track(in, out) {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		k.wg.Go(func() { k.copyDirection(out, in, false) })
		k.wg.Go(func() { k.copyDirection(in, out, true) })
	}
}

func (k *link) track(in, out net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fault == linkReset {
		return false
	}
	k.conns[in], k.conns[out] = struct{}{}, struct{}{}
	return true
}

// copyDirection copies data in one direction. Once it has dropped data, it drops all
// further data of the connection, so that the receiver never sees a gap.
func (k *link) copyDirection(dst, src net.Conn, responses bool) {
	defer k.closeDirection(dst, src)
	buf := make([]byte, 16<<10)
	silent := false
	for {
		n, err := src.Read(buf)
		switch f := k.currentFault(); {
		case f == linkDelay:
			time.Sleep(linkDelayTime)
		case f == linkSilent, f == linkOneWay && responses:
			silent = true
		}
		if n > 0 && !silent {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !silent {
			if tcp, ok := dst.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				return
			}
		}
		return
	}
}

// closeDirection ends the direction from src to dst. It stops tracking src, or closes
// both ends if src is no longer tracked.
func (k *link) closeDirection(dst, src net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.conns[src]; ok {
		delete(k.conns, src) // the other direction may still read from dst
		return
	}
	delete(k.conns, dst)
	_ = dst.Close()
	_ = src.Close()
}
