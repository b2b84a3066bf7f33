package console_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/settings"
	standin "amaranthtide/standin/platform"
	"amaranthtide/state/roster"
	"amaranthtide/state/table"
	"amaranthtide/transport/console"
	"amaranthtide/transport/editor"
	"amaranthtide/transport/owner"
	"amaranthtide/transport/platform"
)

// fakeFleet implements console.Control and console.Owner with state set by the test.
type fakeFleet struct {
	roster *roster.Roster
	live   map[amaranthtide.ZoneName][]amaranthtide.VMName
	owned  []owner.Status
}

func (f *fakeFleet) Roster() *roster.Roster { return f.roster }

func (f *fakeFleet) LiveIn(_ time.Time, zone amaranthtide.ZoneName) ([]amaranthtide.VMName, bool) {
	live, ok := f.live[zone]
	return live, ok
}

func (f *fakeFleet) Owner(time.Time, amaranthtide.BackendServerName) (amaranthtide.VMName, bool) {
	return "vm-1", true
}

func (f *fakeFleet) Load(amaranthtide.BackendServerName) (amaranthtide.ServerLoad, time.Time) {
	return amaranthtide.ServerLoad{}, time.Time{}
}

func (f *fakeFleet) Leaving(amaranthtide.BackendServerName) bool { return false }

func (f *fakeFleet) Statuses(time.Time) []owner.Status { return f.owned }

// tableUpdater is an editor.ChangePublisher that applies committed changes to the router's
// own table.
type tableUpdater struct{ table *table.Table }

func (s tableUpdater) Push(changes []amaranthtide.Change) { s.table.Apply(changes) }

// fixture runs a console that uses the platform stand-in.
type fixture struct {
	is       *is.I
	table    *table.Table
	fleet    *fakeFleet
	platform *standin.Server
	url      string
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t), table: table.New(), fleet: &fakeFleet{roster: roster.New(), live: map[amaranthtide.ZoneName][]amaranthtide.VMName{}}}
	var err error
	f.platform, err = standin.New(standin.Config{})
	f.is.NoErr(err)
	t.Cleanup(f.platform.Close)
	client := platform.New(platform.Config{Addr: f.platform.Addr()})
	t.Cleanup(client.Close)
	h := console.New(console.Options{
		VM: "vm-1", Zone: "a", Table: f.table, Platform: client, Control: f.fleet, Owner: f.fleet,
		Editor: editor.New(editor.Options{Table: client, Publisher: tableUpdater{f.table}}),
		Operators: []settings.Operator{
			{Name: "alice", Role: settings.RoleChange, TokenSHA256: hash("alice-token")},
			{Name: "bob", Role: settings.RoleChange, TokenSHA256: hash("bob-token")},
			{Name: "carol", Role: settings.RoleRead, TokenSHA256: hash("carol-token")},
		},
	})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	f.url = srv.URL
	return f
}

// call sends a request with a JSON body, decodes the answer into v unless v is nil, and
// returns the HTTP status.
func (f *fixture) call(token, method, path string, body, v any) int {
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		f.is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewReader(data))
	f.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	f.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	if v != nil {
		f.is.NoErr(json.NewDecoder(resp.Body).Decode(v))
	}
	return resp.StatusCode
}

func edit(kind amaranthtide.RowKind, name string, expected amaranthtide.Revision, value any) map[string]any {
	return map[string]any{"edits": []any{map[string]any{
		"key": map[string]any{"kind": kind, "name": name}, "expected": expected, "value": value}}}
}

// seed adds a zone, a model, an engine and a workspace as alice, in revisions 1 to 4.
func (f *fixture) seed() {
	for _, e := range []map[string]any{
		edit(amaranthtide.RowZone, "a", 0, amaranthtide.Zone{}),
		edit(amaranthtide.RowModel, "chat", 0, amaranthtide.Model{}),
		edit(amaranthtide.RowBackendServer, "engine-1", 0, amaranthtide.BackendServer{Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Model: "chat", Capacity: 8, ColdLimit: 2}),
		edit(amaranthtide.RowWorkspace, "small", 0, amaranthtide.Workspace{Weight: 1}),
	} {
		f.is.Equal(f.call("alice-token", http.MethodPost, "/api/changes", e, nil), http.StatusOK)
	}
	f.fleet.owned = []owner.Status{{Load: amaranthtide.ServerLoad{Server: "engine-1", InFlight: 3, Allowance: 4}, Owned: true, Settled: true, Waiting: 2}}
}
