// Package declared holds the current configuration, which is the newest version
// that the router has received, indexed for the lookups of the request path.
//
// # Usage
//
//	c := declared.New()
//	if c.Apply(cfg) {
//		// cfg was newer and is now current.
//	}
//	snapshot, ok := c.Current()
//	rule, ok := snapshot.Match("shop.example", "/orders/17")
//
// An older version never replaces a newer one. Readers that need several consistent
// lookups use one Snapshot for all of them.
package declared

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"amaranthtide"
)

// Configuration holds the current version of the configuration. It is safe for
// concurrent use. Create one with New.
type Configuration struct {
	// mu serializes Apply.
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// New returns a Configuration without a version.
func New() *Configuration { return &Configuration{} }

// Apply makes a version current and returns true, or returns false if it is not
// newer than the current one.
func (c *Configuration) Apply(cfg amaranthtide.Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.current.Load(); last != nil && cfg.Revision <= last.cfg.Revision {
		return false
	}
	c.current.Store(newSnapshot(cfg))
	return true
}

// Current returns the current version, and false if there is none yet.
func (c *Configuration) Current() (*Snapshot, bool) {
	s := c.current.Load()
	return s, s != nil
}

// Revision returns the revision of the current version; 0 if there is none.
func (c *Configuration) Revision() amaranthtide.Revision {
	if s := c.current.Load(); s != nil {
		return s.cfg.Revision
	}
	return 0
}

// Snapshot is one version of the configuration. It is immutable.
type Snapshot struct {
	cfg      amaranthtide.Configuration
	rules    map[string][]amaranthtide.Rule
	services map[amaranthtide.ServiceName]amaranthtide.ServiceSpec
	// lowestPriority is the highest number of any priority.
	lowestPriority int
}

func newSnapshot(cfg amaranthtide.Configuration) *Snapshot {
	s := &Snapshot{
		cfg:      cfg,
		rules:    make(map[string][]amaranthtide.Rule),
		services: make(map[amaranthtide.ServiceName]amaranthtide.ServiceSpec, len(cfg.Services)),
	}
	for _, g := range cfg.Keys {
		s.lowestPriority = max(s.lowestPriority, g.Priority.Or(0))
	}
	for _, r := range cfg.Rules {
		s.lowestPriority = max(s.lowestPriority, r.Priority)
		host := strings.ToLower(r.Host)
		s.rules[host] = append(s.rules[host], r)
	}
	for _, rules := range s.rules {
		slices.SortStableFunc(rules, func(a, b amaranthtide.Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, v := range cfg.Services {
		s.services[v.Name] = v
	}
	return s
}

// Revision returns the revision of this version.
func (s *Snapshot) Revision() amaranthtide.Revision { return s.cfg.Revision }

// LowestPriority returns the least urgent priority of any rule or caller key.
func (s *Snapshot) LowestPriority() int { return s.lowestPriority }

// Limits returns the limits on the requests of callers.
func (s *Snapshot) Limits() amaranthtide.CallerLimits { return s.cfg.Limits }

// Match returns the rule of the host with the longest prefix of the path, and
// false if there is none. A port in the host is ignored.
func (s *Snapshot) Match(host, path string) (amaranthtide.Rule, bool) {
	// The colons of an IPv6 literal are inside its brackets.
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	for _, r := range s.rules[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return amaranthtide.Rule{}, false
}

// Grant returns the grant of a caller key, and false if the key is not valid.
func (s *Snapshot) Grant(key amaranthtide.CallerKey) (amaranthtide.Grant, bool) {
	g, ok := s.cfg.Keys[key]
	return g, ok
}

// NeedsKeys reports whether requests need a key unless their rule is public.
func (s *Snapshot) NeedsKeys() bool { return s.cfg.Keys != nil }

// Service returns a service, and false if it is not declared.
func (s *Snapshot) Service(name amaranthtide.ServiceName) (amaranthtide.ServiceSpec, bool) {
	v, ok := s.services[name]
	return v, ok
}
