// Package heartbeat decides when a router sends a full report and when a heartbeat, and
// converts a heartbeat back to a report.
//
// The names and boots of the servers make up most of a report and change rarely. A
// heartbeat omits them, as well as the zone and the address, and lists only the counts
// of the servers, in the order of an earlier full report, its base. Heartbeats do not
// build on each other, so a lost one does not affect the meaning of later ones. A base
// is numbered by the sequence of the report in which the names, boots or address last
// changed, and all full reports since then have the same base.
//
// A receiver that lacks the base of a heartbeat still learns that the sender is alive,
// if it has any full report of the same incarnation, but not the sender's loads. They
// count as unknown, so the cap is too small rather than too large, until the next full
// report, which the receiver requests from the sender.
//
// # Usage
//
//	base, full := planner.Next(report) // loads in a fixed order
//	if !full {
//		h := heartbeat.FromReport(report, base)
//	}
//
//	b = b.With(report, base) // a full report arrived
//	report, loadsKnown, ok := b.Report(h)
//
// The types are not safe for concurrent use.
package heartbeat

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Heartbeat is a report without the parts that its base contains.
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
	// Loads holds the loads in the order of the base, without server and boot.
	Loads []amaranthtide.ServerLoad
}

// FromReport returns the heartbeat for a report with the given base.
func FromReport(r amaranthtide.RouterReport, base uint64) Heartbeat {
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
	// FullReportInterval is the number of successive reports of which at least one is
	// full. Receivers request a full report that they lack, so unrequested ones can be
	// rare. With one in 8, full reports made up a third of the bytes that a router with
	// 15 servers sent.
	FullReportInterval = 128
	// baseRepeats is the number of successive full reports at the start of a new base,
	// so that a receiver gets the base even if one message is lost.
	baseRepeats = 2
)

// ReportPlanner decides which reports of a router are full. The zero value is ready to
// use.
type ReportPlanner struct {
	base    uint64
	address netip.AddrPort
	servers []serverBoot
	// fullDue is the number of upcoming reports that must be full.
	fullDue int
	// heartbeatsSent is the number of heartbeats since the last full report.
	heartbeatsSent int
}

type serverBoot struct {
	server amaranthtide.BackendServerName
	boot   amaranthtide.BootID
}

// Next returns the base of the next report, and whether it must be sent as a full
// report. The sequence must increase with each report.
func (p *ReportPlanner) Next(r amaranthtide.RouterReport) (base uint64, full bool) {
	if p.base == 0 || p.address != r.Address || !p.sameServers(r.Loads) {
		p.base, p.address, p.fullDue = r.Sequence, r.Address, baseRepeats
		p.servers = p.servers[:0]
		for _, l := range r.Loads {
			p.servers = append(p.servers, serverBoot{l.Server, l.Boot})
		}
	}
	if p.fullDue == 0 && p.heartbeatsSent < FullReportInterval-1 {
		p.heartbeatsSent++
		return p.base, false
	}
	p.fullDue, p.heartbeatsSent = max(0, p.fullDue-1), 0
	return p.base, true
}

func (p *ReportPlanner) sameServers(loads []amaranthtide.ServerLoad) bool {
	if len(loads) != len(p.servers) {
		return false
	}
	for i, l := range loads {
		if p.servers[i] != (serverBoot{l.Server, l.Boot}) {
			return false
		}
	}
	return true
}

// SendFullNext makes the next report a full one. Call it if a peer has requested a full
// report, is new, or has not reported for a long time.
func (p *ReportPlanner) SendFullNext() { p.fullDue = max(p.fullDue, 1) }

// Base is the latest known base of one other router. The zero value is no base.
type Base struct {
	number uint64
	report amaranthtide.RouterReport
}

// With returns the base after a full report has arrived. Reports may arrive in any
// order: an older one does not change the base.
func (b Base) With(r amaranthtide.RouterReport, number uint64) Base {
	old := r.Incarnation < b.report.Incarnation || r.Incarnation == b.report.Incarnation && number < b.number
	if b.number != 0 && old {
		return b
	}
	return Base{number, r}
}

// Report converts a heartbeat back to a report. loadsKnown is false if the base of the
// heartbeat is unknown, and ok is false if there is no full report of the sender's
// incarnation.
func (b Base) Report(h Heartbeat) (r amaranthtide.RouterReport, loadsKnown, ok bool) {
	if b.number == 0 || h.VM != b.report.VM || h.Incarnation != b.report.Incarnation {
		return amaranthtide.RouterReport{}, false, false
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
