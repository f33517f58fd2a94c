package config

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// setField parses text and sets the field at a path. The path selects an element of a list of tables by index
// (fronts[0].listen) or by name (fronts.resp.listen). A frontend that does not exist yet is added.
func (l *Loaded) setField(path, text string, source Source) error {
	v, at := reflect.ValueOf(&l.File).Elem(), ""
	names := strings.ReplaceAll(strings.ReplaceAll(path, "[", "."), "]", "")
	for _, name := range strings.Split(names, ".") {
		switch v.Kind() {
		case reflect.Struct:
			f, ok := fieldOf(v.Type(), name)
			if !ok {
				return fmt.Errorf("unknown field %s%s%s", at, name, suggestion(name, keys(v.Type())))
			}
			v = v.FieldByIndex(f.Index)
			if at != "" {
				at += "."
			}
			at += name
		case reflect.Slice:
			i, err := elementIndex(v, name)
			if err != nil {
				return fmt.Errorf("%s: %w", at, err)
			}
			v = v.Index(i)
			at += fmt.Sprintf("[%d]", i)
		default:
			return fmt.Errorf("%s has no fields", at)
		}
	}
	if err := setValue(v, text); err != nil {
		return err
	}
	source.Line = l.lines[at]
	l.Sources[at] = source
	return nil
}

// elementIndex returns the index of an element, given by index or name, in a list of tables.
func elementIndex(list reflect.Value, name string) (int, error) {
	if list.Type().Elem().Kind() != reflect.Struct {
		return 0, errors.New("must be set as a whole, as in a,b,c")
	}
	if i, err := strconv.Atoi(name); err == nil {
		if i < 0 || i >= list.Len() {
			return 0, fmt.Errorf("there is no element with the index %d", i)
		}
		return i, nil
	}
	isFrontend := list.Type() == reflect.TypeFor[[]Frontend]()
	for i := range list.Len() {
		elementName := list.Index(i).Field(0).String()
		if elementName == name || elementName == "" && isFrontend {
			return i, nil
		}
	}
	if isFrontend {
		list.Set(reflect.Append(list, reflect.ValueOf(Frontend{Name: name})))
		return list.Len() - 1, nil
	}
	return 0, fmt.Errorf("there is no element named %q", name)
}

// setValue parses text as v's type and sets v.
func setValue(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
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
			return errors.New("is a list of tables; set the fields of one of its elements")
		}
		list := []string{}
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				list = append(list, part)
			}
		}
		v.Set(reflect.ValueOf(list))
	default:
		return errors.New("is a table; set its fields one by one")
	}
	return nil
}

// Value is one field with its effective value.
type Value struct {
	Field  string
	Value  any
	Source Source
}

// Values returns all fields in the order in which File declares them.
func (l *Loaded) Values() []Value {
	return l.appendValues(nil, reflect.ValueOf(l.File), "")
}

func (l *Loaded) appendValues(values []Value, v reflect.Value, prefix string) []Value {
	for i := range v.NumField() {
		name := prefix + key(v.Type().Field(i))
		switch f := v.Field(i); {
		case f.Kind() == reflect.Struct:
			values = l.appendValues(values, f, name+".")
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			for j := range f.Len() {
				values = l.appendValues(values, f.Index(j), fmt.Sprintf("%s[%d].", name, j))
			}
		default:
			source, known := l.Sources[name]
			if !known {
				source.Layer = ByDefault
			}
			values = append(values, Value{name, f.Interface(), source})
		}
	}
	return values
}
