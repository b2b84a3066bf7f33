package settings

import (
	"fmt"
	"io"
	"strings"

	"gopkg.in/ini.v1"

	"amaranthtide"
)

const operatorsSection = "operators"

// Problem is an invalid or unknown setting. Its key is empty for an unknown section.
type Problem struct {
	File    string
	Section string
	amaranthtide.FieldError
}

// Problems is the error that Load and Parse return for invalid settings. It lists all
// of them.
type Problems []Problem

// Error returns a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, e := range p {
		lines[i] = fmt.Sprintf("%s: section [%s], key %s: value %q is not allowed; allowed: %s",
			e.File, e.Section, e.Field, e.Value, e.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in file. Keys that are missing from the file get
// their default; keys without a default are required.
func Load(file string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return Settings{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read settings %s: %w", file, err)
	}
	return read(f, file)
}

// Parse reads and checks settings from data. Errors mention name instead of a file.
func Parse(name string, data []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return Settings{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read settings %s: %w", name, err)
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
			report(section.Name(), "", "", "one of the sections router, platform, control, limits, operators and log")
			continue
		}
		if section.Name() == operatorsSection {
			continue
		}
		for _, key := range section.Keys() {
			if !knownKeys.Has(section.Name() + "." + key.Name()) {
				report(section.Name(), key.Name(), key.String(), "a key that is listed in docs/operators.md")
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

// Write writes the settings to w in the format of the settings file. The fleet key is
// redacted, since the output may end up in a log.
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
