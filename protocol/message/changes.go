package message

import (
	"time"

	"amaranthtide"
)

// Changes carries consecutive entries of the configuration table's change log.
type Changes struct {
	// After is the revision immediately before the first entry.
	After   uint64     `msgpack:"after"`
	Entries []LogEntry `msgpack:"entries"`
}

// LogEntry is the encoded form of amaranthtide.Change.
type LogEntry struct {
	Revision   uint64 `msgpack:"revision"`
	TimeMillis int64  `msgpack:"timeMillis"`
	Operator   string `msgpack:"operator"`
	Kind       string `msgpack:"kind"`
	Name       string `msgpack:"name"`
	// Before and After are the row's JSON values before and after the change,
	// empty if the row did not exist.
	Before []byte `msgpack:"before"`
	After  []byte `msgpack:"after"`
}

// ChangesRequest requests the log entries after a revision.
type ChangesRequest struct {
	After uint64 `msgpack:"after"`
}

// NewChanges returns a message with the changes that follow the revision after.
// Their times are truncated to milliseconds.
func NewChanges(after amaranthtide.Revision, changes []amaranthtide.Change) (*Changes, error) {
	m := &Changes{After: uint64(after), Entries: make([]LogEntry, len(changes))}
	for i, c := range changes {
		before, err := encodeRowValue(c.Before)
		if err != nil {
			return nil, err
		}
		value, err := encodeRowValue(c.After)
		if err != nil {
			return nil, err
		}
		m.Entries[i] = LogEntry{
			Revision: uint64(c.Revision), TimeMillis: c.Time.UnixMilli(), Operator: string(c.Operator),
			Kind: string(c.Key.Kind), Name: c.Key.Name, Before: before, After: value,
		}
	}
	return m, nil
}

// ToDomain converts the message to the revision before the first change and the
// changes. A row of unknown kind or with unknown fields is an error, so that a
// router never applies a change partially.
func (m *Changes) ToDomain() (amaranthtide.Revision, []amaranthtide.Change, error) {
	out := make([]amaranthtide.Change, len(m.Entries))
	for i, e := range m.Entries {
		kind := amaranthtide.RowKind(e.Kind)
		before, err := decodeRowValue(kind, e.Before)
		if err != nil {
			return 0, nil, err
		}
		after, err := decodeRowValue(kind, e.After)
		if err != nil {
			return 0, nil, err
		}
		out[i] = amaranthtide.Change{
			Revision: amaranthtide.Revision(e.Revision), Time: time.UnixMilli(e.TimeMillis).UTC(),
			Operator: amaranthtide.OperatorName(e.Operator),
			Key:      amaranthtide.RowKey{Kind: kind, Name: e.Name}, Before: before, After: after,
		}
	}
	return amaranthtide.Revision(m.After), out, nil
}

func (m *Changes) check() error {
	if err := checkLength("entries", len(m.Entries), MaxChanges); err != nil {
		return err
	}
	for _, e := range m.Entries {
		if err := checkNames(e.Operator, e.Kind, e.Name); err != nil {
			return err
		}
		if err := checkLength("before", len(e.Before), MaxRowValue); err != nil {
			return err
		}
		if err := checkLength("after", len(e.After), MaxRowValue); err != nil {
			return err
		}
	}
	return nil
}

func (*ChangesRequest) check() error { return nil }

func encodeRowValue(v amaranthtide.RowValue) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	return amaranthtide.EncodeRowValue(v)
}

func decodeRowValue(kind amaranthtide.RowKind, data []byte) (amaranthtide.RowValue, error) {
	if len(data) == 0 {
		return nil, nil
	}
	return amaranthtide.DecodeRowValue(kind, data)
}
