// Package port gives out free loopback ports for programs that must know their
// address before they listen.
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

// The ports lie below those that systems choose for outgoing connections, which
// would else take a port before its program listens. The process number keeps
// processes apart that run at the same time.
const (
	firstPort       = 12_000
	portCount       = 18_000
	portsPerProcess = 500
)

var portCounter atomic.Int32

// Free returns a loopback address whose port nobody listens on. It gives out no port
// twice before all others. Free is concurrent-safe.
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
