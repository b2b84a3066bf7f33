package console

import (
	"cmp"
	"context"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/mean"
	"amaranthtide/protocol/operation"
	"amaranthtide/state/roster"
	"amaranthtide/transport/orders"
	"amaranthtide/transport/owner"
)

// viewDescription is included in each status and explains what its data covers.
const viewDescription = "The answering router's own zone is exact: it is taken from the reports of that zone's routers. " +
	"Other zones are taken from the digests of their contacts, which carry neither owners, allowances nor queues. " +
	"Queues, settled ownership and servers that do not answer are known for the servers that the answering router owns. " +
	"Results count the requests that ended at the answering router since its start."

// platformTimeout bounds the reads from the platform for one status request.
const platformTimeout = 2 * time.Second

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.status(r.Context(), time.Now()))
}

func (h *Handler) status(ctx context.Context, now time.Time) operation.Status {
	s := operation.Status{
		Time:        now,
		VM:          h.opts.VM,
		Zone:        h.opts.Zone,
		Explanation: viewDescription,
		Version:     version(),
		Revision:    h.opts.Table.Revision(),
		Zones:       h.zones(now),
		Routers:     h.routers(now),
		Servers:     h.servers(now),
		Problems:    []operation.Problem{},
	}
	results, err := h.opts.Results()
	if err != nil {
		h.opts.Logger.Warn("failed to read request results", "error", err)
	}
	s.Results = results
	p := h.readPlatform(ctx, s.Zones)
	s.Orders = p.orders
	s.Problems = append(s.Problems, h.problems(now, s, p)...)
	return s
}

var version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, v := range info.Settings {
		if v.Key == "vcs.revision" {
			return v.Value
		}
	}
	return info.Main.Version
})

// routers returns the state of the routers in the table and of all routers of this
// zone with recent reports.
func (h *Handler) routers(now time.Time) []operation.RouterStatus {
	byName := make(map[amaranthtide.VMName]operation.RouterStatus)
	for _, row := range h.opts.Table.Rows(amaranthtide.RowVM) {
		value, _ := row.Value.(amaranthtide.VM)
		vm := amaranthtide.VMName(row.Key.Name)
		r := operation.RouterStatus{VM: vm, Zone: value.Zone, OutOfService: value.OutOfService, Source: operation.SourceNone}
		if value.Zone != h.opts.Zone {
			h.remoteRouter(now, &r)
		}
		byName[vm] = r
	}
	for _, vm := range h.localRouters(now) {
		r := byName[vm]
		r.VM, r.Zone, r.Source, r.Live, r.Revision = vm, h.opts.Zone, operation.SourceReports, true, h.revisionOf(vm)
		if p, ok := h.opts.Control.Roster().Peer(vm); ok {
			r.Leaving, r.Age = p.Report.Leaving, age(now, p.Received)
		}
		byName[vm] = r
	}
	routers := make([]operation.RouterStatus, 0, len(byName))
	for _, r := range byName {
		routers = append(routers, r)
	}
	slices.SortFunc(routers, func(a, b operation.RouterStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
	})
	return routers
}

func (h *Handler) remoteRouter(now time.Time, r *operation.RouterStatus) {
	live, reachable := h.opts.Control.LiveIn(now, r.Zone)
	if !reachable {
		return
	}
	r.Source, r.Live = operation.SourceDigest, slices.Contains(live, r.VM)
	if d, ok := h.opts.Control.Roster().Digest(r.Zone); ok && r.Live {
		// A digest contains only the lowest revision of its zone.
		r.Revision, r.Age = d.Digest.Revision, age(now, d.Received)
	}
}

// servers returns the state of the backend servers in the table.
func (h *Handler) servers(now time.Time) []operation.ServerStatus {
	own := make(map[amaranthtide.BackendServerName]owner.Status)
	for _, st := range h.opts.Owner.Statuses(now) {
		own[st.Load.Server] = st
	}
	rows := h.opts.Table.Rows(amaranthtide.RowBackendServer)
	servers := make([]operation.ServerStatus, 0, len(rows))
	for _, row := range rows {
		value, ok := row.Value.(amaranthtide.BackendServer)
		if !ok {
			continue
		}
		name := amaranthtide.BackendServerName(row.Key.Name)
		s := operation.ServerStatus{Server: name, Zone: value.Zone, Model: value.Model, Route: value.Route,
			Capacity: value.Capacity, Leaving: value.Leaving || h.opts.Control.Leaving(name), Source: operation.SourceNone}
		if st, ok := own[name]; ok && st.Owned {
			s.Source, s.Owner, s.Load, s.Allowance = operation.SourceReports, h.opts.VM, st.Load.InFlight, st.Load.Allowance
			s.Waiting, s.Settled, s.Down = &st.Waiting, &st.Settled, st.Down
			s.Leaving = s.Leaving || st.Leaving
		} else {
			h.fillReported(now, &s)
		}
		s.Cold = s.Allowance > 0 && s.Allowance < s.Capacity
		servers = append(servers, s)
	}
	h.addModelMeans(servers)
	return servers
}

// fillReported fills in the state of a server that another router owns, from that
// router's reports or from the digest of the server's zone.
func (h *Handler) fillReported(now time.Time, s *operation.ServerStatus) {
	if s.Zone == h.opts.Zone {
		s.Owner, _ = h.opts.Control.Owner(now, s.Server)
	}
	l, received := h.opts.Control.Load(s.Server)
	if received.IsZero() || now.Sub(received) > roster.DigestStaleAfter {
		return
	}
	s.Load, s.Allowance, s.Age = l.InFlight, l.Allowance, age(now, received)
	s.Source = operation.SourceDigest
	if s.Zone == h.opts.Zone {
		s.Source = operation.SourceReports
	}
}

// addModelMeans sets the mean load of each server's model, and the skew and load limit
// that follow from it.
func (h *Handler) addModelMeans(servers []operation.ServerStatus) {
	type sum struct{ load, servers int }
	sums := make(map[amaranthtide.ModelName]sum)
	eligible := func(s operation.ServerStatus) bool {
		zone, ok := h.opts.Table.Zone(s.Zone)
		return s.Model != "" && s.Source != operation.SourceNone && !s.Leaving && ok && !zone.OutOfService
	}
	for _, s := range servers {
		if eligible(s) {
			t := sums[s.Model]
			sums[s.Model] = sum{t.load + s.Load, t.servers + 1}
		}
	}
	for i := range servers {
		s := &servers[i]
		if !eligible(*s) {
			continue
		}
		t := sums[s.Model]
		s.Mean = float64(t.load) / float64(t.servers)
		if s.Mean > 0 {
			s.Skew = float64(s.Load) / s.Mean
		}
		model, _ := h.opts.Table.Model(s.Model)
		s.Limit = min(cmp.Or(s.Allowance, s.Capacity), mean.Cap(t.load+1, t.servers, model.CapMultiple, model.CapFloor))
	}
}

// platformState is the part of the status that is read from the platform's table
// service.
type platformState struct {
	err          error
	head         amaranthtide.Revision
	firstMissing amaranthtide.Option[amaranthtide.Change]
	orders       []operation.OrdersStatus
}

// readPlatform reads the latest revision, the first change that this router lacks and
// the state of each zone's orders.
func (h *Handler) readPlatform(ctx context.Context, zones []operation.ZoneStatus) platformState {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var p platformState
	if p.head, p.err = h.readHeadRevision(ctx); p.err != nil {
		return p
	}
	if at := h.opts.Table.Revision(); p.head > at {
		p.firstMissing, p.err = h.readChange(ctx, at+1)
	}
	for _, z := range zones {
		if p.err != nil {
			return p
		}
		var row amaranthtide.Option[amaranthtide.StoredRow]
		if row, p.err = h.get(ctx, orders.StateKey(z.Zone)); p.err != nil {
			return p
		}
		if stored, ok := row.Get(); ok {
			if state, err := orders.DecodeState(stored); err == nil {
				p.orders = append(p.orders, state)
			}
		}
	}
	return p
}
