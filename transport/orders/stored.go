package orders

import (
	"encoding/json"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/operation"
)

// Key prefixes of the rows that a Driver stores in the table service.
const (
	// RecordPrefix is the prefix of the orders in the audit trail.
	RecordPrefix amaranthtide.StoredKey = "order/"
	// StatePrefix is the prefix of the current state of each zone's orders.
	StatePrefix amaranthtide.StoredKey = "orderState/"
)

// keyTime is the format of times in keys. Its width is fixed, so that keys sort in
// chronological order.
const keyTime = "20060102T150405.000000000Z"

// ZonePrefix returns the key prefix of a zone's orders.
func ZonePrefix(zone amaranthtide.ZoneName) amaranthtide.StoredKey {
	return RecordPrefix + amaranthtide.StoredKey(zone) + "/"
}

// RecordKey returns the key of an order, "order/<zone>/<time>-<token>". With an empty
// token it sorts before all orders of that time.
func RecordKey(zone amaranthtide.ZoneName, t time.Time, token amaranthtide.WriteToken) amaranthtide.StoredKey {
	return ZonePrefix(zone) + amaranthtide.StoredKey(t.UTC().Format(keyTime)+"-"+string(token))
}

// StateKey returns the key under which the state of a zone's orders is stored.
func StateKey(zone amaranthtide.ZoneName) amaranthtide.StoredKey {
	return StatePrefix + amaranthtide.StoredKey(zone)
}

// DecodeRecord decodes a stored order.
func DecodeRecord(stored amaranthtide.StoredRow) (operation.Order, error) {
	return decode[operation.Order](stored)
}

// DecodeState decodes the stored state of a zone's orders.
func DecodeState(stored amaranthtide.StoredRow) (operation.OrdersStatus, error) {
	return decode[operation.OrdersStatus](stored)
}

func decode[T any](stored amaranthtide.StoredRow) (T, error) {
	var v T
	if err := json.Unmarshal(stored.Value, &v); err != nil {
		return v, amaranthtide.Errorf(amaranthtide.KindInternal, "stored row %q: %w", stored.Key, err)
	}
	return v, nil
}
