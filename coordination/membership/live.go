package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

func (v *View) isFresh(now time.Time, p *peer) bool {
	return now.Sub(p.receivedAt) <= Suspicion(p.report.Interval)
}

// refresh recomputes whatever depends on the current time.
func (v *View) refresh(now time.Time) {
	if v.dirty || now.After(v.validUntil) {
		v.recomputeLive(now)
	}
	if v.awaitingPeers && v.peersReported(now) {
		v.awaitingPeers = false
	}
	if !v.agreed && v.checkAgreement(now) {
		v.agreed = true
		v.recentLive, v.selfWasAbsent = v.live, !v.isLive(v.cfg.Self)
	}
}

func (v *View) recomputeLive(now time.Time) {
	v.dirty, v.validUntil = false, now.Add(time.Hour)
	var live []amaranthtide.VMName
	if !v.leaving && !v.outOfService.Has(v.cfg.Self) && !v.zoneOutOfService {
		live = append(live, v.cfg.Self)
	}
	for name, p := range v.peers {
		if !v.isFresh(now, p) {
			continue
		}
		if end := p.receivedAt.Add(Suspicion(p.report.Interval)); end.Before(v.validUntil) {
			v.validUntil = end
		}
		if !p.report.Leaving && !v.outOfService.Has(name) && !v.zoneOutOfService {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	if v.hash != 0 && slices.Equal(live, v.live) {
		return
	}
	v.live, v.hash = live, hashLive(live)
	v.changedAt, v.agreed = now, false
	v.recentLive = slices.Compact(slices.Sorted(slices.Values(slices.Concat(v.recentLive, live))))
	v.selfWasAbsent = v.selfWasAbsent || !v.isLive(v.cfg.Self)
}

func hashLive(live []amaranthtide.VMName) amaranthtide.ViewHash {
	var d xxhash.Digest
	d.Reset()
	for _, vm := range live {
		_, _ = d.WriteString(string(vm)) // never fails
		_, _ = d.WriteString("\n")       // not part of a name
	}
	return amaranthtide.ViewHash(d.Sum64())
}

func (v *View) isLive(vm amaranthtide.VMName) bool {
	_, ok := slices.BinarySearch(v.live, vm)
	return ok
}

// peersReported reports whether awaitingPeers may be cleared.
func (v *View) peersReported(now time.Time) bool {
	if now.Sub(v.lastTick) > Suspicion(v.interval) {
		return false
	}
	if now.Sub(v.resumedAt) > Suspicion(v.interval) {
		return true
	}
	for vm := range v.expectedPeers {
		if p, ok := v.peers[vm]; !ok || !p.receivedAt.After(v.resumedAt) {
			return false
		}
	}
	return len(v.expectedPeers) > 0
}

// checkAgreement reports whether the view counts as agreed upon.
func (v *View) checkAgreement(now time.Time) bool {
	if v.awaitingPeers || v.paused(now) || now.Sub(v.resumedAt) < v.resumeDelay() {
		return false
	}
	if now.Sub(v.changedAt) >= v.cfg.Grace {
		return true
	}
	agreeing := 0
	for _, p := range v.peers {
		if !v.isFresh(now, p) || p.report.Leaving {
			continue
		}
		if p.report.View != v.hash || p.report.Revision < v.revision {
			return false
		}
		agreeing++
	}
	return agreeing > 0
}

func (v *View) paused(now time.Time) bool {
	return now.Sub(v.lastTick) > Suspicion(v.interval)/2
}

// resumeDelay returns how long a router stays unsettled after it resumed. It is
// derived from the longest interval of any peer, since the reports of that peer take
// the longest to arrive.
func (v *View) resumeDelay() time.Duration {
	longest := v.interval
	for _, p := range v.peers {
		longest = max(longest, p.report.Interval)
	}
	return Suspicion(longest) / 2
}
