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

// sendReport sends a report or a heartbeat to the routers of the zone and returns
// the time until the next one.
func (c *Control) sendReport(now time.Time) time.Duration {
	loads := c.opts.Loads(now)
	for _, l := range loads {
		c.storeLoad(now, c.opts.VM, l)
	}
	// Heartbeats list the counts in the order of the last whole report.
	slices.SortFunc(loads, func(a, b amaranthtide.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	c.mu.Lock()
	peers := c.view.Peers(now)
	interval := c.reportInterval(len(peers))
	c.view.Tick(now, interval)
	c.sequence++
	report := amaranthtide.Report{
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
	size := c.publish(message.TopicHeartbeat, message.NewHeartbeat(heartbeat.Of(report, base)), c.addressesOrSeeds(peers))
	c.mu.Lock()
	c.heartbeatSize = frameOverhead + size
	c.mu.Unlock()
	return interval
}

// frameOverhead is about what a frame adds to the payload of a control message: its
// header, the topic and the codes of the message.Control around it.
const frameOverhead = frame.HeaderSize + 10

// reportInterval returns the time between reports that keeps their mean within the budget,
// unless the detection of dead routers would take too long. The caller holds mu.
func (c *Control) reportInterval(peers int) time.Duration {
	size := (c.fullReportSize + (heartbeat.WholeEvery-1)*c.heartbeatSize) / heartbeat.WholeEvery
	return min(membership.Interval(peers, size, c.opts.BytesPerSecond), maxReportInterval)
}

// addressesOrSeeds adds the seeds until peers are known by name.
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

// publish sends a message to some routers and returns its size in bytes.
func (c *Control) publish(topic string, m message.Message, to []netip.AddrPort) int {
	payload, err := message.Append(nil, m)
	if err != nil {
		c.opts.Logger.Error("encode control message", "topic", topic, "error", err)
		return 0
	}
	if len(to) == 0 {
		return len(payload)
	}
	if err := c.opts.Mesh.Publisher().Publish(topic, mesh.To(payload, to)); err != nil {
		c.opts.Logger.Debug("publish control message", "topic", topic, "error", err)
	}
	return len(payload)
}

func (c *Control) receiveReports(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Report
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("report dropped", "error", err)
			continue
		}
		report, err := m.Root()
		if err != nil {
			c.opts.Logger.Warn("report dropped", "error", err)
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

func (c *Control) receiveHeartbeats(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Heartbeat
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("heartbeat dropped", "error", err)
			continue
		}
		base, _ := c.bases.Get(amaranthtide.VMName(m.VM))
		report, known, ok := base.Report(m.Root())
		if sender, err := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender)); err == nil && !known {
			c.publish(message.TopicReportWanted, &message.ReportWanted{}, []netip.AddrPort{sender})
		}
		if !ok {
			continue
		}
		now := time.Now()
		c.ensureFullReport(now, report)
		c.applyReport(now, report, known)
	}
}

func (c *Control) receiveReportRequests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		c.mu.Lock()
		c.sender.Greet()
		c.mu.Unlock()
	}
}

// ensureFullReport makes the next report a whole one if its receiver is new or was cut off.
func (c *Control) ensureFullReport(now time.Time, r amaranthtide.Report) {
	p, ok := c.roster.Peer(r.VM)
	if ok && p.Report.Incarnation == r.Incarnation && now.Sub(p.Received) <= membership.Suspicion(p.Report.Interval) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender.Greet()
}

// expirePeers drops what was heard of other routers before the given time.
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

// applyReport takes in a report. Without known loads it tells only that its sender lives
// and what it sees; the loads heard before then grow old.
func (c *Control) applyReport(now time.Time, r amaranthtide.Report, known bool) {
	if !c.roster.Observe(now, r) {
		return
	}
	c.mu.Lock()
	c.view.Observe(now, r)
	c.mu.Unlock()
	if known {
		c.opts.Ledger.Apply(now.Add(-maxTransitTime), r)
	}
	for _, l := range r.Loads {
		c.storeLoad(now, r.VM, l)
	}
	if r.Revision > c.opts.Table.Revision() {
		c.opts.Behind(r.Address, r.Revision)
	}
}

// storeLoad stores the load of a server. A former owner that is finishing requests also
// reports the server; the present owner's word goes first.
func (c *Control) storeLoad(now time.Time, from amaranthtide.VMName, l amaranthtide.ServerLoad) {
	owner, ok := c.Owner(now, l.Server)
	if ok && from != "" && owner != from {
		return
	}
	c.loads.Set(l.Server, receivedLoad{l, from, now})
}

// sendDigest sends a digest of this zone if this router is a contact. A router that
// has not heard its peers yet would name itself as the only live one, and other zones
// would then send their digests to it instead of the contacts.
func (c *Control) sendDigest(now time.Time) {
	contact, first := c.IsContact(now)
	if !contact || !c.Awake(now) {
		return
	}
	c.mu.Lock()
	c.sequence++
	// A digest has no incarnation of its own. Beginning with it keeps the digests of
	// a restarted router above those of its earlier run.
	sequence := uint64(c.opts.Incarnation) + c.sequence
	c.mu.Unlock()
	live := c.representatives(now)
	digest := amaranthtide.Digest{
		Zone:     c.opts.Zone,
		From:     c.opts.VM,
		Sequence: sequence,
		Revision: c.zoneRevision(live),
		Live:     live,
		Loads:    c.zoneLoads(now),
	}
	// The second contact's digests are needed only where the first is not heard;
	// one zone each keeps the pair's traffic down to one digest per zone.
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

// zoneRevision returns the lowest revision in force at the live routers of this
// zone, so that operators of other zones learn when all of them have a change.
func (c *Control) zoneRevision(live []amaranthtide.VMName) amaranthtide.Revision {
	lowest := c.opts.Table.Revision()
	for _, vm := range live {
		if p, ok := c.roster.Peer(vm); ok {
			lowest = min(lowest, p.Report.Revision)
		}
	}
	return lowest
}

// zoneLoads returns the loads of all servers of this zone, summed over the routers
// that report them.
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

func (c *Control) receiveDigests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Digest
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("digest dropped", "error", err)
			continue
		}
		sender, _ := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
		c.applyDigest(time.Now(), sender, m.Root())
	}
}

// applyDigest takes in a digest of another zone. A contact that got it from
// outside passes it on to the routers of its own zone.
func (c *Control) applyDigest(now time.Time, sender netip.AddrPort, d amaranthtide.Digest) {
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

// relayTimeout is how long a contact waits for the other one to pass on the digest
// of a zone. Together with one digest interval it stays below membership.DigestLife.
const relayTimeout = 1500 * time.Millisecond

// shouldRelay reports whether this contact passes on a digest that it received, and notes
// those that the other contact passed on. Both contacts receive the digests of all
// zones; each passes on those of every second zone, and those that the other fails
// to pass on.
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
		index-- // counts the other zones only
	}
	return (index%2 == 0) == first || now.Sub(c.lastRelayed[zone]) > relayTimeout
}
