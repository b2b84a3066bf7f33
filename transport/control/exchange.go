package control

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
	"amaranthtide/coordination/membership"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// sendReport sends a full report or a heartbeat to the routers of the zone and returns
// the time until the next one.
func (c *Control) sendReport(now time.Time) time.Duration {
	loads := c.opts.Loads(now)
	for _, l := range loads {
		c.storeLoad(now, c.opts.VM, l)
	}
	// Heartbeats rely on the order of the loads in the last full report.
	slices.SortFunc(loads, func(a, b amaranthtide.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	c.mu.Lock()
	peers := c.view.Peers(now)
	interval := c.reportInterval(len(peers))
	c.view.Tick(now, interval)
	c.sequence++
	report := amaranthtide.RouterReport{
		VM:          c.opts.VM,
		Zone:        c.opts.Zone,
		Address:     c.opts.Address,
		Incarnation: c.opts.Incarnation,
		Sequence:    c.sequence,
		Revision:    c.opts.Table.Revision(),
		View:        c.view.Hash(now),
		Leaving:     c.leaving,
		Interval:    interval,
		Loads:       loads,
	}
	base, full := c.sender.Next(report)
	c.mu.Unlock()
	if full {
		m := message.NewReport(report)
		m.Base = base
		size := c.publish(message.TopicReport, m, c.addressesOrSeeds(peers))
		c.mu.Lock()
		c.fullReportSize = frameOverhead + size
		c.mu.Unlock()
		return interval
	}
	size := c.publish(message.TopicHeartbeat, message.NewHeartbeat(heartbeat.FromReport(report, base)), c.addressesOrSeeds(peers))
	c.mu.Lock()
	c.heartbeatSize = frameOverhead + size
	c.mu.Unlock()
	return interval
}

// frameOverhead is the approximate size that a frame adds to the payload of a control
// message: the frame header, the topic and the encoding of message.Control.
const frameOverhead = frame.HeaderSize + 10

// reportInterval returns the interval at which reports and heartbeats use BytesPerSecond
// on average, limited to maxReportInterval. The caller must hold mu.
func (c *Control) reportInterval(peers int) time.Duration {
	size := (c.fullReportSize + (heartbeat.FullReportInterval-1)*c.heartbeatSize) / heartbeat.FullReportInterval
	return min(membership.Interval(peers, size, c.opts.BytesPerSecond), maxReportInterval)
}

// addressesOrSeeds returns the addresses of the peers, or the seeds if there are none.
func (c *Control) addressesOrSeeds(peers []membership.Peer) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(peers)+len(c.opts.Seeds))
	for _, p := range peers {
		addrs = append(addrs, p.Address)
	}
	if len(addrs) == 0 {
		addrs = append(addrs, c.opts.Seeds...)
	}
	return addrs
}

// publish sends a message to the given routers and returns its encoded size in bytes.
func (c *Control) publish(topic string, m message.Message, to []netip.AddrPort) int {
	payload, err := message.Append(nil, m)
	if err != nil {
		c.opts.Logger.Error("failed to encode control message", "topic", topic, "error", err)
		return 0
	}
	if len(to) == 0 {
		return len(payload)
	}
	if err := c.opts.Mesh.Publisher().Publish(topic, mesh.NewMessage(payload, to)); err != nil {
		c.opts.Logger.Debug("failed to publish control message", "topic", topic, "error", err)
	}
	return len(payload)
}

// loopReports applies the full reports of the routers of this zone.
func (c *Control) loopReports(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Report
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("invalid report dropped", "error", err)
			continue
		}
		report, err := m.ToDomain()
		if err != nil {
			c.opts.Logger.Warn("invalid report dropped", "error", err)
			continue
		}
		if report.Zone != c.opts.Zone || report.VM == c.opts.VM {
			continue
		}
		now := time.Now()
		c.ensureFullReport(now, report)
		c.bases.Update(report.VM, func(b heartbeat.Base, _ bool) (heartbeat.Base, bool) { return b.With(report, m.Base), true })
		c.applyReport(now, report, true)
	}
}

// loopHeartbeats applies the heartbeats of the routers of this zone. If the full
// report that a heartbeat refers to is missing, it requests one from the sender.
func (c *Control) loopHeartbeats(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Heartbeat
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("invalid heartbeat dropped", "error", err)
			continue
		}
		base, _ := c.bases.Get(amaranthtide.VMName(m.VM))
		report, known, ok := base.Report(m.ToDomain())
		if sender, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender)); err == nil && !known {
			c.publish(message.TopicReportRequest, &message.ReportRequest{}, []netip.AddrPort{sender})
		}
		if !ok {
			continue
		}
		now := time.Now()
		c.ensureFullReport(now, report)
		c.applyReport(now, report, known)
	}
}

// loopReportRequests makes the next report a full one when a router requests it.
func (c *Control) loopReportRequests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		c.mu.Lock()
		c.sender.SendFullNext()
		c.mu.Unlock()
	}
}

// ensureFullReport makes the next report a full one if the sender of r is new, has
// restarted or sent nothing for longer than its suspicion time, since it may lack the last
// full report of this router.
func (c *Control) ensureFullReport(now time.Time, r amaranthtide.RouterReport) {
	p, ok := c.roster.Peer(r.VM)
	if ok && p.Report.Incarnation == r.Incarnation && now.Sub(p.Received) <= membership.Suspicion(p.Report.Interval) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender.SendFullNext()
}

// expirePeers deletes the state of routers whose last report arrived before the given time.
func (c *Control) expirePeers(before time.Time) {
	c.roster.Forget(before)
	var expired []amaranthtide.VMName
	c.bases.Range(func(vm amaranthtide.VMName, _ heartbeat.Base) bool {
		if _, ok := c.roster.Peer(vm); !ok {
			expired = append(expired, vm)
		}
		return true
	})
	for _, vm := range expired {
		c.bases.Delete(vm)
	}
}

// applyReport applies a report to the roster, the view and the loads. If its loads are
// not known, only the liveness, the view and the revision of its sender are used, and
// its earlier loads age.
func (c *Control) applyReport(now time.Time, r amaranthtide.RouterReport, known bool) {
	if !c.roster.Observe(now, r) {
		return
	}
	c.mu.Lock()
	c.view.Observe(now, r)
	c.mu.Unlock()
	if known {
		c.opts.LoadTracker.Apply(now.Add(-maxTransitTime), r)
	}
	for _, l := range r.Loads {
		c.storeLoad(now, r.VM, l)
	}
	if r.Revision > c.opts.Table.Revision() {
		c.opts.OnNewerRevision(r.Address, r.Revision)
	}
}

// storeLoad stores the load of a server. If the owner is known, loads that other routers
// report are ignored: a former owner still reports the server while it finishes requests.
func (c *Control) storeLoad(now time.Time, from amaranthtide.VMName, l amaranthtide.ServerLoad) {
	owner, ok := c.Owner(now, l.Server)
	if ok && from != "" && owner != from {
		return
	}
	c.loads.Set(l.Server, receivedLoad{l, from, now})
}

// sendDigest sends a digest of this zone if this router is a contact. A router that has
// not received reports of its peers yet sends none: it would list itself as the only live
// router, and other zones would send their digests to it instead of the contacts.
func (c *Control) sendDigest(now time.Time) {
	contact, first := c.IsContact(now)
	if !contact || !c.MayOwn(now) {
		return
	}
	c.mu.Lock()
	c.sequence++
	// A digest carries no incarnation. Adding it to the sequence keeps the sequence of
	// a restarted router above that of its earlier process.
	sequence := uint64(c.opts.Incarnation) + c.sequence
	c.mu.Unlock()
	live := c.representatives(now)
	digest := amaranthtide.ZoneDigest{
		Zone:     c.opts.Zone,
		From:     c.opts.VM,
		Sequence: sequence,
		Revision: c.zoneRevision(live),
		Live:     live,
		Loads:    c.zoneLoads(now),
	}
	// The first contact sends to the first contact of each zone and the second to the
	// others, which limits the traffic to one digest per receiver. The digests of the
	// second are needed only where those of the first don't arrive.
	var to []netip.AddrPort
	for _, row := range c.opts.Table.Zones() {
		zone := amaranthtide.ZoneName(row.Key.Name)
		if zone == c.opts.Zone {
			continue
		}
		for i, p := range c.Contacts(now, zone) {
			if (i == 0) == first {
				to = append(to, p.Address)
			}
		}
	}
	c.publish(message.TopicDigest, message.NewDigest(digest), to)
}

// zoneRevision returns the lowest table revision among the live routers of this zone,
// so that operators in other zones can see when all of them have a change.
func (c *Control) zoneRevision(live []amaranthtide.VMName) amaranthtide.Revision {
	lowest := c.opts.Table.Revision()
	for _, vm := range live {
		if p, ok := c.roster.Peer(vm); ok {
			lowest = min(lowest, p.Report.Revision)
		}
	}
	return lowest
}

// zoneLoads returns the loads of all servers of this zone, each summed over the routers
// that report it.
func (c *Control) zoneLoads(now time.Time) []amaranthtide.ServerLoad {
	sums := make(map[amaranthtide.BackendServerName]amaranthtide.ServerLoad)
	add := func(loads []amaranthtide.ServerLoad) {
		for _, l := range loads {
			sum := sums[l.Server]
			sum.Server = l.Server
			sum.InFlight += l.InFlight
			sum.CompletionsPerSecond += l.CompletionsPerSecond
			sums[l.Server] = sum
		}
	}
	add(c.opts.Loads(now))
	for _, p := range c.roster.Peers() {
		if now.Sub(p.Received) <= membership.Suspicion(p.Report.Interval) {
			add(p.Report.Loads)
		}
	}
	loads := make([]amaranthtide.ServerLoad, 0, len(sums))
	for _, l := range sums {
		loads = append(loads, l)
	}
	return loads
}

// loopDigests applies the digests of other zones.
func (c *Control) loopDigests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Digest
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("invalid digest dropped", "error", err)
			continue
		}
		sender, _ := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
		c.applyDigest(time.Now(), sender, m.ToDomain())
	}
}

// applyDigest applies a digest of another zone. A contact that received it from another
// zone relays it to the routers of its own zone.
func (c *Control) applyDigest(now time.Time, sender netip.AddrPort, d amaranthtide.ZoneDigest) {
	if d.Zone == c.opts.Zone || !c.roster.ObserveDigest(now, d) {
		return
	}
	c.mu.Lock()
	c.view.ObserveDigest(now, d)
	peers := c.view.Peers(now)
	c.mu.Unlock()
	for _, l := range d.Loads {
		c.loads.Set(l.Server, receivedLoad{l, d.From, now})
	}
	fromOwnZone := slices.ContainsFunc(peers, func(p membership.Peer) bool { return p.Address == sender })
	if contact, first := c.IsContact(now); contact && c.shouldRelay(now, d.Zone, first, fromOwnZone) {
		c.publish(message.TopicDigest, message.NewDigest(d), c.addressesOrSeeds(peers))
	}
}

// relayTimeout is how long a contact waits for the other one to relay the digests of a
// zone before it relays them itself. Together with one digest interval it must stay
// below membership.DigestMaxAge.
const relayTimeout = 1500 * time.Millisecond

// shouldRelay reports whether this contact relays a digest that it received, and records
// the digests that the other contact relayed. Both contacts receive the digests of all
// zones. Each relays those of every second zone and those that the other one has not
// relayed for relayTimeout.
func (c *Control) shouldRelay(now time.Time, zone amaranthtide.ZoneName, first, fromOwnZone bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fromOwnZone {
		c.lastRelayed[zone] = now
		return false
	}
	index := slices.IndexFunc(c.opts.Table.Zones(), func(r amaranthtide.Row) bool { return r.Key.Name == string(zone) })
	ownIndex := slices.IndexFunc(c.opts.Table.Zones(), func(r amaranthtide.Row) bool { return r.Key.Name == string(c.opts.Zone) })
	if index > ownIndex {
		index-- // this zone is not counted
	}
	return (index%2 == 0) == first || now.Sub(c.lastRelayed[zone]) > relayTimeout
}
