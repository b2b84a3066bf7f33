package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"amaranthtide"
)

// RowsRequest requests the rows of a table of the platform's feed that changed after
// a version.
type RowsRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Table string
	After uint64
}

func (m *RowsRequest) check() error { return checkNames(m.Table) }

// Rows carries rows of a table of the platform's feed, in response to RowsRequest or
// unsolicited from a router that reads the feed.
type Rows struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Table string
	// The rows are complete from After, exclusive, to Version, inclusive.
	After   uint64
	Version uint64
	// Whole is set if Rows holds all rows of the table.
	Whole bool
	// SenderReadsFeed is set if the sender reads the table directly from the feed.
	SenderReadsFeed bool
	Rows            []FeedRow
}

// FeedRow is the encoded form of amaranthtide.FeedRow.
type FeedRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Key     string
	Version uint64
	Removed bool
	// Deflated is set if Value is compressed with DEFLATE.
	Deflated bool
	Value    []byte
}

// minDeflateSize is the smallest value size that is compressed, in bytes. Operators'
// documents compress to about a tenth of their size, which matters on links of a few
// Mbit/s.
const minDeflateSize = 4 << 10

// NewRows converts a page of a table to a message. senderReadsFeed tells whether this
// router reads the table directly from the feed.
func NewRows(table amaranthtide.FeedTable, after amaranthtide.RowVersion, page amaranthtide.FeedPage, senderReadsFeed bool) *Rows {
	m := &Rows{Table: string(table), After: uint64(after), Version: uint64(page.Version), Whole: page.Whole, SenderReadsFeed: senderReadsFeed, Rows: make([]FeedRow, 0, len(page.Rows))}
	for _, row := range page.Rows {
		value, deflated := deflate(row.Value)
		m.Rows = append(m.Rows, FeedRow{Key: row.Key, Version: uint64(row.Version), Removed: row.Value == nil, Deflated: deflated, Value: value})
	}
	return m
}

// deflate compresses value if it is large and the result is smaller. It reports
// whether the returned value is compressed.
func deflate(value []byte) ([]byte, bool) {
	if len(value) < minDeflateSize {
		return value, false
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return value, false
	}
	_, err = w.Write(value)
	if err := errors.Join(err, w.Close()); err != nil || buf.Len() >= len(value) {
		return value, false
	}
	return buf.Bytes(), true
}

func inflate(value []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), MaxSize+1))
	if err != nil {
		return nil, badMessage("decompress row value: %w", err)
	}
	return out, checkLength("row value", len(out), MaxSize)
}

// ToDomain converts the message to the table and the page. A value that can't be
// decompressed is an error.
func (m *Rows) ToDomain() (amaranthtide.FeedTable, amaranthtide.FeedPage, error) {
	table := amaranthtide.FeedTable(m.Table)
	page := amaranthtide.FeedPage{Version: amaranthtide.RowVersion(m.Version), Whole: m.Whole}
	for _, row := range m.Rows {
		r := amaranthtide.FeedRow{Table: table, Key: row.Key, Version: amaranthtide.RowVersion(row.Version), Value: row.Value}
		switch {
		case row.Removed:
			r.Value = nil
		case row.Deflated:
			var err error
			if r.Value, err = inflate(row.Value); err != nil {
				return table, page, err
			}
		case r.Value == nil:
			r.Value = []byte{}
		}
		page.Rows = append(page.Rows, r)
	}
	return table, page, nil
}

func (m *Rows) check() error {
	if err := checkNames(m.Table); err != nil {
		return err
	}
	if err := checkLength("rows", len(m.Rows), MaxChanges); err != nil {
		return err
	}
	for _, row := range m.Rows {
		if err := checkNames(row.Key); err != nil {
			return err
		}
	}
	return nil
}
