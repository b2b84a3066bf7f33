package deployment

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"amaranthtide"
)

// network connects the routers of several zones. It adds delays and cuts between zones
// and is safe for concurrent use.
type network struct {
	delay time.Duration

	mu    sync.Mutex
	zones map[netip.AddrPort]amaranthtide.ZoneName
	cut   amaranthtide.Set[amaranthtide.ZoneName]
	// conns are the open connections between zones.
	conns map[net.Conn][2]amaranthtide.ZoneName
}

var errCut = errors.New("the zones are cut off from each other")

func newNetwork(delay time.Duration) *network {
	return &network{
		delay: delay,
		zones: make(map[netip.AddrPort]amaranthtide.ZoneName),
		cut:   amaranthtide.NewSet[amaranthtide.ZoneName](),
		conns: make(map[net.Conn][2]amaranthtide.ZoneName),
	}
}

// setZone records the zone of an address.
func (n *network) setZone(addr netip.AddrPort, zone amaranthtide.ZoneName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// dialer returns the dial function for routers in a zone.
func (n *network) dialer(from amaranthtide.ZoneName) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[addr]
		n.mu.Unlock()
		var d net.Dialer
		if to == from || to == "" {
			return d.DialContext(ctx, "tcp", addr.String())
		}
		if n.isCut(from, to) {
			return nil, errCut
		}
		c, err := d.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		z := &zoneConn{Conn: delayed(c, n.delay), network: n}
		n.mu.Lock()
		n.conns[z] = [2]amaranthtide.ZoneName{from, to}
		n.mu.Unlock()
		if n.isCut(from, to) {
			return nil, errors.Join(errCut, z.Close())
		}
		return z, nil
	}
}

func (n *network) isCut(a, b amaranthtide.ZoneName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut.Has(a) || n.cut.Has(b)
}

// setCut cuts a zone off, which closes its connections with other zones, or reconnects
// it.
func (n *network) setCut(zone amaranthtide.ZoneName, cut bool) {
	n.mu.Lock()
	if !cut {
		n.cut.Remove(zone)
		n.mu.Unlock()
		return
	}
	n.cut.Add(zone)
	var broken []net.Conn
	for c, ends := range n.conns {
		if ends[0] == zone || ends[1] == zone {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// zoneConn is a connection between zones.
type zoneConn struct {
	net.Conn
	network *network
}

// Close implements net.Conn.
func (z *zoneConn) Close() error {
	z.network.mu.Lock()
	delete(z.network.conns, net.Conn(z))
	z.network.mu.Unlock()
	return z.Conn.Close()
}
