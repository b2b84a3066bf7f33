package change

import (
	"encoding/json"
	"fmt"

	"amaranthtide"
)

// Prefixes and keys of the configuration table in the table service.
const (
	// RowPrefix is the prefix of the keys of the current rows.
	RowPrefix amaranthtide.StoredKey = "config/"
	// LogPrefix is the prefix of the keys of the change log, which sort by revision.
	LogPrefix amaranthtide.StoredKey = "log/"
	// HeadKey is the key of the row that holds the head revision.
	HeadKey amaranthtide.StoredKey = "head"
)

// RowStoredKey returns the key of a row of the configuration table.
func RowStoredKey(k amaranthtide.RowKey) amaranthtide.StoredKey {
	return RowPrefix + amaranthtide.StoredKey(k.String())
}

// LogStoredKey returns the key of the log entry of a revision. It is padded to the 20
// digits of the largest revision, so that keys sort in the order of revisions.
func LogStoredKey(r amaranthtide.Revision) amaranthtide.StoredKey {
	return LogPrefix + amaranthtide.StoredKey(fmt.Sprintf("%020d", uint64(r)))
}

type head struct {
	Revision amaranthtide.Revision `json:"revision"`
}

// EncodeHead returns the stored form of the head revision.
func EncodeHead(r amaranthtide.Revision) ([]byte, error) { return json.Marshal(head{r}) }

// DecodeHead returns the head revision, or 0 if the row doesn't exist yet.
func DecodeHead(row amaranthtide.Option[amaranthtide.StoredRow]) (amaranthtide.Revision, error) {
	stored, ok := row.Get()
	if !ok {
		return 0, nil
	}
	var h head
	if err := json.Unmarshal(stored.Value, &h); err != nil {
		return 0, decodeError(stored, err)
	}
	return h.Revision, nil
}

// EncodeRow returns the stored form of a row.
func EncodeRow(r amaranthtide.Row) ([]byte, error) { return json.Marshal(r) }

// DecodeRow decodes a stored row.
func DecodeRow(stored amaranthtide.StoredRow) (amaranthtide.Row, error) {
	var r amaranthtide.Row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return amaranthtide.Row{}, decodeError(stored, err)
	}
	return r, nil
}

// EncodeChange returns the stored form of a log entry.
func EncodeChange(c amaranthtide.Change) ([]byte, error) { return json.Marshal(c) }

// DecodeChange decodes a stored log entry.
func DecodeChange(stored amaranthtide.StoredRow) (amaranthtide.Change, error) {
	var c amaranthtide.Change
	if err := json.Unmarshal(stored.Value, &c); err != nil {
		return amaranthtide.Change{}, decodeError(stored, err)
	}
	return c, nil
}

func decodeError(stored amaranthtide.StoredRow, err error) error {
	return amaranthtide.Errorf(amaranthtide.KindInternal, "decoding stored row %q: %w", stored.Key, err)
}
