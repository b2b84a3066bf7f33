// Package eviction decides which connections of callers are closed when descriptors or memory
// run short.
//
// Connections without a request go first, the longest idle before the others. Then follow
// requests that arrive slowly, the oldest first: they have not run. Last come answers that
// their callers don't read. A connection whose request is being served is never closed.
//
// # Usage
//
//	for _, i := range eviction.Order(now, connections) {
//		// Close connections[i] until there is room.
//	}
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// State is what a connection does.
type State uint8

// The states, in the order in which connections are closed.
const (
	// Idle is a connection without a request.
	Idle State = iota
	// Receiving is a connection whose request has not arrived in full.
	Receiving
	// Sending is a connection on which a write waits for the caller.
	Sending
	// Serving is a connection whose request is being served.
	Serving
)

// minAge is how long a connection may wait for its first or next request, a request may take to
// arrive, and a write to be read, before the connection may be closed. A well-behaved caller needs a
// few round trips, and one that uses its connection often sends its next request within that time.
const minAge = time.Second

// Connection is the state of a connection.
type Connection struct {
	State State
	// Since is when the state began.
	Since time.Time
}

// evictable reports whether the connection may be closed.
func (c Connection) evictable(now time.Time) bool {
	return c.State != Serving && now.Sub(c.Since) >= minAge
}

// Order returns the indexes of the connections that may be closed, in the order in which they
// should be.
func Order(now time.Time, connections []Connection) []int {
	order := make([]int, 0, len(connections))
	for i, c := range connections {
		if c.evictable(now) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := connections[i], connections[j]
		return cmp.Or(cmp.Compare(a.State, b.State), a.Since.Compare(b.Since))
	})
	return order
}
