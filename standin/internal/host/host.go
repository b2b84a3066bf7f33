// Package host runs the HTTP server of a simulated component on a loopback address,
// which stays reserved while the server is stopped.
//
// # Usage
//
//	h, err := host.New(host.Config{Handler: handler})
//	...
//	h.Stop()        // closes connections and refuses new ones
//	err = h.Start() // listens on the same address
//	h.Close()       // waits for handlers
package host

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
)

// Config configures a Host.
type Config struct {
	// Addr is an IPv4 loopback address; the zero value selects 127.0.0.1 and a free port.
	Addr    netip.AddrPort
	Handler http.Handler
}

// Host is an HTTP server that can be stopped and started again. It is safe for
// concurrent use.
type Host struct {
	cfg  Config
	addr netip.AddrPort
	// reservedFD is a bound socket that doesn't listen. It prevents other processes from
	// taking the port while the server is stopped.
	reservedFD int

	mu         sync.Mutex
	server     *http.Server
	closed     bool
	handlers   sync.WaitGroup
	serveLoops sync.WaitGroup
}

// New reserves the address and starts the server.
func New(cfg Config) (*Host, error) {
	if !cfg.Addr.IsValid() {
		cfg.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	if !cfg.Addr.Addr().Is4() || !cfg.Addr.Addr().IsLoopback() {
		return nil, fmt.Errorf("address %v is not an IPv4 loopback address", cfg.Addr)
	}
	fd, addr, err := reserve(cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("reserve %v: %w", cfg.Addr, err)
	}
	h := &Host{cfg: cfg, addr: addr, reservedFD: fd}
	if err := h.Start(); err != nil {
		return nil, errors.Join(err, syscall.Close(fd))
	}
	return h, nil
}

// reserve binds a socket to addr and returns it with the address that it is bound to.
// SO_REUSEADDR lets the listening socket bind the same address later.
func reserve(addr netip.AddrPort) (int, netip.AddrPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, addr, err
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(fd)
	}
	if err != nil {
		return 0, addr, errors.Join(err, syscall.Close(fd))
	}
	boundIPv4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return 0, addr, errors.Join(errors.New("socket is not IPv4"), syscall.Close(fd))
	}
	return fd, netip.AddrPortFrom(addr.Addr(), uint16(boundIPv4.Port)), nil
}

// Addr returns the address that the server listens on.
func (h *Host) Addr() netip.AddrPort { return h.addr }

// Start starts the server after Stop. It does nothing if the server is running or
// closed.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil || h.closed {
		return nil
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	h.server = &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		// Simulated components close connections on purpose, which is not worth a log
		// line.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	h.serveLoops.Add(1)
	go h.run(h.server, l)
	return nil
}

func (h *Host) run(s *http.Server, l net.Listener) {
	defer h.serveLoops.Done()
	_ = s.Serve(l)
}

// ServeHTTP implements http.Handler. It tracks the running handlers, for which Close
// waits.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	h.handlers.Add(1)
	h.mu.Unlock()
	defer h.handlers.Done()
	h.cfg.Handler.ServeHTTP(w, r)
}

// Stop closes all connections and refuses new ones until Start. It doesn't wait for
// handlers, so a handler may call it.
func (h *Host) Stop() {
	h.mu.Lock()
	s := h.server
	h.server = nil
	h.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Close stops the server permanently, waits for its handlers and releases the address.
func (h *Host) Close() {
	h.mu.Lock()
	first := !h.closed
	h.closed = true
	h.mu.Unlock()
	h.Stop()
	h.handlers.Wait()
	h.serveLoops.Wait()
	if first {
		_ = syscall.Close(h.reservedFD)
	}
}
