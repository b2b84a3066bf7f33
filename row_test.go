package amaranthtide_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
)

// Guards against a row kind whose JSON form can't be decoded again.
func TestRowsRoundTripJSON(t *testing.T) {
	rows := []amaranthtide.RowValue{
		amaranthtide.Workspace{Weight: 3, Class: amaranthtide.ClassQuick, Timeout: amaranthtide.Duration(time.Second)},
		amaranthtide.BackendServer{Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:80"), Model: "m", Capacity: 8, ColdLimit: 2},
		amaranthtide.Zone{Region: "north", OutOfService: true},
		amaranthtide.VM{Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:81")},
		amaranthtide.Model{CapMultiple: 1.5},
		amaranthtide.Route{Repeatable: true},
	}
	for _, want := range rows {
		t.Run(string(want.RowKind()), func(t *testing.T) {
			is := is.New(t)
			c := amaranthtide.Change{Revision: 4, Key: amaranthtide.RowKey{Kind: want.RowKind(), Name: "x"}, After: want}
			data, err := json.Marshal(c)
			is.NoErr(err)
			var got amaranthtide.Change
			is.NoErr(json.Unmarshal(data, &got))
			is.Equal(got, c)
			is.Equal(len(want.Check()), 0)
		})
	}
}

// Guards against invalid rows that pass the check.
func TestCheckReportsInvalidField(t *testing.T) {
	tests := []struct {
		name  string
		value amaranthtide.RowValue
		field string
	}{
		{"weight zero", amaranthtide.Workspace{}, "weight"},
		{"unknown class", amaranthtide.Workspace{Weight: 1, Class: "fast"}, "class"},
		{"short key hash", amaranthtide.Workspace{Weight: 1, CallerKeySHA256: "ab"}, "callerKeySha256"},
		{"server without address", amaranthtide.BackendServer{Zone: "a", Model: "m", Capacity: 1, ColdLimit: 1}, "address"},
		{"cap below one", amaranthtide.Model{CapMultiple: 0.5}, "capMultiple"},
		{"vm in no zone", amaranthtide.VM{Address: netip.MustParseAddrPort("127.0.0.1:81")}, "zone"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			errs := tt.value.Check()
			if len(errs) != 1 || errs[0].Field != tt.field {
				t.Errorf("got: %v, want: one error for %s", errs, tt.field)
			}
		})
	}
}
