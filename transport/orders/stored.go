package orders

import (
	"encoding/json"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/operation"
)

// Prefixes of what a Driver stores in the table service.
const (
	// RecordPrefix begins the keys of the orders in the audit trail.
	RecordPrefix amaranthtide.StoredKey = "order/"
	// StatePrefix begins the keys of the present state of each zone's orders.
	StatePrefix amaranthtide.StoredKey = "orderState/"
)

// keyTime has a fixed width, so that keys sort as times do.
const keyTime = "20060102T150405.000000000Z"

// ZonePrefix begins the keys of a zone's orders.
func ZonePrefix(zone amaranthtide.ZoneName) amaranthtide.StoredKey {
	return RecordPrefix + amaranthtide.StoredKey(zone) + "/"
}

// RecordKey returns the key of an order, "order/<zone>/<time>-<token>". With an empty
// token it comes before all orders of that time.
func RecordKey(zone amaranthtide.ZoneName, t time.Time, token amaranthtide.Token) amaranthtide.StoredKey {
	return ZonePrefix(zone) + amaranthtide.StoredKey(t.UTC().Format(keyTime)+"-"+string(token))
}

// StateKey returns the key of the state of a zone's orders.
func StateKey(zone amaranthtide.ZoneName) amaranthtide.StoredKey {
	return StatePrefix + amaranthtide.StoredKey(zone)
}

// DecodeRecord returns a stored order.
func DecodeRecord(stored amaranthtide.StoredRow) (operation.Order, error) {
	return decode[operation.Order](stored)
}

// DecodeState returns the stored state of a zone's orders.
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
