package mesh

import (
	"net"
	"time"
)

// acceptPause keeps the accept loop from spinning while file descriptors are
// used up.
const acceptPause = 50 * time.Millisecond

// pause waits before the next accept. It returns false if the Mesh is closed.
func (m *Mesh) pause() bool {
	t := time.NewTimer(acceptPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// acceptance is an accepted connection before and during its handshake.
type acceptance struct {
	mesh *Mesh
	raw  net.Conn
}

func (a *acceptance) run() {
	defer a.mesh.wg.Done()
	c, err := a.mesh.accept(a.raw)
	<-a.mesh.handshakes
	if err != nil {
		a.mesh.opts.Logger.Warn("connection refused", "remote", a.raw.RemoteAddr(), "reason", err)
		_ = a.raw.Close()
		return
	}
	_ = c.run() // logs the reason
}
