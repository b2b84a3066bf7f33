package amaranthtide

import (
	"encoding/json"
	"time"
)

// Change is one accepted change of the configuration table. All changes in the
// order of their revisions form the audit trail.
type Change struct {
	Revision Revision
	Time     time.Time
	Operator OperatorName
	Key      RowKey
	// Before and After are nil where the row does not exist.
	Before RowValue
	After  RowValue
}

// Edit is a change that an operator requests.
type Edit struct {
	Key RowKey
	// Expected is the revision of the row that the operator saw; 0 means that the
	// row must not exist.
	Expected Revision
	// Value is the new content; nil deletes the row.
	Value RowValue
}

type changeJSON struct {
	Revision Revision        `json:"revision"`
	Time     time.Time       `json:"time"`
	Operator OperatorName    `json:"operator"`
	Key      RowKey          `json:"key"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	before, err := marshalOptional(c.Before)
	if err != nil {
		return nil, err
	}
	after, err := marshalOptional(c.After)
	if err != nil {
		return nil, err
	}
	return json.Marshal(changeJSON{c.Revision, c.Time, c.Operator, c.Key, before, after})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Change) UnmarshalJSON(data []byte) error {
	var j changeJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	before, err := unmarshalOptional(j.Key.Kind, j.Before)
	if err != nil {
		return err
	}
	after, err := unmarshalOptional(j.Key.Kind, j.After)
	if err != nil {
		return err
	}
	*c = Change{j.Revision, j.Time, j.Operator, j.Key, before, after}
	return nil
}

type rowJSON struct {
	Key      RowKey          `json:"key"`
	Revision Revision        `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// MarshalJSON implements json.Marshaler.
func (r Row) MarshalJSON() ([]byte, error) {
	value, err := marshalOptional(r.Value)
	if err != nil {
		return nil, err
	}
	return json.Marshal(rowJSON{r.Key, r.Revision, value})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Row) UnmarshalJSON(data []byte) error {
	var j rowJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	value, err := unmarshalOptional(j.Key.Kind, j.Value)
	if err != nil {
		return err
	}
	*r = Row{j.Key, j.Revision, value}
	return nil
}

func marshalOptional(v RowValue) (json.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	return EncodeRowValue(v)
}

func unmarshalOptional(kind RowKind, data json.RawMessage) (RowValue, error) {
	if len(data) == 0 {
		return nil, nil
	}
	return DecodeRowValue(kind, data)
}
