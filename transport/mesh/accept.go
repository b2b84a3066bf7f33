package mesh

import (
	"net"
	"time"
)

// acceptRetryDelay keeps the accept loop from spinning while file descriptors are
// used up.
const acceptRetryDelay = 50 * time.Millisecond

// waitToRetryAccept waits before the next accept. It returns false if the Mesh is closed.
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

// pendingConn is an accepted connection before and during its handshake.
type pendingConn struct {
	mesh *Mesh
	raw  net.Conn
}

func (a *pendingConn) run() {
	defer a.mesh.wg.Done()
	c, err := a.mesh.handshakeAccepted(a.raw)
	<-a.mesh.handshakeSlots
	if err != nil {
		a.mesh.opts.Logger.Warn("connection refused", "remote", a.raw.RemoteAddr(), "reason", err)
		_ = a.raw.Close()
		return
	}
	_ = c.run() // logs the reason
}
