package amaranthtide

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set that can be
// read but not added to; use NewSet or make for one that grows. It is not
// concurrent-safe.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts v into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove takes v out of the set. It does nothing if v is absent.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in rising order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s))
}
