package deployment

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// relay is a TCP proxy between one zone and the platform, so that the zone can be cut
// off from the platform.
type relay struct {
	target   netip.AddrPort
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newRelay(target netip.AddrPort) (*relay, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l, conns: make(map[net.Conn]struct{})}
	r.wg.Add(1)
	go r.run()
	return r, nil
}

func (r *relay) addr() netip.AddrPort { return addrOf(r.listener) }

func (r *relay) run() {
	defer r.wg.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.serve(c)
	}
}

// serve forwards one connection until either end closes it.
func (r *relay) serve(c net.Conn) {
	defer r.wg.Done()
	defer func() { _ = c.Close() }()
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	up, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	r.wg.Add(1)
	go r.copy(up, c)
	_, _ = io.Copy(c, up)
}

func (r *relay) copy(to, from net.Conn) {
	defer r.wg.Done()
	_, _ = io.Copy(to, from)
	_ = to.Close()
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for c := range r.conns {
			_ = c.Close()
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut(true)
	r.wg.Wait()
}
