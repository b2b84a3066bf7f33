package declaration_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/protocol/declaration"
)

var rowNames = rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9_-]{0,8}`)

func drawServer(t *rapid.T) amaranthtide.BackendServer {
	capacity := rapid.IntRange(1, 100).Draw(t, "capacity")
	return amaranthtide.BackendServer{
		Zone:         "a",
		Address:      netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), rapid.Uint16Min(1).Draw(t, "port")),
		Model:        "m",
		Capacity:     capacity,
		ColdLimit:    rapid.IntRange(1, capacity).Draw(t, "cold"),
		RampDuration: amaranthtide.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "ramp")),
		Adapters:     rapid.SliceOfN(rapid.StringMatching(`[ -~]{1,6}`), 0, 3).Draw(t, "adapters"),
		Version:      rapid.StringMatching(`[ -~\n]{0,8}`).Draw(t, "version"),
		Leaving:      rapid.Bool().Draw(t, "leaving"),
	}
}

// Guards against an exported declaration that would change the table when it is applied
// again. Rows that can't be expressed in INI files must be refused instead.
func TestWriteRoundTrip(t *testing.T) {
	root := t.TempDir()
	runs, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		rows := []amaranthtide.Row{
			{Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}, Revision: 1, Value: amaranthtide.Zone{OutOfService: true}},
			{Key: amaranthtide.RowKey{Kind: amaranthtide.RowModel, Name: "m"}, Revision: 2, Value: amaranthtide.Model{CapMultiple: rapid.Float64Range(1, 9).Draw(t, "multiple")}},
		}
		for _, name := range rapid.SliceOfNDistinct(rowNames, 0, 4, rapid.ID[string]).Draw(t, "names") {
			rows = append(rows, amaranthtide.Row{Key: amaranthtide.RowKey{Kind: amaranthtide.RowBackendServer, Name: name}, Revision: 3, Value: drawServer(t)})
		}
		dir := filepath.Join(root, fmt.Sprint(runs))
		if err := declaration.New(rows).Write(dir); err != nil {
			refused++
			return
		}
		set, err := declaration.Read(dir)
		if err != nil {
			t.Fatalf("read back: %v", err)
		}
		if d := set.Compare(rows); len(d) != 0 {
			t.Fatalf("got: %v, want: no difference", d)
		}
	})
	if refused == runs {
		t.Error("got: every set refused, want: some written")
	}
}

// Guards against an invalid row that is dropped or partly applied without an error that
// names the file, the row and the field.
func TestInvalidRowsAreReported(t *testing.T) {
	const server = "[e1]\nzone = a\naddress = 10.0.0.1:80\nmodel = m\ncapacity = 4\ncoldLimit = 1\n"
	tests := []struct {
		name, file, text string
		want             []string
	}{
		{"value", "backendServer.ini", strings.Replace(server, "capacity = 4", "capacity = many", 1), []string{"[e1]", "capacity", "many", "whole number"}},
		{"range", "backendServer.ini", strings.Replace(server, "coldLimit = 1", "coldLimit = 9", 1), []string{"[e1]", "coldLimit", `"9"`, "1 to 4"}},
		{"address", "backendServer.ini", strings.Replace(server, "10.0.0.1:80", "host:80", 1), []string{"address", "host:80", "IP address"}},
		{"unknown field", "backendServer.ini", server + "capasity = 3\n", []string{"capasity", "coldLimit"}},
		{"key twice", "backendServer.ini", server + "capacity = 4\n", []string{"capacity", "each key once"}},
		{"row twice", "backendServer.ini", server + server, []string{"[e1]", "each row once"}},
		{"row name", "zone.ini", "[a b]\n", []string{"[a b]", "name"}},
		{"unknown zone", "zone.ini", "[b]\n", []string{"backendServer.ini", "[e1]", "zone", `"a"`, "zone.ini"}},
		{"key without row", "zone.ini", "region = x\n[a]\n", []string{"region"}},
		{"boolean", "zone.ini", "[a]\noutOfService = yes\n", []string{"outOfService", "true or false"}},
		{"file name", "zones.ini", "[a]\n", []string{"zones.ini", "zone.ini"}},
		{"syntax", "zone.ini", "[a\n", []string{"syntax"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			files := map[string][]byte{"backendServer.ini": []byte(server), tt.file: []byte(tt.text)}
			_, err := declaration.Parse(files)
			var problems declaration.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got: %v, want: Problems", err)
			}
			for _, want := range append(tt.want, tt.file[:4]) {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got: %v, want: mention of %q", err, want)
				}
			}
		})
	}
}

// Guards against deletion of rows whose kind is not declared, and against rows that are
// added before the rows that they refer to.
func TestCompare(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "zone.ini"), []byte("[a]\n[b]\noutOfService = true\n"), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "route.ini"), nil, 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "README.md"), []byte("ours"), 0o600))
	set, err := declaration.Read(dir)
	is.NoErr(err)
	row := func(kind amaranthtide.RowKind, name string, r amaranthtide.Revision, v amaranthtide.RowValue) amaranthtide.Row {
		return amaranthtide.Row{Key: amaranthtide.RowKey{Kind: kind, Name: name}, Revision: r, Value: v}
	}
	got := set.Compare([]amaranthtide.Row{
		row(amaranthtide.RowZone, "b", 4, amaranthtide.Zone{Region: "x"}),
		row(amaranthtide.RowZone, "c", 5, amaranthtide.Zone{}),
		row(amaranthtide.RowRoute, "r", 6, amaranthtide.Route{}),
		row(amaranthtide.RowModel, "m", 7, amaranthtide.Model{}),
	})
	var keys []string
	for _, d := range got {
		keys = append(keys, fmt.Sprintf("%s@%d", d.Key, d.Expected))
	}
	is.Equal(keys, []string{"zone/a@0", "zone/b@4", "route/r@6", "zone/c@5"})
	is.Equal(got[1].ChangedFields(), []declaration.FieldChange{{"outOfService", "", "true"}, {"region", "x", ""}})
	is.Equal(got[2].Edit().Value, nil)
}

// Guards against an example declaration that is no longer valid or lacks a kind of row.
func TestExampleReads(t *testing.T) {
	set, err := declaration.Read("../../examples/table")
	if err != nil {
		t.Fatal(err)
	}
	declared := amaranthtide.NewSet[amaranthtide.RowKind]()
	for _, r := range set.Rows() {
		declared.Add(r.Key.Kind)
	}
	for _, kind := range amaranthtide.RowKinds() {
		if !declared.Has(kind) {
			t.Errorf("got: no row of kind %s, want: at least one", kind)
		}
	}
}
