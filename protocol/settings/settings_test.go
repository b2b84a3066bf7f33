package settings_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide/protocol/settings"
)

const validSettings = `
[router]
vm = vm-1
zone = a
listen = 127.0.0.1:7000
callers = 127.0.0.1:8000
console = 127.0.0.1:9000
fleetKey = 0123456789abcdef
seeds = 127.0.0.1:7001, 127.0.0.1:7002
[platform]
address = 127.0.0.1:6000
[control]
probeInterval = 250ms
[operators]
alice = change:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

// Guards against a file that changes the defaults of keys that it does not set.
func TestLoadKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("router.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Control.ProbeInterval, 250*time.Millisecond)
	is.Equal(s.Platform.Timeout, settings.Default().Platform.Timeout)
	is.Equal(len(s.Router.Seeds), 2)
	is.Equal(s.Operators[0].Role, settings.RoleChange)
}

// Guards against an invalid or misspelled setting that silently leaves its default in
// effect, or whose error doesn't name it.
func TestInvalidSettingsAreReported(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		want                   []string
	}{
		{"zone missing", "zone = a", "", []string{"[router]", "zone"}},
		{"address", "127.0.0.1:6000", "localhost:6000", []string{"[platform]", "address", "localhost:6000", "IP address"}},
		{"short key", "0123456789abcdef", "short", []string{"fleetKey", "at least 16"}},
		{"misspelled key", "probeInterval", "probeIntervall", []string{"[control]", "probeIntervall"}},
		{"unknown section", "[control]", "[controll]", []string{"[controll]"}},
		{"negative duration", "250ms", "-1s", []string{"probeInterval", "-1s"}},
		{"role", "change:", "owner:", []string{"[operators]", "alice", "read or change"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Parse("router.ini", []byte(strings.Replace(validSettings, tt.old, tt.replacement, 1)))
			var problems settings.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got: %v, want: Problems", err)
			}
			for _, want := range append(tt.want, "router.ini") {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got: %v, want: mention of %q", err, want)
				}
			}
		})
	}
}

// Guards against output that can't be read back, and against a leaked fleet key.
func TestWriteRoundTrip(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("router.ini", []byte(validSettings))
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(s.Write(&b))
	is.True(!strings.Contains(b.String(), s.Router.FleetKey))
	text := strings.Replace(b.String(), "(hidden)", s.Router.FleetKey, 1)
	again, err := settings.Parse("printed", []byte(text))
	is.NoErr(err)
	is.Equal(again, s)
}

// Guards against an example file that is no longer valid.
func TestExampleLoads(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../../examples/router.ini")
	is.NoErr(err)
	is.Equal(string(s.Router.VM), "entry-1")
	is.Equal(len(s.Router.Seeds), 2)
	is.Equal(len(s.Operators), 1)
}
