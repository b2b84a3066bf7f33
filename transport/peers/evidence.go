package peers

import (
	"net/netip"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// evidenceResendInterval is the time after which evidence is sent again to a router that still
// reports another hash: the message was lost, or both routers know something that the other
// one has dropped.
const evidenceResendInterval = 2 * time.Second

// Evidence is what this router knows about requests that crash servers.
type Evidence interface {
	// Hash returns the hash over the evidence, 0 if there is none.
	Hash(now time.Time) amaranthtide.EvidenceHash
	// Evidence returns the evidence.
	Evidence(now time.Time) amaranthtide.CrashEvidence
	// Merge adds the evidence of another router.
	Merge(now time.Time, e amaranthtide.CrashEvidence)
}

// sendEvidence sends the evidence to those neighbors in the tree of load reports that have not
// got it: it reaches the whole fleet over them.
func (e *Exchange) sendEvidence(now time.Time) {
	hash := e.opts.Evidence.Hash(now)
	if hash == 0 {
		return
	}
	e.mu.Lock()
	to := e.neighborsWithout(now, hash)
	e.mu.Unlock()
	e.sendEvidenceTo(now, to)
}

// sendEvidenceTo sends the evidence, if there is any, to the routers with the addresses.
func (e *Exchange) sendEvidenceTo(now time.Time, to []netip.AddrPort) {
	hash := e.opts.Evidence.Hash(now)
	if hash == 0 || len(to) == 0 {
		return
	}
	e.publish(message.TopicCrashEvidence, message.NewCrashEvidence(now, e.opts.Self.VM, hash, e.opts.Evidence.Evidence(now)), to)
}

// neighborsWithout returns the addresses of the neighbors with another hash that were not sent
// the evidence a moment ago, and records that it is sent to them. The caller holds mu.
func (e *Exchange) neighborsWithout(now time.Time, hash amaranthtide.EvidenceHash) []netip.AddrPort {
	hub := e.currentHub(now)
	var to []netip.AddrPort
	for name, r := range e.routers {
		isNeighbor := name == hub || now.Sub(r.lastReportAt) <= liveAge || hub == e.opts.Self.VM && now.Sub(r.lastZoneLoadsAt) <= liveAge
		isSent := r.evidenceSent == hash && now.Sub(r.evidenceSentAt) < evidenceResendInterval
		if !isNeighbor || r.evidenceHash == hash || isSent {
			continue
		}
		r.evidenceSent, r.evidenceSentAt = hash, now
		e.routers[name] = r
		to = append(to, r.addr)
	}
	return to
}

// handleEvidence adds the evidence of another router.
func (e *Exchange) handleEvidence(msg *watermill.Message) {
	var m message.CrashEvidence
	if !e.decode(msg, &m) {
		return
	}
	now := time.Now()
	e.mu.Lock()
	if r, ok := e.routers[amaranthtide.VMName(m.VM)]; ok {
		r.evidenceHash = amaranthtide.EvidenceHash(m.Hash)
		e.routers[amaranthtide.VMName(m.VM)] = r
	}
	e.mu.Unlock()
	e.opts.Logger.Debug("crash evidence received", "sender", msg.Metadata.Get(mesh.MetadataSender), "crashes", len(m.Crashes), "quarantines", len(m.Quarantines))
	e.opts.Evidence.Merge(now, m.ToDomain(now))
}
