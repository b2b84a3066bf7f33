package rig

import (
	"net/http"
	"time"
)

// Zones of the small deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Site is a small deployment: a store, routers and servers.
type Site struct {
	Record *Record
	Store  *Store
	Fleet  *Fleet
}

// NewSite starts a store and n routers, which have the configuration and wait for servers.
func NewSite(record *Record, n int, config map[string]any, memoryMB int) (*Site, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	fleet, err := NewFleet(n)
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, Store: store, Fleet: fleet}
	store.Put("op", "config", config)
	for i := range n {
		if err := fleet.Start(i, RouterSettings{Zone: Zones[i%len(Zones)], Store: store.Addr, MemoryMB: memoryMB}); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// AddServer starts a server and registers it.
func (s *Site) AddServer(id, service, zone string, slots int, handle http.HandlerFunc) (*Server, error) {
	srv, err := NewServer(s.Record, id, service, zone, handle)
	if err != nil {
		return nil, err
	}
	s.Store.Put("servers", id, srv.Entry(slots))
	return srv, nil
}

// AwaitReady waits until all routers are ready.
func (s *Site) AwaitReady() error {
	for _, r := range s.Fleet.Routers {
		if err := r.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}
