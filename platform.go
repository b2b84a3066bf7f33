package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// StoredKey names a row in the platform's table service, such as
// "config/workspace/small-club" or "claim/small-club/key-1".
type StoredKey string

// StoredRow is a row of the platform's table service.
type StoredRow struct {
	Key     StoredKey
	Version RowVersion
	// Token is the token of the transaction that wrote the row last.
	Token WriteToken
	Value []byte
}

// Condition requires that a row has the given version; 0 requires that the row does
// not exist.
type Condition struct {
	Key     StoredKey
	Version RowVersion
}

// Write puts a row, or deletes it if Value is nil.
type Write struct {
	Key   StoredKey
	Value []byte
}

// Transaction is a set of writes that take effect atomically if all conditions hold.
type Transaction struct {
	Token      WriteToken
	Conditions []Condition
	Writes     []Write
}

// TableService is the platform's transactional table service.
//
// Errors are KindConflict if a condition did not hold, KindPlatformDown if the
// call had no effect, and KindOutcomeUnknown if a commit may have taken effect.
type TableService interface {
	// Commit runs the transaction and returns the new version of each written
	// row, in the order of the writes; 0 for a deleted row.
	Commit(ctx context.Context, t Transaction) ([]RowVersion, error)
	// Get returns a row if it exists.
	Get(ctx context.Context, key StoredKey) (Option[StoredRow], error)
	// List returns up to limit rows whose keys begin with prefix and are greater
	// than after, in the order of their keys.
	List(ctx context.Context, prefix, after StoredKey, limit int) ([]StoredRow, error)
}

// ObjectStore is the platform's object store. It returns the same errors as
// TableService.
type ObjectStore interface {
	// PutObject stores an object. It replaces an existing object of that name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object if it exists.
	GetObject(ctx context.Context, name string) (Option[[]byte], error)
}

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	Name    VMName
	Zone    ZoneName
	Address netip.AddrPort
	// Leaving marks a VM that the platform will shut down.
	Leaving bool
}

// VMList is the platform's list of the VMs of routers and backend servers. The list
// may be out of date.
type VMList interface {
	ListVMs(ctx context.Context) ([]ListedVM, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve reserves a load of the model's weights. It returns the time to wait
	// before the load may start; zero means now.
	Reserve(ctx context.Context, model ModelName) (time.Duration, error)
}

// TableCall is a call to the table service that code without I/O asks its driver
// to make: a Commit if Transaction is set, otherwise a Get of Key.
type TableCall struct {
	Key         StoredKey
	Transaction Option[Transaction]
}

// TableResult is the outcome of a TableCall.
type TableResult struct {
	// Row is the row that a Get found.
	Row Option[StoredRow]
	// Versions are the row versions that a Commit returned.
	Versions []RowVersion
	Err      error
}
