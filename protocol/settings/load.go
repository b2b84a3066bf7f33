package settings

import (
	"fmt"
	"io"
	"strings"

	"gopkg.in/ini.v1"

	"amaranthtide"
)

const operatorsSection = "operators"

// Problem is one setting that is not allowed.
type Problem struct {
	File    string
	Section string
	amaranthtide.FieldError
}

// Problems is the error that Load returns for settings that are not allowed. It
// lists all of them.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, e := range p {
		lines[i] = fmt.Sprintf("%s: section [%s], key %s: value %q is not allowed; allowed: %s",
			e.File, e.Section, e.Field, e.Value, e.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in file. Keys that the file lacks keep their
// default; keys without a default must be present.
func Load(file string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return Settings{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "settings %s: %w", file, err)
	}
	return read(f, file)
}

// Parse reads and checks settings from data. The name stands for a file in errors.
func Parse(name string, data []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return Settings{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "settings %s: %w", name, err)
	}
	return read(f, name)
}

func read(f *ini.File, name string) (Settings, error) {
	s := Default()
	var problems Problems
	report := func(section, key, value, allowed string) {
		problems = append(problems, Problem{name, section, amaranthtide.FieldError{Field: key, Value: value, Allowed: allowed}})
	}
	knownKeys := amaranthtide.NewSet[string]()
	knownSections := amaranthtide.NewSet(ini.DefaultSection, operatorsSection)
	for _, fd := range s.fields() {
		knownKeys.Add(fd.section + "." + fd.key)
		knownSections.Add(fd.section)
		text := fd.get()
		if f.HasSection(fd.section) && f.Section(fd.section).HasKey(fd.key) {
			text = f.Section(fd.section).Key(fd.key).String()
		}
		if !fd.set(text) {
			report(fd.section, fd.key, text, fd.allowed)
		}
	}
	for _, section := range f.Sections() {
		if !knownSections.Has(section.Name()) {
			report(section.Name(), "", "", "sections router, platform, control, limits, operators and log")
			continue
		}
		if section.Name() == operatorsSection {
			continue
		}
		for _, key := range section.Keys() {
			if !knownKeys.Has(section.Name() + "." + key.Name()) {
				report(section.Name(), key.Name(), key.String(), "a key that docs/operators.md lists")
			}
		}
	}
	for _, key := range f.Section(operatorsSection).Keys() {
		o, ok := parseOperator(key.Name(), key.String())
		if !ok {
			report(operatorsSection, key.Name(), key.String(), operatorFormat)
		}
		s.Operators = append(s.Operators, o)
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

const redacted = "(hidden)"

// Write writes the settings in force to w in the form of the file. The fleet key
// is left out, since the output may end up in a log.
func (s *Settings) Write(w io.Writer) error {
	f := ini.Empty()
	for _, fd := range s.fields() {
		text := fd.get()
		if fd.key == "fleetKey" {
			text = redacted
		}
		if _, err := f.Section(fd.section).NewKey(fd.key, text); err != nil {
			return err
		}
	}
	for _, o := range s.Operators {
		if _, err := f.Section(operatorsSection).NewKey(string(o.Name), o.fileValue()); err != nil {
			return err
		}
	}
	_, err := f.WriteTo(w)
	return err
}
