// Package heartbeat decides when a router sends its whole report and when a
// heartbeat, and turns a heartbeat back into a report.
//
// The names and boots of the servers make up most of a report and change rarely. A
// heartbeat leaves them out, together with the zone and the address, and lists only
// the counts of the servers in the order of a whole report, its base. Heartbeats
// don't build on each other, so that a lost one changes nothing in what a later one
// means. A base is numbered by the sequence of the report in which the names, boots
// or the address last changed; every whole report since then has the same base.
//
// A receiver without the base of a heartbeat still learns that the sender lives, if
// it has any whole report of the same incarnation, but not its loads. They count as
// unknown, which errs on the side of too small a cap, until the next whole report, for
// which it asks the sender.
//
// # Usage
//
//	base, whole := sender.Next(report) // loads in a fixed order
//	if !whole {
//		h := heartbeat.Of(report, base)
//	}
//
//	b = b.With(report, base) // a whole report arrived
//	report, known, ok := b.Report(h)
//
// The types are not concurrent-safe.
package heartbeat

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Heartbeat is a report without what its base holds.
type Heartbeat struct {
	VM          amaranthtide.VMName
	Incarnation amaranthtide.Incarnation
	Sequence    uint64
	// Base is the number of the base.
	Base     uint64
	Revision amaranthtide.Revision
	View     amaranthtide.ViewHash
	Leaving  bool
	Interval time.Duration
	// Loads are in the order of the base, without server and boot.
	Loads []amaranthtide.ServerLoad
}

// Of returns the heartbeat that stands for a report with the given base.
func Of(r amaranthtide.Report, base uint64) Heartbeat {
	loads := make([]amaranthtide.ServerLoad, len(r.Loads))
	for i, l := range r.Loads {
		l.Server, l.Boot = "", ""
		loads[i] = l
	}
	return Heartbeat{
		VM: r.VM, Incarnation: r.Incarnation, Sequence: r.Sequence, Base: base,
		Revision: r.Revision, View: r.View, Leaving: r.Leaving, Interval: r.Interval, Loads: loads,
	}
}

const (
	// WholeEvery is the number of reports of which at least one is whole. Receivers ask
	// for the whole report that they lack, so that few are sent unasked: with one in
	// 8, whole reports were a third of the bytes of a router with 15 servers.
	WholeEvery = 128
	// baseRepeats is how many whole reports in a row begin a new base, so that one lost
	// message does not leave a receiver without it.
	baseRepeats = 2
)

// Sender decides which reports of a router are whole. The zero value is usable.
type Sender struct {
	base    uint64
	address netip.AddrPort
	servers []serverBoot
	// fullDue is the number of whole reports that are still due.
	fullDue int
	// heartbeatsSent is the number of heartbeats heartbeatsSent the last whole report.
	heartbeatsSent int
}

type serverBoot struct {
	server amaranthtide.BackendServerName
	boot   amaranthtide.BootID
}

// Next takes the next report and returns its base and whether it is sent whole.
// Sequences rise by report.
func (s *Sender) Next(r amaranthtide.Report) (base uint64, full bool) {
	if s.base == 0 || s.address != r.Address || !s.sameServers(r.Loads) {
		s.base, s.address, s.fullDue = r.Sequence, r.Address, baseRepeats
		s.servers = s.servers[:0]
		for _, l := range r.Loads {
			s.servers = append(s.servers, serverBoot{l.Server, l.Boot})
		}
	}
	if s.fullDue == 0 && s.heartbeatsSent < WholeEvery-1 {
		s.heartbeatsSent++
		return s.base, false
	}
	s.fullDue, s.heartbeatsSent = max(0, s.fullDue-1), 0
	return s.base, true
}

func (s *Sender) sameServers(loads []amaranthtide.ServerLoad) bool {
	if len(loads) != len(s.servers) {
		return false
	}
	for i, l := range loads {
		if s.servers[i] != (serverBoot{l.Server, l.Boot}) {
			return false
		}
	}
	return true
}

// Greet makes the next report a whole one, for a peer that asked for it, was not heard
// before or not for long.
func (s *Sender) Greet() { s.fullDue = max(s.fullDue, 1) }

// Base is the last base of one other router. The zero value knows none.
type Base struct {
	number uint64
	report amaranthtide.Report
}

// With returns the base after a whole report, in whatever order reports arrive.
func (b Base) With(r amaranthtide.Report, number uint64) Base {
	old := r.Incarnation < b.report.Incarnation || r.Incarnation == b.report.Incarnation && number < b.number
	if b.number != 0 && old {
		return b
	}
	return Base{number, r}
}

// Report returns the report that a heartbeat stands for. known is false if its
// loads are not known, and ok is false if nothing is known of the sender.
func (b Base) Report(h Heartbeat) (r amaranthtide.Report, loadsKnown, ok bool) {
	if b.number == 0 || h.VM != b.report.VM || h.Incarnation != b.report.Incarnation {
		return amaranthtide.Report{}, false, false
	}
	r = b.report
	r.Sequence, r.Revision, r.View, r.Leaving, r.Interval = h.Sequence, h.Revision, h.View, h.Leaving, h.Interval
	r.Loads = nil
	if h.Base != b.number || len(h.Loads) != len(b.report.Loads) {
		return r, false, true
	}
	r.Loads = make([]amaranthtide.ServerLoad, len(h.Loads))
	for i, l := range h.Loads {
		l.Server, l.Boot = b.report.Loads[i].Server, b.report.Loads[i].Boot
		r.Loads[i] = l
	}
	return r, true, true
}
