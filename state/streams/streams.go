// Package streams holds the streams that a router has begun, with the version of the server that wrote their
// first event.
//
// # Usage
//
//	s := streams.New()
//	s.Add(record)
//	record, ok := s.Get(now, id)
//	s.Expire(now) // from time to time
package streams

import (
	"time"

	"amaranthtide"
	"amaranthtide/state/shard"
)

// Streams holds the records of streams. It is safe for concurrent use. Create one with New.
type Streams struct {
	records *shard.Map[amaranthtide.RequestID, amaranthtide.StreamRecord]
}

// New returns Streams without records.
func New() *Streams {
	return &Streams{shard.New[amaranthtide.RequestID, amaranthtide.StreamRecord]()}
}

// Add adds a record.
func (s *Streams) Add(r amaranthtide.StreamRecord) { s.records.Set(r.Stream, r) }

// Get returns the record of a stream, and false if there is none or it has expired.
func (s *Streams) Get(now time.Time, id amaranthtide.RequestID) (amaranthtide.StreamRecord, bool) {
	r, ok := s.records.Get(id)
	return r, ok && now.Before(r.ExpiresAt)
}

// Expire removes the records that have expired.
func (s *Streams) Expire(now time.Time) {
	var expired []amaranthtide.RequestID
	s.records.Range(func(id amaranthtide.RequestID, r amaranthtide.StreamRecord) bool {
		if !now.Before(r.ExpiresAt) {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		s.records.Delete(id)
	}
}
