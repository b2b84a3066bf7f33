package control

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide"
	"amaranthtide/coordination/membership"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// sendReport sends a report to the routers of the zone and returns the time until
// the next one.
func (c *Control) sendReport(now time.Time) time.Duration {
	loads := c.opts.Loads(now)
	for _, l := range loads {
		c.note(now, c.opts.VM, l)
	}
	c.mu.Lock()
	peers := c.view.Peers(now)
	interval := membership.Interval(len(peers), c.reportSize, c.opts.BytesPerSecond)
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
	c.mu.Unlock()
	size := c.publish(message.TopicReport, message.NewReport(report), c.withSeeds(peers))
	c.mu.Lock()
	c.reportSize = max(size, 1)
	c.mu.Unlock()
	return interval
}

// withSeeds adds the seeds until peers are known by name.
func (c *Control) withSeeds(peers []membership.Peer) []netip.AddrPort {
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
	texts := make([]string, len(to))
	for i, a := range to {
		texts[i] = a.String()
	}
	msg := watermill.NewMessage("", payload)
	msg.Metadata.Set(mesh.MetadataPeers, strings.Join(texts, ","))
	if err := c.opts.Mesh.Publisher().Publish(topic, msg); err != nil {
		c.opts.Logger.Debug("publish control message", "topic", topic, "error", err)
	}
	return len(payload)
}

func (c *Control) loopReports(messages <-chan *watermill.Message) {
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
		c.observe(time.Now(), report)
	}
}

func (c *Control) observe(now time.Time, r amaranthtide.Report) {
	if r.Zone != c.opts.Zone || r.VM == c.opts.VM || !c.roster.Observe(now, r) {
		return
	}
	c.mu.Lock()
	c.view.Observe(now, r)
	c.mu.Unlock()
	c.opts.Ledger.Apply(now.Add(-transit), r)
	for _, l := range r.Loads {
		c.note(now, r.VM, l)
	}
	if r.Revision > c.opts.Table.Revision() {
		c.opts.Behind(r.Address, r.Revision)
	}
}

// note stores the load of a server. A former owner that is finishing requests also
// reports the server; the present owner's word goes first.
func (c *Control) note(now time.Time, from amaranthtide.VMName, l amaranthtide.ServerLoad) {
	owner, ok := c.Owner(now, l.Server)
	if ok && from != "" && owner != from {
		return
	}
	c.loads.Set(l.Server, known{l, from, now})
}

// sendDigest sends a digest of this zone if this router is a contact.
func (c *Control) sendDigest(now time.Time) {
	contact, first := c.IsContact(now)
	if !contact {
		return
	}
	c.mu.Lock()
	c.sequence++
	// A digest has no incarnation of its own. Beginning with it keeps the digests of
	// a restarted router above those of its earlier run.
	sequence := uint64(c.opts.Incarnation) + c.sequence
	c.mu.Unlock()
	live := c.present(now)
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
	least := c.opts.Table.Revision()
	for _, vm := range live {
		if p, ok := c.roster.Peer(vm); ok {
			least = min(least, p.Report.Revision)
		}
	}
	return least
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

func (c *Control) loopDigests(messages <-chan *watermill.Message) {
	for msg := range messages {
		msg.Ack()
		var m message.Digest
		if err := message.Decode(msg.Payload, &m); err != nil {
			c.opts.Logger.Warn("digest dropped", "error", err)
			continue
		}
		sender, _ := netip.ParseAddrPort(msg.Metadata.Get(mesh.MetadataSender))
		c.observeDigest(time.Now(), sender, m.Root())
	}
}

// observeDigest takes in a digest of another zone. A contact that got it from
// outside passes it on to the routers of its own zone.
func (c *Control) observeDigest(now time.Time, sender netip.AddrPort, d amaranthtide.Digest) {
	if d.Zone == c.opts.Zone || !c.roster.ObserveDigest(now, d) {
		return
	}
	c.mu.Lock()
	c.view.ObserveDigest(now, d)
	peers := c.view.Peers(now)
	c.mu.Unlock()
	for _, l := range d.Loads {
		c.loads.Set(l.Server, known{l, d.From, now})
	}
	inside := slices.ContainsFunc(peers, func(p membership.Peer) bool { return p.Address == sender })
	if contact, _ := c.IsContact(now); contact && !inside {
		c.publish(message.TopicDigest, message.NewDigest(d), c.withSeeds(peers))
	}
}
