package amaranthtide

import (
	"context"
	"time"
)

// StreamRecord tells which version of a service's software began a stream, which other versions can't go on
// with.
type StreamRecord struct {
	// Stream is the identifier of the request that brought the first event.
	Stream  RequestID
	Service ServiceName
	Version VersionName
	// ExpiresAt is when no caller takes the stream up any more.
	ExpiresAt time.Time
}

// BaseVersion is the version that has begun all streams of a service that have no record.
type BaseVersion struct {
	Service ServiceName
	Version VersionName
	// Era is the era of the store in which it was written: a store that has come back from an older copy
	// may lack records.
	Era StoreEra
	// Row is the version of the row, zero if there is none yet.
	Row StoreVersion
}

// StreamStore keeps the records of streams in the platform's store, so that they survive a restart of all
// routers. Errors are KindPlatformDown, KindOutcomeUnknown and KindConflict.
type StreamStore interface {
	// RecordStreams writes records. Writing one again has no effect.
	RecordStreams(ctx context.Context, records []StreamRecord) error
	// RemoveStreams removes records.
	RemoveStreams(ctx context.Context, streams []RequestID) error
	// FindStream returns the record of a stream, absent if there is none, and the era of the answer.
	FindStream(ctx context.Context, stream RequestID) (Option[StreamRecord], StoreEra, error)
	// HasStreams reports whether there is a record that expires after a time, and returns the era of the
	// answer.
	HasStreams(ctx context.Context, after time.Time) (bool, StoreEra, error)
	// SweepStreams removes some records that expired before a time, and returns their number. Calls with
	// successive rounds reach all records.
	SweepStreams(ctx context.Context, round int, before time.Time) (int, error)
	// BaseVersions returns the base versions of all services, and the era of the answer.
	BaseVersions(ctx context.Context) ([]BaseVersion, StoreEra, error)
	// SetBaseVersion writes a base version if its row still has the version Row.
	SetBaseVersion(ctx context.Context, b BaseVersion) error
}
