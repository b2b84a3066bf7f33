// Package port finds free loopback ports for programs that must know their address
// before they listen.
//
// # Usage
//
//	addr, err := port.Free()
package port

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// The ports are below the ephemeral range, since an outgoing connection could otherwise
// take a port before its program listens. Each process starts at an offset derived from
// its process ID, so that concurrent processes rarely try the same ports.
const (
	firstPort       = 12_000
	portCount       = 18_000
	portsPerProcess = 500
)

var portCounter atomic.Int32

// Free returns a loopback address with a port on which nothing listens. A port is not
// returned again before all others were tried. Free is safe for concurrent
// use.
func Free() (netip.AddrPort, error) {
	var lastErr error
	for range portCount {
		n := (os.Getpid()*portsPerProcess + int(portCounter.Add(1))) % portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+n))
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			lastErr = err
			continue
		}
		return addr, l.Close()
	}
	return netip.AddrPort{}, lastErr
}
