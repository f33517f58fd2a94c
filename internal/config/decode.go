package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	maxEditDistance = 3 // maximum number of letters by which a suggested name differs
	tomlErrorPrefix = "toml: "
)

// Decode decodes TOML text into v, a pointer to a struct. It is strict: an unknown key is a Problem that suggests the
// nearest known one. path names the file in Problems.
func Decode(path string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return unknownKeys(path, unknown, reflect.TypeOf(v).Elem())
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		field := strings.Join(malformed.Key(), ".")
		return Problems{{File: path, Line: line, Field: field, Reason: strings.TrimPrefix(malformed.Error(), tomlErrorPrefix)}}
	}
	return Problems{{File: path, Reason: strings.TrimPrefix(err.Error(), tomlErrorPrefix)}}
}

func unknownKeys(path string, unknown *toml.StrictMissingError, structType reflect.Type) Problems {
	var problems Problems
	for _, e := range unknown.Errors {
		key := e.Key()
		line, _ := e.Position()
		table, last := key[:len(key)-1], key[len(key)-1]
		problems = append(problems, Problem{
			File:   path,
			Line:   line,
			Field:  strings.Join(key, "."),
			Reason: "unknown key" + suggestion(last, tableKeys(structType, table)),
		})
	}
	return problems
}

// fieldLines returns the line of each field and table in a TOML text by path, such as "limits.memory" or
// "fronts[0].listen". Text that cannot be parsed has no entries; the decoder reports its errors.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(text)
	counter := lineCounter{text: text, line: 1}
	line := func(key unstable.Iterator) int {
		if key.Next() {
			return counter.lineAt(int(key.Node().Raw.Offset))
		}
		return 0
	}
	prefix, elements := "", map[string]int{}
	for parser.NextExpression() {
		switch e := parser.Expression(); e.Kind {
		case unstable.Table:
			name := keyPath(e.Key())
			lines[name] = line(e.Key())
			prefix = name + "."
		case unstable.ArrayTable:
			name := keyPath(e.Key())
			element := fmt.Sprintf("%s[%d]", name, elements[name])
			lines[element] = line(e.Key())
			elements[name]++
			prefix = element + "."
		case unstable.KeyValue:
			lines[prefix+keyPath(e.Key())] = line(e.Key())
		}
	}
	return lines
}

// lineCounter converts offsets in a text, given in ascending order, to line numbers. The parser's Position counts lines
// from the start of the text each time, which would take quadratic time for a file with many tables.
type lineCounter struct {
	text         []byte
	offset, line int // offset and line of the latest call of lineAt
}

// lineAt returns the line of an offset, which must not be before that of the previous call.
func (c *lineCounter) lineAt(offset int) int {
	c.line += bytes.Count(c.text[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}

func keyPath(key unstable.Iterator) string {
	var parts []string
	for key.Next() {
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, ".")
}

// tableKeys returns the keys of a table within a struct type, nil if there is no such table.
func tableKeys(structType reflect.Type, table []string) []string {
	for _, name := range table {
		f, ok := fieldOf(structType, name)
		if !ok {
			return nil
		}
		if structType = f.Type; structType.Kind() == reflect.Slice {
			structType = structType.Elem()
		}
		if structType.Kind() != reflect.Struct {
			return nil
		}
	}
	return keys(structType)
}

// keys returns the TOML keys of a struct's fields.
func keys(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		all = append(all, key(t.Field(i)))
	}
	return all
}

func key(f reflect.StructField) string { return f.Tag.Get("toml") }

// fieldOf returns the field of a struct that has the given TOML key.
func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); key(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// suggestion returns a text with the known name nearest to an unknown one, empty if none is near.
func suggestion(name string, known []string) string {
	shortest, nearest := maxEditDistance+1, ""
	for _, k := range known {
		if distance := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); distance < shortest {
			shortest, nearest = distance, k
		}
	}
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; %s may be meant", nearest)
}
