// Package declaration reads and writes the configuration table as INI files, for
// operators who keep it in version control.
//
// A directory contains one file per kind of row: zone.ini, vm.ini, model.ini,
// backendServer.ini, route.ini and workspace.ini. A file contains one section per row,
// whose name is that of the row and whose keys are the fields of the row's JSON form.
// Elements of lists are separated by commas. A kind without a file is not declared, and
// its rows are not changed. An empty file declares that there are no rows of its kind.
// Files whose names do not end in ".ini" are ignored.
//
//	# backendServer.ini
//	[engine-1]
//	zone = north-a
//	address = 10.0.0.1:8000
//	model = large
//	capacity = 16
//	coldLimit = 2
//	rampDuration = 90s
//
// # Usage
//
//	set, err := declaration.Read("table")
//	if err != nil {
//		return err // Problems: file, row, field, value and the allowed values
//	}
//	for _, d := range set.Compare(rows) {
//		edits = append(edits, d.Edit())
//	}
package declaration

import (
	"fmt"
	"strings"

	"amaranthtide"
)

// Set is a declared table: rows and the kinds of rows that it declares. It is immutable.
type Set struct {
	// rows are sorted by kind and name and have no revision.
	rows  []amaranthtide.Row
	kinds amaranthtide.Set[amaranthtide.RowKind]
}

// New returns a Set that declares all kinds of rows, with the given rows. It does not
// check the rows.
func New(rows []amaranthtide.Row) Set {
	s := Set{kinds: amaranthtide.NewSet(amaranthtide.RowKinds()...)}
	for _, kind := range amaranthtide.RowKinds() {
		for _, r := range rows {
			if r.Key.Kind == kind {
				s.rows = append(s.rows, amaranthtide.Row{Key: r.Key, Value: r.Value})
			}
		}
	}
	return s
}

// Rows returns the declared rows. The slice is shared and must not be modified.
func (s Set) Rows() []amaranthtide.Row { return s.rows }

// Problem is an invalid field of a declared row. Row is empty if the problem concerns
// the file as a whole.
type Problem struct {
	File string
	Row  string
	amaranthtide.FieldError
}

// Problems is the error for an invalid declaration. It lists all invalid fields.
type Problems []Problem

// Error returns a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, e := range p {
		lines[i] = fmt.Sprintf("%s: row [%s], field %s: value %q is not allowed; allowed: %s", e.File, e.Row, e.Field, e.Value, e.Allowed)
	}
	return strings.Join(lines, "\n")
}
