// Package servers holds the backend servers that the platform lists and the zones
// that are out of service, for lookups on the request path.
//
// # Usage
//
//	d := servers.New()
//	d.Set(instances)
//	d.SetZonesOutOfService(amaranthtide.NewSet[amaranthtide.ZoneName]("zone-b"))
//	for _, in := range d.ByService("checkout") { ... } // shared, must not be modified
package servers

import (
	"sync"
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// Directory holds the backend servers by service. It is safe for concurrent use.
// Create one with New.
type Directory struct {
	// mu serializes Set.
	mu           sync.Mutex
	services     *shard.Map[amaranthtide.ServiceName, []amaranthtide.Instance]
	count        atomic.Int64
	outOfService atomic.Pointer[amaranthtide.Set[amaranthtide.ZoneName]]
}

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{services: shard.New[amaranthtide.ServiceName, []amaranthtide.Instance]()}
	none := amaranthtide.NewSet[amaranthtide.ZoneName]()
	d.outOfService.Store(&none)
	return d
}

// Set replaces all servers.
func (d *Directory) Set(all []amaranthtide.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byService := make(map[amaranthtide.ServiceName][]amaranthtide.Instance)
	for _, in := range all {
		byService[in.Service] = append(byService[in.Service], in)
	}
	d.count.Store(int64(len(all)))
	var empty []amaranthtide.ServiceName
	d.services.Range(func(name amaranthtide.ServiceName, _ []amaranthtide.Instance) bool {
		if _, ok := byService[name]; !ok {
			empty = append(empty, name)
		}
		return true
	})
	for _, name := range empty {
		d.services.Delete(name)
	}
	for name, list := range byService {
		d.services.Set(name, list)
	}
}

// SetZonesOutOfService replaces the set of zones that are out of service. The set must
// not be modified afterwards.
func (d *Directory) SetZonesOutOfService(zones amaranthtide.Set[amaranthtide.ZoneName]) {
	d.outOfService.Store(&zones)
}

// ZoneOutOfService reports whether a zone is out of service, so that its servers get no
// new requests.
func (d *Directory) ZoneOutOfService(zone amaranthtide.ZoneName) bool {
	return d.outOfService.Load().Has(zone)
}

// ByService returns the servers of a service, including those that are leaving and
// those in zones out of service.
func (d *Directory) ByService(service amaranthtide.ServiceName) []amaranthtide.Instance {
	list, _ := d.services.Get(service)
	return list
}

// Len returns the number of servers of all services.
func (d *Directory) Len() int { return int(d.count.Load()) }
