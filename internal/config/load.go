package config

import "strings"

// Layer is a kind of source of values. Each layer overrides the layers before it.
type Layer string

// The layers, in ascending order of precedence.
const (
	ByDefault  Layer = "default"
	ByFile     Layer = "file"
	ByVariable Layer = "variable"
	ByFlag     Layer = "flag"
)

// flagName is the flag that sets fields.
const flagName = "--set"

// Source is the origin of a value.
type Source struct {
	Layer Layer
	Name  string // name of the variable or flag
	Line  int    // line of the field in the file, even if a variable or flag overrides it; 0 if the file does not set it
}

// Loaded is a configuration as read, with its defaults applied.
type Loaded struct {
	File
	Path    string
	Sources map[string]Source // by field; fields with default values have no entry
	lines   map[string]int    // lines in the file, by field or table
}

// Load reads a file, or none if path is empty, and applies environment variables (NAME=VALUE) and then flags
// (FIELD=VALUE) to it. Errors are of type Problems.
func Load(path string, environ, flags []string) (*Loaded, error) {
	l := &Loaded{File: Defaults(), Path: path, Sources: map[string]Source{}, lines: map[string]int{}}
	if path != "" {
		text, err := readFile(path)
		if err != nil {
			return nil, Problems{{File: path, Reason: pathReason(err)}}
		}
		if err := l.parse(text); err != nil {
			return nil, err
		}
	}
	problems := append(l.applyVariables(environ), l.applyFlags(flags)...)
	if problems != nil {
		return nil, problems
	}
	l.applyElementDefaults()
	return l, nil
}

// parse decodes the file's text and records the line of each field.
func (l *Loaded) parse(text []byte) error {
	l.lines = fieldLines(text)
	if err := Decode(l.Path, text, &l.File); err != nil {
		return err
	}
	for field, line := range l.lines {
		l.Sources[field] = Source{Layer: ByFile, Line: line}
	}
	return nil
}

func (l *Loaded) applyVariables(environ []string) (problems Problems) {
	for _, v := range variables(environ) {
		if v.field == "" {
			problems = append(problems, Problem{Field: v.name, Reason: "unknown variable" + suggestion(v.name, v.known)})
			continue
		}
		if err := l.setField(v.field, v.value, Source{Layer: ByVariable, Name: v.name}); err != nil {
			problems = append(problems, Problem{Field: v.name, Reason: err.Error()})
		}
	}
	return problems
}

func (l *Loaded) applyFlags(flags []string) (problems Problems) {
	for _, flag := range flags {
		field, value, ok := strings.Cut(flag, "=")
		if !ok {
			problems = append(problems, Problem{Field: flag, Reason: "is not FIELD=VALUE"})
		} else if err := l.setField(field, value, Source{Layer: ByFlag, Name: flagName}); err != nil {
			problems = append(problems, Problem{Field: flagName + " " + field, Reason: err.Error()})
		}
	}
	return problems
}
