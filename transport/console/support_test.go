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

// fleet is what the router under test hears of others.
type fleet struct {
	roster *roster.Roster
	live   map[amaranthtide.ZoneName][]amaranthtide.VMName
	owned  []owner.Status
}

func (f *fleet) Roster() *roster.Roster { return f.roster }

func (f *fleet) LiveIn(_ time.Time, zone amaranthtide.ZoneName) ([]amaranthtide.VMName, bool) {
	live, ok := f.live[zone]
	return live, ok
}

func (f *fleet) Owner(time.Time, amaranthtide.BackendServerName) (amaranthtide.VMName, bool) {
	return "vm-1", true
}

func (f *fleet) Load(amaranthtide.BackendServerName) (amaranthtide.ServerLoad, time.Time) {
	return amaranthtide.ServerLoad{}, time.Time{}
}

func (f *fleet) Leaving(amaranthtide.BackendServerName) bool { return false }

func (f *fleet) Statuses(time.Time) []owner.Status { return f.owned }

// spreader applies committed changes to the router's own table.
type spreader struct{ table *table.Table }

func (s spreader) Push(changes []amaranthtide.Change) { s.table.Apply(changes) }

// bench is a console over the platform stand-in.
type bench struct {
	is       *is.I
	table    *table.Table
	fleet    *fleet
	platform *standin.Server
	url      string
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{is: is.New(t), table: table.New(), fleet: &fleet{roster: roster.New(), live: map[amaranthtide.ZoneName][]amaranthtide.VMName{}}}
	var err error
	b.platform, err = standin.New(standin.Config{})
	b.is.NoErr(err)
	t.Cleanup(b.platform.Close)
	client := platform.New(platform.Config{Addr: b.platform.Addr()})
	t.Cleanup(client.Close)
	h := console.New(console.Options{
		VM: "vm-1", Zone: "a", Table: b.table, Platform: client, Control: b.fleet, Owner: b.fleet,
		Editor: editor.New(editor.Options{Table: client, Spread: spreader{b.table}}),
		Operators: []settings.Operator{
			{Name: "alice", Role: settings.RoleChange, TokenSHA256: hash("alice-token")},
			{Name: "bob", Role: settings.RoleChange, TokenSHA256: hash("bob-token")},
			{Name: "carol", Role: settings.RoleRead, TokenSHA256: hash("carol-token")},
		},
	})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	b.url = srv.URL
	return b
}

// call returns the status and decodes the answer into v.
func (b *bench) call(token, method, path string, body, v any) int {
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		b.is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, b.url+path, bytes.NewReader(data))
	b.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	b.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	if v != nil {
		b.is.NoErr(json.NewDecoder(resp.Body).Decode(v))
	}
	return resp.StatusCode
}

func edit(kind amaranthtide.RowKind, name string, expected amaranthtide.Revision, value any) map[string]any {
	return map[string]any{"edits": []any{map[string]any{
		"key": map[string]any{"kind": kind, "name": name}, "expected": expected, "value": value}}}
}

// seed adds a zone, a model, an engine and a workspace as alice: revisions 1 to 4.
func (b *bench) seed() {
	for _, e := range []map[string]any{
		edit(amaranthtide.RowZone, "a", 0, amaranthtide.Zone{}),
		edit(amaranthtide.RowModel, "chat", 0, amaranthtide.Model{}),
		edit(amaranthtide.RowBackendServer, "engine-1", 0, amaranthtide.BackendServer{Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Model: "chat", Capacity: 8, ColdLimit: 2}),
		edit(amaranthtide.RowWorkspace, "small", 0, amaranthtide.Workspace{Weight: 1}),
	} {
		b.is.Equal(b.call("alice-token", http.MethodPost, "/api/changes", e, nil), http.StatusOK)
	}
	b.fleet.owned = []owner.Status{{Load: amaranthtide.ServerLoad{Server: "engine-1", InFlight: 3, Allowance: 4}, Owned: true, Settled: true, Waiting: 2}}
}
