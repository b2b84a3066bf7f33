// Package load holds the load of backend servers: the exact number of requests in
// flight through this router, and the loads that other routers last reported.
//
// # Atomic admission
//
// The cap of a server depends on the sum over all servers of its model. If two
// gates of one model in this router read that sum at the same time, both could
// admit a request into the same free slot. Hence a decision that changes a count
// runs inside Update, under the lock of the model's shard: it sees the exact sum,
// and its change is in the sum before the next decision of that model begins. Each
// gate has its own lock. The lock order is gate, then Tracker; a function passed to
// Update must access no gate except the one whose lock its caller holds. Models
// rarely contend for a lock, and a decision holds it for about a microsecond.
//
// Update stores the count that the decision returns instead of adding a
// difference, so the count always equals that of the gate.
//
// # Reports of other routers
//
// A report replaces the earlier ones of its router; reports that arrive out of
// order are dropped. Two routers that report the same server report different
// requests, since every router counts only its own. The requests that other
// routers reported at a server count as external for ExternalLoadTTL, even if the
// report is already too old for the mean. Both choices are deliberately
// conservative: the load of the server may be overestimated and the mean
// underestimated, but not the reverse.
//
// A plain service has no model. Its servers belong to the empty model, which has
// no mean.
//
// # Usage
//
//	t := load.New("vm-1")
//	t.SetServers("model", []amaranthtide.BackendServerName{"engine-1", "engine-2"})
//	t.Apply(received.Add(-maxTransit), report)
//	gates.With("engine-1", func(g *admission.Gate, _ bool) {
//		t.Update(now, "model", "engine-1", func(v load.View) int {
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

// ExternalLoadTTL is how long requests that a router reported at a server count as
// external load of that server. It is the sum of the shortest suspicion time (1 s), the
// grace period (2 s) and the delay of the server's own report (1 s), which includes the
// requests from then on.
const ExternalLoadTTL = 4 * time.Second

// PeerLoad is the load of a model that another router, group or zone reported.
type PeerLoad struct {
	// Taken is the earliest time at which the reported load may have been measured.
	Taken time.Time
	// Sum holds the sums of InFlight and CompletionsPerSecond over the model's
	// servers in service; its other fields are empty.
	Sum amaranthtide.ServerLoad
	// Servers is the number of engines behind Sum that this router doesn't own.
	Servers int
}

// View is the load of a model as one decision sees it.
type View struct {
	// Own is the exact number of requests in flight through this router at all of the
	// model's servers in service.
	Own int
	// Servers is the number of the model's servers in service, including those of other
	// groups; 0 for plain services.
	Servers int
	// InFlight is the number of requests in flight through this router at the server
	// that the decision is about.
	InFlight int
	// External is the number of requests that other routers reported at that server.
	External int
	// Peers are the loads that others reported. They are valid only during the decision.
	Peers []PeerLoad
}

// Tracker holds the loads of all models. It is safe for concurrent use. Create one
// with New.
type Tracker struct {
	self       amaranthtide.VMName
	modelLoads *shard.Map[amaranthtide.ModelName, *modelLoad]
	models     *shard.Map[amaranthtide.BackendServerName, amaranthtide.ModelName]
}

// New returns an empty Tracker for the router on the VM self. It ignores reports from
// that router.
func New(self amaranthtide.VMName) *Tracker {
	return &Tracker{
		self:       self,
		modelLoads: shard.New[amaranthtide.ModelName, *modelLoad](),
		models:     shard.New[amaranthtide.BackendServerName, amaranthtide.ModelName](),
	}
}

// SetServers sets the servers of a model that are in service in all reachable zones.
// Requests at other servers don't count in the mean. Loads that other routers reported
// for a server before its model was set count only from their next reports on.
func (t *Tracker) SetServers(model amaranthtide.ModelName, servers []amaranthtide.BackendServerName) {
	for _, s := range servers {
		t.models.Set(s, model)
	}
	t.withModelLoad(model, func(m *modelLoad) { m.setServers(servers) })
}

// Update runs a decision about a server of the model and stores the returned number
// of requests in flight. decide runs under the lock of the model's shard: it must be
// short and must not call the Tracker.
func (t *Tracker) Update(now time.Time, model amaranthtide.ModelName, server amaranthtide.BackendServerName, decide func(v View) int) {
	t.withModelLoad(model, func(m *modelLoad) { m.setOwn(server, decide(m.view(now, server))) })
}

// Apply stores a router's report. taken is the earliest time at which the loads may
// have been measured: the receive time minus the longest transit time. A report that
// is not newer than the stored one by incarnation and sequence is dropped.
func (t *Tracker) Apply(taken time.Time, r amaranthtide.RouterReport) {
	if r.VM == t.self {
		return
	}
	t.apply(source{vm: r.VM}, reportVersion{incarnation: r.Incarnation, sequence: r.Sequence}, taken, r.Loads)
}

// ApplyDigest stores the digest of another zone, which replaces the zone's earlier
// ones. Digests from the same router are ordered by sequence, others by arrival.
func (t *Tracker) ApplyDigest(taken time.Time, d amaranthtide.ZoneDigest) {
	t.apply(source{zone: d.Zone}, reportVersion{from: d.From, sequence: d.Sequence}, taken, d.Loads)
}

func (t *Tracker) apply(s source, version reportVersion, taken time.Time, loads []amaranthtide.ServerLoad) {
	byModel := make(map[amaranthtide.ModelName][]amaranthtide.ServerLoad)
	for _, sl := range loads {
		if model, ok := t.models.Get(sl.Server); ok {
			byModel[model] = append(byModel[model], sl)
		}
	}
	// The report also applies to models that it doesn't mention: it clears the loads
	// that the router reported for them before.
	t.modelLoads.Range(func(model amaranthtide.ModelName, m *modelLoad) bool {
		m.apply(s, version, taken, byModel[model])
		return true
	})
}

func (t *Tracker) withModelLoad(model amaranthtide.ModelName, f func(m *modelLoad)) {
	t.modelLoads.Update(model, func(m *modelLoad, ok bool) (*modelLoad, bool) {
		if !ok {
			m = newModelLoad(model != "")
		}
		f(m)
		return m, true
	})
}

// source identifies the sender of loads: another router by vm, or another zone by
// zone. The other field is empty.
type source struct {
	vm   amaranthtide.VMName
	zone amaranthtide.ZoneName
}

// reportVersion orders the reports of one source.
type reportVersion struct {
	from        amaranthtide.VMName
	incarnation amaranthtide.Incarnation
	sequence    uint64
}

// newerThan reports whether a report of version v replaces one of version other.
func (v reportVersion) newerThan(other reportVersion) bool {
	if v.from != other.from || v.incarnation > other.incarnation {
		return true
	}
	return v.incarnation == other.incarnation && v.sequence > other.sequence
}

// modelLoad is the load of one model.
type modelLoad struct {
	hasMean   bool
	inService amaranthtide.Set[amaranthtide.BackendServerName]
	// own holds the requests in flight through this router; ownSum is their sum over
	// the servers in service.
	own    map[amaranthtide.BackendServerName]int
	ownSum int
	// external holds the requests in flight through other routers.
	external map[amaranthtide.BackendServerName]int
	// positions holds the positions of the sources in peers, versions and loads.
	positions map[source]int
	peers     []PeerLoad
	versions  []reportVersion
	loads     [][]amaranthtide.ServerLoad
	// groups holds the last loads of groups that other routers own.
	groups map[amaranthtide.GroupName]receivedGroupLoad
	// declaredEngines holds the number of engines in service of each group in reachable
	// zones.
	declaredEngines map[amaranthtide.GroupName]int
	ownGroups       amaranthtide.Set[amaranthtide.GroupName]
}

func newModelLoad(hasMean bool) *modelLoad {
	return &modelLoad{
		hasMean:   hasMean,
		own:       make(map[amaranthtide.BackendServerName]int),
		external:  make(map[amaranthtide.BackendServerName]int),
		positions: make(map[source]int),
		groups:    make(map[amaranthtide.GroupName]receivedGroupLoad),
	}
}

func (m *modelLoad) setServers(servers []amaranthtide.BackendServerName) {
	m.inService = amaranthtide.NewSet(servers...)
	m.ownSum = 0
	for s, n := range m.own {
		if m.inService.Has(s) {
			m.ownSum += n
		}
	}
	for i := range m.peers {
		m.recomputeSum(i)
	}
}

func (m *modelLoad) setOwn(server amaranthtide.BackendServerName, n int) {
	if m.inService.Has(server) {
		m.ownSum += n - m.own[server]
	}
	if n == 0 {
		delete(m.own, server)
		return
	}
	m.own[server] = n
}

func (m *modelLoad) view(now time.Time, server amaranthtide.BackendServerName) View {
	for i, p := range m.peers {
		if len(m.loads[i]) > 0 && now.Sub(p.Taken) > ExternalLoadTTL {
			m.replace(i, nil)
		}
	}
	v := View{Own: m.ownSum, InFlight: m.own[server], External: m.external[server], Peers: m.peers}
	if m.hasMean {
		v.Servers = len(m.inService)
		m.addGroups(now, &v)
	}
	return v
}

func (m *modelLoad) apply(s source, version reportVersion, taken time.Time, loads []amaranthtide.ServerLoad) {
	i, ok := m.positions[s]
	if !ok {
		i = len(m.peers)
		m.positions[s] = i
		m.peers = append(m.peers, PeerLoad{})
		m.versions = append(m.versions, reportVersion{})
		m.loads = append(m.loads, nil)
	} else if !version.newerThan(m.versions[i]) {
		return
	}
	m.versions[i] = version
	m.peers[i].Taken = taken
	m.replace(i, loads)
}

// replace replaces the loads of the source at position i and updates external and the
// source's sum.
func (m *modelLoad) replace(i int, loads []amaranthtide.ServerLoad) {
	for _, l := range m.loads[i] {
		if m.external[l.Server] -= l.InFlight; m.external[l.Server] == 0 {
			delete(m.external, l.Server)
		}
	}
	m.loads[i] = slices.Clone(loads)
	for _, l := range loads {
		if l.InFlight != 0 {
			m.external[l.Server] += l.InFlight
		}
	}
	m.recomputeSum(i)
}

func (m *modelLoad) recomputeSum(i int) {
	var sum amaranthtide.ServerLoad
	for _, l := range m.loads[i] {
		if m.inService.Has(l.Server) {
			sum.InFlight += l.InFlight
			sum.CompletionsPerSecond += l.CompletionsPerSecond
		}
	}
	m.peers[i].Sum = sum
}
