package declared_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/state/declared"
)

// Guards against a configuration that returns to an older version, also when several
// goroutines apply versions at the same time.
func TestApplyRejectsOlderVersion(t *testing.T) {
	is := is.New(t)
	c := declared.New()
	_, ok := c.Current()
	is.True(!ok)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { c.Apply(amaranthtide.Configuration{Revision: amaranthtide.Revision(i + 1)}) })
	}
	wg.Wait()
	is.Equal(c.Revision(), amaranthtide.Revision(100))
	is.True(!c.Apply(amaranthtide.Configuration{Revision: 100}))
	is.True(!c.Apply(amaranthtide.Configuration{Revision: 7}))
	is.Equal(c.Revision(), amaranthtide.Revision(100))
}

// Guards against a request that matches the rule of another host or of a shorter
// prefix.
func TestMatchLongestPrefix(t *testing.T) {
	c := declared.New()
	c.Apply(amaranthtide.Configuration{Revision: 1, Rules: []amaranthtide.Rule{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "orders", Host: "a.example", Prefix: "/orders/"},
		{Name: "new", Host: "a.example", Prefix: "/orders/new/"},
		{Name: "other", Host: "b.example", Prefix: "/orders/"},
		{Name: "literal", Host: "[2001:db8::1]", Prefix: "/"},
	}})
	s, _ := c.Current()
	tests := []struct {
		host, path string
		want       amaranthtide.RouteName
	}{
		{"a.example", "/orders/new/1", "new"},
		{"A.Example:8080", "/orders/1", "orders"},
		{"a.example", "/orders", "all"},
		{"b.example", "/orders/new/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/orders/1", ""},
		{"[2001:db8::1]", "/", "literal"},
		{"[2001:db8::1]:8080", "/", "literal"},
	}
	for _, tt := range tests {
		got, ok := s.Match(tt.host, tt.path)
		if got.Name != tt.want || ok != (tt.want != "") {
			t.Errorf("got: %q, %t for %s%s, want: %q", got.Name, ok, tt.host, tt.path, tt.want)
		}
	}
}

// Guards against a key that stays valid after a version without it was applied, and
// against a configuration without workspaces that requires keys.
func TestGrantUsesCurrentVersion(t *testing.T) {
	is := is.New(t)
	c := declared.New()
	c.Apply(amaranthtide.Configuration{Revision: 1})
	open, _ := c.Current()
	is.True(!open.NeedsKeys())
	c.Apply(amaranthtide.Configuration{Revision: 2, Keys: map[amaranthtide.CallerKey]amaranthtide.Grant{"k1": {Workspace: "club"}}})
	s, _ := c.Current()
	g, ok := s.Grant("k1")
	is.True(ok)
	is.Equal(g.Workspace, amaranthtide.WorkspaceName("club"))
	c.Apply(amaranthtide.Configuration{Revision: 3, Keys: map[amaranthtide.CallerKey]amaranthtide.Grant{}})
	s, _ = c.Current()
	_, ok = s.Grant("k1")
	is.True(!ok)
	is.True(s.NeedsKeys())
}
