package message

import "amaranthtide"

// RowsWanted asks a router for what changed in a table of the platform's feed.
type RowsWanted struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Table string
	After uint64
}

func (m *RowsWanted) check() error { return checkNames(m.Table) }

// Rows answers RowsWanted.
type Rows struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Table string
	// After is the version after which the rows are complete.
	After   uint64
	Version uint64
	Whole   bool
	// Live tells that the sender reads the table's feed itself.
	Live bool
	Rows []FeedRow
}

// FeedRow is the wire form of amaranthtide.FeedRow.
type FeedRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Key     string
	Version uint64
	Removed bool
	Value   []byte
}

// NewRows returns the wire form of a page of a table.
func NewRows(table amaranthtide.FeedTable, after amaranthtide.RowVersion, page amaranthtide.FeedPage, live bool) *Rows {
	m := &Rows{Table: string(table), After: uint64(after), Version: uint64(page.Version), Whole: page.Whole, Live: live, Rows: make([]FeedRow, 0, len(page.Rows))}
	for _, row := range page.Rows {
		m.Rows = append(m.Rows, FeedRow{Key: row.Key, Version: uint64(row.Version), Removed: row.Value == nil, Value: row.Value})
	}
	return m
}

// Root returns the table and the page.
func (m *Rows) Root() (amaranthtide.FeedTable, amaranthtide.FeedPage) {
	table := amaranthtide.FeedTable(m.Table)
	page := amaranthtide.FeedPage{Version: amaranthtide.RowVersion(m.Version), Whole: m.Whole}
	for _, row := range m.Rows {
		r := amaranthtide.FeedRow{Table: table, Key: row.Key, Version: amaranthtide.RowVersion(row.Version), Value: row.Value}
		switch {
		case row.Removed:
			r.Value = nil
		case r.Value == nil:
			r.Value = []byte{}
		}
		page.Rows = append(page.Rows, r)
	}
	return table, page
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
