package config

import (
	"reflect"
	"slices"
	"strings"
)

const variablePrefix = "SPANFLOW_"

// ConfigVariable is the variable with the path of the file; it sets no field.
const ConfigVariable = variablePrefix + "CONFIG"

// platformVariables are the platform's variables with the fields that they set.
var platformVariables = []struct{ name, field string }{
	{"PROXY_NAME", "name"},
	{"PROXY_LISTEN", "fronts.resp.listen"},
	{"PROXY_DISCOVERY", "discovery.address"},
	{"PROXY_STATE", "ledger.folder"},
	{"PROXY_ADMIN", "admin"},
}

// variable is an environment variable that sets a field.
type variable struct {
	name, value string
	field       string   // empty: unknown
	known       []string // the names that exist, if the field is unknown
}

// VariableName returns the name of the variable that sets a field of the file.
func VariableName(field string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(field, ".", "_"))
}

// variables returns the variables of an environment (NAME=VALUE) that set fields, the platform's first, then the others
// by name. Empty ones are left out.
func variables(environ []string) []variable {
	values := map[string]string{}
	for _, entry := range environ {
		if name, value, ok := strings.Cut(entry, "="); ok && value != "" {
			values[name] = value
		}
	}
	var all []variable
	for _, p := range platformVariables {
		if value := values[p.name]; value != "" {
			all = append(all, variable{name: p.name, field: p.field, value: value})
		}
	}
	return append(all, ownVariables(values)...)
}

// ownVariables returns the variables with the prefix.
func ownVariables(values map[string]string) []variable {
	fields := map[string]string{}
	var known []string
	for _, field := range settableFields(reflect.TypeFor[File](), "") {
		fields[VariableName(field)] = field
		known = append(known, VariableName(field))
	}
	slices.Sort(known)
	var own []variable
	for name, value := range values {
		if !strings.HasPrefix(name, variablePrefix) || name == ConfigVariable {
			continue
		}
		v := variable{name: name, field: fields[name], value: value}
		if v.field == "" {
			v.known = known
		}
		own = append(own, v)
	}
	slices.SortFunc(own, func(a, b variable) int { return strings.Compare(a.name, b.name) })
	return own
}

// settableFields returns the fields that a variable can set: all but those of lists of tables.
func settableFields(t reflect.Type, prefix string) []string {
	var fields []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + key(f)
		switch {
		case f.Type.Kind() == reflect.Struct:
			fields = append(fields, settableFields(f.Type, name+".")...)
		case f.Type.Kind() != reflect.Slice || f.Type.Elem().Kind() == reflect.String:
			fields = append(fields, name)
		}
	}
	return fields
}
