package declaration

import (
	"cmp"
	"slices"

	"amaranthtide"
)

// Difference is a row whose declared value differs from the table.
type Difference struct {
	Key amaranthtide.RowKey
	// Expected is the revision of the row in the table; 0 if it does not exist.
	Expected amaranthtide.Revision
	// Before is the value in the table and After the declared one. Before is nil for a
	// row that is added, After for one that is deleted.
	Before amaranthtide.RowValue
	After  amaranthtide.RowValue
}

// FieldChange is a field whose value differs. Before or After is empty if the field is
// not set there.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Edit returns the edit that changes the row to its declared value.
func (d Difference) Edit() amaranthtide.Edit {
	return amaranthtide.Edit{Key: d.Key, Expected: d.Expected, Value: d.After}
}

// ChangedFields returns the fields that differ, in the order of the struct, followed by
// the fields that only Before has. For a row that is added or deleted it returns all
// fields that are set.
func (d Difference) ChangedFields() []FieldChange {
	before, after := Fields(d.Before), Fields(d.After)
	var changes []FieldChange
	for _, f := range after {
		old := fieldText(before, f.Name)
		if old != f.Text {
			changes = append(changes, FieldChange{f.Name, old, f.Text})
		}
	}
	for _, f := range before {
		if !slices.ContainsFunc(after, func(a Field) bool { return a.Name == f.Name }) {
			changes = append(changes, FieldChange{Name: f.Name, Before: f.Text})
		}
	}
	return changes
}

func fieldText(fields []Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Text
		}
	}
	return ""
}

// Compare returns the differences between the table in force and the declared one: rows
// to add or change in the order of RowKinds, so that a row comes after the rows that it
// refers to, then rows to delete in reverse order. Rows of kinds that the set does not
// declare are ignored.
func (s Set) Compare(inForce []amaranthtide.Row) []Difference {
	present := make(map[amaranthtide.RowKey]amaranthtide.Row)
	for _, r := range inForce {
		present[r.Key] = r
	}
	var differences []Difference
	for _, r := range s.rows {
		old, ok := present[r.Key]
		delete(present, r.Key)
		d := Difference{Key: r.Key, Expected: old.Revision, Before: old.Value, After: r.Value}
		if !ok || len(d.ChangedFields()) > 0 {
			differences = append(differences, d)
		}
	}
	var deleted []Difference
	for key, r := range present {
		if s.kinds.Has(key.Kind) {
			deleted = append(deleted, Difference{Key: key, Expected: r.Revision, Before: r.Value})
		}
	}
	slices.SortFunc(deleted, func(a, b Difference) int { return -compareKeys(a.Key, b.Key) })
	return append(differences, deleted...)
}

// compareKeys compares keys by kind, in the order of RowKinds, and then by name.
func compareKeys(a, b amaranthtide.RowKey) int {
	kinds := amaranthtide.RowKinds()
	return cmp.Or(cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
}

func (s Set) sorted() Set {
	slices.SortFunc(s.rows, func(a, b amaranthtide.Row) int { return compareKeys(a.Key, b.Key) })
	return s
}
