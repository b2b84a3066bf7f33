package direct

import (
	"math/rand/v2"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/outlier"
)

// ServerNoticed implements a part of amaranthtide.ServerObserver: a server that leaves or asks
// for a pause gets nothing from this router from then on, whatever the list of servers shows. One that
// announces a limit gets what the limit allows.
func (d *Dispatcher) ServerNoticed(now time.Time, server amaranthtide.BackendServerName, n amaranthtide.ServerNotice) {
	if n.Invalid != "" {
		d.opts.Logger.Warn("notice of server ignored", "server", string(server), "notice", n.Invalid)
	}
	d.opts.Traffic.ServerNoticed(now, server, n)
	leaves := false
	if n.Leaving {
		d.recordServer(server, func(r *outlier.Record) { leaves = r.Leave(n.Started) })
	}
	if leaves {
		d.opts.Logger.Info("server says that it leaves", "server", string(server))
	}
	if n.Pause > 0 {
		d.recordServer(server, func(r *outlier.Record) { r.Pause(now, n.Started, n.Pause, rand.Float64()) })
		d.opts.Logger.Info("server asks for a pause", "server", string(server), "pauseMillis", n.Pause.Milliseconds())
	}
}

// reopens returns the time from which a request may be sent to the server, and false if the
// server has said that it leaves.
func (d *Dispatcher) reopens(now time.Time, in amaranthtide.Instance) (at time.Time, ok bool) {
	ok = true
	d.serverRecords.With(in.Name, func(r *outlier.Record, known bool) {
		if known {
			at, ok = r.Reopens(now, in.Started)
		}
	})
	return at, ok
}

// admitReturn reports whether a request may be sent to the server, which may have asked for a
// pause a moment ago.
func (d *Dispatcher) admitReturn(now time.Time, in amaranthtide.Instance) bool {
	admitted := true
	d.serverRecords.With(in.Name, func(r *outlier.Record, known bool) { admitted = !known || r.Admit(now, in.Started) })
	return admitted
}

// forgetRecord drops the record of a server that was removed from the list, unless it says that
// the server leaves: an older list may show the server again.
func (d *Dispatcher) forgetRecord(name amaranthtide.BackendServerName) {
	now := time.Now()
	d.serverRecords.Update(name, func(r *outlier.Record, ok bool) (*outlier.Record, bool) {
		if !ok || !r.MustKeep() {
			return r, false
		}
		r.ServerGone(now)
		return r, true
	})
	var old []amaranthtide.BackendServerName
	d.serverRecords.Range(func(name amaranthtide.BackendServerName, r *outlier.Record) bool {
		if r.Expired(now) {
			old = append(old, name)
		}
		return true
	})
	for _, name := range old {
		d.serverRecords.Delete(name)
	}
}
