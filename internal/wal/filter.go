package wal

import "strings"

// Filter selects entries. An empty field matches all entries.
type Filter struct {
	ID          string
	Destination *uint64
	Tenant      *int
	Key         *uint64
	Frontend    *string
	Type        string
	OlderThan   int64  // matches an expiry before this time, in microseconds of the wall clock
	State       string // one of States, case-insensitive
}

// Matches reports whether an entry meets all conditions of the filter.
func (f *Filter) Matches(e *Entry) bool {
	return (f.ID == "" || e.ID == f.ID) &&
		matches(f.Destination, e.Destination) &&
		matches(f.Tenant, e.Tenant) &&
		matches(f.Key, e.Key) &&
		matches(f.Frontend, e.Frontend) &&
		(f.Type == "" || e.Type == f.Type) &&
		(f.OlderThan == 0 || e.Expiry < f.OlderThan) &&
		(f.State == "" || strings.EqualFold(e.State(), f.State))
}

// matches reports whether a value equals the wanted one. A nil want matches every value.
func matches[T comparable](want *T, value T) bool { return want == nil || *want == value }
