// Package load holds the load of backend servers: the exact number of requests in
// flight by way of this router, and what other routers last reported.
//
// # Atomic admission
//
// The cap of a server depends on the sum over all servers of its model. If two
// gates of one model in this router took that sum at the same time, both would
// count on the same room. Hence a decision that changes a count runs inside
// Update, under the lock of the model's shard: it sees the exact sum, and its
// change is in the sum before the next decision of that model begins. Gates keep
// their own locks, by server. Lock order is gate, then ledger; a function passed
// to Update must touch no gate but the one whose lock its caller holds. Models
// rarely meet on one lock, and a decision holds it for about a microsecond.
//
// Update stores the count that the decision returns instead of adding to one, so
// a count can't drift from that of the gate.
//
// # Reports of other routers
//
// A report replaces the earlier ones of its router; reports that arrive out of
// order are dropped. Two routers that report the same server report different
// requests, since every router counts only its own. The work that others still
// have in flight at a server counts as external for Hold after the report, also
// when its sum is already too old for the mean: the two err in opposite
// directions on purpose.
//
// A plain service has no model. Its servers belong to the empty model, which has
// no mean.
//
// # Usage
//
//	l := load.New("vm-1")
//	l.SetServers("model", []amaranthtide.BackendServerName{"engine-1", "engine-2"})
//	l.Apply(received.Add(-transit), report)
//	gates.With("engine-1", func(g *admission.Gate, _ bool) {
//		l.Update(now, "model", "engine-1", func(v load.View) int {
//			decision, err = g.Submit(now, ticket, g.Limits(now, v, model, settled))
//			return g.InFlight()
//		})
//	})
package load

import (
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// Hold is how long the work that a router reported at a server counts against
// this server. It covers the least suspicion time (1 s), the grace (2 s) and the lag
// of the server's own report (1 s), which shows the work from then on.
const Hold = 4 * time.Second

// Peer is what one other router, or another zone, reported about a model.
type Peer struct {
	// Taken is the earliest time at which the report may have been taken.
	Taken time.Time
	// Sum holds the sums of InFlight and CompletionsPerSecond over the model's
	// servers in service; its other fields are empty.
	Sum amaranthtide.ServerLoad
	// Servers is the number of engines behind Sum that this router doesn't own.
	Servers int
}

// View is the load of a model as one decision sees it.
type View struct {
	// Own is the exact sum over the model's servers in service by way of this router.
	Own int
	// Servers is the number of the model's servers in service, those of other groups
	// included; 0 without a model.
	Servers int
	// InFlight is the part of Own at the decision's server.
	InFlight int
	// External is what others report in flight at the decision's server.
	External int
	// Peers are the reports of others. They are valid only during the decision.
	Peers []Peer
}

// Ledger holds the loads of all models. It is concurrent-safe. Use New.
type Ledger struct {
	self    amaranthtide.VMName
	tallies *shard.Map[amaranthtide.ModelName, *tally]
	models  *shard.Map[amaranthtide.BackendServerName, amaranthtide.ModelName]
}

// New returns an empty Ledger of the router on the given VM, whose own reports it ignores.
func New(self amaranthtide.VMName) *Ledger {
	return &Ledger{
		self:    self,
		tallies: shard.New[amaranthtide.ModelName, *tally](),
		models:  shard.New[amaranthtide.BackendServerName, amaranthtide.ModelName](),
	}
}

// SetServers declares the servers of a model that are in service in all reachable
// zones. Work at other servers doesn't count in the mean. What other routers
// reported about servers that were not declared is known after their next reports.
func (l *Ledger) SetServers(model amaranthtide.ModelName, servers []amaranthtide.BackendServerName) {
	for _, s := range servers {
		l.models.Set(s, model)
	}
	l.with(model, func(t *tally) { t.setServers(servers) })
}

// Update runs a decision about a server of the model and stores the number of
// requests in flight that it returns. decide runs under the lock of the model's
// shard: it must be short and must not call the Ledger.
func (l *Ledger) Update(now time.Time, model amaranthtide.ModelName, server amaranthtide.BackendServerName, decide func(v View) int) {
	l.with(model, func(t *tally) { t.setOwn(server, decide(t.view(now, server))) })
}

// Apply takes in a router's report. taken is the earliest time at which it may
// have been taken: the receive time less a bound of the transit time. A report
// with the incarnation and sequence of an applied one, or lower ones, is dropped.
func (l *Ledger) Apply(taken time.Time, r amaranthtide.Report) {
	if r.VM == l.self {
		return
	}
	l.apply(source{vm: r.VM}, order{incarnation: r.Incarnation, sequence: r.Sequence}, taken, r.Loads)
}

// ApplyDigest takes in the digest of another zone, which replaces the zone's
// earlier ones. Digests are ordered by sequence if they come from one router, and
// by arrival otherwise.
func (l *Ledger) ApplyDigest(taken time.Time, d amaranthtide.Digest) {
	l.apply(source{zone: d.Zone}, order{from: d.From, sequence: d.Sequence}, taken, d.Loads)
}

func (l *Ledger) apply(s source, o order, taken time.Time, loads []amaranthtide.ServerLoad) {
	byModel := make(map[amaranthtide.ModelName][]amaranthtide.ServerLoad)
	for _, sl := range loads {
		if model, ok := l.models.Get(sl.Server); ok {
			byModel[model] = append(byModel[model], sl)
		}
	}
	// Models that the report doesn't mention take note of it too: it ends what
	// the router reported there before.
	l.tallies.Range(func(model amaranthtide.ModelName, t *tally) bool {
		t.apply(s, o, taken, byModel[model])
		return true
	})
}

func (l *Ledger) with(model amaranthtide.ModelName, f func(t *tally)) {
	l.tallies.Update(model, func(t *tally, ok bool) (*tally, bool) {
		if !ok {
			t = newTally(model != "")
		}
		f(t)
		return t, true
	})
}

// source is a router or, with a zone instead of a VM, another zone.
type source struct {
	vm   amaranthtide.VMName
	zone amaranthtide.ZoneName
}

type order struct {
	from        amaranthtide.VMName
	incarnation amaranthtide.Incarnation
	sequence    uint64
}

// after reports whether a report with order o replaces one with order p.
func (o order) after(p order) bool {
	if o.from != p.from || o.incarnation > p.incarnation {
		return true
	}
	return o.incarnation == p.incarnation && o.sequence > p.sequence
}

// tally is the load of one model.
type tally struct {
	hasMean   bool
	inService amaranthtide.Set[amaranthtide.BackendServerName]
	own       map[amaranthtide.BackendServerName]int
	ownSum    int
	external  map[amaranthtide.BackendServerName]int
	index     map[source]int
	// orders and loads run parallel to peers.
	peers  []Peer
	orders []order
	loads  [][]amaranthtide.ServerLoad
	// groups are the other groups of the model.
	groups map[amaranthtide.GroupName]groupEntry
	// declared are the engines in service of all groups in reachable zones.
	declared  map[amaranthtide.GroupName]int
	ownGroups amaranthtide.Set[amaranthtide.GroupName]
}

func newTally(hasMean bool) *tally {
	return &tally{
		hasMean:  hasMean,
		own:      make(map[amaranthtide.BackendServerName]int),
		external: make(map[amaranthtide.BackendServerName]int),
		index:    make(map[source]int),
		groups:   make(map[amaranthtide.GroupName]groupEntry),
	}
}

func (t *tally) setServers(servers []amaranthtide.BackendServerName) {
	t.inService = amaranthtide.NewSet(servers...)
	t.ownSum = 0
	for s, n := range t.own {
		if t.inService.Has(s) {
			t.ownSum += n
		}
	}
	for i := range t.peers {
		t.sum(i)
	}
}

func (t *tally) setOwn(server amaranthtide.BackendServerName, n int) {
	if t.inService.Has(server) {
		t.ownSum += n - t.own[server]
	}
	if n == 0 {
		delete(t.own, server)
		return
	}
	t.own[server] = n
}

func (t *tally) view(now time.Time, server amaranthtide.BackendServerName) View {
	for i, p := range t.peers {
		if len(t.loads[i]) > 0 && now.Sub(p.Taken) > Hold {
			t.replace(i, nil)
		}
	}
	v := View{Own: t.ownSum, InFlight: t.own[server], External: t.external[server], Peers: t.peers}
	if t.hasMean {
		v.Servers = len(t.inService)
		t.addGroups(now, &v)
	}
	return v
}

func (t *tally) apply(s source, o order, taken time.Time, loads []amaranthtide.ServerLoad) {
	i, ok := t.index[s]
	if !ok {
		i = len(t.peers)
		t.index[s] = i
		t.peers = append(t.peers, Peer{})
		t.orders = append(t.orders, order{})
		t.loads = append(t.loads, nil)
	} else if !o.after(t.orders[i]) {
		return
	}
	t.orders[i] = o
	t.peers[i].Taken = taken
	t.replace(i, loads)
}

func (t *tally) replace(i int, loads []amaranthtide.ServerLoad) {
	for _, l := range t.loads[i] {
		if t.external[l.Server] -= l.InFlight; t.external[l.Server] == 0 {
			delete(t.external, l.Server)
		}
	}
	t.loads[i] = slices.Clone(loads)
	for _, l := range loads {
		if l.InFlight != 0 {
			t.external[l.Server] += l.InFlight
		}
	}
	t.sum(i)
}

func (t *tally) sum(i int) {
	var sum amaranthtide.ServerLoad
	for _, l := range t.loads[i] {
		if t.inService.Has(l.Server) {
			sum.InFlight += l.InFlight
			sum.CompletionsPerSecond += l.CompletionsPerSecond
		}
	}
	t.peers[i].Sum = sum
}
