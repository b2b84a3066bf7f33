package continuation

import (
	"time"

	"amaranthtide"
)

// MaxLife is the longest time from the request that begins a stream until its caller takes it up for the last
// time. The longest time limit of callers is 15 s.
const MaxLife = 20 * time.Second

// History is what a router has seen of the versions of each service. It is not safe for concurrent use. Use
// NewHistory.
type History struct {
	services map[amaranthtide.ServiceName]*serviceHistory
}

// serviceHistory holds since when each version has been listed without a break, and when one that isn't was
// listed last.
type serviceHistory struct {
	// observedSince is when servers of the service were seen first.
	observedSince time.Time
	listed        amaranthtide.Set[amaranthtide.VersionName]
	unlistedAt    map[amaranthtide.VersionName]time.Time
}

// NewHistory returns a History that has seen nothing.
func NewHistory() *History {
	return &History{services: make(map[amaranthtide.ServiceName]*serviceHistory)}
}

// Observe records the listed servers of all services.
func (h *History) Observe(now time.Time, listed []amaranthtide.Instance) {
	versions := make(map[amaranthtide.ServiceName]amaranthtide.Set[amaranthtide.VersionName])
	for _, in := range listed {
		if versions[in.Service] == nil {
			versions[in.Service] = amaranthtide.NewSet[amaranthtide.VersionName]()
		}
		versions[in.Service].Add(in.Version)
		if h.services[in.Service] == nil {
			h.services[in.Service] = &serviceHistory{observedSince: now, unlistedAt: make(map[amaranthtide.VersionName]time.Time)}
		}
	}
	for name, s := range h.services {
		s.observe(now, versions[name])
	}
}

func (s *serviceHistory) observe(now time.Time, listed amaranthtide.Set[amaranthtide.VersionName]) {
	for v := range s.listed {
		if !listed.Has(v) {
			s.unlistedAt[v] = now
		}
	}
	for v := range listed {
		delete(s.unlistedAt, v)
	}
	for v, at := range s.unlistedAt {
		if now.Sub(at) > MaxLife {
			delete(s.unlistedAt, v)
		}
	}
	if len(listed) > 0 {
		s.listed = listed
		return
	}
	s.listed = amaranthtide.NewSet[amaranthtide.VersionName]()
}

// Only returns the version of all streams of a service that a caller may still take up: the only one that has
// been listed for MaxLife. It returns false if there may be others.
func (h *History) Only(now time.Time, service amaranthtide.ServiceName) (amaranthtide.VersionName, bool) {
	s := h.services[service]
	if s == nil || now.Sub(s.observedSince) < MaxLife || len(s.listed) > 1 {
		return "", false
	}
	recent := amaranthtide.NewSet[amaranthtide.VersionName]()
	for v := range s.listed {
		recent.Add(v)
	}
	for v, at := range s.unlistedAt {
		if now.Sub(at) <= MaxLife {
			recent.Add(v)
		}
	}
	for v := range recent {
		return v, len(recent) == 1
	}
	return "", false
}

// NextBase returns the base version that a service should get, and false if it keeps the one that it has.
// current is absent if it has none. era is that of the store, which this router has known since eraSince.
//
// A base version stays until none of its streams can be taken up any more: only one other version has been
// listed for MaxLife. After a restore of the store, it doesn't count until the streams have ended whose
// records the copy may lack.
func (h *History) NextBase(now time.Time, service amaranthtide.ServiceName, current amaranthtide.Option[amaranthtide.BaseVersion], era amaranthtide.StoreEra, eraSince time.Time) (amaranthtide.BaseVersion, bool) {
	s := h.services[service]
	if s == nil || len(s.listed) == 0 {
		return amaranthtide.BaseVersion{}, false
	}
	b, ok := current.Get()
	if !ok {
		return s.firstBase(service, era)
	}
	only, settled := h.Only(now, service)
	switch {
	case settled && only != b.Version:
		b.Version, b.Era = only, era
	case b.Era != era && now.Sub(eraSince) > MaxLife:
		b.Era = era
	default:
		return amaranthtide.BaseVersion{}, false
	}
	return b, true
}

// firstBase returns the base version of a service that has none. The copy from which a store has come back may
// lack the one that it had, so in a later era it doesn't count yet.
func (s *serviceHistory) firstBase(service amaranthtide.ServiceName, era amaranthtide.StoreEra) (amaranthtide.BaseVersion, bool) {
	b := amaranthtide.BaseVersion{Service: service, Era: era}
	if era > 0 {
		b.Era = era - 1
	}
	for v := range s.listed {
		b.Version = v
	}
	return b, len(s.listed) == 1
}

// ListsOnly reports whether all listed servers of a service are of its base version. If no stream has a record
// either, callers can take up only streams of that version.
func (h *History) ListsOnly(service amaranthtide.ServiceName, base amaranthtide.Option[amaranthtide.BaseVersion]) bool {
	b, ok := base.Get()
	s := h.services[service]
	return ok && s != nil && len(s.listed) == 1 && s.listed.Has(b.Version)
}

// Lists reports whether a server of the version is listed.
func (h *History) Lists(service amaranthtide.ServiceName, v amaranthtide.VersionName) bool {
	s := h.services[service]
	return s != nil && s.listed.Has(v)
}
