package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"time"

	"amaranthtide"
)

// RowsRequest requests the rows of tables of the platform's feed that changed after
// given versions. The first table is always answered, the others only if they have
// changed. An unknown table has version 0.
type RowsRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Tables []TableVersion
}

// TableVersion names a table and a version of it.
type TableVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Table   string
	Version uint64
}

// maxTables is the largest number of tables that one message names.
const maxTables = 16

func (m *RowsRequest) check() error {
	return checkTableVersions(m.Tables)
}

func checkTableVersions(tables []TableVersion) error {
	if err := checkLength("tables", len(tables), maxTables); err != nil {
		return err
	}
	for _, t := range tables {
		if err := checkNames(t.Table); err != nil {
			return err
		}
	}
	return nil
}

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
	// ViewAgeMillis is the time since the feed last confirmed the sender's view of it,
	// directly or through other routers; negative if it never has.
	ViewAgeMillis int64
	// ViewReader is the router whose call confirmed the view; empty if none has.
	ViewReader string
	// Answer is set if the message answers a request, rather than being sent by a router
	// that relays the feed.
	Answer bool
	// Newest holds the versions of the newest rows that the sender has of other tables. A
	// receiver that lacks one of them has missed it.
	Newest []TableVersion
	Rows   []FeedRow
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

// NewRows converts a page of a table to a message. view is this router's view of the feed,
// absent if the feed has never confirmed one.
func NewRows(table amaranthtide.FeedTable, after amaranthtide.RowVersion, page amaranthtide.FeedPage, view amaranthtide.Option[amaranthtide.FeedView]) *Rows {
	m := &Rows{Table: string(table), After: uint64(after), Version: uint64(page.Version), Whole: page.Whole, ViewAgeMillis: -1, Rows: make([]FeedRow, 0, len(page.Rows))}
	if v, ok := view.Get(); ok {
		m.ViewAgeMillis, m.ViewReader = v.Age.Milliseconds(), string(v.Reader)
	}
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

// inflate decompresses a value of at most limit bytes.
func inflate(value []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), int64(limit)+1))
	if err != nil {
		return nil, badMessage("decompress row value: %w", err)
	}
	return out, checkLength("decompressed row values", len(out), limit)
}

// View returns the sender's view, absent if the feed has never confirmed it.
func (m *Rows) View() amaranthtide.Option[amaranthtide.FeedView] {
	if m.ViewAgeMillis < 0 {
		return amaranthtide.None[amaranthtide.FeedView]()
	}
	age := time.Duration(min(m.ViewAgeMillis, maxViewAgeMillis)) * time.Millisecond
	return amaranthtide.Some(amaranthtide.FeedView{Age: age, Reader: amaranthtide.VMName(m.ViewReader)})
}

// maxViewAgeMillis keeps the age of a peer's view within the range of time.Duration.
const maxViewAgeMillis = 1 << 40

// ToDomain converts the message to the table and the page. A value that can't be
// decompressed is an error, and so are values that exceed MaxSize together: a small
// message can't claim the memory of the process.
func (m *Rows) ToDomain() (amaranthtide.FeedTable, amaranthtide.FeedPage, error) {
	table := amaranthtide.FeedTable(m.Table)
	page := amaranthtide.FeedPage{Version: amaranthtide.RowVersion(m.Version), Whole: m.Whole}
	inflated := 0
	for _, row := range m.Rows {
		r := amaranthtide.FeedRow{Table: table, Key: row.Key, Version: amaranthtide.RowVersion(row.Version), Value: row.Value}
		switch {
		case row.Removed:
			r.Value = nil
		case row.Deflated:
			var err error
			if r.Value, err = inflate(row.Value, MaxSize-inflated); err != nil {
				return table, page, err
			}
			inflated += len(r.Value)
		case r.Value == nil:
			r.Value = []byte{}
		}
		page.Rows = append(page.Rows, r)
	}
	return table, page, nil
}

func (m *Rows) check() error {
	if err := checkNames(m.Table, m.ViewReader); err != nil {
		return err
	}
	if err := checkTableVersions(m.Newest); err != nil {
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
