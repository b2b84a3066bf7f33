package spread

import (
	"encoding/json"

	"amaranthtide"
)

// SnapshotName is the name of the object that holds the latest snapshot. Two routers may
// overwrite it in either order: an older snapshot is as correct as a newer one and only
// means that more of the log has to be read after it.
const SnapshotName = "table/snapshot.json"

// SnapshotInterval is the number of revisions between two snapshots. At 28,000
// changes a day, one is written about every 13 minutes.
const SnapshotInterval = 256

// Snapshot is the whole table at one revision.
type Snapshot struct {
	Revision amaranthtide.Revision `json:"revision"`
	Rows     []amaranthtide.Row    `json:"rows"`
}

// SnapshotDue reports whether a router that polls the log should write a snapshot, given
// the revision of the snapshot that it last wrote or read and the current revision of
// its table.
func SnapshotDue(last, current amaranthtide.Revision) bool {
	return current >= last+SnapshotInterval
}

// EncodeSnapshot returns the content of the snapshot object.
func EncodeSnapshot(rows []amaranthtide.Row, revision amaranthtide.Revision) ([]byte, error) {
	return json.Marshal(Snapshot{Revision: revision, Rows: rows})
}

// DecodeSnapshot parses the content of the snapshot object.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return Snapshot{}, amaranthtide.Errorf(amaranthtide.KindInternal, "decoding the table snapshot: %w", err)
	}
	return s, nil
}
