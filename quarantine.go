package amaranthtide

import (
	"context"
	"time"
)

// StoredQuarantine is the content of a row in the table of quarantines. The fields that Quarantine has
// too mean the same.
type StoredQuarantine struct {
	Service    ServiceName
	Part       PromptPart
	Companions []PromptPart
	Level      int
	// ExpiresAt is the end of the quarantine, by the clock of the router that wrote the row.
	ExpiresAt time.Time
}

// QuarantineSlots is the number of rows that the table of quarantines may have.
const QuarantineSlots = 256

// QuarantineRow is a row in the table of quarantines.
type QuarantineRow struct {
	// Slot is the key of the row, from 0 to QuarantineSlots-1; -1 if the key is none of these.
	Slot    int
	Version StoreVersion
	// Quarantine is absent if the row is malformed, and Err tells why.
	Quarantine Option[StoredQuarantine]
	Err        error
}

// QuarantineWrite is a transaction on the table of quarantines. Each row carries the version that
// the stored one must still have, 0 if there must be none.
type QuarantineWrite struct {
	Puts     []QuarantineRow
	Removals []QuarantineRow
}

// QuarantineStore reads and writes the table of quarantines in the platform's store.
type QuarantineStore interface {
	// ReadQuarantines returns all rows. Errors are KindPlatformDown.
	ReadQuarantines(ctx context.Context) ([]QuarantineRow, error)
	// WriteQuarantines applies the whole transaction or nothing of it. Errors are KindConflict if
	// a row has another version, KindOutcomeUnknown and KindPlatformDown.
	WriteQuarantines(ctx context.Context, w QuarantineWrite) error
}
