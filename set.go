package amaranthtide

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set to which
// nothing can be added; create other sets with NewSet or make. Set is not safe for
// concurrent use.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds v to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes v from the set if it is present.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s))
}
