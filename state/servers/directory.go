// Package servers holds the listed backend servers and the zones that are out of
// service, for readers on the request path.
//
// # Usage
//
//	d := servers.New()
//	d.Set(instances)
//	d.SetOut(amaranthtide.NewSet[amaranthtide.ZoneName]("zone-b"))
//	for _, in := range d.Of("checkout") { ... } // shared, must not be changed
package servers

import (
	"sync"
	"sync/atomic"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// Directory is concurrent-safe. Use New.
type Directory struct {
	// mu orders the calls of Set.
	mu       sync.Mutex
	services *shard.Map[amaranthtide.ServiceName, []amaranthtide.Instance]
	count    atomic.Int64
	out      atomic.Pointer[amaranthtide.Set[amaranthtide.ZoneName]]
}

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{services: shard.New[amaranthtide.ServiceName, []amaranthtide.Instance]()}
	none := amaranthtide.NewSet[amaranthtide.ZoneName]()
	d.out.Store(&none)
	return d
}

// Set replaces the servers.
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

// SetOut replaces the zones whose servers get no work.
func (d *Directory) SetOut(zones amaranthtide.Set[amaranthtide.ZoneName]) { d.out.Store(&zones) }

// Out reports whether the servers of a zone get no work.
func (d *Directory) Out(zone amaranthtide.ZoneName) bool { return d.out.Load().Has(zone) }

// Of returns the servers of a service, those that are leaving and those of zones out
// of service included.
func (d *Directory) Of(service amaranthtide.ServiceName) []amaranthtide.Instance {
	list, _ := d.services.Get(service)
	return list
}

// Len returns the number of servers.
func (d *Directory) Len() int { return int(d.count.Load()) }
