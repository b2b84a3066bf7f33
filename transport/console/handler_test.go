package console_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/operation"
	standin "amaranthtide/standin/platform"
)

// Guards against serving a request without the required token or role.
func TestRoles(t *testing.T) {
	f := newFixture(t)
	change := edit(amaranthtide.RowZone, "z", 0, amaranthtide.Zone{})
	tests := []struct {
		token, method, path string
		want                int
	}{
		{"", http.MethodGet, "/api/status", http.StatusUnauthorized},
		{"wrong", http.MethodGet, "/api/rows", http.StatusUnauthorized},
		{hash("alice-token"), http.MethodGet, "/api/rows", http.StatusUnauthorized},
		{"", http.MethodPost, "/api/changes", http.StatusUnauthorized},
		{"carol-token", http.MethodGet, "/api/rows", http.StatusOK},
		{"carol-token", http.MethodGet, "/api/log", http.StatusOK},
		{"carol-token", http.MethodPost, "/api/changes", http.StatusForbidden},
		{"alice-token", http.MethodPost, "/api/changes", http.StatusOK},
		{"", http.MethodGet, "/", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.token+tt.path, func(t *testing.T) {
			var body any
			if tt.method == http.MethodPost {
				body = change
			}
			if got := f.call(tt.token, tt.method, tt.path, body, nil); got != tt.want {
				t.Errorf("got: %d, want: %d", got, tt.want)
			}
		})
	}
}

// Guards against a change that silently overwrites another operator's change, and
// against a conflict error that doesn't contain both rows.
func TestConflictShowsBothRows(t *testing.T) {
	f := newFixture(t)
	f.seed()
	var done operation.ChangeResponse
	f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes", edit(amaranthtide.RowWorkspace, "small", 4, amaranthtide.Workspace{Weight: 3}), &done), http.StatusOK)
	f.is.Equal(done.Changes[0].Operator, amaranthtide.OperatorName("alice"))
	var r operation.ErrorResponse
	f.is.Equal(f.call("bob-token", http.MethodPost, "/api/changes", edit(amaranthtide.RowWorkspace, "small", 4, amaranthtide.Workspace{Weight: 5}), &r), http.StatusConflict)
	f.is.Equal(r.Error.Kind, "conflict")
	f.is.Equal(string(r.Conflict.Wanted), `{"weight":5}`)
	f.is.Equal(r.Conflict.Current.Value, amaranthtide.Workspace{Weight: 3})
	f.is.Equal(r.Conflict.Change.Operator, amaranthtide.OperatorName("alice"))
}

// Guards against invalid requests that are accepted, or refused without naming the
// invalid field or parameter.
func TestBadRequestsNameTheirError(t *testing.T) {
	f := newFixture(t)
	var r operation.ErrorResponse
	f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes", edit(amaranthtide.RowWorkspace, "w", 0, amaranthtide.Workspace{}), &r), http.StatusBadRequest)
	f.is.Equal(r.Fields[0].Fields[0].Field, "weight")
	tests := []struct {
		name, method, path string
		body               any
		want               string
	}{
		{"unknown field", http.MethodPost, "/api/changes", edit(amaranthtide.RowZone, "a", 0, map[string]any{"reigon": "x"}), "reigon"},
		{"unknown kind", http.MethodPost, "/api/changes", edit("thing", "a", 0, map[string]any{}), "thing"},
		{"no edits", http.MethodPost, "/api/changes", map[string]any{}, "1 to 128"},
		{"wait", http.MethodPost, "/api/changes?wait=forever", edit(amaranthtide.RowZone, "a", 0, amaranthtide.Zone{}), "wait"},
		{"kind", http.MethodGet, "/api/rows?kind=thing", nil, "workspace"},
		{"limit", http.MethodGet, "/api/log?limit=0", nil, "limit"},
		{"since", http.MethodGet, "/api/log?since=yesterday", nil, "since"},
		{"after", http.MethodGet, "/api/log?after=-1", nil, "after"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r operation.ErrorResponse
			got := f.call("alice-token", tt.method, tt.path, tt.body, &r)
			if got != http.StatusBadRequest || !strings.Contains(r.Error.Message, tt.want) {
				t.Errorf("got: %d %q, want: 400 with %q", got, r.Error.Message, tt.want)
			}
		})
	}
	f.is.Equal(f.table.Revision(), amaranthtide.Revision(0))
}

// Guards against log queries that miss entries or return wrong ones, for each filter,
// in both directions and across page boundaries.
func TestLogFindsEntries(t *testing.T) {
	f := newFixture(t)
	f.seed()
	const edits = 700 // more than one page of the log
	for i := range edits / 100 {
		batch := []any{}
		for j := range 100 {
			batch = append(batch, map[string]any{"key": amaranthtide.RowKey{Kind: amaranthtide.RowRoute, Name: fmt.Sprintf("r%d-%d", i, j)}, "value": amaranthtide.Route{}})
		}
		f.is.Equal(f.call("bob-token", http.MethodPost, "/api/changes", map[string]any{"edits": batch}, nil), http.StatusOK)
	}
	hour := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	tests := []struct {
		query        string
		first, last  amaranthtide.Revision
		n            int
		before, more bool
	}{
		{"", 605, 704, 100, true, false},
		{"operator=alice", 1, 4, 4, false, false},
		{"operator=alice&limit=2", 3, 4, 2, true, false},
		{"operator=nobody", 0, 0, 0, false, false},
		{"row=workspace/small", 4, 4, 1, false, false},
		{"row=backendServer", 3, 3, 1, false, false},
		{"row=route&limit=1000", 5, 704, 700, false, false},
		{"after=0&limit=2", 1, 2, 2, false, true},
		{"after=703", 704, 704, 1, false, false},
		{"before=4", 1, 3, 3, false, false},
		{"since=" + hour, 0, 0, 0, false, false},
		{"until=" + hour + "&limit=1", 704, 704, 1, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.query, func(t *testing.T) {
			var log operation.AuditLog
			if got := f.call("carol-token", http.MethodGet, "/api/log?"+tt.query, nil, &log); got != http.StatusOK {
				t.Fatalf("got: %d, want: 200", got)
			}
			if len(log.Changes) != tt.n || (log.Before > 0) != tt.before || (log.After > 0) != tt.more {
				t.Fatalf("got: %d entries, before %d, after %d, want: %d, %v, %v", len(log.Changes), log.Before, log.After, tt.n, tt.before, tt.more)
			}
			if tt.n > 0 && (log.Changes[0].Revision != tt.first || log.Changes[tt.n-1].Revision != tt.last) {
				t.Errorf("got: %d to %d, want: %d to %d", log.Changes[0].Revision, log.Changes[tt.n-1].Revision, tt.first, tt.last)
			}
		})
	}
}

// Guards against counting a change as in force at routers that don't have it yet.
func TestWaitCountsRouters(t *testing.T) {
	f := newFixture(t)
	f.seed()
	f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes", edit(amaranthtide.RowZone, "b", 0, amaranthtide.Zone{}), nil), http.StatusOK)
	report := func(sequence uint64, revision amaranthtide.Revision) {
		f.fleet.roster.Observe(time.Now(), amaranthtide.RouterReport{VM: "vm-2", Zone: "a", Sequence: sequence, Revision: revision, Interval: time.Hour})
	}
	report(1, 5)
	f.fleet.live["b"] = []amaranthtide.VMName{"vm-3", "vm-4"}
	digest := func(sequence uint64, revision amaranthtide.Revision) {
		f.fleet.roster.ObserveDigest(time.Now(), amaranthtide.ZoneDigest{Zone: "b", From: "vm-3", Sequence: sequence, Revision: revision, Live: f.fleet.live["b"]})
	}
	digest(1, 6)
	commit := func(name, wait string, want ...any) {
		var done operation.ChangeResponse
		f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes?wait="+wait, edit(amaranthtide.RowRoute, name, 0, amaranthtide.Route{}), &done), http.StatusOK)
		f.is.Equal([]any{done.Rollout.Everywhere, done.Rollout.Updated, done.Rollout.Routers}, want)
	}
	commit("peer-lacks-6", "200ms", false, 3, 4)
	report(2, 7)
	commit("zone-lacks-7", "200ms", false, 2, 4)
	go func() {
		time.Sleep(100 * time.Millisecond)
		report(3, 8)
		digest(2, 8)
	}()
	commit("all-have-8", "10s", true, 4, 4)
}

// Guards against reporting the platform as down because single answers are lost.
func TestLostAnswersAreNotReportedAsProblems(t *testing.T) {
	f := newFixture(t)
	f.seed()
	f.platform.SetFaults(standin.Faults{LostBefore: 0.2, LostAfter: 0.2})
	for range 10 {
		var s operation.Status
		f.is.Equal(f.call("carol-token", http.MethodGet, "/api/status", nil, &s), http.StatusOK)
		f.is.Equal(len(s.Problems), 0)
	}
	f.is.True(f.platform.Counts().Lost > 0)
}

// Guards against a status that misses a problem, and against reporting states that an
// operator chose or that end by themselves within seconds.
func TestStatusNamesProblems(t *testing.T) {
	vm := func(zone amaranthtide.ZoneName, out bool) amaranthtide.VM {
		return amaranthtide.VM{Zone: zone, Address: netip.MustParseAddrPort("127.0.0.1:1"), OutOfService: out}
	}
	tests := []struct {
		name   string
		inject func(f *fixture)
		want   string
	}{
		{"healthy", func(*fixture) {}, ""},
		{"vm out of service", func(f *fixture) { f.add(amaranthtide.RowVM, "vm-9", vm("a", true)) }, ""},
		{"router missing", func(f *fixture) { f.add(amaranthtide.RowVM, "vm-9", vm("a", false)) }, "routerMissing vm/vm-9"},
		{"zone without digest", func(f *fixture) { f.add(amaranthtide.RowZone, "b", amaranthtide.Zone{}) }, "zoneUnheard zone/b"},
		{"engine down", func(f *fixture) { f.fleet.owned[0].Down = true }, "serverDown backendServer/engine-1 noServerInService model/chat"},
		{"engine without report", func(f *fixture) { f.fleet.owned = nil }, "serverUnheard backendServer/engine-1 noServerInService model/chat"},
		{"ownership not settled", func(f *fixture) { f.fleet.owned[0].Settled = false }, ""},
		{"platform down", func(f *fixture) { f.platform.SetFaults(standin.Faults{Outage: true}) }, "platformDown platform"},
		{"old revision", func(f *fixture) {
			f.table.Apply([]amaranthtide.Change{{Revision: 5, Time: time.Now().Add(-time.Minute), Key: amaranthtide.RowKey{Kind: amaranthtide.RowRoute, Name: "r"}, After: amaranthtide.Route{}}})
			f.fleet.roster.Observe(time.Now(), amaranthtide.RouterReport{VM: "vm-2", Zone: "a", Sequence: 1, Revision: 4, Interval: time.Hour})
		}, "tableBehind zone/a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.seed()
			tt.inject(f)
			var s operation.Status
			f.is.Equal(f.call("carol-token", http.MethodGet, "/api/status", nil, &s), http.StatusOK)
			var got []string
			for _, p := range s.Problems {
				got = append(got, p.Kind+" "+p.Subject)
			}
			if strings.Join(got, " ") != tt.want {
				t.Errorf("got: %v, want: %q", s.Problems, tt.want)
			}
			if s.Explanation == "" || len(s.Servers) != 1 {
				t.Errorf("got: %+v, want: one server and a view", s)
			}
		})
	}
}

func (f *fixture) add(kind amaranthtide.RowKind, name string, value amaranthtide.RowValue) {
	f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes", edit(kind, name, 0, value), nil), http.StatusOK)
}
