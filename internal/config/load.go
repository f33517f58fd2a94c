package config

import "strings"

// Layer is the kind of place that a value comes from. Each layer takes precedence over those before it.
type Layer string

// The layers.
const (
	ByDefault  Layer = "default"
	ByFile     Layer = "file"
	ByVariable Layer = "variable"
	ByFlag     Layer = "flag"
)

// flagName is the flag that sets fields.
const flagName = "--set"

// Source is the place that a value comes from.
type Source struct {
	Layer Layer
	Name  string // of the variable or flag
	Line  int    // of the field in the file, also where a variable or a flag takes precedence; 0: it is not there
}

// Loaded is a configuration as read, with its defaults applied.
type Loaded struct {
	File
	Path    string
	Sources map[string]Source // by field, for those that something sets
	lines   map[string]int    // of the file, by field or table
}

// Load reads a file (none if path is empty) and applies variables (NAME=VALUE) and flags (FIELD=VALUE) over it. An
// error is Problems.
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

// parse decodes the file's text.
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
