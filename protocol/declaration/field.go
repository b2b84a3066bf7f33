package declaration

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"amaranthtide"
)

// Field is a field of a row in text form, as a declaration file has it.
type Field struct {
	Name string
	Text string
}

// Fields returns the fields of a row in the order of the struct, without optional
// fields that are not set.
func Fields(value amaranthtide.RowValue) []Field {
	var fields []Field
	if value == nil {
		return nil
	}
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		name, optional := fieldName(v.Type().Field(i))
		if optional && v.Field(i).IsZero() {
			continue
		}
		fields = append(fields, Field{name, formatValue(v.Field(i))})
	}
	return fields
}

// WithFields returns a copy of a row with some fields replaced, and the fields that are
// unknown or can't be parsed. An empty text clears a field. The result is not checked
// as a whole; see RowValue.Check.
func WithFields(value amaranthtide.RowValue, fields []Field) (amaranthtide.RowValue, []amaranthtide.FieldError) {
	copied := reflect.New(reflect.TypeOf(value)).Elem()
	copied.Set(reflect.ValueOf(value))
	var errs []amaranthtide.FieldError
	for _, f := range fields {
		if e := setField(copied, f); e != nil {
			errs = append(errs, *e)
		}
	}
	out, _ := copied.Interface().(amaranthtide.RowValue)
	return out, errs
}

// EmptyRow returns an empty row of a kind.
func EmptyRow(kind amaranthtide.RowKind) (amaranthtide.RowValue, error) {
	return amaranthtide.DecodeRowValue(kind, []byte("{}"))
}

func fieldName(f reflect.StructField) (name string, optional bool) {
	name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, options == "omitempty"
}

func formatValue(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err == nil {
			return string(text)
		}
	}
	if list, ok := v.Interface().([]string); ok {
		return strings.Join(list, ", ")
	}
	return fmt.Sprint(v.Interface())
}

func setField(row reflect.Value, f Field) *amaranthtide.FieldError {
	var names []string
	for i := range row.NumField() {
		name, _ := fieldName(row.Type().Field(i))
		if name == f.Name {
			return parseValue(row.Field(i), f)
		}
		names = append(names, name)
	}
	return &amaranthtide.FieldError{Field: f.Name, Value: f.Text, Allowed: "one of the fields " + strings.Join(names, ", ")}
}

// parseValue parses the text of a field and stores the value in v. An empty text clears
// v.
func parseValue(v reflect.Value, f Field) *amaranthtide.FieldError {
	invalid := func(allowed string) *amaranthtide.FieldError {
		return &amaranthtide.FieldError{Field: f.Name, Value: f.Text, Allowed: allowed}
	}
	if f.Text == "" {
		v.SetZero()
		return nil
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if u.UnmarshalText([]byte(f.Text)) != nil {
			if _, isDuration := u.(*amaranthtide.Duration); isDuration {
				return invalid("a duration, such as 1.5s")
			}
			return invalid("an IP address and a port, such as 10.0.0.1:7000")
		}
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(f.Text)
	case reflect.Bool:
		switch f.Text {
		case "true", "false":
			v.SetBool(f.Text == "true")
		default:
			return invalid("true or false")
		}
	case reflect.Int:
		n, err := strconv.Atoi(f.Text)
		if err != nil {
			return invalid("a whole number")
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		n, err := strconv.ParseFloat(f.Text, 64)
		if err != nil {
			return invalid("a number")
		}
		v.SetFloat(n)
	default:
		v.Set(reflect.ValueOf(parseList(f.Text)))
	}
	return nil
}

func parseList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
