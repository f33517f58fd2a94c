package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	mostText  = 16 << 20 // of a file
	mostReads = 10       // of a file that is being replaced
	mostFar   = 3        // letters by which a known name may differ from one that was meant
)

// Problem is one thing that is wrong.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // 0 if it is not one line's
	Field  string `json:"field,omitempty"`
	Reason string `json:"what"`
}

func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	return b.String() + p.Reason
}

// Problems are all that is wrong with a configuration.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "; ")
}

// Layer is where a value comes from.
type Layer string

const (
	ByDefault  Layer = "default"
	ByFile     Layer = "file"
	ByVariable Layer = "variable"
	ByFlag     Layer = "flag"
)

// EndpointSource tells where a value comes from.
type Source struct {
	Layer Layer
	Name  string // of the variable or flag
	Line  int    // in the file; also where a variable or a flag goes before it
}

// Loaded is a configuration as read.
type Loaded struct {
	File
	Path    string
	Sources map[string]Source // by field
	lines   map[string]int
}

// Load reads a file (none if path is empty) and lays variables (NAME=VALUE) and flags (field=value) over it.
func Load(path string, environ, flags []string) (*Loaded, error) {
	l := &Loaded{File: Defaults(), Path: path, Sources: map[string]Source{}, lines: map[string]int{}}
	if path != "" {
		text, err := read(path)
		if err != nil {
			return nil, Problems{{File: path, Reason: unwrapped(err)}}
		}
		if err := l.parse(text); err != nil {
			return nil, err
		}
	}
	var wrong Problems
	for _, v := range l.variables(environ) {
		if v.field == "" {
			wrong = append(wrong, Problem{Field: v.name, Reason: "unknown variable" + meant(v.name, v.known)})
			continue
		}
		if err := l.lay(v.field, v.value, Source{Layer: ByVariable, Name: v.name}); err != nil {
			wrong = append(wrong, Problem{Field: v.name, Reason: err.Error()})
		}
	}
	for _, f := range flags {
		field, value, is := strings.Cut(f, "=")
		if !is {
			wrong = append(wrong, Problem{Field: f, Reason: "is not FIELD=VALUE"})
		} else if err := l.lay(field, value, Source{Layer: ByFlag, Name: "--set"}); err != nil {
			wrong = append(wrong, Problem{Field: "--set " + field, Reason: err.Error()})
		}
	}
	if wrong != nil {
		return nil, wrong
	}
	l.perElement()
	return l, nil
}

func unwrapped(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// read reads a file whole. If it is replaced or written to meanwhile it is read anew.
func read(path string) ([]byte, error) {
	for range mostReads {
		text, steady, err := readOnce(path, os.Stat)
		if err != nil || steady {
			return text, err
		}
	}
	return nil, errors.New("it changes while it is read")
}

func readOnce(path string, stat func(string) (os.FileInfo, error)) (text []byte, steady bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	before, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if before.IsDir() {
		return nil, false, errors.New("it is a folder")
	}
	if text, err = io.ReadAll(io.LimitReader(f, mostText+1)); err != nil {
		return nil, false, err
	}
	if len(text) > mostText {
		return nil, false, fmt.Errorf("it is over %s", Size(mostText))
	}
	after, err := stat(path)
	if err != nil { // removed, to be put there anew
		return nil, false, nil
	}
	return text, os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && int64(len(text)) == after.Size(), nil
}

// parse decodes the file's text.
func (l *Loaded) parse(text []byte) error {
	l.place(text)
	if err := Decode(l.Path, text, &l.File); err != nil {
		return err
	}
	for field, line := range l.lines {
		l.Sources[field] = Source{Layer: ByFile, Line: line}
	}
	return nil
}

// Decode reads a TOML text into a form, strictly: what the form does not have is a Problem, with the nearest known key.
func Decode(path string, text []byte, form any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(form)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var wrong Problems
		for _, e := range unknown.Errors {
			key := e.Key()
			line, _ := e.Position()
			known := keys(reflect.TypeOf(form).Elem(), key[:len(key)-1])
			wrong = append(wrong, Problem{File: path, Line: line, Field: strings.Join(key, "."), Reason: "unknown key" + meant(key[len(key)-1], known)})
		}
		return wrong
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return Problems{{File: path, Line: line, Field: strings.Join(bad.Key(), "."), Reason: strings.TrimPrefix(bad.Error(), "toml: ")}}
	}
	return Problems{{File: path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}}
}

// place finds the line of each field: "limits.memory", "frontends[0].listen". Reason cannot be parsed has none; the
// decoder says what is wrong with it.
func (l *Loaded) place(text []byte) {
	p := unstable.Parser{}
	p.Reset(text)
	table, count := "", map[string]int{}
	path := func(it unstable.Iterator) string {
		var parts []string
		for it.Next() {
			parts = append(parts, string(it.Node().Data))
		}
		return strings.Join(parts, ".")
	}
	line := func(it unstable.Iterator) int {
		if it.Next() {
			return p.Shape(it.Node().Raw).Start.Line
		}
		return 0
	}
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			table = path(e.Key()) + "."
			l.lines[strings.TrimSuffix(table, ".")] = line(e.Key())
		case unstable.ArrayTable:
			name := path(e.Key())
			table = fmt.Sprintf("%s[%d].", name, count[name])
			l.lines[strings.TrimSuffix(table, ".")] = line(e.Key())
			count[name]++
		case unstable.KeyValue:
			l.lines[table+path(e.Key())] = line(e.Key())
		}
	}
}

// keys are the known ones of a table.
func keys(t reflect.Type, table []string) []string {
	for _, name := range table {
		f, ok := fieldOf(t, name)
		if !ok {
			return nil
		}
		if t = f.Type; t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
	}
	var all []string
	for f := range fields(t) {
		all = append(all, f.Tag.Get("toml"))
	}
	return all
}

func fields(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for f := range fields(t) {
		if f.Tag.Get("toml") == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// meant tells which known name is nearest to one that is not known, if any is near.
func meant(name string, known []string) string {
	best, at := mostFar+1, ""
	for _, k := range known {
		if n := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); n < best {
			best, at = n, k
		}
	}
	if at == "" {
		return ""
	}
	return fmt.Sprintf("; %s may be meant", at)
}

type variable struct {
	name, field, value string
	known              []string
}

// The platform's variables and the fields that they go before.
var platform = []struct{ name, field string }{{"PROXY_NAME", "name"}, {"PROXY_LISTEN", "fronts.resp.listen"},
	{"PROXY_DISCOVERY", "discovery.address"}, {"PROXY_STATE", "ledger.folder"}, {"PROXY_ADMIN", "admin"}}

const prefix = "SPANFLOW_"

// ConfigVariable names the file; it is no field.
const ConfigVariable = prefix + "CONFIG"

// variables are those of an environment that speak to the forwarder, the platform's first.
func (l *Loaded) variables(environ []string) []variable {
	values := map[string]string{}
	for _, e := range environ {
		if name, value, ok := strings.Cut(e, "="); ok && value != "" {
			values[name] = value
		}
	}
	var all []variable
	for _, p := range platform {
		if v := values[p.name]; v != "" {
			all = append(all, variable{name: p.name, field: p.field, value: v})
		}
	}
	names := map[string]string{}
	for _, field := range scalars(reflect.TypeFor[File](), "") {
		names[Variable(field)] = field
	}
	var ours []variable
	for name, value := range values {
		if strings.HasPrefix(name, prefix) && name != ConfigVariable {
			v := variable{name: name, field: names[name], value: value}
			if v.field == "" {
				for known := range names {
					v.known = append(v.known, known)
				}
				slices.Sort(v.known)
			}
			ours = append(ours, v)
		}
	}
	slices.SortFunc(ours, func(a, b variable) int { return strings.Compare(a.name, b.name) })
	return append(all, ours...)
}

// Variable is the name of the variable that goes before a field of the file.
func Variable(field string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(field, ".", "_"))
}

// scalars are the fields that a variable can set: all but those of lists of tables.
func scalars(t reflect.Type, at string) []string {
	var all []string
	for f := range fields(t) {
		name := at + f.Tag.Get("toml")
		switch {
		case f.Type.Kind() == reflect.Struct:
			all = append(all, scalars(f.Type, name+".")...)
		case f.Type.Kind() != reflect.Slice || f.Type.Elem().Kind() == reflect.String:
			all = append(all, name)
		}
	}
	return all
}

// lay sets a field by its path. An element of a list of tables is named by its number, frontends[0].listen, or by its
// name, frontends.resp.listen; the frontend that is not there yet is made.
func (l *Loaded) lay(field, text string, by Source) error {
	v, at := reflect.ValueOf(&l.File).Elem(), ""
	rest := strings.ReplaceAll(strings.ReplaceAll(field, "[", "."), "]", "")
	for _, name := range strings.Split(rest, ".") {
		switch v.Kind() {
		case reflect.Struct:
			f, ok := fieldOf(v.Type(), name)
			if !ok {
				var known []string
				for f := range fields(v.Type()) {
					known = append(known, f.Tag.Get("toml"))
				}
				return fmt.Errorf("unknown field %s%s%s", at, name, meant(name, known))
			}
			v = v.FieldByIndex(f.Index)
			if at != "" {
				at += "."
			}
			at += name
		case reflect.Slice:
			i, err := l.element(v, name)
			if err != nil {
				return fmt.Errorf("%s: %w", at, err)
			}
			v = v.Index(i)
			at += fmt.Sprintf("[%d]", i)
		default:
			return fmt.Errorf("%s has no parts", at)
		}
	}
	if err := set(v, text); err != nil {
		return err
	}
	by.Line = l.lines[at]
	l.Sources[at] = by
	return nil
}

func (l *Loaded) element(list reflect.Value, name string) (int, error) {
	if list.Type().Elem().Kind() != reflect.Struct {
		return 0, errors.New("is set as a whole, a,b,c")
	}
	if i, err := strconv.Atoi(name); err == nil {
		if i < 0 || i >= list.Len() {
			return 0, fmt.Errorf("there is no number %d", i)
		}
		return i, nil
	}
	for i := range list.Len() {
		if first := list.Index(i).Field(0).String(); first == name || first == "" && list.Index(i).Type() == reflect.TypeFor[Frontend]() {
			return i, nil
		}
	}
	if list.Type() == reflect.TypeFor[[]Frontend]() {
		list.Set(reflect.Append(list, reflect.ValueOf(Frontend{Name: name})))
		return list.Len() - 1, nil
	}
	return 0, fmt.Errorf("there is none named %q", name)
}

// set reads a value from text.
func set(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok {
		return u.UnmarshalText([]byte(text))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		v.SetInt(int64(n))
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number of 0 or more", text)
		}
		v.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		v.SetFloat(n)
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.String {
			return errors.New("is a list of tables: name one of them")
		}
		list := []string{}
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				list = append(list, part)
			}
		}
		v.Set(reflect.ValueOf(list))
	default:
		return errors.New("is a table: name a field of it")
	}
	return nil
}

// Value is one field with what is in force.
type Value struct {
	Field  string
	Value  any
	Source Source
}

// Values are all fields in the order of the form.
func (l *Loaded) Values() []Value {
	var all []Value
	l.walk(reflect.ValueOf(l.File), "", &all)
	return all
}

func (l *Loaded) walk(v reflect.Value, at string, all *[]Value) {
	for i := range v.NumField() {
		name := at + v.Type().Field(i).Tag.Get("toml")
		switch f := v.Field(i); {
		case f.Kind() == reflect.Struct:
			l.walk(f, name+".", all)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			for j := range f.Len() {
				l.walk(f.Index(j), fmt.Sprintf("%s[%d].", name, j), all)
			}
		default:
			s, known := l.Sources[name]
			if !known {
				s.Layer = ByDefault
			}
			*all = append(*all, Value{name, f.Interface(), s})
		}
	}
}
