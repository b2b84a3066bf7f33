// Package shard provides a map for state that many goroutines share. It is split
// into shards, so that operations on different keys rarely contend for a lock.
//
// # Usage
//
//	gates := shard.New[amaranthtide.BackendServerName, *admission.Gate]()
//	gates.Set("engine-1", admission.New(now, cfg))
//	gates.With("engine-1", func(g *admission.Gate, ok bool) {
//		// Runs under the lock of the shard of "engine-1".
//	})
//
// A function passed to a method runs under the lock of a shard. It must be short,
// must not block and must not call the same Map.
package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a Map. It exceeds the number of cores of the
// small VMs that routers run on, so that threads rarely wait for each other.
const Count = 16

// Map is a map split into shards, each under its own mutex. It is safe for concurrent
// use. Create one with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [Count]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
	// Keeps the locks of adjacent shards on different cache lines.
	_ [48]byte
}

// New returns an empty Map.
func New[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].values = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardOf(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Count]
}

// Get returns the value of key and whether the key is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Set stores the value of key.
func (m *Map[K, V]) Set(key K, v V) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = v
}

// Delete removes key and reports whether it was present.
func (m *Map[K, V]) Delete(key K) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.values[key]
	delete(s.values, key)
	return ok
}

// With calls f with the value of key, or with the zero value and false, under
// the lock of the key's shard.
func (m *Map[K, V]) With(key K, f func(v V, ok bool)) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	f(v, ok)
}

// Update replaces the value of key with the result of f, under the lock of the
// key's shard. f gets the zero value and false if the key is absent. Update removes
// the key if f returns false.
func (m *Map[K, V]) Update(key K, f func(v V, ok bool) (V, bool)) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	v, keep := f(v, ok)
	if keep {
		s.values[key] = v
		return
	}
	delete(s.values, key)
}

// Range calls f for each key until f returns false, one shard at a time under its
// lock. Keys that are set or deleted during the call may or may not be visited.
func (m *Map[K, V]) Range(f func(key K, v V) bool) {
	for i := range m.shards {
		if !m.shards[i].forEach(f) {
			return
		}
	}
}

func (s *mapShard[K, V]) forEach(f func(key K, v V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.values {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of keys. It locks one shard at a time.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.values)
		s.mu.Unlock()
	}
	return n
}
