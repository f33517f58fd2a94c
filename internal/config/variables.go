package config

import (
	"reflect"
	"slices"
	"strings"
)

const variablePrefix = "SPANFLOW_"

// ConfigVariable is the environment variable with the path of the configuration file. It sets no field.
const ConfigVariable = variablePrefix + "CONFIG"

// platformVariables are the platform's environment variables with the fields that they set.
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
	field       string   // empty if unknown
	known       []string // the valid variable names, if the field is unknown
}

// VariableName returns the name of the environment variable that sets a field of the file.
func VariableName(field string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(field, ".", "_"))
}

// variables returns the variables of an environment (NAME=VALUE) that set fields, the platform's first, then the others
// by name. Empty variables are ignored.
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
	return append(all, prefixedVariables(values)...)
}

// prefixedVariables returns the variables with variablePrefix, including unknown ones, sorted by name.
func prefixedVariables(values map[string]string) []variable {
	fields := map[string]string{}
	var known []string
	for _, field := range settableFields(reflect.TypeFor[File](), "") {
		fields[VariableName(field)] = field
		known = append(known, VariableName(field))
	}
	slices.Sort(known)
	var prefixed []variable
	for name, value := range values {
		if !strings.HasPrefix(name, variablePrefix) || name == ConfigVariable {
			continue
		}
		v := variable{name: name, field: fields[name], value: value}
		if v.field == "" {
			v.known = known
		}
		prefixed = append(prefixed, v)
	}
	slices.SortFunc(prefixed, func(a, b variable) int { return strings.Compare(a.name, b.name) })
	return prefixed
}

// settableFields returns the fields that a variable can set, which are all except those in lists of tables.
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
