package declaration

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"gopkg.in/ini.v1"

	"amaranthtide"
)

const (
	extension = ".ini"
	fileMode  = 0o644
)

// loadOptions keep duplicate sections and keys, so that they can be reported, and take
// values literally.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
}

// Read reads and checks the declaration files in a directory. The error is Problems if
// any row is invalid.
func Read(dir string) (Set, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Set{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read declaration: %w", err)
	}
	files := make(map[string][]byte)
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), extension) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return Set{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read declaration: %w", err)
		}
		files[e.Name()] = data
	}
	if len(files) == 0 {
		return Set{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read declaration: directory %s contains no declaration file such as %s", dir, FileName(amaranthtide.RowZone))
	}
	return Parse(files)
}

// FileName returns the name of the file that declares the rows of a kind.
func FileName(kind amaranthtide.RowKind) string { return string(kind) + extension }

// Parse is like Read, but takes the contents of the files by name.
func Parse(files map[string][]byte) (Set, error) {
	s := Set{kinds: amaranthtide.NewSet[amaranthtide.RowKind]()}
	var problems Problems
	fileNames := amaranthtide.NewSet[string]()
	for _, kind := range amaranthtide.RowKinds() {
		name := FileName(kind)
		fileNames.Add(name)
		data, ok := files[name]
		if !ok {
			continue
		}
		s.kinds.Add(kind)
		rows, fileProblems := parseFile(kind, name, data)
		s.rows = append(s.rows, rows...)
		problems = append(problems, fileProblems...)
	}
	for name := range files {
		if !fileNames.Has(name) {
			problems = append(problems, Problem{File: name, FieldError: amaranthtide.FieldError{
				Field: "file name", Value: name, Allowed: strings.Join(amaranthtide.Sorted(fileNames), ", ")}})
		}
	}
	problems = append(problems, s.checkReferences()...)
	if len(problems) > 0 {
		return Set{}, problems
	}
	return s.sorted(), nil
}

func parseFile(kind amaranthtide.RowKind, name string, data []byte) ([]amaranthtide.Row, Problems) {
	var problems Problems
	report := func(row string, errs ...amaranthtide.FieldError) {
		for _, e := range errs {
			problems = append(problems, Problem{name, row, e})
		}
	}
	f, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		report("", amaranthtide.FieldError{Field: "syntax", Value: err.Error(), Allowed: "an INI file"})
		return nil, problems
	}
	var rows []amaranthtide.Row
	seen := amaranthtide.NewSet[string]()
	for _, section := range f.Sections() {
		row := section.Name()
		if row == ini.DefaultSection {
			// The INI library puts keys that precede the first section here.
			if len(section.Keys()) > 0 {
				report(row, amaranthtide.FieldError{Field: section.Keys()[0].Name(), Value: section.Keys()[0].String(), Allowed: "keys in the section of a row, whose name must not be " + ini.DefaultSection})
			}
			continue
		}
		if seen.Has(row) {
			report(row, amaranthtide.FieldError{Field: "name", Value: row, Allowed: "each row once"})
			continue
		}
		seen.Add(row)
		value, errs := parseRow(kind, section)
		report(row, amaranthtide.CheckName("name", row)...)
		report(row, errs...)
		rows = append(rows, amaranthtide.Row{Key: amaranthtide.RowKey{Kind: kind, Name: row}, Value: value})
	}
	return rows, problems
}

func parseRow(kind amaranthtide.RowKind, section *ini.Section) (amaranthtide.RowValue, []amaranthtide.FieldError) {
	value, err := EmptyRow(kind)
	if err != nil {
		return nil, []amaranthtide.FieldError{{Field: "kind", Value: string(kind), Allowed: "a kind of row"}}
	}
	var fields []Field
	var errs []amaranthtide.FieldError
	for _, key := range section.Keys() {
		if texts := key.ValueWithShadows(); len(texts) > 1 {
			errs = append(errs, amaranthtide.FieldError{Field: key.Name(), Value: strings.Join(texts, " and "), Allowed: "each key once"})
			continue
		}
		fields = append(fields, Field{key.Name(), key.String()})
	}
	value, fieldErrs := WithFields(value, fields)
	errs = append(errs, fieldErrs...)
	reported := amaranthtide.NewSet[string]()
	for _, e := range errs {
		reported.Add(e.Field)
	}
	for _, e := range value.Check() {
		// A field that could not be parsed is zero here and has been reported already.
		if !reported.Has(e.Field) {
			errs = append(errs, e)
		}
	}
	return value, errs
}

// checkReferences reports references to rows that do not exist, for all kinds that the
// set declares.
func (s Set) checkReferences() Problems {
	keys := amaranthtide.NewSet[amaranthtide.RowKey]()
	for _, r := range s.rows {
		keys.Add(r.Key)
	}
	var problems Problems
	check := func(r amaranthtide.Row, kind amaranthtide.RowKind, name string) {
		if name != "" && s.kinds.Has(kind) && !keys.Has(amaranthtide.RowKey{Kind: kind, Name: name}) {
			problems = append(problems, Problem{FileName(r.Key.Kind), r.Key.Name,
				amaranthtide.FieldError{Field: string(kind), Value: name, Allowed: "a row of " + FileName(kind)}})
		}
	}
	for _, r := range s.rows {
		switch v := r.Value.(type) {
		case amaranthtide.VM:
			check(r, amaranthtide.RowZone, string(v.Zone))
		case amaranthtide.BackendServer:
			check(r, amaranthtide.RowZone, string(v.Zone))
			check(r, amaranthtide.RowModel, string(v.Model))
			check(r, amaranthtide.RowRoute, string(v.Route))
		case amaranthtide.Workspace:
			check(r, amaranthtide.RowModel, string(v.Model))
		}
	}
	return problems
}

// Write writes a file for each declared kind of row. It writes nothing if a row can't be
// expressed in a file, for example because a list element contains a comma.
func (s Set) Write(dir string) error {
	files := make(map[string][]byte)
	for _, kind := range amaranthtide.RowKinds() {
		if s.kinds.Has(kind) {
			data, err := s.encodeFile(kind)
			if err != nil {
				return err
			}
			files[FileName(kind)] = data
		}
	}
	if err := s.verifyRoundTrip(files); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, fileMode); err != nil {
			return err
		}
	}
	return nil
}

func (s Set) encodeFile(kind amaranthtide.RowKind) ([]byte, error) {
	f := ini.Empty(loadOptions)
	for _, r := range s.rows {
		if r.Key.Kind != kind {
			continue
		}
		section, err := f.NewSection(r.Key.Name)
		if err != nil {
			return nil, err
		}
		for _, field := range Fields(r.Value) {
			if _, err := section.NewKey(field.Name, field.Text); err != nil {
				return nil, err
			}
		}
	}
	var b bytes.Buffer
	_, err := f.WriteTo(&b)
	return b.Bytes(), err
}

// verifyRoundTrip parses the files and fails if any row differs from the set, so that an
// export never declares a different table.
func (s Set) verifyRoundTrip(files map[string][]byte) error {
	for _, kind := range amaranthtide.RowKinds() {
		rows, _ := parseFile(kind, FileName(kind), files[FileName(kind)])
		byKey := make(map[amaranthtide.RowKey]amaranthtide.RowValue)
		for _, r := range rows {
			byKey[r.Key] = r.Value
		}
		for _, r := range s.rows {
			if r.Key.Kind == kind && !reflect.DeepEqual(byKey[r.Key], r.Value) {
				return amaranthtide.Errorf(amaranthtide.KindBadRequest, "row %s can't be written to a file: its name or a value contains characters that have a special meaning in INI files or lists", r.Key)
			}
		}
	}
	return nil
}
