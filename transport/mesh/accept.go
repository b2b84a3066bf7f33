package mesh

import (
	"net"
	"time"
)

// acceptRetryDelay keeps the accept loop from spinning while the process is out of
// file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// waitToRetryAccept waits for acceptRetryDelay. It returns false if the Mesh is
// closed.
func (m *Mesh) waitToRetryAccept() bool {
	t := time.NewTimer(acceptRetryDelay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// pendingConn is an accepted connection whose handshake has not finished.
type pendingConn struct {
	mesh *Mesh
	raw  net.Conn
}

// run performs the handshake and then serves the connection until it ends.
func (p *pendingConn) run() {
	defer p.mesh.wg.Done()
	c, err := p.mesh.handshakeAccepted(p.raw)
	<-p.mesh.handshakeSlots
	if err != nil {
		p.mesh.opts.Logger.Warn("connection rejected", "remote", p.raw.RemoteAddr(), "reason", err)
		_ = p.raw.Close()
		return
	}
	_ = c.run() // logs the reason
}
