package coordination_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/admission"
	"amaranthtide/coordination/claim"
	"amaranthtide/coordination/fairness"
	"amaranthtide/coordination/lease"
	"amaranthtide/coordination/membership"
	"amaranthtide/coordination/order"
	"amaranthtide/coordination/placement"
	"amaranthtide/coordination/placement/rendezvous"
	"amaranthtide/coordination/ramp"
	"amaranthtide/coordination/route"
	"amaranthtide/coordination/spread"
	"amaranthtide/state/load"
	"amaranthtide/state/table"
)

const (
	fleetStep          = 100 * time.Millisecond
	fleetMaxDelay      = 2 * fleetStep // of a message in transit
	fleetOrderTimeout  = 2 * time.Second
	fleetTakeoverDelay = time.Second
	fleetColdLimit     = 2
	fleetCapacity      = 8
	fleetRampDuration  = 3 * time.Second
	// connectionTimeout is how long an entry waits for an owner that does not answer.
	connectionTimeout = 1500 * time.Millisecond
)

// node is a router and the state of its current process. restart replaces that state.
type node struct {
	name            amaranthtide.VMName
	zone            amaranthtide.ZoneName
	alive           bool
	frozen          bool
	incarnation     amaranthtide.Incarnation
	sequence        uint64
	view            *membership.View
	table           *table.Table
	tracker         *load.Tracker
	gates           map[amaranthtide.BackendServerName]*admission.Gate
	knownLoads      map[amaranthtide.BackendServerName]knownLoad
	reports         map[amaranthtide.VMName]amaranthtide.RouterReport
	receivedAt      map[amaranthtide.VMName]time.Time
	inbox           []func() // processed when the router runs next
	jobs            []*job
	appliedRevision amaranthtide.Revision // of the table, in the view and the tracker
	lease           *lease.Lease
	leaseStep       lease.Step
	planner         *order.Planner
	probedAt        time.Time
	highestRevision amaranthtide.Revision
}

type knownLoad struct {
	load       amaranthtide.ServerLoad
	receivedAt time.Time
}

// backend is an engine or an instance of a plain service.
type backend struct {
	name       amaranthtide.BackendServerName
	row        amaranthtide.BackendServer
	bootNumber int
	bootedAt   time.Time
	inFlight   map[amaranthtide.AttemptID]*job
	fencing    amaranthtide.FencingNumber
	orders     []sentFleetOrder
}

type sentFleetOrder struct {
	from            *node
	fromIncarnation amaranthtide.Incarnation
	order           amaranthtide.Order
	effectAt        time.Time
}

func (b *backend) capacity(now time.Time) int {
	age := min(now.Sub(b.bootedAt), fleetRampDuration)
	return fleetColdLimit + int(float64(fleetCapacity-fleetColdLimit)*float64(age)/float64(fleetRampDuration))
}

// entryRequest is a caller's request at its entry router.
type entryRequest struct {
	req            *amaranthtide.Request
	entry          *node
	incarnation    amaranthtide.Incarnation
	plan           *route.Plan
	pendingAttempt amaranthtide.AttemptID // whose outcome is not known yet
	pendingSince   time.Time
	ended          bool
	err            error
	sends          int
}

// job is an attempt that the owner of a server handles.
type job struct {
	request    *entryRequest
	attempt    amaranthtide.AttemptID
	server     *backend
	admitted   bool
	claim      *claim.Claim
	step       claim.Step
	started    time.Time
	finishesAt time.Time // when the server finishes the request
	sent       bool
	done       bool
}

type fleet struct {
	t          *rapid.T
	now        time.Time
	random     *rand.Rand
	table      *fakeTable
	nodes      []*node
	servers    []*backend
	requests   []*entryRequest
	edits      []*operator
	deliveries []func() bool
	zoneCut    bool
	// lastFault is when the platform or the link between zones last failed, or a router
	// was last killed, restarted or frozen.
	lastFault time.Time
	// accepted are the table changes that were reported to an operator as accepted.
	accepted []acceptedChange
	// sendsByKey counts the sends of the requests with each idempotency key.
	sendsByKey map[amaranthtide.IdempotencyKey]int
	// loadHistory holds the peak engine load through each router for each past step,
	// newest last. stepPeaks holds the peak of the current step.
	loadHistory  map[*node][]int
	stepPeaks    map[*node]int
	lastID       int
	sends        int
	checkedSends int
}

type acceptedChange struct {
	at     time.Time
	change amaranthtide.Change
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: epoch, table: newFakeTable(), sendsByKey: map[amaranthtide.IdempotencyKey]int{}, loadHistory: map[*node][]int{}, stepPeaks: map[*node]int{}}
	f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0))
	f.table.faultless = true
	rows := []amaranthtide.Edit{
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowModel, Name: "m"}, Value: amaranthtide.Model{}},
		{Key: amaranthtide.RowKey{Kind: amaranthtide.RowRoute, Name: "pay"}, Value: amaranthtide.Route{}},
	}
	for _, zone := range []amaranthtide.ZoneName{"a", "b"} {
		rows = append(rows, amaranthtide.Edit{Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: string(zone)}, Value: amaranthtide.Zone{}})
		for i := range rapid.IntRange(2, 3).Draw(t, "routers") {
			f.nodes = append(f.nodes, &node{name: amaranthtide.VMName(fmt.Sprint("vm-", zone, i)), zone: zone})
		}
		for i := range 3 {
			b := &backend{name: amaranthtide.BackendServerName(fmt.Sprint("server-", zone, i)), inFlight: map[amaranthtide.AttemptID]*job{}, bootedAt: f.now.Add(-time.Hour),
				row: amaranthtide.BackendServer{Zone: zone, Address: netip.MustParseAddrPort("127.0.0.1:80"), Model: "m", Capacity: fleetCapacity,
					ColdLimit: fleetColdLimit, RampDuration: amaranthtide.Duration(fleetRampDuration), ChecksFencing: i == 0, Version: "0"}}
			if i == 2 {
				b.row.Model, b.row.Route, b.row.Version = "", "pay", ""
			}
			f.servers = append(f.servers, b)
			rows = append(rows, amaranthtide.Edit{Key: amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: string(b.name)}, Value: b.row})
		}
	}
	o := newOperator(0, rows, f.now, f.now.Add(time.Hour))
	for !o.done() {
		o.advance(t, f.table, f.now)
	}
	f.table.faultless = false
	for _, n := range f.nodes {
		f.restart(n)
	}
	return f
}

func (f *fleet) list() []amaranthtide.ListedVM {
	var vms []amaranthtide.ListedVM
	for _, n := range f.nodes {
		vms = append(vms, amaranthtide.ListedVM{Name: n.name, Zone: n.zone})
	}
	return vms
}

// restart starts a router's process. The process loads the table from a running peer or,
// if there is none, from the platform.
func (f *fleet) restart(n *node) {
	var rows []amaranthtide.Row
	var revision amaranthtide.Revision
	for _, peer := range f.nodes {
		if peer != n && peer.zone == n.zone && peer.alive && !peer.frozen {
			rows, revision = peer.table.Snapshot()
		}
	}
	if revision == 0 {
		if f.table.outage {
			return
		}
		log, _ := spread.DecodeChanges(f.table.list("log/", "", 10_000))
		for _, row := range replay(log) {
			rows = append(rows, row)
		}
		revision = amaranthtide.Revision(len(log))
	}
	f.lastFault = f.now
	*n = node{name: n.name, zone: n.zone, alive: true, incarnation: n.incarnation + 1,
		view: membership.New(f.now, membership.Config{Self: n.name, Zone: n.zone}, fleetStep), table: table.New(), tracker: load.New(n.name),
		gates: map[amaranthtide.BackendServerName]*admission.Gate{}, knownLoads: map[amaranthtide.BackendServerName]knownLoad{},
		reports: map[amaranthtide.VMName]amaranthtide.RouterReport{}, receivedAt: map[amaranthtide.VMName]time.Time{}}
	n.table.Load(rows, revision)
	n.view.SetListedVMs(f.now, f.list())
	n.planner = order.New(order.Config{})
	holder := fmt.Sprint(n.name, "-", n.incarnation)
	n.lease = lease.New(lease.Config{Zone: n.zone, Holder: holder, Duration: 5 * time.Second, LongestOrder: fleetOrderTimeout, NewToken: func() amaranthtide.WriteToken {
		return amaranthtide.WriteToken(f.id(holder))
	}})
	n.leaseStep = n.lease.Start(f.now)
	f.tableChanged(n)
}

func (f *fleet) id(prefix string) string {
	f.lastID++
	return fmt.Sprint(prefix, "-", f.lastID)
}

// kill ends a router's process. Its connections break, and servers cancel its requests.
// Requests with a key have already had their effect.
func (f *fleet) kill(n *node) {
	n.alive, n.frozen, f.lastFault = false, false, f.now
	for _, j := range n.jobs {
		delete(j.server.inFlight, j.attempt)
	}
}

func (f *fleet) tableChanged(n *node) {
	if n.appliedRevision == n.table.Revision() {
		return
	}
	n.appliedRevision = n.table.Revision()
	zone, _ := n.table.Zone(n.zone)
	n.view.SetOutOfService(f.now, n.appliedRevision, amaranthtide.NewSet[amaranthtide.VMName](), zone.OutOfService)
	var inService []amaranthtide.BackendServerName
	for _, b := range f.servers {
		row, _ := n.table.BackendServer(b.name)
		if z, _ := n.table.Zone(row.Zone); row.Model == "m" && !row.Leaving && !z.OutOfService {
			inService = append(inService, b.name)
		}
		if row.Model == "m" && row.Zone == n.zone {
			n.planner.Declare(b.name, row, fleetOrderTimeout)
		}
	}
	n.tracker.SetServers("m", inService)
}

// deliver runs do at a router after a random delay, unless the router was killed or
// restarted in the meantime.
func (f *fleet) deliver(n *node, do func()) {
	incarnation, due := n.incarnation, f.now.Add(fleetStep*time.Duration(f.random.IntN(int(fleetMaxDelay/fleetStep)))+1)
	f.deliveries = append(f.deliveries, func() bool {
		if f.now.Before(due) {
			return false
		}
		if n.alive && n.incarnation == incarnation {
			n.inbox = append(n.inbox, do)
		}
		return true
	})
}

func (f *fleet) reachable(a, b *node) bool { return a.zone == b.zone || !f.zoneCut }

// advance runs the fleet for one step and checks the guarantees.
func (f *fleet) advance() {
	f.now = f.now.Add(fleetStep)
	if f.table.outage || f.zoneCut {
		f.lastFault = f.now
	}
	var kept []func() bool
	due := f.deliveries
	f.deliveries = nil
	for _, do := range due {
		if !do() {
			kept = append(kept, do)
		}
	}
	f.deliveries = append(kept, f.deliveries...)
	f.advanceServers()
	for i, n := range f.nodes {
		if n.frozen {
			f.lastFault = f.now
		}
		if n.alive && !n.frozen {
			f.advanceNode(i, n)
		}
	}
	for _, o := range f.edits {
		f.advanceEdit(o)
	}
	for _, n := range f.nodes {
		f.loadHistory[n] = append(f.loadHistory[n], max(f.stepPeaks[n], n.engineLoad()))
		f.stepPeaks[n] = n.engineLoad()
	}
	f.check()
}

// engineLoad returns the number of requests that the router has in flight at engines.
func (n *node) engineLoad() int {
	sum := 0
	for _, j := range n.jobs {
		if j.admitted && !j.done && j.server.row.Model == "m" {
			sum++
		}
	}
	return sum
}

// advanceServers removes the requests that servers have finished and applies the orders
// that are due.
func (f *fleet) advanceServers() {
	for _, b := range f.servers {
		for id, j := range b.inFlight {
			if !f.now.Before(j.finishesAt) {
				delete(b.inFlight, id)
			}
		}
		b.orders = slices.DeleteFunc(b.orders, func(o sentFleetOrder) bool {
			if f.now.Before(o.effectAt) {
				return false
			}
			if o.order.Fencing < b.fencing && !b.row.ChecksFencing {
				f.t.Fatalf("P11: %s got: effect of an order with fencing number %d after one with %d", b.name, o.order.Fencing, b.fencing)
			}
			kind := amaranthtide.KindFenced
			if o.order.Fencing >= b.fencing {
				b.fencing, kind = o.order.Fencing, 0
			}
			if o.from.alive && o.from.incarnation == o.fromIncarnation {
				f.deliver(o.from, func() {
					if kind != 0 {
						o.from.planner.Ordered(f.now, b.name, amaranthtide.Errorf(kind, "fenced"))
						return
					}
					o.from.planner.Ordered(f.now, b.name, nil)
				})
			}
			return true
		})
	}
}

func (f *fleet) advanceNode(i int, n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		do()
		f.tableChanged(n)
	}
	f.sendReport(n)
	f.pollAndSendDigest(n)
	for _, b := range f.servers {
		f.updateGate(n, b)
	}
	if f.now.Sub(n.probedAt) >= time.Second {
		n.probedAt = f.now
		f.probe(n)
	}
	for _, j := range slices.Clone(n.jobs) {
		f.advanceJob(n, j)
	}
	n.jobs = slices.DeleteFunc(n.jobs, func(j *job) bool { return j.done })
	for _, r := range f.requests {
		if r.entry == n && r.incarnation == n.incarnation && !r.ended {
			f.advanceRequest(n, r)
		}
	}
	if (int(f.now.Sub(epoch)/fleetStep)+i)%4 == 0 {
		f.advanceOrders(n)
	}
}

// updateGate updates the gate of a server and starts queued requests that may start.
func (f *fleet) updateGate(n *node, b *backend) {
	g, ok := n.gates[b.name]
	owner, owned := n.view.Owner(f.now, amaranthtide.GroupName(b.name))
	owns := owned && owner == n.name && b.row.Zone == n.zone
	if !ok {
		if !owns {
			return
		}
		g = admission.New(f.now, admission.Config{Server: b.name, QueueLimit: 16, TakeoverDelay: fleetTakeoverDelay,
			Ramp: ramp.Config{ColdLimit: fleetColdLimit, Capacity: fleetCapacity, Duration: fleetRampDuration}})
		if k, ok := n.knownLoads[b.name]; ok && k.load.Boot != "" && f.now.Sub(k.receivedAt) <= 3*time.Second {
			g.Resume(f.now, k.load.Boot, k.load.Allowance)
		}
		n.gates[b.name] = g
	}
	g.SetOwned(f.now, owns)
	row, _ := n.table.BackendServer(b.name)
	zone, _ := n.table.Zone(n.zone)
	g.SetLeaving(row.Leaving || zone.OutOfService)
	f.withLimits(n, b, g, func(l admission.Limits) {
		started, refused := g.Next(f.now, l)
		for _, s := range started {
			f.admit(n, b, s.Attempt)
		}
		for _, r := range refused {
			f.refuse(n, r.Ticket.Attempt, r.Err)
		}
	})
	if !owns && g.InFlight() == 0 {
		delete(n.gates, b.name)
	}
}

func (f *fleet) withLimits(n *node, b *backend, g *admission.Gate, do func(admission.Limits)) {
	model, _ := n.table.Model(b.row.Model)
	settled := n.view.Settled(f.now, amaranthtide.GroupName(b.name))
	n.tracker.Update(f.now, b.row.Model, b.name, func(v load.View) int {
		do(g.Limits(f.now, v, model, settled))
		return g.InFlight()
	})
}

func (f *fleet) probe(n *node) {
	for _, b := range f.servers {
		g, ok := n.gates[b.name]
		if !ok || b.row.Model == "" {
			continue
		}
		r := amaranthtide.EngineReport{Boot: amaranthtide.BootID(fmt.Sprint("boot-", b.bootNumber)), InFlight: len(b.inFlight), Capacity: fleetCapacity}
		requestedAt := f.now
		f.deliver(n, func() { g.Observe(f.now, requestedAt, r) })
	}
}

func (f *fleet) loads(n *node) []amaranthtide.ServerLoad {
	var loads []amaranthtide.ServerLoad
	for _, b := range f.servers {
		if g, ok := n.gates[b.name]; ok {
			loads = append(loads, g.Load(f.now))
		}
	}
	return loads
}

func (f *fleet) sendReport(n *node) {
	n.view.Tick(f.now, fleetStep)
	n.sequence++
	r := amaranthtide.RouterReport{VM: n.name, Zone: n.zone, Incarnation: n.incarnation, Sequence: n.sequence, Revision: n.table.Revision(),
		View: n.view.Hash(f.now), Interval: fleetStep, Loads: f.loads(n)}
	for _, peer := range f.nodes {
		if peer != n && peer.zone == n.zone && peer.alive {
			f.deliver(peer, func() { f.observe(peer, n, r) })
		}
	}
}

func (f *fleet) observe(n, from *node, r amaranthtide.RouterReport) {
	if !n.view.Observe(f.now, r) {
		return
	}
	n.reports[r.VM], n.receivedAt[r.VM] = r, f.now
	n.tracker.Apply(f.now.Add(-fleetMaxDelay), r)
	for _, l := range r.Loads {
		if owner, ok := n.view.Owner(f.now, amaranthtide.GroupName(l.Server)); !ok || owner == r.VM {
			n.knownLoads[l.Server] = knownLoad{l, f.now}
		}
	}
	if r.Revision > n.table.Revision() && from.alive && !from.frozen {
		changes, ok := from.table.Changes(n.table.Revision(), 256)
		rows, revision := from.table.Snapshot()
		f.deliver(n, func() {
			if !ok {
				n.table.Load(rows, revision)
				return
			}
			n.table.Apply(changes)
		})
	}
}

// pollAndSendDigest polls the table and sends a digest to the other zones if the router
// is a contact of its zone.
func (f *fleet) pollAndSendDigest(n *node) {
	if !slices.Contains(placement.Contacts(n.zone, n.view.Representatives(f.now)), n.name) || f.now.Sub(epoch)%time.Second != 0 {
		return
	}
	if !f.table.outage {
		page := spread.LogPage(n.table.Revision(), 0)
		changes, _ := spread.DecodeChanges(f.table.list(page.Prefix, page.After, page.Limit))
		f.applyAndForward(n, changes)
	}
	digest := amaranthtide.ZoneDigest{Zone: n.zone, From: n.name, Sequence: uint64(n.incarnation)<<32 + n.sequence, Live: n.view.Live(f.now)}
	sums := map[amaranthtide.BackendServerName]amaranthtide.ServerLoad{}
	add := func(loads []amaranthtide.ServerLoad) {
		for _, l := range loads {
			s := sums[l.Server]
			sums[l.Server] = amaranthtide.ServerLoad{Server: l.Server, InFlight: s.InFlight + l.InFlight, CompletionsPerSecond: s.CompletionsPerSecond + l.CompletionsPerSecond}
		}
	}
	add(f.loads(n))
	for vm, r := range n.reports {
		if f.now.Sub(n.receivedAt[vm]) <= membership.Suspicion(r.Interval) {
			add(r.Loads)
		}
	}
	for _, l := range sums {
		digest.Loads = append(digest.Loads, l)
	}
	for _, peer := range f.nodes {
		if peer.zone != n.zone && peer.alive && f.reachable(n, peer) {
			f.deliver(peer, func() {
				peer.view.ObserveDigest(f.now, digest)
				peer.tracker.ApplyDigest(f.now.Add(-fleetMaxDelay), digest)
				for _, l := range digest.Loads {
					peer.knownLoads[l.Server] = knownLoad{l, f.now}
				}
			})
		}
	}
}

func (f *fleet) applyAndForward(n *node, changes []amaranthtide.Change) {
	if applied, _ := n.table.Apply(changes); applied == 0 {
		return
	}
	f.tableChanged(n)
	for _, peer := range f.nodes {
		if peer != n && peer.zone == n.zone && peer.alive {
			f.deliver(peer, func() { peer.table.Apply(changes) })
		}
	}
}

func (f *fleet) advanceEdit(o *operator) {
	if o.done() {
		return
	}
	o.advance(f.t, f.table, f.now)
	if r, ok := o.step.Result.Get(); ok && r.Err == nil {
		for _, c := range r.Changes {
			f.accepted = append(f.accepted, acceptedChange{f.now, c})
		}
	}
}

// advanceOrders runs the lease and the order planner of a router.
func (f *fleet) advanceOrders(n *node) {
	r := f.table.call(f.t, n.lease.BeginCall(f.now, n.leaseStep))
	n.leaseStep = n.lease.Next(f.now, r)
	s := n.planner.Next(f.now, n.lease)
	switch s.Do {
	case order.Reserve:
		n.planner.Reserved(f.now, s.Order.Server, 0, nil)
	case order.Send:
		if !n.planner.MaySend(f.now, n.lease, s.Order) {
			n.planner.Ordered(f.now, s.Order.Server, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "late"))
			return
		}
		took := time.Duration(f.random.Int64N(int64(fleetOrderTimeout)))
		b := f.servers[slices.IndexFunc(f.servers, func(b *backend) bool { return b.name == s.Order.Server })]
		b.orders = append(b.orders, sentFleetOrder{n, n.incarnation, s.Order, f.now.Add(took)})
	}
}

// request creates a caller's request at an entry router.
func (f *fleet) request(n *node, key amaranthtide.IdempotencyKey) {
	req := &amaranthtide.Request{ID: amaranthtide.RequestID(f.id("request")), Workspace: "w", Model: "m", Key: key, Cost: 1,
		Chat: amaranthtide.ChatID(fmt.Sprint(f.random.IntN(20))), Deadline: f.now.Add(8 * time.Second), Body: []byte("body")}
	if key != "" {
		req.Model, req.Route = "", "pay"
	}
	r := &entryRequest{req: req, entry: n, incarnation: n.incarnation}
	f.requests = append(f.requests, r)
	byZone := map[amaranthtide.ZoneName][]amaranthtide.Candidate{}
	for _, b := range f.servers {
		row, _ := n.table.BackendServer(b.name)
		if row.Model == req.Model && row.Route == req.Route {
			k := n.knownLoads[b.name]
			byZone[row.Zone] = append(byZone[row.Zone], amaranthtide.Candidate{Server: b.name, Zone: row.Zone, InFlight: k.load.InFlight, Limit: fleetCapacity, LoadTime: k.receivedAt})
		}
	}
	var zones []route.Zone
	for _, z := range placement.New(placement.ChatKey(req.Workspace, req.Chat)).Zones([]placement.Zone{{Name: "a", Capacity: 1}, {Name: "b", Capacity: 1}}) {
		if _, ok := n.view.LiveIn(f.now, z.Name); ok {
			zones = append(zones, route.Zone{Name: z.Name, Candidates: byZone[z.Name]})
		}
	}
	r.plan = route.New(route.Config{Request: req, Zones: zones, Policy: rendezvous.Policy{}, Retry: func() bool { return true },
		InService: func(zone amaranthtide.ZoneName, server amaranthtide.BackendServerName) bool {
			z, _ := n.table.Zone(zone)
			row, _ := n.table.BackendServer(server)
			return !z.OutOfService && !row.Leaving
		}})
}

// advanceRequest runs the routing plan of a request at its entry router.
func (f *fleet) advanceRequest(n *node, r *entryRequest) {
	if r.pendingAttempt != "" {
		if f.now.Sub(r.pendingSince) > connectionTimeout && r.req.Repeatable() || f.now.Sub(r.pendingSince) > 12*time.Second {
			f.recordOutcome(r, r.pendingAttempt, amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "connection lost"))
		}
		return
	}
	target, err := r.plan.Next(f.now)
	if err != nil {
		r.ended, r.err = true, err
		return
	}
	attempt := amaranthtide.AttemptID(f.id("attempt"))
	r.pendingAttempt, r.pendingSince = attempt, f.now
	vm, ok := n.view.Owner(f.now, amaranthtide.GroupName(target.Server))
	if target.Zone != n.zone {
		live, _ := n.view.LiveIn(f.now, target.Zone)
		vm, ok = placement.Owner(amaranthtide.GroupName(target.Server), live)
	}
	i := slices.IndexFunc(f.nodes, func(o *node) bool { return o.name == vm })
	if !ok || i < 0 || !f.nodes[i].alive || !f.reachable(n, f.nodes[i]) {
		f.recordOutcome(r, attempt, amaranthtide.Errorf(amaranthtide.KindNoBackend, "no connection to an owner"))
		return
	}
	b := f.servers[slices.IndexFunc(f.servers, func(b *backend) bool { return b.name == target.Server })]
	req := *r.req
	req.Attempt, req.MayQueue = attempt, target.MayQueue
	f.deliver(f.nodes[i], func() { f.acceptForward(f.nodes[i], b, r, &req) })
}

// recordOutcome records the outcome of an attempt at the entry router.
func (f *fleet) recordOutcome(r *entryRequest, attempt amaranthtide.AttemptID, err error) {
	if r.pendingAttempt != attempt || r.ended {
		return
	}
	r.pendingAttempt = ""
	if err == nil {
		r.ended = true
		return
	}
	r.plan.Refused(f.now, err, amaranthtide.None[amaranthtide.VMName]())
}

func (f *fleet) sendOutcome(from *node, r *entryRequest, attempt amaranthtide.AttemptID, err error) {
	if r.entry.alive && r.entry.incarnation == r.incarnation && f.reachable(from, r.entry) {
		f.deliver(r.entry, func() { f.recordOutcome(r, attempt, err) })
	}
}

// acceptForward handles a forwarded request at the owner.
func (f *fleet) acceptForward(n *node, b *backend, r *entryRequest, req *amaranthtide.Request) {
	if zone, _ := n.table.Zone(n.zone); zone.OutOfService {
		f.sendOutcome(n, r, req.Attempt, amaranthtide.Errorf(amaranthtide.KindZoneOut, "out"))
		return
	}
	f.updateGate(n, b)
	g, ok := n.gates[b.name]
	if !ok {
		f.sendOutcome(n, r, req.Attempt, amaranthtide.Errorf(amaranthtide.KindNotOwner, "not the owner"))
		return
	}
	j := &job{request: r, attempt: req.Attempt, server: b}
	if !req.Repeatable() {
		j.claim = claim.New(claim.Config{Request: req, VM: n.name, Token: amaranthtide.WriteToken(f.id("claim"))})
	}
	n.jobs = append(n.jobs, j)
	ticket := admission.Ticket{Ticket: fairness.Ticket{Attempt: req.Attempt, Workspace: "w", Weight: 1, Cost: 1, Deadline: req.Deadline}, MayQueue: req.MayQueue}
	f.withLimits(n, b, g, func(l admission.Limits) {
		decision, err := g.Submit(f.now, ticket, l)
		switch {
		case err != nil:
			f.refuse(n, req.Attempt, err)
		case decision == admission.Admitted:
			f.admit(n, b, req.Attempt)
		}
	})
}

func (f *fleet) refuse(n *node, attempt amaranthtide.AttemptID, err error) {
	for _, j := range n.jobs {
		if j.attempt == attempt && !j.done {
			j.done = true
			f.sendOutcome(n, j.request, attempt, err)
		}
	}
}

// admit starts an admitted request. A request with a key is claimed first.
func (f *fleet) admit(n *node, b *backend, attempt amaranthtide.AttemptID) {
	j := n.jobs[slices.IndexFunc(n.jobs, func(j *job) bool { return j.attempt == attempt })]
	j.admitted, j.started = true, f.now
	f.stepPeaks[n] = max(f.stepPeaks[n], n.engineLoad())
	if j.claim != nil {
		j.step = j.claim.Start(f.now)
		return
	}
	f.send(n, j)
	f.checkAdmission(n, b)
}

func (f *fleet) send(n *node, j *job) {
	j.sent, j.finishesAt = true, f.now.Add(time.Duration(200+f.random.IntN(2000))*time.Millisecond)
	j.server.inFlight[j.attempt] = j
	j.request.sends++
	f.sends++
	f.checkStart(n, j)
}

// advanceJob runs one step of an admitted request at the owner.
func (f *fleet) advanceJob(n *node, j *job) {
	if !j.admitted || j.done {
		return
	}
	if j.claim == nil {
		if _, running := j.server.inFlight[j.attempt]; running {
			return
		}
		var err error
		if f.now.Before(j.finishesAt) {
			err = amaranthtide.Errorf(amaranthtide.KindBackendFailed, "the engine stopped")
		}
		f.finish(n, j, err == nil)
		f.sendOutcome(n, j.request, j.attempt, err)
		return
	}
	var o claim.Outcome
	switch j.step.Do {
	case claim.Call:
		o.Result = f.table.call(f.t, j.step.Call)
	case claim.Send:
		if !j.sent {
			if !j.claim.MaySend(f.now) {
				o.Refused = true
				break
			}
			f.sendsByKey[j.request.req.Key]++
			f.send(n, j)
			return
		}
		if _, running := j.server.inFlight[j.attempt]; running {
			return
		}
		o.Answer = claim.Answer{Status: 200, Body: []byte(j.attempt)}
		if f.now.Before(j.finishesAt) {
			o = claim.Outcome{Err: amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "the service stopped")}
		}
	}
	j.step = j.claim.Next(f.now, o)
	if reply, ok := j.step.Reply.Get(); ok {
		f.sendOutcome(n, j.request, j.attempt, reply.Err)
		if g, ok := n.gates[j.server.name]; ok {
			f.withLimits(n, j.server, g, func(admission.Limits) { g.Finish(f.now, j.attempt, admission.Outcome{Complete: reply.Err == nil}) })
		}
	}
	j.done = j.step.Do == claim.End
}

func (f *fleet) finish(n *node, j *job, complete bool) {
	j.done = true
	if g, ok := n.gates[j.server.name]; ok {
		f.withLimits(n, j.server, g, func(admission.Limits) {
			g.Finish(f.now, j.attempt, admission.Outcome{Complete: complete, Tokens: 20, Took: f.now.Sub(j.started)})
		})
	}
}
