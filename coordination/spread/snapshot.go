package spread

import (
	"encoding/json"

	"amaranthtide"
)

// SnapshotName is the object that holds the latest snapshot. Two reader routers
// may replace it in either order: an older snapshot is as good as a newer one
// but for the length of the log that has to be read after it.
const SnapshotName = "table/snapshot.json"

// SnapshotInterval is the number of revisions between two snapshots. At 28,000
// changes a day, one is written about every 13 minutes.
const SnapshotInterval = 256

// Snapshot is the whole table at one revision.
type Snapshot struct {
	Revision amaranthtide.Revision `json:"revision"`
	Rows     []amaranthtide.Row    `json:"rows"`
}

// SnapshotDue reports whether a reader router that last wrote or read a snapshot
// of one revision should write one now that the table is at another.
func SnapshotDue(last, current amaranthtide.Revision) bool {
	return current >= last+SnapshotInterval
}

// EncodeSnapshot returns the content of the object for a snapshot.
func EncodeSnapshot(rows []amaranthtide.Row, revision amaranthtide.Revision) ([]byte, error) {
	return json.Marshal(Snapshot{Revision: revision, Rows: rows})
}

// DecodeSnapshot reads the content of the object.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return Snapshot{}, amaranthtide.Errorf(amaranthtide.KindInternal, "table snapshot: %w", err)
	}
	return s, nil
}
