package message

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

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
	Table   string
	Version uint64
	Era     uint64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m TableVersion) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 2, m.Table, m.Version, m.Era)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *TableVersion) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 2, &m.Table, &m.Version, &m.Era)
}

// NewTableVersion names a table and a version of it.
func NewTableVersion(table amaranthtide.FeedTable, v amaranthtide.StoreVersion) TableVersion {
	return TableVersion{Table: string(table), Version: v.Number(), Era: uint64(v.Era())}
}

// ToDomain returns the table and the version.
func (m TableVersion) ToDomain() (amaranthtide.FeedTable, amaranthtide.StoreVersion) {
	return amaranthtide.FeedTable(m.Table), storeVersion(m.Era, m.Version)
}

func storeVersion(era, number uint64) amaranthtide.StoreVersion {
	return amaranthtide.NewStoreVersion(amaranthtide.StoreEra(era), number)
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
	// Era and AfterEra are the eras of Version and After.
	Era      uint64
	AfterEra uint64
	// Held are rows that outlive the restore with which the era began, RestoreAgeMillis the time since the
	// sender learned of it.
	Held             []FeedRow
	RestoreAgeMillis int64
	// ViewEra is the era of the view.
	ViewEra uint64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m Rows) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 9, m.Table, m.After, m.Version, m.Whole, m.ViewAgeMillis, m.ViewReader, m.Answer, m.Newest, m.Rows, m.Era, m.AfterEra, m.Held, m.RestoreAgeMillis, m.ViewEra)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *Rows) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 9, &m.Table, &m.After, &m.Version, &m.Whole, &m.ViewAgeMillis, &m.ViewReader, &m.Answer, &m.Newest, &m.Rows, &m.Era, &m.AfterEra, &m.Held, &m.RestoreAgeMillis, &m.ViewEra)
}

// FeedRow is the encoded form of amaranthtide.FeedRow.
type FeedRow struct {
	Key     string
	Version uint64
	Removed bool
	// Deflated is set if Value is compressed with DEFLATE.
	Deflated bool
	Value    []byte
	Era      uint64
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m FeedRow) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, 5, m.Key, m.Version, m.Removed, m.Deflated, m.Value, m.Era)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *FeedRow) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, 5, &m.Key, &m.Version, &m.Removed, &m.Deflated, &m.Value, &m.Era)
}

// minDeflateSize is the smallest value size that is compressed, in bytes. Operators'
// documents compress to about a tenth of their size, which matters on links of a few
// Mbit/s.
const minDeflateSize = 4 << 10

// NewRows converts a page of a table to a message. view is this router's view of the feed,
// absent if the feed has never confirmed one.
func NewRows(table amaranthtide.FeedTable, after amaranthtide.StoreVersion, page amaranthtide.FeedPage, view amaranthtide.Option[amaranthtide.FeedView]) *Rows {
	m := &Rows{
		Table: string(table), After: after.Number(), AfterEra: uint64(after.Era()), Version: page.Version.Number(), Era: uint64(page.Version.Era()),
		Whole: page.Whole, ViewAgeMillis: -1, Rows: newFeedRows(page.Rows), Held: newFeedRows(page.Held), RestoreAgeMillis: page.RestoreAge.Milliseconds(),
	}
	if v, ok := view.Get(); ok {
		m.ViewAgeMillis, m.ViewReader, m.ViewEra = v.Age.Milliseconds(), string(v.Reader), uint64(v.Era)
	}
	return m
}

func newFeedRows(rows []amaranthtide.FeedRow) []FeedRow {
	out := make([]FeedRow, 0, len(rows))
	for _, row := range rows {
		value, deflated := deflate(row.Value)
		out = append(out, FeedRow{Key: row.Key, Version: row.Version.Number(), Era: uint64(row.Version.Era()), Removed: row.Value == nil, Deflated: deflated, Value: value})
	}
	return out
}

// AfterVersion returns the version after which the rows are complete.
func (m *Rows) AfterVersion() amaranthtide.StoreVersion { return storeVersion(m.AfterEra, m.After) }

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
	return amaranthtide.Some(amaranthtide.FeedView{Age: age, Reader: amaranthtide.VMName(m.ViewReader), Era: amaranthtide.StoreEra(m.ViewEra)})
}

// maxViewAgeMillis keeps the age of a peer's view within the range of time.Duration.
const maxViewAgeMillis = 1 << 40

// ToDomain converts the message to the table and the page. A value that can't be
// decompressed is an error, and so are values that exceed MaxSize together: a small
// message can't claim the memory of the process.
func (m *Rows) ToDomain() (amaranthtide.FeedTable, amaranthtide.FeedPage, error) {
	table := amaranthtide.FeedTable(m.Table)
	page := amaranthtide.FeedPage{
		Version: storeVersion(m.Era, m.Version), Whole: m.Whole, RestoreAge: time.Duration(min(max(m.RestoreAgeMillis, 0), maxViewAgeMillis)) * time.Millisecond,
	}
	inflated := 0
	var err error
	if page.Rows, err = toFeedRows(table, m.Rows, &inflated); err != nil {
		return table, page, err
	}
	page.Held, err = toFeedRows(table, m.Held, &inflated)
	return table, page, err
}

// toFeedRows converts rows, whose decompressed values are added to inflated.
func toFeedRows(table amaranthtide.FeedTable, rows []FeedRow, inflated *int) ([]amaranthtide.FeedRow, error) {
	var out []amaranthtide.FeedRow
	for _, row := range rows {
		r := amaranthtide.FeedRow{Table: table, Key: row.Key, Version: storeVersion(row.Era, row.Version), Value: row.Value}
		switch {
		case row.Removed:
			r.Value = nil
		case row.Deflated:
			var err error
			if r.Value, err = inflate(row.Value, MaxSize-*inflated); err != nil {
				return nil, err
			}
			*inflated += len(r.Value)
		case r.Value == nil:
			r.Value = []byte{}
		}
		out = append(out, r)
	}
	return out, nil
}

func (m *Rows) check() error {
	if err := checkNames(m.Table, m.ViewReader); err != nil {
		return err
	}
	if err := checkTableVersions(m.Newest); err != nil {
		return err
	}
	for _, rows := range [][]FeedRow{m.Rows, m.Held} {
		if err := checkLength("rows", len(rows), MaxChanges); err != nil {
			return err
		}
		for _, row := range rows {
			if err := checkNames(row.Key); err != nil {
				return err
			}
		}
	}
	return nil
}
